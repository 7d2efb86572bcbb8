// When discovery is asked again, and how long an answer is waited for. Pure: no clock, no I/O.
#pragma once

#include <cstdint>
#include <random>

#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

// Retry policy for the requests to discovery. It balances two needs: the service must survive all aggregators
// asking at once, and every aggregator must have updates by a deadline.
//
// Load: where one service serves all aggregators, a watch that ends for many at once, or a restart of the
// whole fleet, brings all requests at the same time (a thundering herd), and a request that its client has
// given up on is worked off all the same. So waits are random, from a span that grows with the number of
// aggregators and doubles with each failure; and a request that has a place in the service's queue is left
// open.
//
// Deadline: an aggregator is expected to know an update kUpdateDeadlineNs after discovery could have been
// asked for it, whatever happened to earlier requests; no wait and no time-out exceeds that in a fleet of any
// size. The same limit holds, from the last data on, for updates that an unresponsive watch misses. After a
// new configuration has moved discovery the limit is kUpdateDeadlineAfterMoveNs. Within these limits there is
// time for a second request when the first is not answered. A fleet too large to be served within
// kUpdateDeadlineNs asks no less often: its waits are drawn from all the time that the deadline leaves.
//
// Hedging: time-outs are so short that an overloaded service which never refuses and works off its queue in
// order would only ever answer requests that have been given up on. So the first request that times out stays
// open and keeps its place in the queue while the next ones are sent beside it (hedged requests). The oldest
// one is kept and the newer ones are replaced, not the reverse, since the queue ahead of the oldest request
// only shrinks. At most two requests are open, and no more are sent than without hedging. A kept request may
// be lost, so its lifetime is bounded by the time that a slow service needs for the whole fleet.
//
// Pushed lists: an agent on the same machine answers at once and at no cost, and an update counts as
// announced as soon as the agent has it. So the agent is asked at short intervals with a short time-out,
// without back-off and without hedging, also after it has refused.
class DiscoveryRetryPolicy {
 public:
  // `clients`: how many ask the same service. `pushed`: lists come from an agent on this machine.
  DiscoveryRetryPolicy(int clients, bool pushed, std::uint64_t seed);

  // After a failure or a lost watch: the wait before the next request. `refused`: discovery itself answered
  // with an error. If the request had waited in its queue, the service is overloaded, and asking sooner on
  // account of the deadline would keep it so.
  Nanos nextWait(Nanos now, bool refused = false);
  // How long to wait for the first data of an answer.
  Nanos answerTimeout(Nanos now) const;
  // How long a request that has timed out stays open beside the next ones, to keep its place in discovery's
  // queue; 0: it is closed. `alreadyKept`: an older request is kept already. Waits and time-outs are the same
  // whether or not it is kept.
  Nanos keptRequestTimeout(bool alreadyKept) const {
    return alreadyKept || pushed_ ? 0 : keptRequestTimeout_;
  }
  void recordData(Nanos now);  // data of a watch has arrived
  void recordMove(Nanos now);  // a new configuration names another address of discovery
  void recordSuccess() { failures_ = refusals_ = 0; }

  static constexpr Nanos kWatchIdleTimeoutNs = 2'500'000'000;  // a healthy watch sends something every 2 s
  static constexpr Nanos kUpdateDeadlineNs = 6'000'000'000;
  static constexpr Nanos kUpdateDeadlineAfterMoveNs = 4'000'000'000;
  static constexpr Nanos kConnectTimeoutNs = 300'000'000;

 private:
  Nanos timeForFirstRequest(Nanos now) const;
  Nanos maxWait(Nanos now, bool refused) const;

  Nanos roundTime_;  // in which the service can answer one request of each client
  Nanos keptRequestTimeout_;
  bool pushed_;
  // Counted apart: a service that refuses is reachable again, and waits grow from one round anew.
  int failures_ = 0;
  int refusals_ = 0;
  Nanos lastRequestAt_ = 0;   // start of the last request, or the last data of a watch
  Nanos updateDeadline_ = 0;  // by which updates that may have been missed must be known; 0: none
  std::mt19937_64 random_;
};

}  // namespace topazweir::platform
