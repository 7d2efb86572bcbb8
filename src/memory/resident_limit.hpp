// Decides how much may be buffered while the process as a whole comes near its memory limit: what the
// allocator cannot reuse, and what is not accounted for, then takes its room from the buffers. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

#include "topazweir/aggregator.hpp"

namespace topazweir::memory {

class ResidentLimit {
 public:
  struct Decision {
    std::size_t bufferLimit = 0;  // bytes that may be buffered from now on
    bool trim = false;            // free memory is to be given back to the system first
  };

  // In bytes: the limit on the process, and on its buffers while the process is well below that.
  void setLimits(std::size_t process, std::size_t buffers) {
    processLimit_ = process;
    bufferLimit_ = buffers;
  }
  // `resident`: the bytes that the process takes now; 0: not known. `held`: of these, in buffers.
  Decision decide(std::size_t resident, std::size_t held, Nanos now) {
    if (startedAt_ < 0) startedAt_ = now;
    if (held < bufferLimit_ / kQuietDivisor) {
      const bool settled = now - startedAt_ >= kSettleNs;
      base_ = std::min({resident, processLimit_, settled ? base_ : resident});
    }
    const auto room = static_cast<double>(std::max<std::size_t>(1, processLimit_ - base_));
    const auto share = static_cast<double>(resident - std::min(resident, base_)) / room;
    Decision out{bufferLimit_, resident > 0 && share > kTrimShare && now - trimmedAt_ >= kTrimIntervalNs};
    if (out.trim) trimmedAt_ = now;
    if (share > kHalfShare) out.bufferLimit = bufferLimit_ / 2;
    if (share > kEighthShare) out.bufferLimit = bufferLimit_ / 8;
    return out;
  }

 private:
  // While less than this part of the buffers is held, the process takes what it needs without them.
  static constexpr std::size_t kQuietDivisor = 20;
  // By this time after the start that size is reached. Later it only falls: what it grows by is what the
  // allocator has kept of floods.
  static constexpr Nanos kSettleNs = 5'000'000'000;
  // Shares of the room above that from which on memory is given back, half of the buffers and an eighth of
  // them may be used.
  static constexpr double kTrimShare = 0.3;
  static constexpr double kHalfShare = 0.55;
  static constexpr double kEighthShare = 0.7;
  static constexpr Nanos kTrimIntervalNs = 500'000'000;

  std::size_t processLimit_ = 1;
  std::size_t bufferLimit_ = 0;
  std::size_t base_ = 0;  // resident size with next to nothing in the buffers
  Nanos startedAt_ = -1;  // negative: not yet
  Nanos trimmedAt_ = -kTrimIntervalNs;
};

}  // namespace topazweir::memory
