// State machine of the parent selection.
#include "dissemination/parents.hpp"

#include <algorithm>

namespace topazweir::dissemination {

using Kind = Parents::Action::Kind;

void Parents::setTree(const Tree& tree, Nanos now) {
  candidates_ = tree.candidates;
  preferred_ = tree.preferred;
  relays_ = tree.relays;
  levelsBelowTop_ = tree.top - tree.level;
  // Only ever moved forward: during a rolling restart, view changes come faster than this timer and would
  // postpone it for ever.
  preferredProbeAt_ = std::min(preferredProbeAt_, now + jitter(2 * kSec));
  tryAt_ = std::min(tryAt_, now);
  std::erase_if(avoidedUntil_, [&](const auto& a) { return a.second <= now; });
  std::erase_if(refusedUntil_, [&](const auto& a) { return a.second <= now; });
}

bool Parents::avoids(const std::string& name, Nanos now) const {
  const auto until = [&](const std::map<std::string, Nanos>& of) {
    const auto at = of.find(name);
    return at != of.end() && at->second > now;
  };
  return until(avoidedUntil_) || until(refusedUntil_);
}

Nanos Parents::jitter(Nanos wait) {
  return wait * 3 / 4 + static_cast<Nanos>(random_() % static_cast<std::uint64_t>(wait / 2 + 1));
}

bool Parents::preferred(const std::string& name) const {
  const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(preferred_);
  return std::find(candidates_.begin(), end, name) != end;
}

Nanos Parents::parentAge(Nanos now) const {
  return age_ >= kNeverConfirmedNs ? kNeverConfirmedNs : age_ + (now - ageAt_);
}

// The first candidate that is neither the parent nor avoided; empty: none is left.
std::string Parents::nextCandidate(Nanos now, bool preferredOnly) {
  const std::size_t end = preferredOnly ? preferred_ : candidates_.size();
  for (std::size_t i = 0; i < end; ++i) {
    const auto& name = candidates_[i];
    if (name != parent_ && !avoids(name, now)) return name;
  }
  return {};
}

void Parents::tryNext(Nanos now, Actions& actions) {
  pendingParent_ = nextCandidate(now, false);
  if (!pendingParent_.empty()) {
    triedAt_ = now;
    actions.push_back({urgent_ ? Kind::subscribeUrgently : Kind::subscribe, pendingParent_});
    return;
  }
  // All candidates have been tried: start over with exponential backoff.
  if (urgent_) avoidedUntil_.clear();
  refusedUntil_.clear();
  backoff_ = urgent_ ? std::min(kMaxBackoffNs, std::max(2 * backoff_, 250 * kMs)) : 20 * kMs;
  urgent_ = true;
  tryAt_ = now + jitter(backoff_);
}

void Parents::probeCandidates(Nanos now, Actions& actions) {
  std::erase_if(probedAt_, [&](const auto& l) { return now - l.second > kSec; });
  // Voters are few and are probed by the upper levels first; other members probe them in some rounds only.
  const bool voters =
      relays_ == 0 || levelsBelowTop_ <= 1 || probeRounds_ % kVoterProbeRound == kVoterProbeRound - 1;
  ++probeRounds_;
  const std::size_t end = voters ? candidates_.size() : relays_;
  std::size_t sent = 0;
  for (std::size_t i = 0; i < end && sent < kProbesPerRound; ++i) {
    const auto& name = candidates_[nextProbed_++ % end];
    if (name == parent_) continue;
    probedAt_[name] = now;
    actions.push_back({Kind::probe, name});
    ++sent;
  }
}

Parents::Actions Parents::tick(Nanos now) {
  Actions actions;
  if (!pendingParent_.empty() && now - triedAt_ >= kAnswerTimeoutNs) {
    avoidedUntil_[pendingParent_] = now + kAvoidUnresponsiveNs;
    actions.push_back({Kind::unsubscribe, pendingParent_});
    pendingParent_.clear();
    tryAt_ = now;
  }
  if (!parent_.empty()) {
    const Nanos silence = now - heardAt_;
    if (silence > std::max(parentTimeout_, heartbeatInterval_ + 400 * kMs)) {
      leave(now, actions, kAvoidUnresponsiveNs);
    } else if (silence > heartbeatInterval_ + 80 * kMs && now - renewedAt_ >= 150 * kMs) {
      renewedAt_ = now;
      actions.push_back({Kind::renew, parent_});
    }
  }
  if (parent_.empty() && pendingParent_.empty() && now >= tryAt_) tryNext(now, actions);
  if (parent_.empty()) return actions;
  if (parentAge(now) > staleAfter_) {
    if (staleSince_ == 0) {
      staleSince_ = now;
      probeBackoff_ = 250 * kMs;
      nextProbed_ = 0;
      probeRounds_ = 0;
      probeAt_ = now + static_cast<Nanos>(std::min<std::size_t>(levelsBelowTop_, 3)) * kProbeDelayPerLevelNs;
    }
    if (now >= probeAt_) {
      probeCandidates(now, actions);
      probeAt_ = now + jitter(probeBackoff_);
      probeBackoff_ = std::min(kMaxBackoffNs, 2 * probeBackoff_);
    }
    return actions;
  }
  staleSince_ = 0;
  if (preferred_ > 0 && now >= preferredProbeAt_) {
    preferredProbeAt_ = now + jitter(6 * kSec);
    const auto preferredCandidate = preferred(parent_) ? std::string() : nextCandidate(now, true);
    if (!preferredCandidate.empty()) {
      probedAt_[preferredCandidate] = now;
      actions.push_back({Kind::probe, preferredCandidate});
      // If this one does not answer, the next probe goes to another one.
      refusedUntil_[preferredCandidate] = now + 5 * kSec;
    }
  }
  return actions;
}

bool Parents::onMessage(const std::string& from, Nanos now, Actions& actions) {
  if (from == parent_) {
    heardAt_ = now;
    return true;
  }
  if (from != pendingParent_ || from.empty()) return false;
  if (!parent_.empty()) actions.push_back({Kind::unsubscribe, parent_});
  parent_ = from;
  pendingParent_.clear();
  heardAt_ = now;
  renewedAt_ = now;
  heartbeatInterval_ = parentTimeout_ / 2;
  age_ = kNeverConfirmedNs;
  staleSince_ = 0;
  backoff_ = 0;
  urgent_ = false;
  preferredProbeAt_ = now + jitter(8 * kSec);
  return true;
}

bool Parents::onHeartbeat(const std::string& from, Nanos age, Nanos interval, Nanos now, Actions& actions) {
  if (onMessage(from, now, actions)) {
    age_ = age;
    ageAt_ = now;
    heartbeatInterval_ = std::clamp<Nanos>(interval, 50 * kMs, 10 * kSec);
    if (age <= staleAfter_) staleSince_ = 0;
    return true;
  }
  const auto at = probedAt_.find(from);
  if (at == probedAt_.end() || now - at->second > kSec) return false;
  probedAt_.erase(at);
  if (parent_.empty()) return false;
  const Nanos currentAge = parentAge(now);
  const bool fresher =
      currentAge > staleAfter_ && age < kNeverConfirmedNs && age + kMinFreshnessGainNs < currentAge;
  const bool closer = preferred(from) && !preferred(parent_) && age <= staleAfter_;
  if (!fresher && !closer) return false;
  actions.push_back({Kind::unsubscribe, parent_});
  if (fresher) ++parentsLeft_;
  parent_ = from;
  pendingParent_.clear();
  actions.push_back({Kind::subscribe, from});
  heardAt_ = now;
  renewedAt_ = now;
  heartbeatInterval_ = std::clamp<Nanos>(interval, 50 * kMs, 10 * kSec);
  age_ = age;
  ageAt_ = now;
  staleSince_ = 0;
  return true;
}

void Parents::onRefused(const std::string& from, Nanos now, Actions& actions) {
  probedAt_.erase(from);
  if (from.empty() || (from != parent_ && from != pendingParent_)) return;
  refusedUntil_[from] = now + kAvoidUnresponsiveNs / 2;
  if (from == pendingParent_) pendingParent_.clear();
  // From now on, members use the slots that they keep for those that find no other parent.
  if (!urgent_ && refusedUntil_.size() >= kRefusalsUntilUrgent) {
    urgent_ = true;
    refusedUntil_.clear();
  }
  if (from == parent_) {
    parent_.clear();
    ++parentsLeft_;
  }
  if (parent_.empty() && pendingParent_.empty()) tryNext(now, actions);
}

void Parents::leave(Nanos now, Actions& actions, Nanos avoid) {
  if (parent_.empty()) return;
  actions.push_back({Kind::unsubscribe, parent_});
  avoidedUntil_[parent_] = now + avoid;
  parent_.clear();
  ++parentsLeft_;
  tryAt_ = now;
  if (pendingParent_.empty()) tryNext(now, actions);
}

void Parents::onStall(Nanos duration, Nanos now) {
  heardAt_ = std::min(now, heardAt_ + duration);
  triedAt_ = std::min(now, triedAt_ + duration);
}

}  // namespace topazweir::dissemination
