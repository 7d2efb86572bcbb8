// Simulation of dissemination, for tests and experiments: each member is a real disseminator on a virtual
// clock; the voters are fed from a scripted log. Messages are delayed, lost, duplicated, corrupted or blocked
// by a partition; members crash, stall and restart empty; the membership view lags. All random numbers come
// from one seed.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "agreement/register.hpp"
#include "dissemination/disseminator.hpp"

namespace topazweir::lab {

// Members are numbered from 0 and named "m<i>".
class DisseminationSimulation {
 public:
  using Disseminator = dissemination::Disseminator;
  static constexpr Nanos kMs = 1'000'000;
  static constexpr Nanos kSec = 1000 * kMs;

  struct Options {
    int members = 10;
    int voters = 3;                    // the first of the members
    int regions = 1;                   // zones are assigned to regions round-robin
    int zones = 1;                     // members are assigned to zones round-robin
    dissemination::Settings settings;  // for all members; name, zone, voters and seed are set here
    Nanos tickInterval = 100 * kMs;
    Nanos maxViewLag = 3 * kSec;  // maximum from a start or crash until a member sees it
    Nanos minViewLag = 0;         // the minimum
    // One-way latency of a message. Within a region: 1 ms and a random part below `regionLatency`.
    Nanos regionLatency = 20 * kMs;
    Nanos minCrossRegionLatency = 40 * kMs;
    Nanos maxCrossRegionLatency = 80 * kMs;
    std::uint64_t seed = 1;
  };
  struct Member {
    std::string name;
    std::string zone;
    int region = 0;
    bool votes = false;
    std::unique_ptr<Disseminator> node;
    bool up = false;
    int token = 0;  // of the latest start, so that ticks of an earlier one end
    Nanos stalledUntil = 0;
    Nanos startedAt = 0;
    agreement::Register persisted;  // of a voter: the register on its disk
    std::uint64_t ticks = 0;
    // Of a voter: from a time on, it has this many entries of the log.
    std::vector<std::pair<Nanos, std::uint64_t>> replication;
    // The latest time at which a voter's state can have influenced this member, followed along the messages
    // that reached it; -1: none.
    Nanos freshest = -1;
    // Bytes sent. A minute is a sliding window of 60 slots of a second, a tick a window of 100 ms.
    std::vector<std::uint64_t> sentInSecond = std::vector<std::uint64_t>(60, 0);  // by second % 60
    Nanos currentSecond = 0;
    std::uint64_t sentInMinute = 0;
    std::uint64_t maxBytesInMinute = 0;  // the largest sentInMinute
    std::uint64_t sentBytes = 0;
    std::uint64_t sentInTick = 0;
    std::uint64_t maxBytesInTick = 0;  // the largest sentInTick
    Nanos currentTick = 0;
  };

  explicit DisseminationSimulation(Options options) : options_(std::move(options)), random_(options_.seed) {
    auto& s = options_.settings;
    for (int i = 0; i < options_.voters; ++i) s.voters.push_back(nameOf(i));
    for (int i = 0; i < options_.members; ++i) {
      Member m;
      const int zone = i % options_.zones;
      m.name = nameOf(i);
      m.zone = "z" + std::to_string(zone);
      m.region = zone % options_.regions;
      m.votes = i < options_.voters;
      members_.push_back(std::move(m));
    }
  }
  // Starts all members, each with a complete view.
  void startAll() {
    for (int i = 0; i < options_.members; ++i) start(i, false);
    for (int i = 0; i < options_.members; ++i) tell(i);
  }
  // Starts or restarts a member with an empty register; a voter has that of its disk.
  void start(int i, bool updateViews = true) {
    auto& m = at(i);
    auto s = options_.settings;
    s.self = m.name;
    s.zone = m.zone;
    s.votes = m.votes;
    s.seed = random_();
    m.node = std::make_unique<Disseminator>(s);
    m.up = true;
    m.startedAt = now;
    m.freshest = -1;
    m.sentInSecond.assign(60, 0);
    m.sentInMinute = 0;
    m.sentInTick = 0;
    ++m.token;
    started(i);
    if (m.votes) {  // all of its log is on its disk
      m.replication.clear();
      feed(i, true);
    }
    tick(i, m.token);
    if (updateViews) updateAllViews();
    if (updateViews) tell(i);
  }
  void kill(int i) { kill(std::vector<int>{i}); }
  void kill(const std::vector<int>& several) {
    for (const int i : several) at(i).up = false;
    updateAllViews();
  }
  // The process stops for `time`; messages to it wait.
  void stall(int i, Nanos time) { at(i).stalledUntil = std::max(at(i).stalledUntil, now + time); }
  // Updates the view of each member, each after its own random lag.
  void updateAllViews() {
    for (int i = 0; i < options_.members; ++i)
      after(options_.minViewLag + draw(options_.maxViewLag - options_.minViewLag) + kMs,
            [this, i] { tell(i); });
  }
  // Gives member i its present view.
  void tell(int i) {
    auto& m = at(i);
    if (!m.up) return;
    std::vector<dissemination::Peer> view;
    view.reserve(members_.size());
    for (int k = 0; k < options_.members; ++k)
      view.push_back({at(k).name, at(k).zone, at(k).up && !cut(i, k) && !cut(k, i)});
    m.node->sees(std::move(view));
  }

  // Makes a voter the leader.
  void lead(int voter) {
    leader_ = voter;
    for (int i = 0; i < options_.voters; ++i) feed(i, false);
  }
  int leader() const { return leader_; }
  // Whether voter i is the leader, or follows one that has a majority.
  bool led(int i) const {
    if (leader_ < 0 || !at(i).up || at(i).stalledUntil > now || !majority()) return false;
    return i == leader_ || (!cut(leader_, i) && !cut(i, leader_));
  }
  // Whether there is a leader that reaches a majority of the voters.
  bool majority() const {
    if (leader_ < 0 || !at(leader_).up || at(leader_).stalledUntil > now) return false;
    int reachable = 0;
    for (int i = 0; i < options_.voters; ++i)
      reachable +=
          i == leader_ || (at(i).up && at(i).stalledUntil <= now && !cut(leader_, i) && !cut(i, leader_));
    return 2 * reachable > options_.voters;
  }
  // Commits a command; the followers have it after a round trip. False if no leader has a majority.
  bool propose(agreement::Command command) {
    if (!majority()) return false;
    log_.push_back(std::move(command));
    truth_.apply(log_.back());
    agreedOn();
    for (int i = 0; i < options_.voters; ++i) {
      const Nanos wait = i == leader_ ? 0 : 2 * latency(leader_, i);
      at(i).replication.emplace_back(now + wait, log_.size());
      after(wait, [this, i] { feed(i, false); });
    }
    return true;
  }
  // Empties the data folders of all voters and restarts them: the same voters without state.
  void emptyVoters() {
    log_.clear();
    truth_ = {};
    for (int i = 0; i < options_.voters; ++i) at(i).persisted = {};
    agreedOn();
    for (int i = 0; i < options_.voters; ++i) start(i);
  }
  // The register with all committed commands.
  const agreement::Register& truth() const { return truth_; }
  const std::vector<agreement::Command>& log() const { return log_; }
  // Sends a message as if member i had.
  void sendAs(int i, dissemination::Out out) { sendAll(i, {std::move(out)}); }

  Member& at(int i) { return members_[static_cast<std::size_t>(i)]; }
  const Member& at(int i) const { return members_[static_cast<std::size_t>(i)]; }
  int size() const { return options_.members; }
  int voters() const { return options_.voters; }
  const Options& options() const { return options_; }
  static std::string nameOf(int i) { return "m" + std::to_string(i); }
  static int indexOf(const std::string& name) { return std::stoi(name.substr(1)); }
  // A random number in [0, below); 0 if `below` is 0.
  std::uint64_t draw(std::uint64_t below) { return below ? random_() % below : 0; }
  Nanos draw(Nanos below) { return static_cast<Nanos>(draw(static_cast<std::uint64_t>(below))); }
  // True with probability p.
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }

  // Schedules a call `wait` after the present time.
  void after(Nanos wait, std::function<void()> action) {
    Event event;
    event.action = std::move(action);
    schedule(now + wait, std::move(event));
  }
  // Advances the clock by `time` and handles the events that come due.
  void run(Nanos time) {
    const Nanos end = now + time;
    while (!queue_.empty() && queue_.front().at <= end) {
      std::pop_heap(queue_.begin(), queue_.end());
      const Due due = queue_.back();
      queue_.pop_back();
      Event event = std::move(events_[due.slot]);
      freeSlots_.push_back(due.slot);
      now = std::max(now, due.at);
      if (event.action)
        event.action();
      else if (event.from < 0)
        tick(event.to, event.token);
      else
        deliver(std::move(event));
    }
    now = end;
  }

  Nanos now = 1'000'000'000'000;
  double loss = 0;     // shares of the messages that are lost,
  double doubled = 0;  // delivered twice
  double altered = 0;  // and corrupted
  std::function<bool(int, int)> cut = [](int, int) { return false; };  // (from, to): the link is blocked
  std::function<void(int)> started = [](int) {};                       // a member was started
  std::function<void(int)> stepped = [](int) {};                       // after each call into a member
  std::function<void()> agreedOn = [] {};                              // the committed register has changed
  // Called before a message is counted and sent; may change it, to inject faults. False: it is not sent.
  std::function<bool(int from, dissemination::Out&)> sending = [](int, auto&) { return true; };

 private:
  // A scheduled call if `action` is set, else a tick of `to` if `from` is negative, else a message.
  struct Event {
    int to = -1;
    int from = -1;
    int token = 0;        // of a tick: the start of the member that it belongs to
    Nanos freshest = -1;  // of a message: Member::freshest of its sender
    std::string bytes;
    std::function<void()> action;
  };
  // An item of the heap: the earliest event first, those of the same time in the order of scheduling.
  struct Due {
    Nanos at = 0;
    std::uint64_t sequence = 0;
    std::size_t slot = 0;
    bool operator<(const Due& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  void schedule(Nanos when, Event event) {
    if (freeSlots_.empty()) {
      freeSlots_.push_back(events_.size());
      events_.emplace_back();
    }
    const auto slot = freeSlots_.back();
    freeSlots_.pop_back();
    events_[slot] = std::move(event);
    queue_.push_back({when, sequence_++, slot});
    std::push_heap(queue_.begin(), queue_.end());
  }
  void scheduleTick(int i, int token, Nanos wait) {
    Event event;
    event.to = i;
    event.token = token;
    schedule(now + wait, std::move(event));
  }
  // A random one-way latency.
  Nanos latency(int a, int b) {
    if (at(a).region == at(b).region) return kMs + draw(options_.regionLatency);
    return options_.minCrossRegionLatency +
           draw(options_.maxCrossRegionLatency - options_.minCrossRegionLatency);
  }
  void tick(int i, int token) {
    auto& m = at(i);
    if (!m.up || m.token != token) return;
    if (m.stalledUntil > now) return scheduleTick(i, token, m.stalledUntil - now);
    if (m.votes) feed(i, false);
    sendAll(i, m.node->tick(now));
    // The first interval is random, so that the members do not tick in step.
    const Nanos wait = m.ticks++ == 0 ? draw(options_.tickInterval) : options_.tickInterval;
    scheduleTick(i, token, wait);
  }
  // Gives a voter's disseminator the committed commands that the voter has by now. `restarted`: it loads the
  // register as a whole, not the commands one by one.
  void feed(int i, bool restarted) {
    auto& m = at(i);
    if (!m.up || m.stalledUntil > now || !m.node) return;
    std::vector<agreement::Command> applied;
    const bool hasLeader = led(i);
    if (hasLeader) {
      std::uint64_t has = m.persisted.commands();
      std::size_t taken = 0;
      while (taken < m.replication.size() && m.replication[taken].first <= now)
        has = std::max(has, m.replication[taken++].second);
      m.replication.erase(m.replication.begin(), m.replication.begin() + static_cast<std::ptrdiff_t>(taken));
      if (m.replication.empty() || i == leader_)
        has = log_.size();  // the leader brings a voter that was away up to date
      while (m.persisted.commands() < has && m.persisted.commands() < log_.size()) {
        applied.push_back(log_[m.persisted.commands()]);
        m.persisted.apply(applied.back());
      }
      m.freshest = now;
    }
    if (restarted) applied.clear();
    sendAll(i, m.node->agreed(m.persisted, applied, hasLeader ? at(leader_).name : std::string(), now));
  }
  // Counts bytes sent now.
  void count(Member& m, std::size_t bytes) {
    const Nanos second = now / kSec;
    if (second != m.currentSecond) {
      const Nanos elapsed = std::min<Nanos>(60, second - m.currentSecond);
      for (Nanos k = 0; k < elapsed; ++k) {
        auto& old = m.sentInSecond[static_cast<std::size_t>((second - k) % 60)];
        m.sentInMinute -= old;
        old = 0;
      }
      m.currentSecond = second;
    }
    m.sentInSecond[static_cast<std::size_t>(second % 60)] += bytes;
    m.sentInMinute += bytes;
    m.maxBytesInMinute = std::max(m.maxBytesInMinute, m.sentInMinute);
    m.sentBytes += bytes;
    const Nanos tick = now / (100 * kMs);
    if (tick != m.currentTick) {
      m.currentTick = tick;
      m.sentInTick = 0;
    }
    m.sentInTick += bytes;
    m.maxBytesInTick = std::max(m.maxBytesInTick, m.sentInTick);
  }
  // Sends what a disseminator returned, with the faults of the simulated network.
  void sendAll(int i, std::vector<dissemination::Out> out) {
    auto& m = at(i);
    for (auto& o : out) {
      if (!sending(i, o)) continue;
      count(m, o.bytes.size() + options_.settings.frameBytes);
      const int to = indexOf(o.to);
      if (to < 0 || to >= options_.members || cut(i, to)) continue;
      const int copies = doubled > 0 && chance(doubled) ? 2 : 1;
      for (int k = 0; k < copies; ++k) {
        if (loss > 0 && chance(loss)) continue;
        auto bytes = o.bytes;
        if (altered > 0 && chance(altered)) corrupt(bytes);
        schedule(now + latency(i, to), {to, i, 0, m.freshest, std::move(bytes), nullptr});
      }
    }
    stepped(i);
  }
  // Truncates or repeats a message, or flips one of its bits.
  void corrupt(std::string& bytes) {
    switch (draw(std::uint64_t{3})) {
      case 0:
        bytes.resize(draw(bytes.size() + 1));
        break;
      case 1:
        bytes += bytes;
        break;
      default:
        if (!bytes.empty()) bytes[draw(bytes.size())] ^= static_cast<char>(1 << draw(std::uint64_t{8}));
    }
  }
  void deliver(Event event) {
    auto& m = at(event.to);
    if (!m.up || cut(event.from, event.to)) return;
    // A message to a stalled member waits, as in its socket's buffer.
    if (m.stalledUntil > now) return schedule(m.stalledUntil, std::move(event));
    m.freshest = std::max(m.freshest, event.freshest);
    sendAll(event.to, m.node->received(at(event.from).name, event.bytes, now));
  }

  Options options_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::vector<Event> events_;           // by slot
  std::vector<std::size_t> freeSlots_;  // of events_
  std::vector<Due> queue_;              // a heap
  std::uint64_t sequence_ = 0;
  std::vector<agreement::Command> log_;  // committed commands
  agreement::Register truth_;            // all of log_ applied
  int leader_ = 0;                       // negative: none
};

}  // namespace topazweir::lab
