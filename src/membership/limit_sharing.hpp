// Divides a limit that is common to the fleet, such as the slow-start limit of a cold server, among its
// members: from the live membership view instead of a configured count. Does no I/O and reads no clock.
#pragma once

#include <deque>
#include <string>

#include "membership/detector.hpp"

namespace topazweir::membership {

struct Share {
  int count = 1;   // members that may be sending
  int number = 0;  // index of this member among them, from 0
  bool operator==(const Share&) const = default;
};

// Counts the members that share a limit. A failed member may only be partitioned and still be sending, so it
// counts until it is forgotten; a member that has left does not count. The count rises at once and falls only
// after it has been lower for `settle`: while views differ, each member uses the highest recent count, so
// that the sum of all shares stays within the limit.
class LimitSharing {
 public:
  // `settle`: nanoseconds. `configuredCount`: lower bound of the count until the first `settle` has passed.
  LimitSharing(Nanos settle, int configuredCount) : settle_(settle), configuredCount_(configuredCount) {}

  Share now(const Detector& detector, Nanos now);

 private:
  struct Observation {
    Nanos lastAt = 0;
    int count = 0;
  };
  Nanos settle_;
  int configuredCount_;
  // Counts fall strictly from first to last, so the length is bounded by the highest count.
  std::deque<Observation> observations_;
};

}  // namespace topazweir::membership
