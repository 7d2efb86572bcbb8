#include "platform/discovery_retry_policy.hpp"

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
// Part of a round for each client: the service gets some tens of requests a second, whatever the fleet's
// size.
constexpr Nanos kRoundTimePerClientNs = 20 * kMs;
constexpr Nanos kMinWaitNs = 50 * kMs;  // a small fleet may ask almost at once
constexpr int kMaxDoublings = 3;        // of the waits
// A service that is not overloaded answers at once, and in a small fleet one unresponsive connection must
// leave time for a second; an overloaded service refuses by itself after two rounds, or 2 s.
constexpr Nanos kMinAnswerTimeoutNs = 1000 * kMs;
// Longest time from the moment whose state the last request reports to the start of the next request, so that
// updates are known within kUpdateDeadlineNs in a fleet of any size. The time-out for an answer takes nearly
// all of it, for a request that is given up on loses its place in the queue and is worked off in vain; the
// wait after that is 1 s at most.
constexpr Nanos kMaxRequestGapNs =
    DiscoveryRetryPolicy::kUpdateDeadlineNs - DiscoveryRetryPolicy::kConnectTimeoutNs - kMinAnswerTimeoutNs;
constexpr Nanos kMaxAnswerTimeoutNs = kMaxRequestGapNs - DiscoveryRetryPolicy::kConnectTimeoutNs - 1000 * kMs;
// For an agent on the same machine. Their sum is below the time that a drain allows after its announcement.
constexpr Nanos kAgentAnswerTimeoutNs = 300 * kMs;
constexpr Nanos kAgentWaitNs = 100 * kMs;
// Reserved at the end of the time left: to connect, to read the list, and for a second request.
constexpr Nanos kSecondRequestReserveNs =
    DiscoveryRetryPolicy::kConnectTimeoutNs + kMinAnswerTimeoutNs + kMinWaitNs;
// For the request that keeps its place in the queue: a service of two lists a second must get through the
// whole fleet. If this is too short, the request that replaces it starts behind all that have arrived
// meanwhile; if it is too long it costs a descriptor.
constexpr Nanos kSlowestServiceTimeNs = 500 * kMs;
constexpr Nanos kMinKeptRequestTimeoutNs = 60'000 * kMs;
constexpr Nanos kMaxKeptRequestTimeoutNs = 1'800'000 * kMs;
}  // namespace

DiscoveryRetryPolicy::DiscoveryRetryPolicy(int clients, bool pushed, std::uint64_t seed)
    : roundTime_(std::min(kMaxRequestGapNs, kRoundTimePerClientNs * std::max(1, clients))),
      keptRequestTimeout_(
          std::clamp(kSlowestServiceTimeNs * clients, kMinKeptRequestTimeoutNs, kMaxKeptRequestTimeoutNs)),
      pushed_(pushed),
      random_(seed) {}

void DiscoveryRetryPolicy::recordData(Nanos now) {
  updateDeadline_ = now + kUpdateDeadlineNs;
  lastRequestAt_ = now;
}

void DiscoveryRetryPolicy::recordMove(Nanos now) {
  updateDeadline_ = now + kUpdateDeadlineAfterMoveNs;
  lastRequestAt_ = now;
  recordSuccess();
}

// Time left for a first request and the wait before it, such that a second one still meets the deadline.
Nanos DiscoveryRetryPolicy::timeForFirstRequest(Nanos now) const {
  return std::max<Nanos>(0, updateDeadline_ - now - kSecondRequestReserveNs);
}

// The longest wait after which the next request still brings in time what the last one may have missed. A
// request that fails reports discovery's state as of its start, since later updates may have been available
// to another one; a refusal comes from discovery itself, so it reports the state as of now.
Nanos DiscoveryRetryPolicy::maxWait(Nanos now, bool refused) const {
  const Nanos elapsed =
      refused ? 0 : std::clamp<Nanos>(now - lastRequestAt_, 0, kConnectTimeoutNs + kMaxAnswerTimeoutNs);
  Nanos wait = kMaxRequestGapNs - elapsed;
  if (refused) {
    // An immediate refusal does not come from a queue and says nothing about the load, so the deadline for
    // what the last watch missed still applies. After time in the queue it does not: the fleet is already
    // served as fast as it can be.
    const Nanos left = updateDeadline_ - now - kConnectTimeoutNs - kMinAnswerTimeoutNs;
    if (now - lastRequestAt_ < kMinAnswerTimeoutNs && left > kMinWaitNs) wait = std::min(wait, left);
  } else if (updateDeadline_ > now + kMinWaitNs) {
    // Half of the time left; the other half is for the answer.
    wait = std::min(wait, std::max(kMinWaitNs, timeForFirstRequest(now) / 2));
  }
  return wait;
}

// The first wait may be close to zero: only then do the requests of a fleet that fails all at once spread
// over the whole time available.
Nanos DiscoveryRetryPolicy::nextWait(Nanos now, bool refused) {
  int& previous = refused ? refusals_ : failures_;
  const Nanos backoff =
      pushed_ ? kAgentWaitNs : std::max(kMinWaitNs, roundTime_) << std::min(previous, kMaxDoublings);
  const Nanos longest = std::min(backoff, maxWait(now, refused));
  const Nanos shortest = failures_ == 0 && !refused ? kMs : longest / 2;
  ++previous;
  const Nanos wait = std::uniform_int_distribution<Nanos>(shortest, longest)(random_);
  lastRequestAt_ = now + wait;
  return wait;
}

Nanos DiscoveryRetryPolicy::answerTimeout(Nanos now) const {
  if (pushed_) return kAgentAnswerTimeoutNs;
  const Nanos longest =
      std::min(kMaxAnswerTimeoutNs, std::max(kMinAnswerTimeoutNs, 2 * roundTime_) << std::min(failures_, 1));
  return updateDeadline_ > now ? std::min(longest, std::max(kMinAnswerTimeoutNs, timeForFirstRequest(now)))
                               : longest;
}

}  // namespace topazweir::platform
