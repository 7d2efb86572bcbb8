// The broker's clock and wake-up timer, implemented on the event loop.
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
  // A broker that a new configuration replaces is destroyed before the loop: its timers must not fire later.
  ~LoopClock() override {
    for (const auto& timer : timers_) loop_.cancel(timer);
  }
  LoopClock(const LoopClock&) = delete;
  LoopClock& operator=(const LoopClock&) = delete;
  Nanos now() const override { return loop_.now(); }
  bool gathering() const override { return loop_.pollingClients(); }
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
  // Pending wake-ups. There are few: the broker only asks for times earlier than its next wake-up.
  std::set<Loop::TimerId> timers_;
};

}  // namespace topazweir::net
