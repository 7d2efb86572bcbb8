// Measurements of fleets of hollow members through fleet-wide events: a region that is isolated by a network
// partition, and a simultaneous start of all members.
#pragma once

#include "lab/scale/socket_runs.hpp"

namespace topazweir::lab::scale {

struct CutOptions {
  int members = 250;
  int keys = 300;  // of the register
  int region = 1;  // the region to isolate
  int membersPerProcess = 25;
  double periodSeconds = 1;  // between two probes of a member
  double cutSeconds = 60;    // duration of the partition
  int changes = 60;          // of the register, proposed during the run
  double changeIntervalSeconds = 1;
  std::vector<std::uint64_t> seeds{1};
};
// Isolates a region, including the Raft leader if the region has a voter, while the rest of the fleet goes on
// changing the register; then heals the partition and checks that the fleet converges.
void measureRegionCut(const CutOptions& options);

// Starts all members at once; the voters have the register, the others start empty. One table row per number
// of keys and members.
void measureColdStart(const RunOptions& options, const std::vector<int>& keys);

}  // namespace topazweir::lab::scale
