// When discovery is asked again, and how long an answer is waited for. Pure: no clock, no I/O.
#pragma once

#include <cstdint>
#include <random>

#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

// Guards discovery against its own callers, and the rule on news against their politeness.
//
// Where one service is asked by all aggregators, a watch that ends for many at once, or a fleet that restarts
// together, brings all their calls in the same moment, and a call given up on is served all the same. So
// waits are drawn anew each time, from a span that grows with the number of those who ask and doubles with
// each failure; and a call is left waiting where it has a place in the queue.
//
// But what discovery has counts as told kCounted after it could have been asked, whatever befell the calls
// before: no wait and no patience goes beyond that, in any fleet. Nor does what a silent watch misses wait
// longer after its last word, or what a new configuration moves longer than kCountedAfterMove: until then the
// calls are so many, and so patient, that a second one is answered in time when the first is not. A fleet too
// large to be served in kCounted asks no less often: its waits are drawn from all that this leaves.
//
// So early a call is given up on that a service which never refuses, and works its queue in turn, would
// answer only those that have left. The first one whose patience is over therefore keeps its place while the
// next ones are made beside it: a hedged request. It is kept and they are renewed, not the other way round,
// since what lies ahead of the oldest call only shrinks. Two calls are open at most, and no more are made
// than without it. Its time is bounded, for a call may be lost: by what a slow service would need for all who
// ask.
//
// Where lists are pushed, an agent beside the program answers at once and at no cost, and what it holds
// counts as told: it is asked without delay, each time, and not waited for, and also after it has said no.
class RetryPace {
 public:
  RetryPace(int askers, bool pushed, std::uint64_t seed);

  // After a failure or a lost watch: the wait before the next call. `refused`: discovery has said no itself.
  // If that came from its queue it is overbooked, and haste would keep it so.
  Nanos next(Nanos now, bool refused = false);
  Nanos patience(Nanos now) const;  // for the first words of an answer
  // A call's patience is over: how long it stays open beside the next ones, to keep its place in discovery's
  // queue; 0: it is given up on. `taken`: an older call does so already. Waits and patience go on as if it
  // had been given up on.
  Nanos keepPlace(bool taken) const { return taken || pushed_ ? 0 : placeTime_; }
  void heard(Nanos now);  // the last word of a watch
  void moved(Nanos now);  // discovery is elsewhere, by a new configuration
  void succeeded() { failures_ = refusals_ = 0; }

  static constexpr Nanos kSilence = 2'500'000'000;  // a sound watch says something every 2 s
  static constexpr Nanos kCounted = 6'000'000'000, kCountedAfterMove = 4'000'000'000;
  static constexpr Nanos kConnectTime = 300'000'000;

 private:
  Nanos leftForFirst(Nanos now) const;
  Nanos longestWait(Nanos now, bool refused) const;

  Nanos turn_;  // in which each who asks could have a call of its own
  Nanos placeTime_;
  bool pushed_;
  int failures_ = 0, refusals_ = 0;  // apart: one that refuses is up again, and waits grow from the turn
  Nanos begun_ = 0;                  // the last call, or the last word of a watch
  Nanos due_ = 0;                    // news that may have been missed counts as told from then on; 0: none
  std::mt19937_64 random_;
};

}  // namespace topazweir::platform
