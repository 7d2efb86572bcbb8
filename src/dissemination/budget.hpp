// What may be sent: a token bucket for the mean and its bursts, and two small ones. One spreads a burst of
// data over time; the other holds words (beats, reports, answers) to three quarters of the mean, so that data
// goes on whatever is asked. Words go first: data leaves a part of the bucket to them, snapshots a larger
// one.
#pragma once

#include <algorithm>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::dissemination {

// Words keep the tree up; an answer is one that may as well be asked for again.
enum class Urgency { word, answer, change, piece };

class Budget {
 public:
  Budget(double bytesPerSecond, std::size_t burstBytes)
      : rate_(bytesPerSecond),
        burst_(static_cast<double>(burstBytes)),
        tokens_(burst_),
        words_(wordBurst()),
        pace_(paceBurst()) {}

  // False: not now. Nothing is kept of it; who asked asks again.
  bool spend(std::size_t bytes, Urgency urgency, Nanos now) {
    refill(now);
    const auto need = static_cast<double>(bytes);
    const bool word = urgency == Urgency::word || urgency == Urgency::answer;
    const double left = word ? 0 : burst_ / (urgency == Urgency::change ? 32 : 8);
    if (tokens_ - need < left || (!word && pace_ < need)) return false;
    if (word && words_ - need < (urgency == Urgency::answer ? wordBurst() / 2 : 0)) return false;
    tokens_ -= need;
    (word ? words_ : pace_) -= need;
    return true;
  }

  // Less than half of a burst is left.
  bool low(Nanos now) {
    refill(now);
    return 2 * tokens_ < burst_;
  }

  // Data in one moment, and again each tenth of a second.
  static constexpr double kPaceBytes = 32 * 1024;
  static constexpr double kWordShare = 0.75;

 private:
  double paceBurst() const { return std::min(kPaceBytes, burst_); }
  double wordBurst() const { return burst_ / 8; }
  void refill(Nanos now) {
    if (now <= at_) return;
    const double seconds = at_ == 0 ? 0 : static_cast<double>(now - at_) / 1e9;
    at_ = now;
    tokens_ = std::min(burst_, tokens_ + rate_ * seconds);
    words_ = std::min(wordBurst(), words_ + kWordShare * rate_ * seconds);
    pace_ = std::min(paceBurst(), pace_ + 10 * kPaceBytes * seconds);
  }

  double rate_, burst_, tokens_, words_, pace_;
  Nanos at_ = 0;
};

}  // namespace topazweir::dissemination
