// The core's clock on the loop.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "broker/ports.hpp"
#include "net/loop.hpp"

namespace topazweir::net {

class LoopClock : public broker::Clock {
 public:
  LoopClock(Loop& loop, std::function<void()> wake) : loop_(loop), wake_(std::move(wake)) {}
  // A core may end before the loop does, when a new configuration has replaced it: nothing wakes it any more.
  ~LoopClock() override {
    for (const auto& timer : timers_) loop_.cancel(timer);
  }
  LoopClock(const LoopClock&) = delete;
  LoopClock& operator=(const LoopClock&) = delete;
  Nanos now() const override { return loop_.now(); }
  bool gathering() const override { return loop_.hearing(); }
  void wakeAt(Nanos at) override {
    const auto timer = std::make_shared<Loop::TimerId>();
    *timer = loop_.at(at, [this, timer] {
      timers_.erase(*timer);
      wake_();
    });
    timers_.insert(*timer);
  }

 private:
  Loop& loop_;
  std::function<void()> wake_;
  std::set<Loop::TimerId> timers_;  // a few: the core asks only for moments earlier than the one it waits for
};

}  // namespace topazweir::net
