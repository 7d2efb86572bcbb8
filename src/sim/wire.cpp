#include "wire.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <ostream>

namespace topazweir::wire {

namespace {

// Parses the whole of `text`; `name` is the field for the error message.
template <class Number>
Number parse(std::string_view name, std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw WireError("field " + std::string(name) + ": not a number: '" + std::string(text.substr(0, 40)) +
                    "'");
  return value;
}

// An empty text has no items; a separator at the end adds none.
std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> items;
  while (!text.empty()) {
    const auto at = text.find(separator);
    items.push_back(text.substr(0, at));
    if (at == std::string_view::npos) break;
    text.remove_prefix(at + 1);
  }
  return items;
}

// Item `index` of a comma-separated list of numbers, or `absent` if the list is shorter.
double numberFromList(const Fields& info, std::string_view name, std::size_t index, double absent) {
  const auto items = split(info.text(name, ""), ',');
  return index < items.size() ? parse<double>(name, items[index]) : absent;
}

Outcome parseOutcome(std::string_view word) {
  static constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
      {"delivered", Outcome::delivered},
      {"app_error", Outcome::error},
      {"shed", Outcome::rejected},
      {"expired", Outcome::timedOut},
      {"dial_failed", Outcome::connectFailed},
      {"dropped", Outcome::reset},
      {"revoked", Outcome::cancelled},
      {"unused", Outcome::notSent}};
  for (const auto& [name, outcome] : kOutcomes)
    if (name == word) return outcome;
  throw WireError("field status: unknown outcome '" + std::string(word) + "'");
}

constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// Base64 with padding; "-" stands for an empty text.
std::string encodeBase64(std::string_view bytes) {
  if (bytes.empty()) return "-";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const auto groupBytes = std::min<std::size_t>(3, bytes.size() - i);
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (k < groupBytes ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += k <= groupBytes ? kBase64Alphabet[group >> (18 - 6 * k) & 63U] : '=';
  }
  return text;
}

// The reverse of encodeBase64; `name` is the field for the error message.
std::string decodeBase64(std::string_view name, std::string_view text) {
  if (text == "-") return {};
  const auto error = [&] { return WireError("field " + std::string(name) + ": not base64"); };
  if (text.size() % 4 != 0) throw error();
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); i += 4) {
    unsigned group = 0;
    std::size_t padding = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const auto digit = kBase64Alphabet.find(text[i + k]);
      const bool isPadding = k >= 2 && i + 4 == text.size() && text[i + k] == '=';
      if (digit == std::string_view::npos && !isPadding) throw error();
      if (digit != std::string_view::npos && padding > 0) throw error();
      padding += isPadding ? 1 : 0;
      group = group << 6 | (isPadding ? 0U : static_cast<unsigned>(digit));
    }
    for (std::size_t k = 0; k < 3 - padding; ++k) bytes += static_cast<char>(group >> (16 - 8 * k) & 255U);
  }
  return bytes;
}

}  // namespace

Fields::Fields(std::string_view rest) {
  while (!rest.empty()) {
    const auto end = std::min(rest.find(' '), rest.size());
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos) {
      pairs_.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
    } else if (!pair.empty()) {
      throw WireError("field without '=': '" + std::string(pair.substr(0, 40)) + "'");
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
}

const std::string_view* Fields::find(std::string_view name) const {
  for (const auto& [key, value] : pairs_)
    if (key == name) return &value;
  return nullptr;
}

bool Fields::has(std::string_view name) const { return find(name) != nullptr; }

std::string_view Fields::text(std::string_view name) const {
  const auto* value = find(name);
  if (!value) throw WireError("field " + std::string(name) + ": missing");
  return *value;
}

std::string_view Fields::text(std::string_view name, std::string_view absent) const {
  const auto* value = find(name);
  return value ? *value : absent;
}

std::int64_t Fields::integer(std::string_view name) const { return parse<std::int64_t>(name, text(name)); }

std::int64_t Fields::integer(std::string_view name, std::int64_t absent) const {
  return has(name) ? integer(name) : absent;
}

double Fields::number(std::string_view name, double absent) const {
  return has(name) ? parse<double>(name, text(name)) : absent;
}

bool Fields::flag(std::string_view name, bool absent) const {
  if (!has(name)) return absent;
  const auto word = text(name);
  if (word == "1" || word == "true") return true;
  if (word == "0" || word == "false") return false;
  throw WireError("field " + std::string(name) + ": not a boolean: '" + std::string(word.substr(0, 40)) +
                  "'");
}

Settings readSettings(const Fields& info) {
  Settings settings;
  settings.seed = static_cast<std::uint64_t>(info.integer("randomSeed", 0));
  settings.zone = static_cast<int>(info.integer("az", 0));
  settings.aggregators = static_cast<int>(info.integer("balancers", 1));
  settings.number = static_cast<int>(info.integer("selfIndex", 0));
  settings.tick = info.integer("tickNs", 0);
  settings.shards = static_cast<int>(info.integer("familyInfo.slabs", 0));
  settings.cells = static_cast<int>(info.integer("familyInfo.sets", 1));
  settings.reach = static_cast<int>(info.integer("familyInfo.reach", 1));
  settings.partsPerCall = static_cast<int>(info.integer("familyInfo.partsACall", 1));
  settings.callOverhead = info.integer("familyInfo.overheadNs", 0);
  settings.maxAttempts = static_cast<int>(info.integer("limits.maxAttempts", 1));
  settings.hedging = info.flag("limits.secondCopies", false);
  settings.cancelling = info.flag("limits.cancelling", false);
  settings.messages = info.flag("limits.mayTell", false);
  settings.retriesMarked = info.flag("clients.marksRetry", true);
  settings.retryAfter = info.flag("limits.retryAfter", false);
  settings.maxRetryAfter = info.integer("limits.maxRetryAfterNs", 0);
  settings.answerSlack = info.integer("guarantees.graceToAnswerNs", 0);
  settings.listOnRequest = info.text("discovery", "pushed") == "on_request";
  settings.listRequestInterval = info.integer("guarantees.askWithinNs", 0);
  settings.coldCapacityShare = info.number("guarantees.coldFrom", 1);
  settings.warmUpTime = info.integer("guarantees.coldNs", 0);
  settings.overloadMultiple = info.number("guarantees.tipMultiple", 0);
  settings.overloadWindow = info.integer("guarantees.overloadForNs", 0);
  settings.drainGrace = info.integer("guarantees.drainGraceNs", 0);
  settings.wastePrice = info.number("tariffs.waste", 0);
  settings.lateFailPrice = info.number("tariffs.lateFail", 0);
  settings.crossZonePrice = info.number("tariffs.crossZone", 0);
  if (info.has("guarantees.countedOverNs")) {
    settings.budget =
        RetryBudget{info.integer("guarantees.countedOverNs"), info.number("guarantees.minExtra", 0),
                    info.number("guarantees.extraRatio", 0)};
  }
  static constexpr std::int64_t kMaxClasses = 1000;
  const auto count = info.integer("profiles.count", 0);
  for (std::int64_t i = 0; i < count && i < kMaxClasses; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const std::string path = "profiles." + std::to_string(i) + ".";
    QueryClass queryClass;
    queryClass.name = info.text(path + "name", "");
    queryClass.aim = info.integer(path + "aimNs", 0);
    queryClass.deadline = info.integer(path + "deadlineNs", 0);
    queryClass.worth = info.number(path + "value", 1);
    queryClass.lateWorth = info.number(path + "lateWorth", 0);
    const auto effect = info.text(path + "semantics", "repeatable");
    if (effect == "by_key") {
      queryClass.effect = Effect::keyed;
    } else if (effect != "repeatable") {
      queryClass.effect = Effect::unsafe;
    }
    queryClass.keyedWindow = info.integer(path + "windowNs", 0);
    queryClass.need = numberFromList(info, "familyInfo.needByClass", index, 1);
    queryClass.floor = numberFromList(info, "familyInfo.minShare", index, 1);
    queryClass.partialWorth = numberFromList(info, "familyInfo.classPartial", index, 0);
    queryClass.secondStepParts = static_cast<int>(numberFromList(info, "familyInfo.fetchParts", index, 0));
    settings.classes.push_back(std::move(queryClass));
  }
  return settings;
}

void Host::run(std::istream& in, std::ostream& out) {
  std::string line;
  while (std::getline(in, line)) {
    ++lineNumber_;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    try {
      handleLine(line, in, out);
    } catch (const WireError& error) {
      throw WireError("line " + std::to_string(lineNumber_) + ": " + error.what());
    }
  }
  if (inBatch_) throw WireError("line " + std::to_string(lineNumber_) + ": input ends within a batch");
}

void Host::handleLine(std::string_view line, std::istream& in, std::ostream& out) {
  if (line.empty()) return;
  const auto end = line.find(' ');
  const auto kind = line.substr(0, end);
  const auto rest = end == std::string_view::npos ? std::string_view{} : line.substr(end + 1);
  if (kind == "your_turn") {
    if (!inBatch_) throw WireError("your_turn outside a batch");
    finishBatch(out);
    return;
  }
  static constexpr std::string_view kKnownKinds[] = {
      "batch", "up", "teardown", "list", "view", "job_in", "response", "expired", "alarm", "echo", "heard"};
  if (std::find(std::begin(kKnownKinds), std::end(kKnownKinds), kind) == std::end(kKnownKinds)) {
    if (!inBatch_) throw WireError("'" + std::string(kind.substr(0, 40)) + "' outside a batch");
    return;  // an event that is not meant for aggregators, or of a later protocol version
  }
  const Fields fields(rest);
  if (kind == "batch") {
    if (inBatch_) throw WireError("batch within a batch");
    const auto time = fields.integer("tsNs");
    if (time < now_) throw WireError("field tsNs: the clock went backwards");
    now_ = time;
    inBatch_ = true;
    return;
  }
  if (!inBatch_) throw WireError("'" + std::string(kind) + "' outside a batch");
  if (kind == "list") return readServerList(fields, in);
  if (kind == "up") return startInstance(fields);
  const auto who = fields.integer("who");
  if (kind == "teardown") {
    instances_.erase(who);
    pending_.erase(std::remove(pending_.begin(), pending_.end(), who), pending_.end());
    return;
  }
  queueEvent(kind, fields);
}

void Host::startInstance(const Fields& fields) {
  const auto who = fields.integer("who");
  Instance instance;
  Settings settings = readSettings(fields);
  if (const auto fault = findFault(settings)) {
    instance.fault = *fault;
  } else {
    instance.aggregator = std::make_unique<Aggregator>(std::move(settings));
  }
  instances_[who] = std::move(instance);
  pending_.erase(std::remove(pending_.begin(), pending_.end(), who), pending_.end());
  pending_.push_back(who);
}

void Host::readServerList(const Fields& fields, std::istream& in) {
  std::vector<ServerEntry> entries;
  static constexpr std::string_view kEntryPrefix = "m ";
  const auto count = fields.integer("elements", 0);
  if (count < 0) throw WireError("field elements: negative");
  std::string line;
  for (std::int64_t i = 0; i < count; ++i) {
    if (!std::getline(in, line)) throw WireError("field elements: input ends within the list");
    ++lineNumber_;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.rfind(kEntryPrefix, 0) != 0) throw WireError("field elements: fewer 'm' lines than declared");
    const Fields entry(std::string_view(line).substr(kEntryPrefix.size()));
    ServerEntry server;
    server.server = parse<ServerId>("leaf", entry.text("leaf"));
    server.zone = static_cast<int>(entry.integer("rackZone", 0));
    server.cell = static_cast<int>(entry.integer("slotNo", 0));
    const auto state = entry.text("readiness", "U");
    if (state != "U" && state != "L" && state != "D")
      throw WireError("field readiness: unknown state '" + std::string(state.substr(0, 40)) + "'");
    server.state = state == "U" ? ServerState::up : state == "L" ? ServerState::draining : ServerState::gone;
    server.capacity = entry.number("capacityHint", 1);
    server.startedAt = entry.integer("upSinceNs", 0);
    entries.push_back(server);
  }
  serverLists_[fields.integer("list")] = std::move(entries);
}

void Host::queueEvent(std::string_view kind, const Fields& fields) {
  const auto who = fields.integer("who");
  const auto found = instances_.find(who);
  if (found == instances_.end()) throw WireError("field who: no such instance: " + std::to_string(who));
  auto& instance = found->second;
  if (std::find(pending_.begin(), pending_.end(), who) == pending_.end()) pending_.push_back(who);
  if (kind == "view") {
    ServerListUpdate update;
    const auto scope = fields.text("scope");
    if (scope == "X") {
      update.scope = ServerListUpdate::Scope::failed;
    } else {
      if (scope != "D" && scope != "F" && scope != "C")
        throw WireError("field scope: unknown scope '" + std::string(scope.substr(0, 40)) + "'");
      update.scope = scope == "D"   ? ServerListUpdate::Scope::changes
                     : scope == "F" ? ServerListUpdate::Scope::full
                                    : ServerListUpdate::Scope::initial;
      const auto list = serverLists_.find(fields.integer("list"));
      if (list == serverLists_.end()) throw WireError("field list: no such list");
      update.entries = list->second;
    }
    instance.events.emplace_back(std::move(update));
  } else if (kind == "job_in") {
    static constexpr std::int64_t kRepeatOption = 2;  // bit of `options`: the client repeats an earlier query
    const auto shard = fields.number("rangeNo", -1);
    const auto number = static_cast<QueryNo>(fields.number("wholeNo", -1));
    if (shard < 0) {  // without a shard the line is the query itself, with one it is a part of it
      QueryArrived query;
      query.id = fields.text("id");
      query.number = number;
      query.queryClass = static_cast<int>(fields.integer("class", 0));
      query.timeLeft = fields.integer("leftNs");
      query.parts = static_cast<int>(fields.number("sizeOrWeight", 0));
      query.repeat = (fields.integer("options", 0) & kRepeatOption) != 0;
      instance.events.emplace_back(std::move(query));
    } else {
      instance.events.emplace_back(PartArrived{std::string(fields.text("id")), number,
                                               static_cast<int>(shard), fields.number("sizeOrWeight", 0)});
    }
  } else if (kind == "response") {
    AttemptEnded ended;
    ended.part = fields.text("id");
    ended.attempt = static_cast<int>(fields.integer("roundNo", 0));
    ended.server = parse<ServerId>("leaf", fields.text("leaf"));
    ended.outcome = parseOutcome(fields.text("status"));
    ended.delay = fields.integer("lagNs", 0);
    instance.events.emplace_back(std::move(ended));
  } else if (kind == "expired") {
    instance.events.emplace_back(QueryExpired{std::string(fields.text("id"))});
  } else if (kind == "alarm") {
    instance.events.emplace_back(TimerFired{fields.integer("keyBack")});
  } else if (kind == "heard") {
    instance.events.emplace_back(
        PeerMessage{static_cast<int>(fields.integer("by")), decodeBase64("msg", fields.text("msg"))});
  }
}

namespace {

// Writes one action of instance `who` as one line.
struct ActionWriter {
  std::ostream& out;
  std::int64_t who;

  std::ostream& startLine(std::string_view kind) const { return out << kind << " who=" << who; }
  void operator()(const Send& a) const {
    startLine("send") << " id=" << a.part << " leaf=" << a.server;
    if (a.timeout > 0) out << " tryForNs=" << a.timeout;
    out << '\n';
  }
  void operator()(const Cancel& a) const {
    startLine("revoke") << " id=" << a.part << " roundNo=" << a.attempt << '\n';
  }
  void operator()(const Answer& a) const {
    startLine("wrap_up") << " id=" << a.query << " entire=" << (a.whole ? 1 : 0) << '\n';
  }
  void operator()(const Refuse& a) const {
    startLine("reject") << " id=" << a.query;
    if (a.retryAfter > 0) out << " stayAwayNs=" << a.retryAfter;
    out << '\n';
  }
  void operator()(const Fail& a) const { startLine("give_up") << " id=" << a.query << '\n'; }
  void operator()(const SetTimer& a) const {
    startLine("timer") << " keyBack=" << a.token << " waitNs=" << a.wait << '\n';
  }
  void operator()(const SendToPeers& a) const {
    startLine("share") << " target=" << (a.peer ? std::to_string(*a.peer) : "all")
                       << " msg=" << encodeBase64(a.bytes) << '\n';
  }
  void operator()(const Subscribe& a) const {
    startLine("keep_informed") << " entire=" << (a.on ? 1 : 0) << '\n';
  }
  void operator()(const FetchList&) const { startLine("query_all") << '\n'; }
  void operator()(const Log& a) const { startLine("print") << " msg=" << a.text << '\n'; }
};

}  // namespace

void Host::handleEvents(std::int64_t who, std::ostream& out) {
  auto& instance = instances_.at(who);
  const auto events = std::move(instance.events);
  instance.events.clear();
  if (!instance.fault.empty()) {
    out << "broken who=" << who << " msg=" << instance.fault << '\n';
    return;
  }
  for (const auto& action : instance.aggregator->handle(now_, events))
    std::visit(ActionWriter{out, who}, action);
}

void Host::finishBatch(std::ostream& out) {
  for (const auto who : pending_) handleEvents(who, out);
  pending_.clear();
  inBatch_ = false;
  out << "end\n" << std::flush;
}

}  // namespace topazweir::wire
