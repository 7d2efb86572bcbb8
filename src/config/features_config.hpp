// Configuration of the OGC API - Features front: a JSON file of its own (--features) or the block `features`
// of the operator file.
#pragma once

#include "config/config.hpp"
#include "config/reader.hpp"

namespace topazweir::config {

struct FeatureCollection {
  std::string id;  // path segment of the collection's URL
  std::string title;
  std::string description;
};

struct FeatureServer {
  std::string address;  // address:port
  ServerState state = ServerState::up;
};

// Replicas that hold the same features; each group is one shard.
struct BranchGroup {
  std::string name;
  std::vector<FeatureServer> servers;  // any of them can answer for the group
};

struct FeaturesConfig {
  static constexpr int kSearchClass = 0;  // class index in `terms`: a page of features
  static constexpr int kLookupClass = 1;  // class index in `terms`: a single feature; needs every group

  std::string listen;  // address:port
  std::string title;   // of the landing page and the API definition
  std::vector<FeatureCollection> collections;
  std::vector<BranchGroup> groups;
  Nanos deadline = 0;
  std::size_t pageLimit = 0;  // features requested from a feature server per page
  Nanos connectTimeout = 0;
  std::size_t maxSockets = 0;  // limit on sockets; one half is for clients, the other for feature servers
  broker::Terms terms;         // with the two classes kSearchClass and kLookupClass
};

// Reads the front's configuration. Decision settings and the seed are taken from `platform`. Throws
// ConfigError.
FeaturesConfig readFeatures(std::string_view json, const PlatformConfig& platform);
FeaturesConfig readFeatures(const Reader& reader, const PlatformConfig& platform);

// Returns `platformSettings` adapted to statically configured servers: one cell per shard, one part per call,
// and no cold starts, since such servers do not announce when they started.
Settings settingsForStaticServers(const Settings& platformSettings, int shards);

// Reads a server's key "state": ready (the default), draining or gone. Throws ConfigError.
ServerState readServerState(const Reader& reader);

}  // namespace topazweir::config
