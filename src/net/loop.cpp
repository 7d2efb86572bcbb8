#include "net/loop.hpp"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include "net/connection.hpp"

namespace topazweir::net {

namespace {

constexpr Nanos kMillisecondNs = 1'000'000;
constexpr Nanos kMaxPollTimeoutNs = 100 * kMillisecondNs;

Nanos steadyNow() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Loop::Loop() : SocketReactor(Poco::Timespan(kMaxPollTimeoutNs / 1000)) {
  const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
  offset_ = std::chrono::duration_cast<std::chrono::nanoseconds>(unixTime).count() - steadyNow();
  handledUntil_ = polledAt_ = now();
}

// Destroying a timer's callback may cancel other timers, e.g. through a connection that is still lingering.
// The callbacks are therefore destroyed while all members of the loop still exist.
Loop::~Loop() { const auto remaining = std::exchange(timers_, {}); }

Nanos Loop::now() const { return steadyNow() + offset_; }

Loop::TimerId Loop::at(Nanos when, std::function<void()> callback) {
  const TimerId id{when, ++lastTimerNumber_};
  timers_.emplace(id, std::move(callback));
  if (timers_.begin()->first == id) updatePollTimeout();
  return id;
}

void Loop::runInTurn(Backlog::Task task) {
  backlog_.add(std::move(task));
  scheduleBacklog();
}

void Loop::scheduleBacklog() {
  if (backlog_.empty() || std::exchange(backlogScheduled_, true)) return;
  soon([this] {
    backlogScheduled_ = false;
    backlog_.run([this] { return now(); });
    scheduleBacklog();
  });
}

void Loop::cancel(const TimerId& id) { timers_.erase(id); }

// Called by the reactor when sockets have events, which are handled after the timers.
void Loop::onBusy() {
  handledUntil_ = std::max(handledUntil_, polledAt_);
  polledAt_ = now();
  handlingEvents_ = true;
  runDueTimers();
}

// Called by the reactor when no socket had an event, or when all socket events have been handled.
void Loop::onTimeout() {
  if (!std::exchange(handlingEvents_, false)) polledAt_ = now();
  handledUntil_ = std::max(handledUntil_, polledAt_);
  runDueTimers();
}

bool Loop::pollClientsIfStale() {
  if (pollingClients_ || now() - handledUntil_ <= kMaxClientPollAgeNs) return false;
  std::vector<pollfd> polled;
  std::vector<std::shared_ptr<Connection>> clients;
  polled.reserve(accepted_.size());
  clients.reserve(accepted_.size());
  for (auto* connection : accepted_) {
    polled.push_back({connection->fd(), POLLIN | POLLRDHUP, 0});
    clients.push_back(connection->shared_from_this());
  }
  pollingClients_ = true;
  const std::shared_ptr<void> onReturn(nullptr, [this](void*) {
    handledUntil_ = now();  // taken at the end, so that a slow poll does not trigger the next one at once
    pollingClients_ = false;
  });
  if (::poll(polled.data(), polled.size(), 0) <= 0) return true;
  for (std::size_t i = 0; i < polled.size(); ++i)
    if (polled[i].revents != 0)
      clients[i]->handlePolledInput((polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
  return true;
}

void Loop::runDueTimers() {
  pollClientsIfStale();  // first: turns put off during it run in this iteration
  // Timers added from here on wait for the next iteration: a timer that re-arms itself must not starve the
  // socket events.
  const auto newestTimer = lastTimerNumber_;
  const Nanos dueBy = now();
  for (auto next = timers_.begin(); next != timers_.end() && next->first.first <= dueBy;) {
    if (next->first.second > newestTimer) {
      ++next;
      continue;
    }
    if (pollClientsIfStale()) {  // an earlier timer took long
      next = timers_.begin();
      continue;
    }
    const Nanos due = next->first.first;
    if (due > 0) longestLag_ = std::max(longestLag_, dueBy - due);  // 0: soon(), due at no time of its own
    const auto callback = std::move(next->second);
    timers_.erase(next);
    callback();
    next = timers_.begin();  // the callback may have added or cancelled any timer
  }
  updatePollTimeout();
}

// The poll takes whole milliseconds and rounds down. The timeout is rounded up here, or the loop would spin
// until the next timer is due.
void Loop::updatePollTimeout() {
  Nanos timeout = timers_.empty()
                      ? kMaxPollTimeoutNs
                      : std::clamp<Nanos>(timers_.begin()->first.first - now(), 0, kMaxPollTimeoutNs);
  timeout = (timeout + kMillisecondNs - 1) / kMillisecondNs * kMillisecondNs;
  setTimeout(Poco::Timespan(timeout / 1000));
}

}  // namespace topazweir::net
