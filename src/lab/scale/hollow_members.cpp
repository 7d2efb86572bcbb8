#include "lab/scale/hollow_members.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "agreement/file_store.hpp"
#include "fleet/fleet_service.hpp"
#include "lab/scale/drop_rule.hpp"
#include "lab/scale/socketless_costs.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kPollInterval = 10 * kMs;
constexpr Nanos kNeverFreshMs = 1'000'000'000;  // age of a register whose freshness was never confirmed

// The host of a hollow member: reports a constant load and ignores changes of its share.
struct HollowHost : fleet::Host {
  membership::LoadMeter::Totals load() const override { return {120, 0, 0}; }
  void shares(const membership::Share&) override {}
  bool accompanied() const override { return false; }
};

// Lines of standard input, read by a thread of their own.
class InputLines {
 public:
  InputLines() : reader_([this] { read(); }) { reader_.detach(); }
  bool next(std::string& line) {
    const std::lock_guard guard(mutex_);
    if (lines_.empty()) return false;
    line = std::move(lines_.front());
    lines_.pop_front();
    return true;
  }

 private:
  void read() {
    std::string line;
    while (std::getline(std::cin, line)) {
      const std::lock_guard guard(mutex_);
      lines_.push_back(std::move(line));
    }
    ::_exit(0);  // the parent has exited; there is nothing to save
  }
  std::mutex mutex_;
  std::deque<std::string> lines_;
  std::thread reader_;
};

// The event loop of one process, its hollow members, and the commands that control them.
class HollowProcess {
 public:
  explicit HollowProcess(const HollowOptions& options)
      : options_(options), log_([](auto, auto) {}, [this] { return loop_.now(); }) {}

  int run() {
    poll();
    loop_.run();
    return 0;
  }

 private:
  struct Traffic {  // bytes of datagrams and streams
    std::uint64_t sent = 0, received = 0;
  };
  struct Member {
    std::unique_ptr<fleet::FleetService> service;
    std::uint64_t commands = 0;        // at the last poll
    fleet::Counters countersBefore{};  // of its earlier incarnations
    fleet::StreamExchanges::Counters streamsBefore{};
    Traffic sampledTraffic{};  // at the last sample
  };

  config::MembershipConfig configFor(int i) const {
    config::MembershipConfig out;
    out.name = memberName(i);
    out.fleet = kHollowFleetName;
    out.listen = out.advertise = memberAddress(i, options_.port);
    out.zone = zoneOf(i);
    for (int v = 0; v < options_.voters; ++v) {
      out.voters.push_back({memberName(v), memberAddress(v, options_.port)});
      if (options_.votersAsSeeds) out.seeds.push_back(memberAddress(v, options_.port));
    }
    if (i < options_.voters) out.state = options_.stateDirectory;
    for (int r = 0; r < options_.relays; ++r) out.relays.push_back(memberName(options_.voters + r));
    const bool relays = i >= options_.voters && i < options_.voters + options_.relays;
    if (relays && options_.changeBytesPerSecond > 0) out.changeBytesPerSecond = options_.changeBytesPerSecond;
    out.period = options_.period;
    out.probeTimeout = options_.period * 2 / 5;
    out.syncInterval = 30 * options_.period;
    out.forgetTimeout = 600 * options_.period;
    return out;
  }

  // Writes the initial register to the voter's store as if it had been committed.
  void writeInitialRegister(int i) const {
    const auto path = options_.stateDirectory + "/voter." + kHollowFleetName + "." + memberName(i);
    if (options_.keys == 0 || ::access(path.c_str(), F_OK) == 0) return;
    agreement::FileStore store(path);
    store.setTerm(1);
    store.put({static_cast<std::uint64_t>(options_.keys), 1, 1, registerOf(options_.keys).write()}, 0);
  }

  void start(int i) {
    auto& member = members_[i];
    if (member.service) return;
    if (i < options_.voters) writeInitialRegister(i);
    const auto seed = 1'000'003U * (static_cast<std::uint64_t>(i) + 5000 * options_.seed) + ++incarnations_;
    member.service = std::make_unique<fleet::FleetService>(loop_, log_, configFor(i), "1.14.2", seed,
                                                           membership::Share{options_.fleetSize, i}, host_);
    member.service->start();
    member.service->says(membership::Duty::serving);
  }
  void stop(int i) {
    const auto at = members_.find(i);
    if (at == members_.end() || !at->second.service) return;
    add(at->second.countersBefore, at->second.service->counters());
    if (const auto* streams = at->second.service->streams())
      add(at->second.streamsBefore, streams->counters());
    at->second.service->stop();
    at->second.service.reset();
  }
  static void add(fleet::Counters& to, const fleet::Counters& c) {
    to.sent += c.sent;
    to.sentBytes += c.sentBytes;
    to.received += c.received;
    to.receivedBytes += c.receivedBytes;
    to.broken += c.broken;
    to.unsent += c.unsent;
    to.registerAsked += c.registerAsked;
  }
  static void add(fleet::StreamExchanges::Counters& to, const fleet::StreamExchanges::Counters& c) {
    to.connected += c.connected;
    to.accepted += c.accepted;
    to.leftOut += c.leftOut;
    to.sentBytes += c.sentBytes;
    to.receivedBytes += c.receivedBytes;
  }

  // Sends the full member list, as the answer to a full exchange, to members that do not know all others;
  // spread over time.
  void announceFleet() {
    membership::Message all{.kind = membership::Kind::syncReply, .sender = memberName(options_.firstMember)};
    all.from = memberAddress(options_.firstMember, options_.port);
    for (int i = 0; i < options_.fleetSize; ++i) {
      auto record = memberRecord(i, memberAddress(i, options_.port));
      record.version = "1.14.2" + std::string(fleet::kDisseminationSuffix);  // as the member announces it
      all.news.push_back(std::move(record));
    }
    const auto encoded = fleet::encode(all, kHollowFleetName);
    if (!announcer_)
      announcer_.emplace(
          loop_,
          Poco::Net::SocketAddress(
              memberAddress(kFirstAnnouncerAddress + options_.firstMember, options_.port)),
          [](auto) { return std::string(); }, [](auto) {});
    Nanos wait = 0;
    for (auto& [i, member] : members_) {
      if (!member.service ||
          member.service->detector().alive() == static_cast<std::size_t>(options_.fleetSize))
        continue;
      loop_.after(wait += 50 * kMs, [this, encoded, to = i] {
        announcer_->tell(Poco::Net::SocketAddress(memberAddress(to, options_.port)), encoded);
      });
    }
  }

  void poll() {
    const Nanos now = loop_.now();
    if (polledAt_ > 0) maxLoopDelay_ = std::max(maxLoopDelay_, now - polledAt_ - kPollInterval);
    polledAt_ = now;
    loop_.after(kPollInterval, [this] { poll(); });
    if (recordingArrivals_ || !watchedMember_.empty()) recordEvents(now);
    if (now >= nextSampleAt_) samplePeakTraffic(now);
    std::string line;
    while (inputLines_.next(line)) {
      const auto answer = execute(line) + "\n";
      for (std::size_t at = 0; at < answer.size();) {
        const auto wrote = ::write(STDOUT_FILENO, answer.data() + at, answer.size() - at);
        if (wrote <= 0) ::_exit(0);
        at += static_cast<std::size_t>(wrote);
      }
    }
  }
  // Called only while a measurement needs it: visiting all members at each poll cost as much as some of their
  // own work, since they do not fit into any cache.
  void recordEvents(Nanos now) {
    for (auto& [i, member] : members_) {
      if (!member.service) continue;
      const auto commands = member.service->commands();
      if (recordingArrivals_ && member.commands > 0)
        for (auto n = member.commands + 1; n <= commands; ++n) arrivals_[n].push_back(now / kMs - epochMs_);
      member.commands = commands;
      if (!watchedMember_.empty() && !failureTimes_.contains(i) &&
          stateOf(*member.service) >= membership::State::failed)
        failureTimes_[i] = now / kMs - epochMs_;
    }
  }
  // Samples the bytes of each member in the past second and keeps the maximum of any.
  void samplePeakTraffic(Nanos now) {
    nextSampleAt_ = samplingTraffic_ ? now + 1000 * kMs : now + 100 * kMs;
    if (!samplingTraffic_) return;
    for (auto& [i, member] : members_) {
      const auto currentTraffic = trafficOf(member);
      peakSentBytes_ = std::max(peakSentBytes_, currentTraffic.sent - member.sampledTraffic.sent);
      peakReceivedBytes_ =
          std::max(peakReceivedBytes_, currentTraffic.received - member.sampledTraffic.received);
      member.sampledTraffic = currentTraffic;
    }
  }
  static Traffic trafficOf(const Member& member) {
    Traffic out{member.countersBefore.sentBytes + member.streamsBefore.sentBytes,
                member.countersBefore.receivedBytes + member.streamsBefore.receivedBytes};
    if (!member.service) return out;
    out.sent += member.service->counters().sentBytes;
    out.received += member.service->counters().receivedBytes;
    if (const auto* streams = member.service->streams()) {
      out.sent += streams->counters().sentBytes;
      out.received += streams->counters().receivedBytes;
    }
    return out;
  }
  // Returns the peaks of the previous measurement and starts a new one.
  std::string takePeakTraffic() {
    const auto answer = fmt::format("{} {}", peakSentBytes_, peakReceivedBytes_);
    for (auto& [i, member] : members_) member.sampledTraffic = trafficOf(member);
    samplingTraffic_ = true;
    peakSentBytes_ = peakReceivedBytes_ = 0;
    nextSampleAt_ = loop_.now() + 1000 * kMs;
    return answer;
  }
  std::string isolate(std::istringstream& in) {
    int region = 0;
    in >> region;
    DropRule::isolate(region, options_.firstMember, options_.fleetSize);
    return "ok";
  }
  // Summary of the registers of the running members: least and most commands, greatest age in ms
  // (kNeverFreshMs: freshness never confirmed), least fence of the coordinator role, and the hash of each
  // distinct content.
  std::string summariseRegisters() const {
    std::uint64_t minCommands = UINT64_MAX, maxCommands = 0, minFence = UINT64_MAX;
    Nanos maxAgeMs = 0;
    std::set<std::size_t> hashes;
    for (const auto& [i, member] : members_) {
      if (!member.service) continue;
      const auto& held = member.service->raftGroup() ? member.service->raftGroup()->held()
                                                     : member.service->disseminator()->held();
      minCommands = std::min(minCommands, held.commands());
      maxCommands = std::max(maxCommands, held.commands());
      const Nanos memberAge = member.service->registerAge();
      maxAgeMs = std::max(maxAgeMs, memberAge < 0 ? kNeverFreshMs : memberAge / kMs);
      const auto* coordinator = held.find(fleet::RaftGroup::kCoordinatorKey);
      minFence = std::min(minFence, coordinator ? coordinator->fence : 0);
      hashes.insert(std::hash<std::string>()(held.write()));
    }
    auto out = fmt::format("{} {} {} {}", minCommands, maxCommands, maxAgeMs, minFence);
    for (const auto hash : hashes) out += fmt::format(" {}", hash);
    return out;
  }
  membership::State stateOf(const fleet::FleetService& service) const {
    const auto at = service.detector().view().find(watchedMember_);
    return at == service.detector().view().end() ? membership::State::alive : at->second.record.state;
  }

  std::string execute(const std::string& line) {
    std::istringstream in(line);
    std::string command;
    in >> command;
    if (!failure_.empty()) return "failed " + failure_;
    try {
      if (command == "start") return startAll(in);
      if (command == "tell") return announceFleet(), "ok";
      if (command == "stat") return stat();
      if (command == "kill" || command == "again") return startOrStop(in, command == "kill");
      if (command == "hold") return countViews(in);
      if (command == "watch") {
        std::string i;
        in >> i >> epochMs_;
        watchedMember_ = memberName(std::stoi(i));
        failureTimes_.clear();
        return "ok";
      }
      if (command == "seen") return failureTimes();
      if (command == "change") return startChanges(in);
      if (command == "record") return record(in);
      if (command == "arrivals") return arrivals();
      if (command == "leads") return isLeader();
      if (command == "metered") return takePeakTraffic();
      if (command == "registers") return summariseRegisters();
      if (command == "cut") return isolate(in);
      if (command == "heal") return DropRule::heal(), "ok";
    } catch (const Poco::Exception& error) {
      return "failed " + error.displayText();
    } catch (const std::exception& error) {
      return std::string("failed ") + error.what();
    }
    return "failed unknown " + command;
  }

  std::string record(std::istringstream& in) {
    in >> epochMs_;
    recordingArrivals_ = true;
    arrivals_.clear();
    for (auto& [i, member] : members_)
      if (member.service) member.commands = member.service->commands();
    return "ok";
  }

  std::string startAll(std::istringstream& in) {
    Nanos spreadMs = 0;
    in >> spreadMs;
    for (int k = 0; k < options_.memberCount; ++k) {
      const int i = options_.firstMember + k * options_.stride;
      loop_.after(spreadMs * kMs * k / options_.memberCount, [this, i] {
        try {
          start(i);
        } catch (const std::exception& error) {
          failure_ = error.what();
        }
      });
    }
    return "ok";
  }
  // Whether member `i` belongs to this process, running or not.
  bool isOwnMember(int i) const {
    const int k = (i - options_.firstMember) / options_.stride;
    return i >= options_.firstMember && (i - options_.firstMember) % options_.stride == 0 &&
           k < options_.memberCount;
  }
  std::string startOrStop(std::istringstream& in, bool stops) {
    for (int i = 0; in >> i;)
      if (isOwnMember(i)) stops ? stop(i) : start(i);
    return "ok";
  }
  // Over all pairs of a running member and a named one: in how many the named one is considered present, in
  // how many suspected, and the number of pairs.
  std::string countViews(std::istringstream& in) {
    long present = 0, suspected = 0, pairs = 0;
    for (int named = 0; in >> named;)
      for (const auto& [i, member] : members_) {
        if (!member.service || i == named) continue;
        ++pairs;
        const auto at = member.service->detector().view().find(memberName(named));
        if (at == member.service->detector().view().end()) continue;
        present += at->second.record.state <= membership::State::suspect;
        suspected += at->second.record.state == membership::State::suspect;
      }
    return fmt::format("{} {} {}", present, suspected, pairs);
  }
  std::string failureTimes() const {
    std::string out = fmt::format("{}", failureTimes_.size());
    for (const auto& [i, at] : failureTimes_) out += fmt::format(" {}", at);
    return out;
  }
  std::string startChanges(std::istringstream& in) {
    in >> changesLeft_;
    Nanos intervalMs = 0;
    in >> intervalMs;
    proposeNext(intervalMs * kMs);
    return "ok";
  }
  // Proposes the next change and schedules the one after it. Every voter does so; only the leader accepts a
  // proposal.
  void proposeNext(Nanos interval) {
    if (changesLeft_-- <= 0) return;
    loop_.after(interval, [this, interval] { proposeNext(interval); });
    auto& service = members_.begin()->second.service;
    if (!service || !service->raftGroup()) return;
    const auto key = keyOf(changesAttempted_ % std::max(1, options_.keys));
    const auto* at = service->raftGroup()->held().find(key);
    changesAccepted_ +=
        service->propose({key, valueOf(changesAttempted_, changesAttempted_), at ? at->fence : 0});
    ++changesAttempted_;
  }
  std::string arrivals() const {
    std::string out;
    for (const auto& [number, times] : arrivals_) {
      out += fmt::format("{}{}", out.empty() ? "" : " ", number);
      for (const auto time : times) out += fmt::format(",{}", time);
    }
    return out.empty() ? "-" : out;
  }
  std::string isLeader() const {
    const auto& service = members_.begin()->second.service;
    return service && service->raftGroup() && service->raftGroup()->leads() ? "1" : "0";
  }

  std::string stat() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval& t) { return t.tv_sec * 1'000'000 + t.tv_usec; };
    std::ifstream statm("/proc/self/statm");
    long pages = 0, resident = 0;
    statm >> pages >> resident;
    fleet::Counters c;
    fleet::StreamExchanges::Counters s;
    std::size_t running = 0, minAlive = SIZE_MAX, maxAlive = 0;
    std::uint64_t minCommands = UINT64_MAX, maxCommands = 0;
    for (const auto& [i, member] : members_) {
      add(c, member.countersBefore);
      add(s, member.streamsBefore);
      if (!member.service) continue;
      ++running;
      add(c, member.service->counters());
      if (const auto* streams = member.service->streams()) add(s, streams->counters());
      minAlive = std::min(minAlive, member.service->detector().alive());
      maxAlive = std::max(maxAlive, member.service->detector().alive());
      minCommands = std::min(minCommands, member.service->commands());
      maxCommands = std::max(maxCommands, member.service->commands());
    }
    return fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {}",
                       micros(usage.ru_utime) + micros(usage.ru_stime), usage.ru_maxrss,
                       resident * (::sysconf(_SC_PAGESIZE) / 1024), running, running > 0 ? minAlive : 0,
                       maxAlive, c.sent, c.sentBytes, c.received, c.receivedBytes, c.unsent, c.broken,
                       s.connected, s.accepted, s.leftOut, s.sentBytes, s.receivedBytes,
                       running > 0 ? minCommands : 0, maxCommands, std::exchange(maxLoopDelay_, 0) / kMs,
                       changesAccepted_, c.registerAsked);
  }

  static constexpr int kFirstAnnouncerAddress = 100'000;  // after the addresses of all members

  HollowOptions options_;
  net::Loop loop_;
  broker::Log log_;
  HollowHost host_;
  InputLines inputLines_;
  std::map<int, Member> members_;
  std::optional<fleet::StreamExchanges> announcer_;
  std::uint64_t incarnations_ = 0;
  std::string failure_;  // why a member could not start
  Nanos polledAt_ = 0, maxLoopDelay_ = 0, epochMs_ = 0;
  std::string watchedMember_;
  std::map<int, Nanos> failureTimes_;
  bool recordingArrivals_ = false;
  std::map<std::uint64_t, std::vector<Nanos>> arrivals_;  // ms after the epoch, by number of the change
  int changesLeft_ = 0, changesAttempted_ = 0;
  long changesAccepted_ = 0;
  bool samplingTraffic_ = false;
  Nanos nextSampleAt_ = 0;
  std::uint64_t peakSentBytes_ = 0, peakReceivedBytes_ = 0;  // of one member in a second
};

}  // namespace

std::string memberAddress(int member, int port) {
  return fmt::format("127.{}.{}.{}:{}", 64 + member / 62'500, 1 + member / 250 % 250, 1 + member % 250, port);
}

int memberOfAddress(std::uint32_t address) {
  const auto part = [address](int byte) { return static_cast<int>(address >> (8 * byte) & 0xff); };
  if (part(3) != 127 || part(2) < 64 || part(1) < 1 || part(0) < 1) return -1;
  return (part(2) - 64) * 62'500 + (part(1) - 1) * 250 + part(0) - 1;
}

int runHollowMembers(const HollowOptions& options) { return HollowProcess(options).run(); }

}  // namespace topazweir::lab::scale
