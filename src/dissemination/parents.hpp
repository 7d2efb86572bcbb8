// Selects this member's parent among the candidates of the tree, and changes to the next one when the parent
// is unresponsive, refuses this member, is slow, or has stale state while another has fresher. Does no I/O
// and reads no clock: events and `now` go in, actions to be sent come out. Memory is bounded by the number of
// candidates; a candidate that did not answer is avoided for a while, then forgotten. Where nobody has
// fresher state, probes back off exponentially with jitter, up to kMaxBackoffNs.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dissemination/tree.hpp"

namespace topazweir::dissemination {

inline constexpr Nanos kNeverConfirmedNs = INT64_MAX / 4;  // age of a state that no voter has confirmed

class Parents {
 public:
  // A message to be sent.
  struct Action {
    enum class Kind {
      subscribe,
      subscribeUrgently,  // no other parent was found
      renew,              // of the subscription, with a request for a heartbeat
      probe,              // asks a possible parent for a heartbeat, without a subscription
      unsubscribe
    } kind;
    std::string to;
  };
  using Actions = std::vector<Action>;

  Parents(Nanos parentTimeout, Nanos staleAfter, std::uint64_t seed)
      : parentTimeout_(parentTimeout), staleAfter_(staleAfter), random_(seed) {}

  void setTree(const Tree& tree, Nanos now);
  Actions tick(Nanos now);
  // Handles any message of a parent to its child. Returns whether `from` is the parent, or has become it by
  // answering the pending subscription.
  bool onMessage(const std::string& from, Nanos now, Actions& actions);
  // Handles a heartbeat of the parent or of a probed candidate. `age`: of its state, or kNeverConfirmedNs;
  // `interval`: until its next heartbeat. Returns whether `from` is the parent now.
  bool onHeartbeat(const std::string& from, Nanos age, Nanos interval, Nanos now, Actions& actions);
  void onRefused(const std::string& from, Nanos now, Actions& actions);
  // Leaves the parent, which is unresponsive, gone or slow, and avoids it for `avoid`.
  void leave(Nanos now, Actions& actions, Nanos avoid);
  // This process was stalled for `duration`, which does not count as silence of others.
  void onStall(Nanos duration, Nanos now);

  const std::string& parent() const { return parent_; }
  bool probed(const std::string& name) const { return probedAt_.contains(name); }
  std::uint64_t parentsLeft() const { return parentsLeft_; }

  static constexpr Nanos kMs = 1'000'000;
  static constexpr Nanos kSec = 1000 * kMs;
  static constexpr Nanos kAnswerTimeoutNs = 250 * kMs;       // of a subscription or probe
  static constexpr std::size_t kRefusalsUntilUrgent = 3;     // then slots kept for such members are used
  static constexpr Nanos kMaxBackoffNs = 3 * kSec;           // between two attempts
  static constexpr Nanos kAvoidUnresponsiveNs = 10 * kSec;   // a candidate that did not answer
  static constexpr Nanos kMinFreshnessGainNs = 500 * kMs;    // that justifies a change of the parent
  static constexpr Nanos kProbeDelayPerLevelNs = 300 * kMs;  // levels closer to the root probe first
  static constexpr std::size_t kProbesPerRound = 3;
  // Where relays exist, voters are probed in one of this many rounds.
  static constexpr std::size_t kVoterProbeRound = 4;

 private:
  Nanos parentAge(Nanos now) const;
  std::string nextCandidate(Nanos now, bool preferredOnly);
  bool avoids(const std::string& name, Nanos now) const;
  void tryNext(Nanos now, Actions& actions);
  void probeCandidates(Nanos now, Actions& actions);
  Nanos jitter(Nanos wait);
  bool preferred(const std::string& name) const;

  Nanos parentTimeout_, staleAfter_;
  std::mt19937_64 random_;
  std::vector<std::string> candidates_;
  std::size_t preferred_ = 0;           // the first so many candidates are preferred
  std::size_t relays_ = 0;              // candidates before the voters
  std::size_t levelsBelowTop_ = 0;      // of this member in the tree
  std::string parent_, pendingParent_;  // pending: subscribed to, has not answered yet
  Nanos heardAt_ = 0, renewedAt_ = 0, heartbeatInterval_ = 0;
  Nanos age_ = kNeverConfirmedNs;  // of the parent's state, as announced at ageAt_
  Nanos ageAt_ = 0;
  Nanos triedAt_ = 0, tryAt_ = 0, backoff_ = 0;
  bool urgent_ = false;
  Nanos staleSince_ = 0, probeAt_ = 0, probeBackoff_ = 0;
  Nanos preferredProbeAt_ = 0;  // next probe of a preferred candidate
  std::size_t nextProbed_ = 0, probeRounds_ = 0;
  std::map<std::string, Nanos> avoidedUntil_;  // candidates that did not answer or became unresponsive
  std::map<std::string, Nanos> refusedUntil_;  // candidates that refused, or were probed as preferred
  std::map<std::string, Nanos> probedAt_;      // only answers to these probes count
  std::uint64_t parentsLeft_ = 0;
};

}  // namespace topazweir::dissemination
