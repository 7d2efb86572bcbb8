// Measurements of hollow members over real sockets: scaling at rest, propagation of register changes, bursts
// of failures, and the short run of CI.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace topazweir::lab::scale {

struct RunOptions {
  std::vector<int> sizes{};  // numbers of members to fit on
  int largest = 0;           // number of members that is compared with the prediction; 0: none
  double periodSeconds = 1;  // between two probes of a member
  // Number of members above which the probe period grows in proportion, so that one machine can keep up.
  int periodGrowsFrom = 500;
  int keys = 1000;  // of the register
  int changes = 60;
  double changeIntervalSeconds = 1;
  int membersPerProcess = 50;
  int relays = 0;              // members dedicated to relaying the register; 0: none
  double bytesPerChild = 200;  // send limit of a dedicated relay, bytes/s for each of its children
  int port = 0;                // of each member's own address in 127.0.0.0/8; 0: derived from the process id
  std::vector<std::uint64_t> seeds{1, 2, 3};
  bool concurrent = false;   // run the fleets of all fitted sizes at once, each in its own processes
  bool killInFitted = true;  // kill one member of each fitted fleet, not of the largest fleet alone
  std::string program{};     // path of topazweir, for some real processes beside the hollow ones; empty: none
};

void measureDetector(const RunOptions& options);
void measureChangePropagation(const RunOptions& options);
void measureBursts(const RunOptions& options);
void runCiChecks(const RunOptions& options);

}  // namespace topazweir::lab::scale
