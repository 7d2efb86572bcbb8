// A virtual clock with an event queue, for simulations of members and voters without sockets or real time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "topazweir/aggregator.hpp"

namespace topazweir::lab {

class VirtualClock {
 public:
  // Schedules a call `wait` after the present time.
  void after(Nanos wait, std::function<void()> action) { events_.emplace(now + wait, std::move(action)); }
  // Advances the clock by `time` and runs the events that come due, those of the same time in the order in
  // which they were scheduled.
  void run(Nanos time) {
    const Nanos end = now + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = std::move(events_.begin()->second);
      now = std::max(now, events_.begin()->first);
      events_.erase(events_.begin());
      event();
    }
    now = end;
  }

  Nanos now = 1'000'000'000'000;  // only run() changes it

 private:
  std::multimap<Nanos, std::function<void()>> events_;  // by due time
};

}  // namespace topazweir::lab
