#include "net/loop.hpp"

#include <algorithm>
#include <chrono>

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

void Loop::fire() {
  // Timers set from here on wait for the next round: a timer that sets itself anew must not starve sockets.
  const auto latest = last_;
  const Nanos until = now();
  for (auto at = timers_.begin(); at != timers_.end() && at->first.first <= until;) {
    if (at->first.second > latest) {
      ++at;
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
