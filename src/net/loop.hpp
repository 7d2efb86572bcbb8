// The program's event loop: Poco's SocketReactor with timers. The poll timeout is set to the next timer
// instead of Poco's default of 250 ms, which would make deadlines fire late.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "memory/budget.hpp"
#include "net/backlog.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::net {

class Connection;

// Not thread-safe: all calls are made on the thread that runs the loop.
class Loop : public Poco::Net::SocketReactor {
 public:
  using TimerId = std::pair<Nanos, std::uint64_t>;

  Loop();
  ~Loop() override;
  // Unix time in nanoseconds, read once at start and advanced by the steady clock. It never goes back and can
  // be compared with the start times in server lists.
  Nanos now() const;
  // Runs a function once at a time of now(), or after a delay.
  TimerId at(Nanos when, std::function<void()> callback);
  TimerId after(Nanos delay, std::function<void()> callback) {
    return at(now() + delay, std::move(callback));
  }
  // Cancels a timer; no effect if it has already fired.
  void cancel(const TimerId& id);
  // Runs a function after the current socket event has been handled.
  void soon(std::function<void()> callback) { at(0, std::move(callback)); }

  // Prevents work for clients that disconnected while the loop was stalled (a stopped process, a long turn).
  // Timers run before socket events, and socket events come in any order, so a timer or a server's answer
  // could otherwise start work for such a client in the same iteration. If the accepted connections were last
  // polled more than kMaxClientPollAgeNs ago, polls all of them once and handles their input. Called before
  // each timer and each connection event; otherwise costs only a read of the clock. Returns true if it
  // polled.
  bool pollClientsIfStale();
  // Runs a task in turn with all others that wait: for work that a peer has sent ahead. What the task refers
  // to must be alive or checked by the task.
  void runInTurn(Backlog::Task task);
  // The bytes that all connections of the process buffer. Its limit is set by the program.
  memory::Budget& buffers() { return buffers_; }
  // The most by which a timer has run late since the last call, in nanoseconds.
  Nanos takeLongestLag() { return std::exchange(longestLag_, 0); }
  // True while pollClientsIfStale handles input. No work is started until the input of all clients is
  // handled.
  bool pollingClients() const { return pollingClients_; }
  // The set of accepted connections to poll; each connection unregisters itself when it ends.
  void registerAccepted(Connection& connection) { accepted_.insert(&connection); }
  void unregisterAccepted(Connection& connection) { accepted_.erase(&connection); }

 protected:
  void onBusy() override;
  void onTimeout() override;
  void onIdle() override { onTimeout(); }

 private:
  // Half of the 0.1 s after which no work may be started for a client that has disconnected.
  static constexpr Nanos kMaxClientPollAgeNs = 50'000'000;

  void runDueTimers();
  void scheduleBacklog();
  void updatePollTimeout();

  Nanos offset_ = 0;        // of Unix time from the steady clock
  memory::Budget buffers_;  // declared before timers_, whose callbacks may own connections
  Backlog backlog_;
  bool backlogScheduled_ = false;
  std::uint64_t lastTimerNumber_ = 0;
  std::map<TimerId, std::function<void()>> timers_;
  std::set<Connection*> accepted_;
  // Client activity up to this time has been handled.
  Nanos handledUntil_ = 0;
  // Client activity up to this time is handled once the events of the current iteration are.
  Nanos polledAt_ = 0;
  Nanos longestLag_ = 0;
  bool handlingEvents_ = false;  // the current iteration has socket events
  bool pollingClients_ = false;
};

}  // namespace topazweir::net
