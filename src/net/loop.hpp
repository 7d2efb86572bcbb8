// The one loop of the program: Poco's SocketReactor with timers. The poll's time-out is the next timer's, and
// never Poco's default of 250 ms, which would let deadlines slip.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <map>
#include <utility>

#include "topazweir/aggregator.hpp"

namespace topazweir::net {

class Loop : public Poco::Net::SocketReactor {
 public:
  using TimerId = std::pair<Nanos, std::uint64_t>;

  Loop();
  ~Loop() override;
  // Unix time as it was at the start, carried on by the steady clock: it never goes back, and the start times
  // that lists name can be compared with it.
  Nanos now() const;
  TimerId at(Nanos when, std::function<void()> what);
  TimerId after(Nanos wait, std::function<void()> what) { return at(now() + wait, std::move(what)); }
  void cancel(const TimerId& id);
  // Runs it once the current socket event has been dealt with.
  void soon(std::function<void()> what) { at(0, std::move(what)); }

 protected:
  void onBusy() override { fire(); }
  void onTimeout() override { fire(); }
  void onIdle() override { fire(); }

 private:
  void fire();
  void adjust();

  Nanos offset_ = 0;
  std::uint64_t last_ = 0;
  std::map<TimerId, std::function<void()>> timers_;
};

}  // namespace topazweir::net
