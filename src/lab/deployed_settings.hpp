// The module's settings as they are deployed, as far as tests and experiments share them; what differs (the
// classes, shards and cells, seed) each sets itself.
#pragma once

#include "topazweir/aggregator.hpp"

namespace topazweir::lab {

inline Settings deployedSettings(int aggregators) {
  constexpr Nanos kMs = 1'000'000, kSec = 1000 * kMs;
  Settings s;
  s.aggregators = aggregators;
  s.tick = 1 * kMs;
  s.maxAttempts = 4;
  s.secondCopies = s.cancelling = s.retryAfter = true;
  s.maxRetryAfter = 2 * kSec;
  s.answerSlack = 5 * kMs;
  s.drainGrace = 500 * kMs;
  s.coldFrom = 0.22, s.coldFor = 17 * kSec;
  s.tipMultiple = 4, s.tipWindow = 2 * kSec;
  return s;
}

}  // namespace topazweir::lab
