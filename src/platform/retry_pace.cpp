#include "platform/retry_pace.hpp"

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kEach = 20 * kMs;      // a turn: some tens of calls a second, however many ask
constexpr Nanos kShortest = 50 * kMs;  // a small fleet may ask at once, nearly
constexpr int kDoublings = 3;
// An agent that is not overbooked answers at once; an overbooked service has said no itself after two turns.
constexpr Nanos kAnswerTime = 1000 * kMs;
}  // namespace

RetryPace::RetryPace(int askers, std::uint64_t seed) : turn_(kEach * std::max(1, askers)), random_(seed) {}

Nanos RetryPace::next() {
  const Nanos most = std::max(kShortest, turn_) << std::min(failures_, kDoublings);
  ++failures_;
  return std::uniform_int_distribution<Nanos>(most / 2, most)(random_);
}

Nanos RetryPace::patience() const { return std::max(kAnswerTime, 2 * turn_) << std::min(failures_, 1); }

}  // namespace topazweir::platform
