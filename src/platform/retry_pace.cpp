#include "platform/retry_pace.hpp"

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kEach = 20 * kMs;      // a turn: some tens of calls a second, however many ask
constexpr Nanos kShortest = 50 * kMs;  // a small fleet may ask at once, nearly
constexpr int kDoublings = 3;
// However many ask, or a wrong number says so: the list must not stay old for minutes.
constexpr Nanos kLongestTurn = 10'000 * kMs, kLongestWait = 30'000 * kMs, kLongestPatience = 15'000 * kMs;
// An agent that is not overbooked answers at once, and in a small fleet one silent connection must leave the
// time for a second; an overbooked service has said no itself after two turns.
constexpr Nanos kAnswerTime = 1000 * kMs;
}  // namespace

RetryPace::RetryPace(int askers, std::uint64_t seed)
    : turn_(std::min(kLongestTurn, kEach * std::max(1, askers))), random_(seed) {}

Nanos RetryPace::next() {
  const Nanos most = std::min(kLongestWait, std::max(kShortest, turn_) << std::min(failures_, kDoublings));
  ++failures_;
  return std::uniform_int_distribution<Nanos>(most / 2, most)(random_);
}

Nanos RetryPace::patience() const {
  return std::min(kLongestPatience, std::max(kAnswerTime, 2 * turn_) << std::min(failures_, 1));
}

}  // namespace topazweir::platform
