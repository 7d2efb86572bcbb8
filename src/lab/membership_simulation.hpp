// Simulation of a fleet's failure detection, for tests and experiments: each member is a real detector on a
// virtual clock. Messages take 1 to 20 ms and may be lost or blocked by a partition. All random numbers come
// from one seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "lab/virtual_clock.hpp"
#include "membership/detector.hpp"

namespace topazweir::lab {

// Members are numbered from 0; member i has the name and address "m<i>".
class MembershipSimulation : public VirtualClock {
 public:
  using Detector = membership::Detector;

  // Starts all members and runs until each has exchanged its full view.
  MembershipSimulation(int members, std::uint64_t seed, membership::Settings settings = {})
      : settings_(settings), random_(seed) {
    for (int i = 0; i < members; ++i) start(i);
    run(kFirstExchange);
  }
  // Starts or restarts a member; it joins through members 0 and 1.
  void start(int i) {
    settings_.seed = random_();
    auto& member = members_[i];
    member = Member{
        std::make_unique<Detector>(settings_, membership::Record{name(i), name(i), "a", "1"}), true, 0, {}};
    const auto token = ++member.token;
    perform(i, member.detector->join({name(0), name(1)}, now));
    tick(i, token);
  }
  void kill(int i) { members_[i].up = false; }
  // The process stops for `time`; messages to it wait.
  void stall(int i, Nanos time) { members_[i].stalledUntil = now + time; }
  // Leaves gracefully, then stops.
  void leave(int i) {
    perform(i, members_[i].detector->leave(now));
    kill(i);
  }
  // The number of running members that see member i in a state from `least` to `most`.
  int hold(int i, membership::State least, membership::State most) const {
    int count = 0;
    for (const auto& [k, m] : members_) {
      const auto found = m.detector->view().find(name(i));
      count += m.up && k != i && found != m.detector->view().end() && found->second.record.state >= least &&
               found->second.record.state <= most;
    }
    return count;
  }
  int running() const {
    int count = 0;
    for (const auto& [i, m] : members_) count += m.up;
    return count;
  }
  // Whether all running members see exactly the running members as alive.
  bool oneView() const {
    for (const auto& [i, m] : members_) {
      const int others = running() - (m.up ? 1 : 0);
      if (m.up ? hold(i, membership::State::alive, membership::State::alive) != others
               : hold(i, membership::State::alive, membership::State::suspect) != 0)
        return false;
    }
    return true;
  }
  Detector& at(int i) { return *members_.at(i).detector; }
  static std::string name(int i) { return "m" + std::to_string(i); }

  double loss = 0;                                                     // share of the messages
  std::function<bool(int, int)> cut = [](int, int) { return false; };  // (from, to): the link is blocked
  // Failures concluded from suspicion, of members that run, were not stalled in the last 15 s and are
  // reachable.
  int falseFailures = 0;
  std::size_t maxUpdates = 0;  // the largest number of updates in one datagram
  std::size_t datagrams = 0;   // messages sent
  // Called on each change of the view of `member`.
  std::function<void(int member, const membership::Change&)> onChange = [](int, const auto&) {};
  // Called on each message sent.
  std::function<void(const membership::Out&)> onSend = [](const auto&) {};

  static constexpr Nanos kMs = 1'000'000;
  static constexpr Nanos kSec = 1000 * kMs;
  static constexpr Nanos kFirstExchange = 70 * kSec;  // by then each member has made a full exchange

 private:
  static constexpr Nanos kTickInterval = 50 * kMs;
  static constexpr std::uint64_t kMaxLatencyMs = 20;
  static constexpr Nanos kRecovery =
      15 * kSec;  // after a stall; until then verdicts on the member are not false

  struct Member {
    std::unique_ptr<Detector> detector;
    bool up = false;
    Nanos stalledUntil = 0;
    int token = 0;  // 1 after each start, so ticks from before a restart go on beside the new ones
  };
  // Runs an action now, or after the stall of a member; messages wait for it as in a socket's buffer.
  void whenRunning(int i, const std::function<void()>& action) {
    const Nanos wait = members_.at(i).stalledUntil - now;
    wait > 0 ? after(wait, [this, i, action] { whenRunning(i, action); }) : action();
  }
  void tick(int i, int token) {
    whenRunning(i, [this, i, token] {
      auto& m = members_.at(i);
      if (!m.up || m.token != token) return;
      perform(i, m.detector->tick(now));
      after(kTickInterval, [this, i, token] { tick(i, token); });
    });
  }
  // Counts and delivers what a detector returned.
  void perform(int i, membership::Step step) {
    for (const auto& change : step.changes) onChange(i, change);
    for (const auto& change : step.changes)
      for (const auto& [k, m] : members_)
        falseFailures += change.record.state == membership::State::failed && change.cause[0] == 's' && m.up &&
                         name(k) == change.record.name && m.stalledUntil + kRecovery <= now && !cut(i, k) &&
                         !cut(k, i);
    for (auto& out : step.out) {
      ++datagrams;
      onSend(out);
      if (out.message.kind < membership::Kind::sync)
        maxUpdates = std::max(maxUpdates, out.message.news.size());
      const int to = std::stoi(out.to.substr(1));
      if (cut(i, to) || std::uniform_real_distribution<>(0, 1)(random_) < loss) continue;
      after(static_cast<Nanos>(1 + random_() % kMaxLatencyMs) * kMs,
            [this, to, message = std::move(out.message)] {
              whenRunning(to, [this, to, message] {
                auto& m = members_.at(to);
                if (m.up) perform(to, m.detector->received(message, now));
              });
            });
    }
  }

  membership::Settings settings_;
  std::mt19937_64 random_;
  std::map<int, Member> members_;
};

}  // namespace topazweir::lab
