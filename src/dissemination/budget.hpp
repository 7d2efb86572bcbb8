// What may be sent: a token bucket for the mean and its bursts, and a small one that spreads a burst over time.
// Words that keep the tree up go first: changes leave a part of the bucket to them, snapshots a larger one.
#pragma once

#include <algorithm>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::dissemination {

enum class Urgency { word, change, piece };

class Budget {
 public:
  Budget(double bytesPerSecond, std::size_t burstBytes)
      : rate_(bytesPerSecond), burst_(static_cast<double>(burstBytes)), tokens_(burst_), pace_(paceBurst()) {}

  // False: not now. Nothing is kept of it; who asked asks again.
  bool spend(std::size_t bytes, Urgency urgency, Nanos now) {
    refill(now);
    const auto need = static_cast<double>(bytes);
    const double left = urgency == Urgency::word ? 0 : burst_ / (urgency == Urgency::change ? 16 : 4);
    if (tokens_ - need < left || (urgency != Urgency::word && pace_ < need)) return false;
    tokens_ -= need;
    pace_ -= need;
    return true;
  }

  // In one moment, and again each tenth of a second: 1,000 members' worth of changes don't leave at once.
  static constexpr double kPaceBytes = 32 * 1024;

 private:
  double paceBurst() const { return std::min(kPaceBytes, burst_); }
  void refill(Nanos now) {
    if (now <= at_) return;
    const double seconds = at_ == 0 ? 0 : static_cast<double>(now - at_) / 1e9;
    at_ = now;
    tokens_ = std::min(burst_, tokens_ + rate_ * seconds);
    pace_ = std::min(paceBurst(), pace_ + 10 * kPaceBytes * seconds);
  }

  double rate_, burst_, tokens_, pace_;
  Nanos at_ = 0;
};

}  // namespace topazweir::dissemination
