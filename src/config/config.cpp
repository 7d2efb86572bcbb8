// Reading of the platform's JSON configuration.
#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "config/reader.hpp"

namespace topazweir::config {

namespace {

constexpr std::int64_t kMaxCount = 1'000'000;
constexpr Nanos kSecond = 1'000'000'000;
constexpr Nanos kMaxDurationNs = 30 * 24 * 3600 * kSecond;  // 30 days, such as for an idempotency window
// A request's deadline may be up to this multiple of the longest deadline of the classes.
constexpr Nanos kMaxDeadlineFactor = 10;

Nanos duration(const Reader& reader, std::string_view path, Nanos defaultValue) {
  return reader.integer(path, 0, kMaxDurationNs, defaultValue);
}

QueryClass readClass(const Reader& settings, const Reader& profile, std::size_t index) {
  QueryClass c;
  c.name = profile.text("name");
  c.aim = profile.integer("aimNs", 1, kMaxDurationNs);
  c.deadline = profile.integer("deadlineNs", 1, kMaxDurationNs);
  c.worth = profile.number("value", 0, 1e9, 1);
  c.lateWorth = profile.number("lateWorth", 0, 1, 0);
  const auto effect = profile.text("semantics", "repeatable");
  if (effect == "by_key") {
    c.effect = Effect::keyed;
  } else if (effect == "once") {
    c.effect = Effect::unsafe;
  } else if (effect != "repeatable") {
    profile.fail("semantics", "not repeatable, by_key or once");
  }
  c.keyedWindow = duration(profile, "windowNs", 0);
  c.need = settings.listed("familyInfo.needByClass", index, 1);
  c.floor = settings.listed("familyInfo.minShare", index, 1);
  c.partialWorth = settings.listed("familyInfo.classPartial", index, 0);
  c.secondStepParts = static_cast<int>(settings.listed("familyInfo.fetchParts", index, 0));
  if (c.secondStepParts != 0) settings.fail("familyInfo.fetchParts", "second steps are not supported");
  return c;
}

std::uint64_t readSeed(const Reader& reader) {
  const auto text = reader.text("seed", "0");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    reader.fail("seed", "not a hexadecimal number of 64 bits");
  return seed;
}

Settings readSettings(const Reader& reader) {
  const auto count = [&](std::string_view path, std::int64_t min, std::int64_t defaultValue) {
    return static_cast<int>(reader.integer(path, min, kMaxCount, defaultValue));
  };
  Settings s;
  s.zone = count("az", 0, 0);
  s.aggregators = count("balancers", 1, 1);
  s.number = count("selfIndex", 0, 0);
  s.tick = duration(reader, "tickNs", 5'000'000);
  s.shards = static_cast<int>(reader.integer("familyInfo.slabs", 1, kMaxCount));
  s.cells = count("familyInfo.sets", 1, 1);
  s.reach = count("familyInfo.reach", 1, 1);
  s.partsPerCall = count("familyInfo.partsACall", 1, 1);
  s.callOverhead = duration(reader, "familyInfo.overheadNs", 0);
  s.maxAttempts = count("limits.maxAttempts", 1, 1);
  s.hedging = reader.flag("limits.secondCopies", false);
  s.cancelling = reader.flag("limits.cancelling", false);
  s.retriesMarked = reader.flag("clients.marksRetry", true);
  s.retryAfter = reader.flag("limits.retryAfter", false);
  s.maxRetryAfter = duration(reader, "limits.maxRetryAfterNs", 2 * kSecond);
  s.answerSlack = duration(reader, "guarantees.graceToAnswerNs", 0);
  s.coldCapacityShare = reader.number("guarantees.coldFrom", 0, 1, 1);
  s.warmUpTime = duration(reader, "guarantees.coldNs", 0);
  s.overloadMultiple = reader.number("guarantees.tipMultiple", 0, 1e9, 0);
  s.overloadWindow = duration(reader, "guarantees.overloadForNs", 0);
  s.drainGrace = duration(reader, "guarantees.drainGraceNs", 0);
  s.wastePrice = reader.number("tariffs.waste", 0, 1e9, 0);
  s.lateFailPrice = reader.number("tariffs.lateFail", 0, 1e9, 0);
  s.crossZonePrice = reader.number("tariffs.crossZone", 0, 1e9, 0);
  if (reader.find("guarantees.countedOverNs") != nullptr)
    s.budget = RetryBudget{reader.integer("guarantees.countedOverNs", 1, kMaxDurationNs),
                           reader.number("guarantees.minExtra", 0, 1e9, 0),
                           reader.number("guarantees.extraRatio", 0, 1e9, 0)};
  for (const auto& profile : reader.objects("profiles"))
    s.classes.push_back(readClass(reader, profile, s.classes.size()));
  if (const auto fault = findFault(s)) reader.fail("", *fault);
  return s;
}

}  // namespace

std::size_t memoryLimit(const PlatformConfig& config) {
  constexpr double kBytesPerMb = 1e6;
  return static_cast<std::size_t>(config.memoryMb * kBytesPerMb);
}

std::size_t bufferLimit(const PlatformConfig& config) {
  constexpr std::size_t kBufferDivisor = 5;
  return memoryLimit(config) / kBufferDivisor;
}

std::string readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ConfigError("cannot read " + path);
  return text.str();
}

PlatformConfig read(std::string_view text) {
  const Node root = readJson(text);
  const Reader reader(root);
  PlatformConfig out;
  out.name = reader.text("name", "node");
  out.listen = reader.address("listen");
  out.discovery = reader.address("discovery");
  if (reader.find("ops") != nullptr) out.ops = reader.address("ops");
  out.sockets = static_cast<std::size_t>(reader.integer("limits.sockets", 32, kMaxCount, 1024));
  out.memoryMb = reader.number("limits.memory_mb", 1, kMaxCount, out.memoryMb);
  out.known = jsonMember(text, "known");
  const auto settingsObject = reader.object("settings");
  if (!settingsObject) reader.fail("settings", "missing or not an object");
  const Reader& settings = *settingsObject;
  out.terms.settings = readSettings(settings);
  out.terms.settings.seed = readSeed(reader);
  out.terms.maxOpen = static_cast<std::size_t>(settings.integer("limits.maxOpen", 0, kMaxCount, 0));
  out.terms.overShareWorth = settings.number("overShareWorth", 0, 1, 1);
  for (const auto& realm : settings.objects("realms"))
    out.terms.contracts.push_back(
        {realm.text("name"), realm.number("share", 0, 1, 0), realm.number("quotaPerS", 0, 1e9, 0)});
  for (const auto& c : out.terms.settings.classes)
    out.terms.maxDeadline = std::max(out.terms.maxDeadline, kMaxDeadlineFactor * c.deadline);
  out.zones = settings.texts("localities");
  out.pushed = settings.text("discovery", "on_request") == "pushed";
  out.streamsPerConnection =
      static_cast<std::size_t>(settings.integer("limits.streamsPerConn", 1, kMaxCount, 1));
  out.connectTimeout = settings.integer("limits.connectTimeoutNs", 1, kMaxDurationNs, kSecond / 4);
  out.connectionIdleTimeout = duration(settings, "limits.connIdleNs", 30 * kSecond);
  return out;
}

std::vector<std::string> resetKeysThatNeedRestart(const PlatformConfig& running, PlatformConfig& fresh) {
  std::vector<std::string> keys;
  const auto keep = [&](const char* key, const auto& runningValue, auto& freshValue) {
    if (runningValue == freshValue) return;
    freshValue = runningValue;
    keys.emplace_back(key);
  };
  keep("name", running.name, fresh.name);
  keep("listen", running.listen, fresh.listen);
  keep("ops", running.ops, fresh.ops);
  keep("settings.localities", running.zones, fresh.zones);
  keep("settings.discovery", running.pushed, fresh.pushed);
  const auto tenantNames = [](const PlatformConfig& config) {
    std::vector<std::string> out;
    for (const auto& contract : config.terms.contracts) out.push_back(contract.tenant);
    return out;
  };
  if (tenantNames(running) != tenantNames(fresh)) {
    fresh.terms.contracts = running.terms.contracts;
    keys.emplace_back("settings.realms.name");
  }
  // Every file has another seed, which is meant for process starts only.
  fresh.terms.settings.seed = running.terms.settings.seed;
  // The decision module is constructed from these settings. Rebuilding it would lose what it has learned
  // about the servers.
  keep("settings (of the decisions)", running.terms.settings, fresh.terms.settings);
  fresh.terms.maxDeadline = running.terms.maxDeadline;
  return keys;
}

}  // namespace topazweir::config
