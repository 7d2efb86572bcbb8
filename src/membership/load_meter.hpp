// Computes a member's current load from counters that only grow. Does no I/O and reads no clock.
#pragma once

#include "membership/record.hpp"

namespace topazweir::membership {

class LoadMeter {
 public:
  struct Totals {
    std::uint64_t open = 0;     // requests in progress now
    std::uint64_t taken = 0;    // requests received since the start, refused ones included
    std::uint64_t refused = 0;  // requests refused since the start
  };

  // Load at `now`. The refused share covers the last one to two kWindowNs.
  Load now(const Totals& totals, Nanos now) {
    if (now - windowStartedAt_ >= kWindowNs) {
      previousWindow_ = currentWindow_;
      currentWindow_ = totals;
      windowStartedAt_ = now;
    }
    const auto taken = totals.taken - previousWindow_.taken;
    const auto refused = totals.refused - previousWindow_.refused;
    return {static_cast<std::uint32_t>(totals.open),
            static_cast<std::uint32_t>(taken > 0 ? refused * 1000 / taken : 0)};
  }

  static constexpr Nanos kWindowNs = 5'000'000'000;

 private:
  Totals previousWindow_, currentWindow_;  // counters at the start of each window
  Nanos windowStartedAt_ = 0;
};

}  // namespace topazweir::membership
