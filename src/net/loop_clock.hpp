// The core's clock on the loop.
#pragma once

#include <functional>

#include "broker/ports.hpp"
#include "net/loop.hpp"

namespace topazweir::net {

class LoopClock : public broker::Clock {
 public:
  LoopClock(Loop& loop, std::function<void()> wake) : loop_(loop), wake_(std::move(wake)) {}
  Nanos now() const override { return loop_.now(); }
  void wakeAt(Nanos at) override { loop_.at(at, wake_); }

 private:
  Loop& loop_;
  std::function<void()> wake_;
};

}  // namespace topazweir::net
