// Checks the invariants of dissemination in simulated schedules: each member holds a prefix of the committed
// log, as a whole, and never goes back; its state is not considered fresher than any confirmation that can
// have reached it; no member exceeds its send budget or its limit of children; in the end all members have
// converged and the leader's counts show it.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/dissemination_simulation.hpp"

namespace topazweir::test {

using lab::DisseminationSimulation;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;

class Checker {
 public:
  // `deep`: compares each register by content whenever it changes; otherwise by its number, and by content at
  // the end.
  Checker(DisseminationSimulation& fleet, bool deep) : fleet_(fleet), deep_(deep), observed_(fleet.size()) {
    fleet_.agreedOn = [this] { onCommitted(); };
    fleet_.started = [this](int i) { of(i) = {}; };
    fleet_.stepped = [this](int i) { onStep(i); };
    onCommitted();
  }
  // Fault injection: replaces the register of a member as observed by this checker; null: the member's own
  // register.
  std::function<const agreement::Register*(int)> injectedRegister = nullptr;
  const agreement::Register& held(int i) const {
    const auto* other = injectedRegister ? injectedRegister(i) : nullptr;
    return other ? *other : fleet_.at(i).node->held();
  }
  std::size_t extraChildren = 0;

  bool converged() const {
    for (int i = 0; i < fleet_.size(); ++i)
      if (fleet_.at(i).up &&
          !(held(i).commands() == fleet_.truth().commands() && position(held(i)) == position(fleet_.truth())))
        return false;
    return true;
  }
  int running() const {
    int count = 0;
    for (int i = 0; i < fleet_.size(); ++i) count += fleet_.at(i).up;
    return count;
  }
  bool countsMatch() const {
    const auto sum = fleet_.at(fleet_.leader()).node->inForce();
    const auto all = static_cast<std::uint64_t>(running());
    return sum.members == all && sum.level == all && sum.low == position(fleet_.truth()) &&
           sum.slowest.empty();
  }
  // Runs until all members have converged and the leader's counts show it; false: not within the limit.
  bool runUntilConverged(Nanos limit) {
    for (const Nanos end = fleet_.now + limit; fleet_.now < end;) {
      if (converged() && countsMatch()) return true;
      fleet_.run(100 * kMs);
    }
    return converged() && countsMatch();
  }
  void checkFinalState() {
    if (!converged()) addViolation("members have not converged at the end");
    if (!countsMatch()) addViolation("the leader's counts differ from the fleet's");
    for (int i = 0; i < fleet_.size(); ++i)
      if (fleet_.at(i).up && !(held(i) == fleet_.truth())) addViolation("a register differs at the end");
    checkBudgets();
  }
  void checkBudgets() {
    const auto& s = fleet_.options().settings;
    const auto maxPerMinute = static_cast<std::uint64_t>(s.bytesPerSecond * 60) + s.burstBytes + 1;
    // Twice the data burst of a tenth of a second, plus control messages, which are not paced.
    const std::uint64_t maxPerTick = 2 * 32 * 1024 + 16 * 1024;
    for (int i = 0; i < fleet_.size(); ++i) {
      if (fleet_.at(i).maxBytesInMinute > maxPerMinute)
        addViolation("sent more in a minute than the budget allows");
      if (fleet_.at(i).maxBytesInTick > maxPerTick) addViolation("sent more at once than the budget allows");
    }
  }
  void addViolation(const std::string& what) { violations.insert(what); }

  std::set<std::string> violations;

  // A message may have waited in the socket of a member whose stall was too short for the module to notice.
  static constexpr Nanos kMaxUnnoticedDelayNs = 600 * kMs;

  static dissemination::Position position(const agreement::Register& r) {
    const auto* at = r.find(dissemination::kGenerationKey);
    std::uint64_t generation = 0;
    if (at) std::from_chars(at->value.data(), at->value.data() + at->value.size(), generation);
    return {generation, r.commands()};
  }

 private:
  struct Observed {
    dissemination::Position at;
    Nanos ageCheckedAt = 0;
  };
  static std::uint64_t digest(const agreement::Register& r) {
    std::uint64_t h = 1469598103934665603u;
    const auto mix = [&](std::string_view text) {
      for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211u;
      h = (h ^ 0x1ff) * 1099511628211u;
    };
    for (const auto& [key, held] : r.all()) {
      mix(key);
      mix(held.value);
      h = (h ^ held.fence) * 1099511628211u;
    }
    return h;
  }
  Observed& of(int i) { return observed_[static_cast<std::size_t>(i)]; }
  void onCommitted() {
    const auto& truth = fleet_.truth();
    if (deep_) committedDigests_[truth.commands()].insert(digest(truth));
  }
  void onStep(int i) {
    auto& observed = of(i);
    auto& m = fleet_.at(i);
    const auto& registerHeld = held(i);
    // Another register with the same number is detected by deep checkers only.
    if (registerHeld.commands() != observed.at.number || (deep_ && position(registerHeld) != observed.at)) {
      const auto at = position(registerHeld);
      if (at < observed.at) addViolation("a register went back");
      observed.at = at;
      if (deep_) {
        const auto known = committedDigests_.find(at.number);
        if (known == committedDigests_.end() || !known->second.contains(digest(registerHeld)))
          addViolation("a register matches no committed prefix of the log");
      }
    }
    const auto& s = fleet_.options().settings;
    const auto maxShare =
        s.relays.empty() ? 0 : static_cast<std::size_t>(fleet_.size());  // all members, if one relay is left
    if (m.node->children() + extraChildren > 2 * std::max(s.fanOut, maxShare))
      addViolation("more children than twice the fan-out");
    if (m.votes && fleet_.led(i)) recordVoterPosition(positionOf(i));
    if (fleet_.now < observed.ageCheckedAt) return;
    observed.ageCheckedAt = fleet_.now + 500 * kMs;
    const Nanos age = m.node->age(fleet_.now);
    if (age < 0) return;
    const Nanos since = fleet_.now - age;
    if (since > m.freshest + kMaxUnnoticedDelayNs)
      addViolation("an age younger than any confirmation received");
    // The state must be at least as new as that of some voter that knew of a leader at the confirmed time.
    if (!m.votes && lowestVoterPosition(since) > observed.at) addViolation("a stale state considered fresh");
  }
  dissemination::Position positionOf(int i) const { return position(fleet_.at(i).node->held()); }
  // Records the lowest position, per 100 ms, of the voters that know of a leader.
  void recordVoterPosition(const dissemination::Position& at) {
    const Nanos slot = fleet_.now / (100 * kMs);
    const auto [found, fresh] = lowestVoterPosition_.try_emplace(slot, at);
    if (!fresh) found->second = std::min(found->second, at);
  }
  dissemination::Position lowestVoterPosition(Nanos when) const {
    const Nanos slot = when / (100 * kMs);
    auto at = lowestVoterPosition_.lower_bound(slot - 3);
    dissemination::Position out{~0ull, ~0ull};
    bool any = false;
    for (; at != lowestVoterPosition_.end() && at->first <= slot + 3; ++at) {
      out = std::min(out, at->second);
      any = true;
    }
    return any ? out : dissemination::Position{};
  }

  DisseminationSimulation& fleet_;
  bool deep_;
  std::vector<Observed> observed_;
  std::unordered_map<std::uint64_t, std::set<std::uint64_t>> committedDigests_;
  std::map<Nanos, dissemination::Position> lowestVoterPosition_;
};

}  // namespace topazweir::test
