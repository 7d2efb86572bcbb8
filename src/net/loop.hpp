// The one loop of the program: Poco's SocketReactor with timers. The poll's time-out is the next timer's, and
// never Poco's default of 250 ms, which would let deadlines slip.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "topazweir/aggregator.hpp"

namespace topazweir::net {

class Connection;

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

  // Guards clients that have left while the loop stood still (a stopped process, a long turn): a timer or a
  // server's answer of the same round would go on for them, since the sockets' events come in any order and
  // behind the timers. With the last look at clients more than kUnheard ago, all accepted connections are
  // looked at once and what they bring is dealt with; called ahead of each timer and of each connection's
  // event. Costs a look at the clock else. True: they have been looked at.
  bool hearClients();
  // What comes now are clients, one after the other: nothing is begun for any of them before all are heard.
  bool hearing() const { return hearing_; }
  // The accepted connections; each takes itself off in the end.
  void accepted(Connection& connection) { accepted_.insert(&connection); }
  void gone(Connection& connection) { accepted_.erase(&connection); }

 protected:
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { onTimeout(); }

 private:
  // Half of the 0.1 s after which nothing may begin for a client that has left.
  static constexpr Nanos kUnheard = 50'000'000;

  void fire();
  void adjust();

  Nanos offset_ = 0;
  std::uint64_t last_ = 0;
  std::map<TimerId, std::function<void()>> timers_;
  std::set<Connection*> accepted_;
  Nanos heardAt_ = 0;   // what clients had done by then is known here
  Nanos polledAt_ = 0;  // what they had done by then is known once this round's events have been dealt with
  bool busy_ = false, hearing_ = false;
};

}  // namespace topazweir::net
