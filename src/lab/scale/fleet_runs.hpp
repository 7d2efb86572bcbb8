// Runs of hollow fleets through what happens to them as a whole: a region cut off, a start of all.
#pragma once

#include "lab/scale/socket_runs.hpp"

namespace topazweir::lab::scale {

struct CutOptions {
  int members = 250, keys = 300, region = 1, perProcess = 25;
  double periodSeconds = 1, cutSeconds = 60;
  int changes = 60;
  double changeSeconds = 1;  // between two of them
  std::vector<std::uint64_t> seeds{1};
};
// A region is cut off, and with it the voter that leads where it has one; the others go on; it comes back.
void cutRun(const CutOptions& options);

// All start at once, the voters with the register, the others with nothing; by keys and members.
void startRun(const RunOptions& options, const std::vector<int>& keys);

}  // namespace topazweir::lab::scale
