// The platform's configuration: the JSON file that NODE_CONFIG or --config names. All reading, checking and
// defaulting of configuration is done in this folder; errors name the faulty key.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "broker/contract.hpp"
#include "config/tree.hpp"

namespace topazweir::config {

// The platform's settings, checked, with defaults filled in. Durations are nanoseconds.
struct PlatformConfig {
  std::string name;            // of this process, in log lines
  std::string listen;          // address:port for clients
  std::string discovery;       // address:port of the discovery service
  std::string ops;             // address:port for operators' calls; empty: not served
  std::size_t sockets = 1024;  // limit on the file descriptors that the process may hold
  double memoryMb = 192;       // limit on its memory, in megabytes
  broker::Terms terms;
  std::vector<std::string> zones;  // zone names; the index is the zone's number
  // Discovery is a local agent that server lists are pushed to and that answers at once. Otherwise one
  // discovery service is asked by all aggregators.
  bool pushed = false;
  std::size_t streamsPerConnection = 1;
  Nanos connectTimeout = 0;
  Nanos connectionIdleTimeout = 0;  // idle timeout of connections to nodes
  std::optional<int> listener;      // listening socket inherited from the platform, as a file descriptor
  std::string known;                // last known node list, as JSON in discovery's format; empty: none
};

// Parses the platform's JSON configuration. Throws ConfigError.
PlatformConfig read(std::string_view json);

// Returns the keys whose values differ between `running` and `fresh` and take effect only after a restart.
// In `fresh` these are reset to the running values, so that the rest of it can be applied.
std::vector<std::string> resetKeysThatNeedRestart(const PlatformConfig& running, PlatformConfig& fresh);

// The bytes that a process with this much memory may buffer for its connections and open requests: a fifth.
// The rest is for the program itself, its tables and what the allocator cannot reuse.
std::size_t bufferLimit(const PlatformConfig& config);
// limits.memory_mb in bytes.
std::size_t memoryLimit(const PlatformConfig& config);

// Returns the whole content of a file. Throws ConfigError if it cannot be read.
std::string readFile(const std::string& path);

}  // namespace topazweir::config
