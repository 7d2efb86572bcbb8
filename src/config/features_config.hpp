// The file that switches the OGC front on: read, checked and given defaults here.
#pragma once

#include "config/config.hpp"
#include "config/reader.hpp"

namespace topazweir::config {

struct FeatureCollection {
  std::string id, title, description;
};

struct FeatureServer {
  std::string address;  // address:port
  ServerState state = ServerState::up;
};

struct BranchGroup {
  std::string name;
  std::vector<FeatureServer> servers;  // any of them can answer for the group
};

struct Features {
  std::string listen;
  std::string title;
  std::vector<FeatureCollection> collections;
  std::vector<BranchGroup> groups;
  Nanos deadline = 0;
  std::size_t pageLimit = 0;  // features asked of a feature server at a time
  Nanos connectTimeout = 0;
  std::size_t sockets = 0;
  broker::Terms terms;  // class 0: searches; class 1: a single feature, which needs every group

  static constexpr int kSearch = 0, kLookup = 1;
};

// `platform`: whose rules and seed are kept. Throws ConfigError.
Features readFeatures(std::string_view json, const Config& platform);
Features readFeatures(const Reader& json, const Config& platform);

// The platform's rules and limits, for servers of our own files: each holds its shards whole, and tells
// nothing of its starts.
Settings settingsFor(const Settings& rules, int shards);

// The key "state" of a server: ready, draining or gone.
ServerState readState(const Reader& json);

}  // namespace topazweir::config
