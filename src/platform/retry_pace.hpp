// When discovery is asked again, and how long an answer is waited for. Pure: no clock, no I/O.
#pragma once

#include <cstdint>
#include <random>

#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

// Guards discovery against its own callers. It is one service for all aggregators: a watch that ends for many
// at once, or a fleet that restarts together, brings all their calls in the same moment, and a call given up
// on is served all the same. So waits are drawn anew each time, from a span that grows with the number of
// those who ask and doubles with each failure; and a call is left waiting where it has a place in the queue.
class RetryPace {
 public:
  RetryPace(int askers, std::uint64_t seed);

  Nanos next();            // after a failure or a lost watch: the wait before the next call
  Nanos patience() const;  // for the first words of an answer
  void succeeded() { failures_ = 0; }

 private:
  Nanos turn_;  // in which each who asks could have a call of its own
  int failures_ = 0;
  std::mt19937_64 random_;
};

}  // namespace topazweir::platform
