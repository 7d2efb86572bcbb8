// Failure detector and membership view, after SWIM (Das, Gupta, Motivala 2002) with the Lifeguard extensions
// (Dadgar, Phillips, Currey 2017). Does no I/O and reads no clock: messages and `now` go in, messages and
// view changes come out.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>

#include "membership/record.hpp"

namespace topazweir::membership {

struct Settings {
  Nanos period = 1'000'000'000;        // between two probes
  Nanos probeTimeout = 400'000'000;    // direct probe timeout; after it, indirect probes are sent
  std::size_t indirectProbes = 3;      // members asked for an indirect probe
  double suspicionFactor = 4;          // shortest suspicion time: periods times log10 of the members
  double maxSuspicionFactor = 6;       // longest suspicion time as a multiple of the shortest
  std::size_t confirmations = 3;       // independent suspicions that bring the time down to the shortest
  std::size_t updatesPerMessage = 16;  // maximum records in a datagram
  std::size_t updateBytesPerMessage = 1100;  // of the 1,200 bytes that pass common links unfragmented
  std::size_t maxAmplification = 3;          // an answer is at most this many times the size of its request
  double retransmitFactor = 3;          // sends of each update: this times the natural log of the members
  int maxHealthScore = 8;               // maximum of the local health score (Lifeguard)
  Nanos syncInterval = 30'000'000'000;  // mean interval of full exchanges with a random member or absent seed
  Nanos forgetTimeout = 600'000'000'000;  // after which failed and left members are removed
  std::size_t maxMembers = 4096;          // records of further members are dropped
  bool lifeguard = true;  // false: no local health, confirmations or nacks, for comparison with plain SWIM
  std::uint64_t seed = 1;
};

struct Out {
  std::string to;  // address
  Message message;
};

struct Change {
  Record record;
  std::string cause;
};

// Result of one input to the detector.
struct Step {
  std::vector<Out> out;
  std::vector<Change> changes;
  std::string nameTakenBy{};  // address of another process that uses this member's name; empty: none
};

// A member in the view of this one.
struct Member {
  Record record;
  Load load{};        // last announced by the member itself
  Nanos since = 0;    // when this member recorded the current state
  Nanos heardAt = 0;  // when the last direct message arrived; 0: never
  std::string cause;  // of the current state
};

class Detector {
 public:
  Detector(Settings settings, Record self);

  Step join(const std::vector<std::string>& seeds, Nanos now);  // seeds: addresses
  Step leave(Nanos now);  // graceful: peers record `left` instead of `failed`
  Step tick(Nanos now);   // to be called a few times per period
  Step received(const Message& message, Nanos now);
  void says(Duty duty);  // announces this member's own duty
  void busy(const Load& load) { members_.at(self_).load = load; }

  const std::map<std::string, Member>& view() const { return members_; }
  std::size_t alive() const { return alive_; }  // alive and suspect members, this one included
  int health() const { return health_; }  // local health score (Lifeguard): 0 is healthy, higher is worse
  const Record& self() const { return members_.at(self_).record; }
  const Settings& settings() const { return settings_; }
  std::uint64_t dropped() const { return dropped_; }  // records dropped because of maxMembers

 private:
  struct Probe {
    std::string target;
    Nanos sentAt = 0;
    bool indirect = false;  // indirect probes have been requested
    std::size_t nacksDue = 0;
  };
  // An indirect probe sent on behalf of another member.
  struct RelayedProbe {
    std::string address;         // of the requester
    std::uint64_t sequence = 0;  // of the requester's probe
    Nanos sentAt = 0;
    bool nacked = false;
  };
  struct Suspicion {
    Nanos since = 0;
    std::set<std::string> by;  // names of the members whose probes failed
  };
  // An update in the gossip queue.
  struct QueuedUpdate {
    Record record;
    int sends = 0;
    Nanos queuedAt = 0;
  };
  double healthMultiplier() const { return settings_.lifeguard ? 1.0 + health_ : 1.0; }
  void adjustHealth(int delta);
  Nanos suspicionTime(const Suspicion& suspicion) const;
  std::string nextTarget();
  void startProbe(Step& step);
  void checkProbe(Step& step);
  void expireSuspicions(Step& step);
  void sync(Step& step);
  void forgetDeparted();
  void merge(const Record& record, const std::string& from, Step& step);
  void refute(const Record& record, Step& step);
  void setState(Record record, const std::string& cause, Step& step);
  void queueUpdate(const Record& record) { updates_[record.name] = {record, 0, now_}; }
  void send(Step& step, const std::string& to, Message message) {
    send(step, to, std::move(message), settings_.updateBytesPerMessage);
  }
  void send(Step& step, const std::string& to, Message message, std::size_t updateBytes);
  void addUpdates(Message& message, std::size_t updateBytes);
  std::size_t updateBytesOfAnswer(const Message& request) const;

  Settings settings_;
  std::string self_;
  std::mt19937_64 random_;
  Nanos now_ = 0, probeAt_ = 0, syncAt_ = 0, lastTick_ = 0;
  std::uint64_t sequence_ = 0, dropped_ = 0;
  std::size_t alive_ = 1;
  int health_ = 0;
  bool addressRefuted_ = false;  // a record of this name with another address has been refuted once
  std::map<std::string, Member> members_;
  std::map<std::string, Suspicion> suspicions_;
  std::vector<std::string> probeOrder_;  // rest of the current round, a random permutation of the members
  std::optional<Probe> probe_;           // outstanding
  std::uint64_t probeSequence_ = 0;
  std::map<std::uint64_t, RelayedProbe> relayedProbes_;  // by this member's own sequence
  std::map<std::string, QueuedUpdate> updates_;  // by member name; those with the fewest sends go first
  std::vector<std::string> seeds_;
};

}  // namespace topazweir::membership
