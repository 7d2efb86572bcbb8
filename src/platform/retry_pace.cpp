#include "platform/retry_pace.hpp"

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kEach = 20 * kMs;      // a turn: some tens of calls a second, however many ask
constexpr Nanos kShortest = 50 * kMs;  // a small fleet may ask at once, nearly
constexpr int kDoublings = 3;
// A service that is not overbooked answers at once, and in a small fleet one silent connection must leave the
// time for a second; an overbooked service has said no itself after two turns, or 2 s.
constexpr Nanos kAnswerTime = 1000 * kMs;
// However many ask, what discovery has is in kCounted after it could have been asked: from the moment that
// the last call tells of to the next call. Patience has nearly all of it, for a call given up on loses its
// place in the queue and is served in vain; the wait after that is a second at most.
constexpr Nanos kLongestGap = RetryPace::kCounted - RetryPace::kConnectTime - kAnswerTime;
constexpr Nanos kLongestPatience = kLongestGap - RetryPace::kConnectTime - 1000 * kMs;
// Of an agent on the own machine. Together they are less than the time that a drain allows after its news.
constexpr Nanos kPushedAnswer = 300 * kMs, kPushedWait = 100 * kMs;
// Kept free at the end of what is left: to connect, to read the list, and for a second call.
constexpr Nanos kSecondCall = RetryPace::kConnectTime + kAnswerTime + kShortest;
// Of the call that keeps its place: two lists a second for all who ask. Too short, and its successor begins
// behind all that has come in meanwhile; too long costs a descriptor.
constexpr Nanos kSlowestEach = 500 * kMs;
constexpr Nanos kShortestPlace = 60'000 * kMs, kLongestPlace = 1'800'000 * kMs;
}  // namespace

RetryPace::RetryPace(int askers, bool pushed, std::uint64_t seed)
    : turn_(std::min(kLongestGap, kEach * std::max(1, askers))),
      placeTime_(std::clamp(kSlowestEach * askers, kShortestPlace, kLongestPlace)),
      pushed_(pushed),
      random_(seed) {}

void RetryPace::heard(Nanos now) { due_ = now + kCounted, begun_ = now; }
void RetryPace::moved(Nanos now) { due_ = now + kCountedAfterMove, begun_ = now, succeeded(); }

// What is left for a first call and the wait before it, while a second one would still come in time.
Nanos RetryPace::leftForFirst(Nanos now) const { return std::max<Nanos>(0, due_ - now - kSecondCall); }

// The longest wait after which the next call still brings in time what the last one may have missed. A call
// tells of the moment at which it began, for what came later may have been there for another; a refusal is
// discovery's own word, and tells of now.
Nanos RetryPace::longestWait(Nanos now, bool refused) const {
  const Nanos gone = refused ? 0 : std::clamp<Nanos>(now - begun_, 0, kConnectTime + kLongestPatience);
  Nanos most = kLongestGap - gone;
  if (refused) {
    // At once: not from a queue, so it says nothing of the load, and what the last watch missed is still due.
    // After a time in its queue: the fleet is served as fast as it can be.
    const Nanos left = due_ - now - kConnectTime - kAnswerTime;
    if (now - begun_ < kAnswerTime && left > kShortest) most = std::min(most, left);
  } else if (due_ > now + kShortest) {
    // Half of what is left, the other half is the answer's.
    most = std::min(most, std::max(kShortest, leftForFirst(now) / 2));
  }
  return most;
}

// The first wait may be next to none: only so does a fleet that asks at once fill the time that it has.
Nanos RetryPace::next(Nanos now, bool refused) {
  int& before = refused ? refusals_ : failures_;
  const Nanos grown = pushed_ ? kPushedWait : std::max(kShortest, turn_) << std::min(before, kDoublings);
  const Nanos most = std::min(grown, longestWait(now, refused));
  const Nanos least = failures_ == 0 && !refused ? kMs : most / 2;
  ++before;
  const Nanos wait = std::uniform_int_distribution<Nanos>(least, most)(random_);
  begun_ = now + wait;
  return wait;
}

Nanos RetryPace::patience(Nanos now) const {
  if (pushed_) return kPushedAnswer;
  const Nanos most = std::min(kLongestPatience, std::max(kAnswerTime, 2 * turn_) << std::min(failures_, 1));
  return due_ > now ? std::min(most, std::max(kAnswerTime, leftForFirst(now))) : most;
}

}  // namespace topazweir::platform
