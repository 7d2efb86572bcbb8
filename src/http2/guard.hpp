// Keeps a peer from costing far more than it asks for: what is cheap to send and dear to receive is counted
// in buckets (rapid reset, CVE-2023-44487; SETTINGS, PING and empty-frame floods, CVE-2019-9512, -9515,
// -9518; CONTINUATION floods, CVE-2024-28182). Pure: the time is given.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::http2 {

class Guard {
 public:
  enum class Cost : std::size_t { reset, settings, ping, emptyData, priority };
  static constexpr std::size_t kCosts = 5;

  struct Bucket {
    double burst = 0, perSecond = 0;
  };
  // Far above what clients do: a busy gRPC client cancels some of its calls, and pings now and then.
  static constexpr std::array<Bucket, kCosts> kBuckets = {
      {{400, 100}, {32, 4}, {64, 10}, {400, 100}, {400, 100}}};

  // False: the peer has spent more than it may; it is to be told ENHANCE_YOUR_CALM.
  bool allow(Cost cost, Nanos now) {
    auto& level = levels_[static_cast<std::size_t>(cost)];
    const auto& bucket = kBuckets[static_cast<std::size_t>(cost)];
    const double drained = static_cast<double>(now - level.at) / 1e9 * bucket.perSecond;
    level.spent = std::max(0.0, level.spent - (level.at > 0 ? drained : 0)) + 1;
    level.at = now;
    return level.spent <= bucket.burst;
  }

 private:
  struct Level {
    double spent = 0;
    Nanos at = 0;
  };
  std::array<Level, kCosts> levels_{};
};

}  // namespace topazweir::http2
