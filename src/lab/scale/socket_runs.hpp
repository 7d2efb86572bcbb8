// Runs of hollow members over real sockets: slopes, a change's way, bursts, and the small run of CI.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace topazweir::lab::scale {

struct RunOptions {
  std::vector<int> sizes{};  // fitted
  int largest = 0;           // compared with the prediction; 0: none
  double periodSeconds = 1;  // between two probes of a member
  int perSecond = 500;       // members beyond which the detector's period grows, so that one machine keeps up
  int keys = 1000;           // of the register
  int changes = 60;
  double changeSeconds = 1;  // between two of them
  int perProcess = 50;
  int relays = 0;            // set aside to hand the register on
  double bytesAChild = 200;  // that such a relay may send a second, for each of its children
  int port = 0;              // of each member's own address of 127.0.0.0/8; 0: by this process's number
  std::vector<std::uint64_t> seeds{1, 2, 3};
  bool together = false;   // the fitted sizes at once, each fleet in its own processes
  bool killFitted = true;  // one of each fitted fleet, too
  std::string program{};   // topazweir: a few real processes beside the hollow members; empty: none
};

void detectorRun(const RunOptions& options);
void changeRun(const RunOptions& options);
void burstRun(const RunOptions& options);
void smallRun(const RunOptions& options);

}  // namespace topazweir::lab::scale
