#include "net/loop.hpp"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include "net/connection.hpp"

namespace topazweir::net {

namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr Nanos kLongestPoll = 100 * kMillisecond;

Nanos steady() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Loop::Loop() : SocketReactor(Poco::Timespan(kLongestPoll / 1000)) {
  const auto unix = std::chrono::system_clock::now().time_since_epoch();
  offset_ = std::chrono::duration_cast<std::chrono::nanoseconds>(unix).count() - steady();
  heardAt_ = polledAt_ = now();
}

// What a timer holds may cancel timers as it goes, such as a connection that still lingers at the end: it
// goes while the loop is whole.
Loop::~Loop() { const auto last = std::exchange(timers_, {}); }

Nanos Loop::now() const { return steady() + offset_; }

Loop::TimerId Loop::at(Nanos when, std::function<void()> what) {
  const TimerId id{when, ++last_};
  timers_.emplace(id, std::move(what));
  if (timers_.begin()->first == id) adjust();
  return id;
}

void Loop::cancel(const TimerId& id) { timers_.erase(id); }

// Some sockets have events: they are dealt with behind the timers.
void Loop::onBusy() {
  heardAt_ = std::max(heardAt_, polledAt_);
  polledAt_ = now();
  busy_ = true;
  fire();
}

// No socket had an event, or all that had have been dealt with.
void Loop::onTimeout() {
  if (!std::exchange(busy_, false)) polledAt_ = now();
  heardAt_ = std::max(heardAt_, polledAt_);
  fire();
}

bool Loop::hearClients() {
  if (hearing_ || now() - heardAt_ <= kUnheard) return false;
  std::vector<pollfd> looks;
  std::vector<std::shared_ptr<Connection>> clients;
  looks.reserve(accepted_.size());
  clients.reserve(accepted_.size());
  for (auto* connection : accepted_) {
    looks.push_back({connection->fd(), POLLIN | POLLRDHUP, 0});
    clients.push_back(connection->shared_from_this());
  }
  hearing_ = true;
  const std::shared_ptr<void> whole(nullptr, [this](void*) {
    heardAt_ = now();  // not earlier: a look that takes long must not lead to the next one at once
    hearing_ = false;
  });
  if (::poll(looks.data(), looks.size(), 0) <= 0) return true;
  for (std::size_t i = 0; i < looks.size(); ++i)
    if (looks[i].revents != 0) clients[i]->hear((looks[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
  return true;
}

void Loop::fire() {
  hearClients();  // first: the turns that wait for it are run in this round
  // Timers set from here on wait for the next round: a timer that sets itself anew must not starve sockets.
  const auto latest = last_;
  const Nanos until = now();
  for (auto at = timers_.begin(); at != timers_.end() && at->first.first <= until;) {
    if (at->first.second > latest) {
      ++at;
      continue;
    }
    if (hearClients()) {  // an earlier one took long
      at = timers_.begin();
      continue;
    }
    const auto what = std::move(at->second);
    timers_.erase(at);
    what();
    at = timers_.begin();  // it may have set or cancelled any other
  }
  adjust();
}

// The poll counts in whole milliseconds and rounds down: rounded up here, or the loop would spin.
void Loop::adjust() {
  Nanos wait = timers_.empty() ? kLongestPoll
                               : std::clamp<Nanos>(timers_.begin()->first.first - now(), 0, kLongestPoll);
  wait = (wait + kMillisecond - 1) / kMillisecond * kMillisecond;
  setTimeout(Poco::Timespan(wait / 1000));
}

}  // namespace topazweir::net
