// What the runs of hollow fleets begin with: a folder for the voters, members' options, and small figures.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/scale/herd.hpp"
#include "lab/scale/report.hpp"
#include "lab/scale/socket_runs.hpp"

namespace topazweir::lab::scale {

inline constexpr int kVoters = 3;

// A folder for the voters' words, away with the run.
class Folder {
 public:
  Folder() {
    static int count = 0;
    path_ =
        std::filesystem::temp_directory_path() / fmt::format("topazweir-scale-{}-{}", ::getpid(), ++count);
    std::filesystem::create_directories(path_);
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// Of a relay set aside, in the mean.
inline double childrenOf(const RunOptions& options, int members) {
  return options.relays == 0 ? 0 : static_cast<double>(members - kVoters - options.relays) / options.relays;
}

inline HollowOptions hollowOf(const RunOptions& options, int members, double period, const Folder& folder) {
  HollowOptions out;
  out.members = members, out.voters = kVoters, out.keys = options.keys;
  out.period = static_cast<Nanos>(period * 1e9);
  out.state = folder.path();
  // Below the ports that the machine gives out itself; runs side by side have different ones.
  static int fleets = 0;
  out.port = (options.port > 0 ? options.port : 17'000 + ::getpid() % 1000 * 10) + fleets++ % 5;
  out.relays = options.relays;
  out.changeBytesPerS = static_cast<std::size_t>(options.bytesAChild * childrenOf(options, members));
  return out;
}

inline double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

}  // namespace topazweir::lab::scale
