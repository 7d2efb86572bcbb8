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
// A service that is not overbooked answers at once, and in a small fleet one silent connection must leave the
// time for a second; an overbooked service has said no itself after two turns.
constexpr Nanos kAnswerTime = 1000 * kMs;
// Of an agent on the own machine. Together they are less than the time that a drain allows after its news.
constexpr Nanos kPushedAnswer = 300 * kMs, kPushedWait = 100 * kMs;
// Kept free at the end of what is left: to connect, to read the list, and for a second call.
constexpr Nanos kSecondCall = RetryPace::kConnectTime + kAnswerTime + kShortest;
}  // namespace

RetryPace::RetryPace(int askers, bool pushed, std::uint64_t seed)
    : turn_(std::min(kLongestTurn, kEach * std::max(1, askers))), pushed_(pushed), random_(seed) {}

void RetryPace::heard(Nanos now) { due_ = now + kCounted; }
void RetryPace::moved(Nanos now) { due_ = now + kCountedAfterMove, failures_ = 0; }

// What is left for a first call and the wait before it, while a second one would still come in time.
Nanos RetryPace::leftForFirst(Nanos now) const { return std::max<Nanos>(0, due_ - now - kSecondCall); }

Nanos RetryPace::next(Nanos now, bool refused) {
  Nanos most = std::min(kLongestWait, std::max(kShortest, turn_) << std::min(failures_, kDoublings));
  if (pushed_ && !refused) most = kPushedWait;
  // While news may still come in time: half of what is left, the other half is the answer's.
  if (!refused && due_ > now + kShortest) most = std::min(most, std::max(kShortest, leftForFirst(now) / 2));
  ++failures_;
  return std::uniform_int_distribution<Nanos>(most / 2, most)(random_);
}

Nanos RetryPace::patience(Nanos now) const {
  if (pushed_) return kPushedAnswer;
  const Nanos most = std::min(kLongestPatience, std::max(kAnswerTime, 2 * turn_) << std::min(failures_, 1));
  return due_ > now ? std::min(most, std::max(kAnswerTime, leftForFirst(now))) : most;
}

}  // namespace topazweir::platform
