// Decides how much may be buffered while the process as a whole comes near its memory limit: what the
// allocator cannot reuse, and what is not accounted for, then takes its room from the buffers. Pure.
#pragma once

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
  // `resident`: the bytes that the process takes now; 0: not known.
  Decision decide(std::size_t resident, Nanos now) {
    const auto share = static_cast<double>(resident) / static_cast<double>(processLimit_);
    Decision out{bufferLimit_, share > kTrimShare && now - trimmedAt_ >= kTrimIntervalNs};
    if (out.trim) trimmedAt_ = now;
    if (share > kHalfShare) out.bufferLimit = bufferLimit_ / 2;
    if (share > kEighthShare) out.bufferLimit = bufferLimit_ / 8;
    return out;
  }

 private:
  // Shares of the process's limit from which on memory is given back, half of the buffers and an eighth of
  // them may be used.
  static constexpr double kTrimShare = 0.6;
  static constexpr double kHalfShare = 0.72;
  static constexpr double kEighthShare = 0.82;
  static constexpr Nanos kTrimIntervalNs = 500'000'000;

  std::size_t processLimit_ = 1;
  std::size_t bufferLimit_ = 0;
  Nanos trimmedAt_ = -kTrimIntervalNs;
};

}  // namespace topazweir::memory
