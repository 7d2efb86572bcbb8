// The one place where configuration is read, checked and given defaults. Errors name the faulty key.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "broker/contract.hpp"
#include "config/tree.hpp"

namespace topazweir::config {

struct Config {
  std::string name;
  std::string listen, discovery;  // address:port
  std::string ops;                // the same, for operators' calls; empty: none are taken
  std::size_t sockets = 1024;     // descriptors that the process may hold
  broker::Terms terms;
  std::vector<std::string> zones;
  bool pushed =
      false;  // lists come to an agent beside the program, which answers at once; else one service is asked
  std::size_t streamsPerConnection = 1;
  Nanos connectTimeout = 0, connectionIdle = 0;
  std::optional<int> listener;  // descriptor of the clients' listening socket, where the platform holds it
  std::string known;            // the list of nodes as last known, in discovery's form; empty: none
};

// The platform's configuration. Throws ConfigError.
Config read(std::string_view json);

// The keys in which a fresh configuration differs from the running one and that only a restart applies; as
// the rest of `fresh` is applied, they are set back in it to what is running.
std::vector<std::string> keepUntilRestart(const Config& running, Config& fresh);

std::string readFile(const std::string& path);

}  // namespace topazweir::config
