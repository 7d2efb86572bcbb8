// The deployed settings of the decision module, shared by tests and experiments. Each caller sets what
// differs: the classes, shards and cells, and the seed.
#pragma once

#include "topazweir/aggregator.hpp"

namespace topazweir::lab {

// `aggregators`: how many aggregators send to the same servers.
inline Settings deployedSettings(int aggregators) {
  constexpr Nanos kMs = 1'000'000;
  constexpr Nanos kSec = 1000 * kMs;
  Settings settings;
  settings.aggregators = aggregators;
  settings.tick = 1 * kMs;
  settings.maxAttempts = 4;
  settings.hedging = true;
  settings.cancelling = true;
  settings.retryAfter = true;
  settings.maxRetryAfter = 2 * kSec;
  settings.answerSlack = 5 * kMs;
  settings.drainGrace = 500 * kMs;
  settings.coldCapacityShare = 0.22;
  settings.warmUpTime = 17 * kSec;
  settings.overloadMultiple = 4;
  settings.overloadWindow = 2 * kSec;
  return settings;
}

}  // namespace topazweir::lab
