// Send budget of a member: a token bucket for the mean rate and its bursts, and two smaller ones. One paces
// data (changes, snapshot pieces), which spreads a burst over time; the other limits control messages
// (heartbeats, reports, replies) to three quarters of the mean rate, so that data makes progress whatever is
// requested. Control messages have priority: data leaves a part of the main bucket to them, snapshot pieces a
// larger part than changes.
#pragma once

#include <algorithm>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::dissemination {

enum class Urgency {
  control,  // keeps the tree working
  reply,    // a control message that its receiver can request again
  change,
  piece  // of a snapshot
};

class Budget {
 public:
  Budget(double bytesPerSecond, std::size_t burstBytes)
      : rate_(bytesPerSecond),
        burst_(static_cast<double>(burstBytes)),
        tokens_(burst_),
        controlTokens_(controlBurst()),
        dataTokens_(dataBurst()) {}

  // Takes `bytes` from the budget; false: not available now. Nothing is queued, the caller tries again later.
  bool spend(std::size_t bytes, Urgency urgency, Nanos now) {
    refill(now);
    const auto need = static_cast<double>(bytes);
    const bool control = urgency == Urgency::control || urgency == Urgency::reply;
    const double reserve = control ? 0 : burst_ / (urgency == Urgency::change ? 32 : 8);
    if (tokens_ - need < reserve || (!control && dataTokens_ < need)) return false;
    const double controlReserve = urgency == Urgency::reply ? controlBurst() / 2 : 0;
    if (control && controlTokens_ - need < controlReserve) return false;
    tokens_ -= need;
    (control ? controlTokens_ : dataTokens_) -= need;
    return true;
  }

  // Whether less than half of a burst is left.
  bool low(Nanos now) {
    refill(now);
    return 2 * tokens_ < burst_;
  }

  static constexpr double kDataBurstBytes = 32 * 1024;  // data at once, refilled every 100 ms
  static constexpr double kControlShare = 0.75;         // of the mean rate

 private:
  double dataBurst() const { return std::min(kDataBurstBytes, burst_); }
  double controlBurst() const { return burst_ / 8; }
  void refill(Nanos now) {
    if (now <= refilledAt_) return;
    const double seconds = refilledAt_ == 0 ? 0 : static_cast<double>(now - refilledAt_) / 1e9;
    refilledAt_ = now;
    tokens_ = std::min(burst_, tokens_ + rate_ * seconds);
    controlTokens_ = std::min(controlBurst(), controlTokens_ + kControlShare * rate_ * seconds);
    dataTokens_ = std::min(dataBurst(), dataTokens_ + 10 * kDataBurstBytes * seconds);
  }

  double rate_;   // bytes per second
  double burst_;  // bytes
  double tokens_, controlTokens_, dataTokens_;
  Nanos refilledAt_ = 0;
};

}  // namespace topazweir::dissemination
