// Shared setup of the measurements with hollow members: a directory for the voters' state, options of the
// members, and a quantile function.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/scale/claims.hpp"
#include "lab/scale/hollow_fleet.hpp"
#include "lab/scale/socket_runs.hpp"

namespace topazweir::lab::scale {

inline constexpr int kVoters = 3;

// A temporary directory for the voters' persistent state; removed on destruction.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    static int count = 0;
    path_ =
        std::filesystem::temp_directory_path() / fmt::format("topazweir-scale-{}-{}", ::getpid(), ++count);
    std::filesystem::create_directories(path_);
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// Mean number of children of a dedicated relay; 0 without dedicated relays.
inline double childrenPerRelay(const RunOptions& options, int members) {
  return options.relays == 0 ? 0 : static_cast<double>(members - kVoters - options.relays) / options.relays;
}

inline HollowOptions hollowOptions(const RunOptions& options, int members, double periodSeconds,
                                   const TemporaryDirectory& directory) {
  HollowOptions out;
  out.fleetSize = members;
  out.voters = kVoters;
  out.keys = options.keys;
  out.period = static_cast<Nanos>(periodSeconds * 1e9);
  out.stateDirectory = directory.path();
  // Ports below the ephemeral range; derived from the process id so that concurrent runs do not collide.
  static int fleets = 0;
  out.port = (options.port > 0 ? options.port : 17'000 + ::getpid() % 1000 * 10) + fleets++ % 5;
  out.relays = options.relays;
  out.changeBytesPerSecond =
      static_cast<std::size_t>(options.bytesPerChild * childrenPerRelay(options, members));
  return out;
}

inline double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

}  // namespace topazweir::lab::scale
