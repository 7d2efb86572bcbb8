// Limits what a peer can make this process spend on frames that are cheap to send and expensive to handle, by
// a leaky bucket for each kind of frame: rapid reset (CVE-2023-44487), floods of SETTINGS (CVE-2019-9515),
// PING (CVE-2019-9512), empty DATA frames (CVE-2019-9518) and PRIORITY. The codec limits CONTINUATION floods
// (CVE-2024-28182). No clock and no I/O: the caller passes the time.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::http2 {

// The leaky buckets of one connection.
class FloodGuard {
 public:
  // The kinds of frames that are limited; the position in kBuckets.
  enum class Cost : std::size_t { reset, settings, ping, emptyData, priority };
  static constexpr std::size_t kCosts = 5;

  struct Bucket {
    double burst = 0;      // frames at once
    double perSecond = 0;  // frames a second in the long run
  };
  // Far above what ordinary clients send: a busy gRPC client cancels some of its calls and sends a PING now
  // and then.
  static constexpr std::array<Bucket, kCosts> kBuckets = {{
      {400, 100},  // reset
      {32, 4},     // settings
      {64, 10},    // ping
      {400, 100},  // emptyData
      {400, 100},  // priority
  }};

  // Counts one frame received at `now`. False: the peer is over the limit, and its connection should end with
  // ENHANCE_YOUR_CALM.
  bool allow(Cost cost, Nanos now) {
    auto& level = levels_[static_cast<std::size_t>(cost)];
    const auto& bucket = kBuckets[static_cast<std::size_t>(cost)];
    const double drained = static_cast<double>(now - level.updatedAt) / 1e9 * bucket.perSecond;
    level.frames = std::max(0.0, level.frames - (level.updatedAt > 0 ? drained : 0)) + 1;
    level.updatedAt = now;
    return level.frames <= bucket.burst;
  }

 private:
  struct Level {
    double frames = 0;
    Nanos updatedAt = 0;  // 0: never
  };
  std::array<Level, kCosts> levels_{};
};

}  // namespace topazweir::http2
