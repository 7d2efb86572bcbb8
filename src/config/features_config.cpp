// Reading of the OGC front's configuration.
#include "config/features_config.hpp"

#include <algorithm>
#include <set>

#include "config/reader.hpp"

namespace topazweir::config {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr double kLateWorth = 0.3;     // share of the worth that an answer keeps after its aim
constexpr double kPartialWorth = 0.8;  // worth of a partial answer, by its share of the groups

FeatureServer readServer(const Reader& reader) {
  FeatureServer server{reader.address("address"), ServerState::up};
  server.state = readServerState(reader);
  return server;
}

// Whether `id` can stand in a URL path without percent-encoding.
bool isPathSegment(std::string_view id) {
  return !id.empty() && std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || c == '-' ||
           c == '_' || c == '.';
  });
}

}  // namespace

ServerState readServerState(const Reader& reader) {
  return static_cast<ServerState>(reader.choice("state", {"ready", "draining", "gone"}, 0));
}

Settings settingsForStaticServers(const Settings& platformSettings, int shards) {
  Settings s = platformSettings;
  s.shards = shards;
  s.cells = shards;
  s.reach = 1;
  s.partsPerCall = 1;
  s.callOverhead = 0;
  s.warmUpTime = 0;
  s.overloadWindow = 0;
  s.overloadMultiple = 0;
  s.retryAfter = true;
  return s;
}

FeaturesConfig readFeatures(std::string_view text, const PlatformConfig& platform) {
  const Node root = readJson(text);
  return readFeatures(Reader(root, "features."), platform);
}

FeaturesConfig readFeatures(const Reader& reader, const PlatformConfig& platform) {
  FeaturesConfig out;
  out.listen = reader.address("listen");
  out.title = reader.text("title", "Branch locations");
  out.deadline = reader.integer("deadlineMs", 10, 600'000, 2000) * kMs;
  out.pageLimit = static_cast<std::size_t>(reader.integer("pageLimit", 1, 10'000, 1000));
  out.connectTimeout = reader.integer("connectTimeoutMs", 1, 60'000, 250) * kMs;
  out.maxSockets = static_cast<std::size_t>(reader.integer("sockets", 16, 100'000, 200));
  std::set<std::string> ids;
  for (const auto& c : reader.objects("collections")) {
    const auto id = c.text("id");
    if (!isPathSegment(id)) c.fail("id", "not made of letters, digits, '-', '_' and '.'");
    if (!ids.insert(id).second) c.fail("id", "duplicate collection id");
    out.collections.push_back({id, c.text("title", id), c.text("description", "")});
  }
  if (out.collections.empty()) reader.fail("collections", "missing or empty");
  for (const auto& g : reader.objects("groups")) {
    BranchGroup group{g.text("name"), {}};
    for (const auto& server : g.objects("servers")) group.servers.push_back(readServer(server));
    if (group.servers.empty()) g.fail("servers", "missing or empty");
    out.groups.push_back(std::move(group));
  }
  if (out.groups.empty()) reader.fail("groups", "missing or empty");

  Settings& s = out.terms.settings;
  s = settingsForStaticServers(platform.terms.settings, static_cast<int>(out.groups.size()));
  s.maxAttempts = static_cast<int>(reader.integer("maxAttempts", 1, 4, std::min(4, s.maxAttempts)));
  QueryClass search;
  search.name = reader.text("class", "feature-search");
  search.aim = reader.integer("aimMs", 1, out.deadline / kMs, out.deadline / kMs / 2) * kMs;
  search.deadline = out.deadline;
  search.lateWorth = kLateWorth;
  search.floor = reader.number("partialFrom", 0, 1, 1);
  search.partialWorth = kPartialWorth;
  QueryClass lookup = search;
  lookup.name += "-item";
  lookup.floor = 1;
  s.classes = {search, lookup};
  out.terms.maxOpen = static_cast<std::size_t>(reader.integer("maxOpen", 1, 1'000'000, 400));
  out.terms.maxDeadline = out.deadline;
  return out;
}

}  // namespace topazweir::config
