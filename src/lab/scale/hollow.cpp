#include "lab/scale/hollow.hpp"

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
#include "fleet/side.hpp"
#include "lab/scale/drop_rule.hpp"
#include "lab/scale/pure_slopes.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr Nanos kMs = 1'000'000, kLook = 10 * kMs;
constexpr Nanos kNever = 1'000'000'000;  // ms

struct HollowHost : fleet::Host {
  membership::LoadMeter::Totals load() const override { return {120, 0, 0}; }
  void shares(const membership::Share&) override {}
  bool accompanied() const override { return false; }
};

// Lines of standard input, read beside the loop.
class Lines {
 public:
  Lines() : reader_([this] { read(); }) { reader_.detach(); }
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
    ::_exit(0);  // the parent has gone: nothing is to be kept
  }
  std::mutex mutex_;
  std::deque<std::string> lines_;
  std::thread reader_;
};

class Hollow {
 public:
  explicit Hollow(const HollowOptions& options)
      : options_(options), log_([](auto, auto) {}, [this] { return loop_.now(); }) {}

  int run() {
    look();
    loop_.run();
    return 0;
  }

 private:
  struct Traffic {  // bytes, datagrams and streams
    std::uint64_t sent = 0, received = 0;
  };
  struct Member {
    std::unique_ptr<fleet::Side> side;
    std::uint64_t commands = 0;  // as last looked at
    fleet::Counters before{};    // of its earlier lives
    fleet::Streams::Counters streamsBefore{};
    Traffic traffic{};  // as last metered
  };

  config::Membership configOf(int i) const {
    config::Membership out;
    out.name = memberName(i), out.fleet = kFleet;
    out.listen = out.advertise = addressOf(i, options_.port);
    out.zone = zoneOf(i);
    for (int v = 0; v < options_.voters; ++v) {
      out.voters.push_back({memberName(v), addressOf(v, options_.port)});
      if (options_.seeded) out.seeds.push_back(addressOf(v, options_.port));
    }
    if (i < options_.voters) out.state = options_.state;
    for (int r = 0; r < options_.relays; ++r) out.relays.push_back(memberName(options_.voters + r));
    const bool relays = i >= options_.voters && i < options_.voters + options_.relays;
    if (relays && options_.changeBytesPerS > 0) out.changeBytesPerS = options_.changeBytesPerS;
    out.period = options_.period, out.answerTime = options_.period * 2 / 5;
    out.syncEvery = 30 * options_.period, out.forgetAfter = 600 * options_.period;
    return out;
  }

  // A voter begins with the register given, as if it had been agreed on.
  void prepare(int i) const {
    const auto path = options_.state + "/voter." + kFleet + "." + memberName(i);
    if (options_.keys == 0 || ::access(path.c_str(), F_OK) == 0) return;
    agreement::FileStore store(path);
    store.setTerm(1);
    store.put({static_cast<std::uint64_t>(options_.keys), 1, 1, registerOf(options_.keys).write()}, 0);
  }

  void start(int i) {
    auto& member = members_[i];
    if (member.side) return;
    if (i < options_.voters) prepare(i);
    const auto seed = 1'000'003U * (static_cast<std::uint64_t>(i) + 5000 * options_.seed) + ++lives_;
    member.side = std::make_unique<fleet::Side>(loop_, log_, configOf(i), "1.14.2", seed,
                                                membership::Share{options_.members, i}, host_);
    member.side->start();
    member.side->says(membership::Duty::serving);
  }
  void stop(int i) {
    const auto at = members_.find(i);
    if (at == members_.end() || !at->second.side) return;
    add(at->second.before, at->second.side->counters());
    if (const auto* streams = at->second.side->streams()) add(at->second.streamsBefore, streams->counters());
    at->second.side->stop();
    at->second.side.reset();
  }
  static void add(fleet::Counters& to, const fleet::Counters& c) {
    to.sent += c.sent, to.sentBytes += c.sentBytes, to.received += c.received;
    to.receivedBytes += c.receivedBytes, to.broken += c.broken, to.unsent += c.unsent,
        to.registerAsked += c.registerAsked;
  }
  static void add(fleet::Streams::Counters& to, const fleet::Streams::Counters& c) {
    to.connected += c.connected, to.accepted += c.accepted, to.leftOut += c.leftOut;
    to.sentBytes += c.sentBytes, to.receivedBytes += c.receivedBytes;
  }

  // Who is there, as the answer to a full exchange says it: told to those that don't know all, a few at a
  // time.
  void tellAll() {
    membership::Message all{.kind = membership::Kind::syncReply, .sender = memberName(options_.first)};
    all.from = addressOf(options_.first, options_.port);
    for (int i = 0; i < options_.members; ++i) {
      auto record = memberRecord(i, addressOf(i, options_.port));
      record.version = "1.14.2" + std::string(fleet::kDisseminates);  // as it says itself
      all.news.push_back(std::move(record));
    }
    const auto told = fleet::encode(all, kFleet);
    if (!teller_)
      teller_.emplace(
          loop_, Poco::Net::SocketAddress(addressOf(kTellers + options_.first, options_.port)),
          [](auto) { return std::string(); }, [](auto) {});
    Nanos wait = 0;
    for (auto& [i, member] : members_) {
      if (!member.side || member.side->detector().alive() == static_cast<std::size_t>(options_.members))
        continue;
      loop_.after(wait += 50 * kMs, [this, told, to = i] {
        teller_->tell(Poco::Net::SocketAddress(addressOf(to, options_.port)), told);
      });
    }
  }

  void look() {
    const Nanos now = loop_.now();
    if (lookedAt_ > 0) latest_ = std::max(latest_, now - lookedAt_ - kLook);
    lookedAt_ = now;
    loop_.after(kLook, [this] { look(); });
    if (recording_ || !watched_.empty()) lookAtMembers(now);
    if (now >= meterAt_) meter(now);
    std::string line;
    while (lines_.next(line)) {
      const auto answer = carryOut(line) + "\n";
      for (std::size_t at = 0; at < answer.size();) {
        const auto wrote = ::write(STDOUT_FILENO, answer.data() + at, answer.size() - at);
        if (wrote <= 0) ::_exit(0);
        at += static_cast<std::size_t>(wrote);
      }
    }
  }
  // Only while something is asked of them: to pass all members each time cost as much as some of what they
  // do themselves, since no cache holds them.
  void lookAtMembers(Nanos now) {
    for (auto& [i, member] : members_) {
      if (!member.side) continue;
      const auto commands = member.side->commands();
      if (recording_ && member.commands > 0)
        for (auto n = member.commands + 1; n <= commands; ++n) arrivals_[n].push_back(now / kMs - epoch_);
      member.commands = commands;
      if (!watched_.empty() && !seen_.contains(i) && stateOf(*member.side) >= membership::State::failed)
        seen_[i] = now / kMs - epoch_;
    }
  }
  // The bytes of each member in the second that is over; the most of any is kept.
  void meter(Nanos now) {
    meterAt_ = metering_ ? now + 1000 * kMs : now + 100 * kMs;
    if (!metering_) return;
    for (auto& [i, member] : members_) {
      const auto traffic = trafficOf(member);
      mostSent_ = std::max(mostSent_, traffic.sent - member.traffic.sent);
      mostReceived_ = std::max(mostReceived_, traffic.received - member.traffic.received);
      member.traffic = traffic;
    }
  }
  static Traffic trafficOf(const Member& member) {
    Traffic out{member.before.sentBytes + member.streamsBefore.sentBytes,
                member.before.receivedBytes + member.streamsBefore.receivedBytes};
    if (!member.side) return out;
    out.sent += member.side->counters().sentBytes;
    out.received += member.side->counters().receivedBytes;
    if (const auto* streams = member.side->streams()) {
      out.sent += streams->counters().sentBytes;
      out.received += streams->counters().receivedBytes;
    }
    return out;
  }
  // Begins a new measurement; what the one before has shown.
  std::string metered() {
    const auto answer = fmt::format("{} {}", mostSent_, mostReceived_);
    for (auto& [i, member] : members_) member.traffic = trafficOf(member);
    metering_ = true, mostSent_ = mostReceived_ = 0;
    meterAt_ = loop_.now() + 1000 * kMs;
    return answer;
  }
  std::string cut(std::istringstream& in) {
    int region = 0;
    in >> region;
    DropRule::cut(region, options_.first, options_.members);
    return "ok";
  }
  // Of the registers held by members that run: the least and the most commands, the greatest age in ms
  // (kNever: never vouched for), the coordinator's least fence, and a hash of each that differs.
  std::string registers() const {
    std::uint64_t least = UINT64_MAX, most = 0, fence = UINT64_MAX;
    Nanos age = 0;
    std::set<std::size_t> hashes;
    for (const auto& [i, member] : members_) {
      if (!member.side) continue;
      const auto& held =
          member.side->council() ? member.side->council()->held() : member.side->disseminator()->held();
      least = std::min(least, held.commands()), most = std::max(most, held.commands());
      const Nanos itsAge = member.side->registerAge();
      age = std::max(age, itsAge < 0 ? kNever : itsAge / kMs);
      const auto* coordinator = held.find(fleet::Council::kCoordinator);
      fence = std::min(fence, coordinator ? coordinator->fence : 0);
      hashes.insert(std::hash<std::string>()(held.write()));
    }
    auto out = fmt::format("{} {} {} {}", least, most, age, fence);
    for (const auto hash : hashes) out += fmt::format(" {}", hash);
    return out;
  }
  membership::State stateOf(const fleet::Side& side) const {
    const auto at = side.detector().view().find(watched_);
    return at == side.detector().view().end() ? membership::State::alive : at->second.record.state;
  }

  std::string carryOut(const std::string& line) {
    std::istringstream in(line);
    std::string word;
    in >> word;
    if (!failure_.empty()) return "failed " + failure_;
    try {
      if (word == "start") return startAll(in);
      if (word == "tell") return tellAll(), "ok";
      if (word == "stat") return stat();
      if (word == "kill" || word == "again") return each(in, word == "kill");
      if (word == "hold") return hold(in);
      if (word == "watch") {
        std::string i;
        in >> i >> epoch_;
        watched_ = memberName(std::stoi(i));
        seen_.clear();
        return "ok";
      }
      if (word == "seen") return seen();
      if (word == "change") return change(in);
      if (word == "record") return record(in);
      if (word == "arrivals") return arrivals();
      if (word == "leads") return leads();
      if (word == "metered") return metered();
      if (word == "registers") return registers();
      if (word == "cut") return cut(in);
      if (word == "heal") return DropRule::heal(), "ok";
    } catch (const Poco::Exception& error) {
      return "failed " + error.displayText();
    } catch (const std::exception& error) {
      return std::string("failed ") + error.what();
    }
    return "failed unknown " + word;
  }

  std::string record(std::istringstream& in) {
    in >> epoch_;
    recording_ = true;
    arrivals_.clear();
    for (auto& [i, member] : members_)
      if (member.side) member.commands = member.side->commands();
    return "ok";
  }

  std::string startAll(std::istringstream& in) {
    Nanos over = 0;  // ms
    in >> over;
    for (int k = 0; k < options_.count; ++k) {
      const int i = options_.first + k * options_.stride;
      loop_.after(over * kMs * k / options_.count, [this, i] {
        try {
          start(i);
        } catch (const std::exception& error) {
          failure_ = error.what();
        }
      });
    }
    return "ok";
  }
  bool isHere(int i) const {
    const int k = (i - options_.first) / options_.stride;
    return i >= options_.first && (i - options_.first) % options_.stride == 0 && k < options_.count;
  }
  std::string each(std::istringstream& in, bool ends) {
    for (int i = 0; in >> i;)
      if (isHere(i)) ends ? stop(i) : start(i);
    return "ok";
  }
  // Of the named ones: how often a member that runs here holds one to be there, and to be suspected.
  std::string hold(std::istringstream& in) {
    long there = 0, suspected = 0, pairs = 0;
    for (int named = 0; in >> named;)
      for (const auto& [i, member] : members_) {
        if (!member.side || i == named) continue;
        ++pairs;
        const auto at = member.side->detector().view().find(memberName(named));
        if (at == member.side->detector().view().end()) continue;
        there += at->second.record.state <= membership::State::suspect;
        suspected += at->second.record.state == membership::State::suspect;
      }
    return fmt::format("{} {} {}", there, suspected, pairs);
  }
  std::string seen() const {
    std::string out = fmt::format("{}", seen_.size());
    for (const auto& [i, at] : seen_) out += fmt::format(" {}", at);
    return out;
  }
  std::string change(std::istringstream& in) {
    in >> toChange_;
    Nanos every = 0;  // ms
    in >> every;
    changeNext(every * kMs);
    return "ok";
  }
  // By the voter that leads; the others pass.
  void changeNext(Nanos every) {
    if (toChange_-- <= 0) return;
    loop_.after(every, [this, every] { changeNext(every); });
    auto& side = members_.begin()->second.side;
    if (!side || !side->council()) return;
    const auto key = keyOf(changed_ % std::max(1, options_.keys));
    const auto* at = side->council()->held().find(key);
    proposed_ += side->propose({key, valueOf(changed_, changed_), at ? at->fence : 0});
    ++changed_;
  }
  std::string arrivals() const {
    std::string out;
    for (const auto& [number, times] : arrivals_) {
      out += fmt::format("{}{}", out.empty() ? "" : " ", number);
      for (const auto time : times) out += fmt::format(",{}", time);
    }
    return out.empty() ? "-" : out;
  }
  std::string leads() const {
    const auto& side = members_.begin()->second.side;
    return side && side->council() && side->council()->leads() ? "1" : "0";
  }

  std::string stat() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval& t) { return t.tv_sec * 1'000'000 + t.tv_usec; };
    std::ifstream statm("/proc/self/statm");
    long pages = 0, resident = 0;
    statm >> pages >> resident;
    fleet::Counters c;
    fleet::Streams::Counters s;
    std::size_t running = 0, leastAlive = SIZE_MAX, mostAlive = 0;
    std::uint64_t leastCommands = UINT64_MAX, mostCommands = 0;
    for (const auto& [i, member] : members_) {
      add(c, member.before), add(s, member.streamsBefore);
      if (!member.side) continue;
      ++running;
      add(c, member.side->counters());
      if (const auto* streams = member.side->streams()) add(s, streams->counters());
      leastAlive = std::min(leastAlive, member.side->detector().alive());
      mostAlive = std::max(mostAlive, member.side->detector().alive());
      leastCommands = std::min(leastCommands, member.side->commands());
      mostCommands = std::max(mostCommands, member.side->commands());
    }
    return fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {} {}",
                       micros(usage.ru_utime) + micros(usage.ru_stime), usage.ru_maxrss,
                       resident * (::sysconf(_SC_PAGESIZE) / 1024), running, running > 0 ? leastAlive : 0,
                       mostAlive, c.sent, c.sentBytes, c.received, c.receivedBytes, c.unsent, c.broken,
                       s.connected, s.accepted, s.leftOut, s.sentBytes, s.receivedBytes,
                       running > 0 ? leastCommands : 0, mostCommands, std::exchange(latest_, 0) / kMs,
                       proposed_, c.registerAsked);
  }

  static constexpr int kTellers = 100'000;  // their addresses are behind all members'

  HollowOptions options_;
  net::Loop loop_;
  broker::Log log_;
  HollowHost host_;
  Lines lines_;
  std::map<int, Member> members_;
  std::optional<fleet::Streams> teller_;
  std::uint64_t lives_ = 0;
  std::string failure_;                          // of a member's start
  Nanos lookedAt_ = 0, latest_ = 0, epoch_ = 0;  // epoch: ms
  std::string watched_;
  std::map<int, Nanos> seen_;
  bool recording_ = false;
  std::map<std::uint64_t, std::vector<Nanos>> arrivals_;  // ms after the epoch, by number
  int toChange_ = 0, changed_ = 0;
  long proposed_ = 0;
  bool metering_ = false;
  Nanos meterAt_ = 0;
  std::uint64_t mostSent_ = 0, mostReceived_ = 0;  // by a member in a second
};

}  // namespace

std::string addressOf(int member, int port) {
  return fmt::format("127.{}.{}.{}:{}", 64 + member / 62'500, 1 + member / 250 % 250, 1 + member % 250, port);
}

int memberAt(std::uint32_t address) {
  const auto part = [address](int byte) { return static_cast<int>(address >> (8 * byte) & 0xff); };
  if (part(3) != 127 || part(2) < 64 || part(1) < 1 || part(0) < 1) return -1;
  return (part(2) - 64) * 62'500 + (part(1) - 1) * 250 + part(0) - 1;
}

int runHollow(const HollowOptions& options) { return Hollow(options).run(); }

}  // namespace topazweir::lab::scale
