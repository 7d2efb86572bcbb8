// Work that peers have sent ahead of what is due: it is done in turns, for a bounded time in each iteration
// of the loop, so that no peer delays the others however much it sends.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>

#include "topazweir/aggregator.hpp"

namespace topazweir::net {

// Bounded by its users: each connection has at most one task in it. The loop calls run() while it isn't
// empty.
class Backlog {
 public:
  // Does a piece of the work, until `sliceEnd` at the latest, and adds itself again if there is more.
  using Task = std::function<void(Nanos sliceEnd)>;

  // Time in each iteration of the loop for all tasks together.
  static constexpr Nanos kSliceNs = 4'000'000;
  // Of that, the time of one task, so that those behind it get their turn soon.
  static constexpr Nanos kTaskSliceNs = 500'000;

  void add(Task task) { tasks_.push_back(std::move(task)); }
  bool empty() const { return tasks_.empty(); }
  // Runs each task that waits now at most once, the oldest first. `now`: the clock.
  void run(const std::function<Nanos()>& now) {
    const Nanos sliceEnd = now() + kSliceNs;
    for (auto left = tasks_.size(); left > 0 && now() < sliceEnd; --left) {
      const auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task(std::min(sliceEnd, now() + kTaskSliceNs));
    }
  }

 private:
  std::deque<Task> tasks_;
};

}  // namespace topazweir::net
