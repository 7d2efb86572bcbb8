// The platform's, the features front's and the SNMP agent's configuration: defaults, and errors that name the
// faulty key.
#include <string>

#include "check.hpp"
#include "config/features_config.hpp"
#include "config/snmp_config.hpp"

namespace topazweir::test {
namespace {

const std::string kPlatformJson =
    R"({"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","limits":{"sockets":512},)"
    R"("settings":{"familyInfo":{"slabs":24,"sets":12,"reach":3,"minShare":[0.8]},"limits":{"maxAttempts":4},)"
    R"("realms":[{"name":"coast","share":0.27,"quotaPerS":2}],)"
    R"("profiles":[{"name":"wide","aimNs":3000000000,"deadlineNs":6000000000}]}})";

const std::string kFeaturesJson =
    R"({"listen":"127.0.0.1:82","collections":[{"id":"branches"}],"deadlineMs":1000,)"
    R"("groups":[{"name":"g","servers":[{"address":"127.0.0.1:90","state":"draining"}]}]})";

// Replaces the first occurrence of `from`, which must exist.
std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto position = text.find(from);
  CHECK(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

// The message of the ConfigError that `read` throws, or "none".
template <class Read>
std::string errorOf(Read read) {
  try {
    read();
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "none";
}

void memoryLimit() {
  const auto withLimit = [](const std::string& limits) {
    return config::read(replaced(kPlatformJson, R"("sockets":512)", limits));
  };
  CHECK(config::bufferLimit(withLimit(R"("memory_mb":32)")) == 6'400'000);
  CHECK(withLimit(R"("sockets":512)").memoryMb == 192);
  CHECK(errorOf([&] { withLimit(R"("memory_mb":0)"); }).find("limits.memory_mb") != std::string::npos);
}

void platformConfiguration() {
  const auto config = config::read(kPlatformJson);
  CHECK(config.sockets == 512 && config.terms.settings.seed == 0x8c1f30d27a5be964ULL);
  CHECK(config.terms.settings.classes[0].floor == 0.8 && config.terms.settings.classes[0].need == 1);
  CHECK(config.terms.contracts[0].quotaPerS == 2 && config.connectTimeout == 250'000'000);
  // A window of one day for repeats by key, no zones, no tenants, and pushed server lists.
  const auto other = config::read(
      replaced(replaced(kPlatformJson, R"("realms":[{"name":"coast","share":0.27,"quotaPerS":2}],)",
                        R"("discovery":"pushed",)"),
               R"("name":"wide")", R"("name":"x","semantics":"by_key","windowNs":86400000000000)"));
  CHECK(other.terms.settings.classes[0].keyedWindow == 86'400'000'000'000 && other.terms.contracts.empty());
  CHECK(other.pushed && !config.pushed && other.zones.empty());
  const struct {
    std::string from;
    std::string to;
    std::string message;  // how the error starts
  } faults[] = {
      {R"("listen":"127.0.0.1:80",)", "", "key listen: missing"},
      {"127.0.0.1:80", "host:80", "key listen: "},
      {"127.0.0.1:81", "127.0.0.1:99999", "key discovery: "},
      {"8c1f30d27a5be964", "xyz", "key seed: "},
      {R"("sockets":512)", R"("sockets":"many")", "key limits.sockets: not a whole number"},
      {R"("slabs":24)", R"("slabs":0)", "key settings.familyInfo.slabs: "},
      {R"("settings":{)", R"("settings":{"balancers":0,)", "key settings.balancers: "},
      {R"("settings":{)", R"("settings":{"balancers":"all",)", "key settings.balancers: "},
      {R"("settings":{)", R"("settings":{"selfIndex":-1,)", "key settings.selfIndex: "},
      {R"("maxAttempts":4)", R"("maxAttempts":0)", "key settings.limits.maxAttempts: "},
      {R"("share":0.27)", R"("share":7)", "key settings.realms.0.share: "},
      {R"("aimNs":3000000000,)", "", "key settings.profiles.0.aimNs: missing"},
      {R"("name":"wide")", R"("name":"wide","semantics":"odd")", "key settings.profiles.0.semantics: "},
      {"[0.8]", "[7]", "key settings.: "},
      {R"("settings":)", R"("other":)", "key settings: "},
  };
  for (const auto& f : faults) {
    const auto message = errorOf([&] { config::read(replaced(kPlatformJson, f.from, f.to)); });
    if (message.rfind(f.message, 0) != 0) std::fprintf(stderr, "%s\n", message.c_str());
    CHECK(message.rfind(f.message, 0) == 0);
  }
  // Truncated at any place, the text is rejected.
  for (std::size_t cut = 0; cut < kPlatformJson.size(); ++cut)
    CHECK(errorOf([&] { config::read(kPlatformJson.substr(0, cut)); }) != "none");
}

void featuresConfiguration() {
  const auto platform = config::read(kPlatformJson);
  const auto read = [&](const std::string& text) { return config::readFeatures(text, platform); };
  const auto config = read(kFeaturesJson);
  CHECK(config.terms.settings.shards == 1 && config.terms.settings.classes.size() == 2);
  CHECK(config.groups[0].servers[0].state == ServerState::draining && config.deadline == 1'000'000'000);
  const auto messageOf = [&](const std::string& from, const std::string& to) {
    return errorOf([&] { read(replaced(kFeaturesJson, from, to)); });
  };
  CHECK(messageOf("branches", "a/b").rfind("key features.collections.0.id: ", 0) == 0);
  CHECK(messageOf("127.0.0.1:90", "x").rfind("key features.groups.0.servers.0.address: ", 0) == 0);
  CHECK(messageOf("draining", "odd").rfind("key features.groups.0.servers.0.state: ", 0) == 0);
  CHECK(messageOf("1000", "0").rfind("key features.deadlineMs: ", 0) == 0);
  CHECK(messageOf("groups", "other").rfind("key features.groups: ", 0) == 0);
}

void snmpConfiguration() {
  CHECK(config::readSnmp("{}").listen == "127.0.0.1:1161");
  CHECK(errorOf([] { config::readSnmp(R"({"listen":"10.0.0.1:161"})"); }).rfind("key snmp.listen: ", 0) == 0);
  CHECK(errorOf([] { config::readSnmp(R"({"community":"a b"})"); }).rfind("key snmp.community: ", 0) == 0);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::memoryLimit();
  topazweir::test::platformConfiguration();
  topazweir::test::featuresConfiguration();
  topazweir::test::snmpConfiguration();
}
