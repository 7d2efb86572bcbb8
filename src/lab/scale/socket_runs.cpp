#include "lab/scale/socket_runs.hpp"

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <optional>
#include <random>

#include "lab/scale/claims.hpp"
#include "lab/scale/fleet_setup.hpp"
#include "lab/scale/hollow_fleet.hpp"
#include "lab/scale/real_processes.hpp"

namespace topazweir::lab::scale {

namespace {

std::string joinIndices(const std::vector<int>& members) {
  std::string out;
  for (const int i : members) out += fmt::format(" {}", i);
  return out;
}

// In how many (observer, named member) pairs the observer, a running member, considers the named member
// present, that is alive or suspected.
struct ViewCounts {
  double present = 0, suspected = 0, pairs = 0;
};
ViewCounts countViews(HollowFleet& fleet, const std::vector<int>& members) {
  ViewCounts out;
  for (const auto& line : fleet.sendToAll("hold" + joinIndices(members))) {
    double present = 0, suspected = 0, pairs = 0;
    if (std::sscanf(line.c_str(), "%lf %lf %lf", &present, &suspected, &pairs) != 3) continue;
    out.present += present;
    out.suspected += suspected;
    out.pairs += pairs;
  }
  return out;
}

// Costs of a fleet at rest: per member and period unless said otherwise.
struct RestCosts {
  double datagrams = 0, datagramBytes = 0, streams = 0, streamBytes = 0;  // sent
  double cpuMicros = 0;
  double kilobytes = 0;    // resident memory per member
  double voterMicros = 0;  // per voter and period
  double maxLoopDelayMs = 0;
  // Periods from a kill until the first member and until all members declared it failed.
  double firstDetection = 0;
  double lastDetection = 0;
};

// A fleet at rest: started, measured over a window, then one member killed. Split into steps so that several
// fleets can run concurrently.
class RestMeasurement {
 public:
  RestMeasurement(const RunOptions& options, int members, double period)
      : members_(members),
        period_(period),
        fleet_(hollowOptions(options, members, period, directory_), options.membersPerProcess) {
    fleet_.start(kStartPeriods * period_);
    startedAt_ = HollowFleet::unixSeconds();
  }
  // Starts the window; returns false if the members do not converge.
  bool startWindow() {
    const bool converged = fleet_.waitUntilConverged(120);
    if (!converged) checkClaim(false, fmt::format("all of {} members know each other", members_));
    if (!converged) return false;
    fleet_.sleep(std::max(0.0, startedAt_ + (kStartPeriods + 2) * period_ - HollowFleet::unixSeconds()));
    startStats_ = fleet_.otherStats();
    voterStartStats_ = fleet_.voterStats();
    windowStart_ = HollowFleet::unixSeconds();
    return true;
  }
  RestCosts finishWindow() {
    fleet_.sleep(std::max(0.0, windowStart_ + kWindowPeriods * period_ - HollowFleet::unixSeconds()));
    const auto used = fleet_.otherStats() - startStats_, voters = fleet_.voterStats() - voterStartStats_;
    const double periods = (HollowFleet::unixSeconds() - windowStart_) / period_,
                 perMemberAndPeriod = 1 / used.running / periods;
    RestCosts out;
    out.datagrams = used.sent * perMemberAndPeriod;
    out.datagramBytes = used.sentBytes * perMemberAndPeriod;
    out.streams = used.connected * perMemberAndPeriod;
    out.streamBytes = used.streamSentBytes * perMemberAndPeriod;
    out.cpuMicros = used.cpuMicros * perMemberAndPeriod;
    out.kilobytes = used.rssKib / used.running;
    out.voterMicros = voters.cpuMicros / kVoters / periods;
    out.maxLoopDelayMs = used.maxLoopDelayMs;
    return out;
  }
  void killOne(RestCosts& out) {
    const int killed = members_ / 2;
    fleet_.sendToAll(
        fmt::format("watch {} {}", killed, static_cast<long>(HollowFleet::unixSeconds() * 1000)));
    fleet_.sendToAll(fmt::format("kill {}", killed));
    const auto others = static_cast<std::size_t>(members_ - 1);
    fleet_.waitUntil(60 * period_, [&] { return fleet_.failureDetectionTimes().size() >= others; });
    const auto seen = fleet_.failureDetectionTimes();
    checkClaim(seen.size() == others, fmt::format("a killed one of {} is known by all", members_));
    if (!seen.empty()) {
      out.firstDetection = seen.front() / period_;
      out.lastDetection = seen.back() / period_;
    }
  }

 private:
  // A member does a full exchange every 30 periods, the first one 30 after its start.
  static constexpr double kStartPeriods = 10;  // over which the members start
  static constexpr double kWindowPeriods = 30;
  int members_;
  double period_;
  TemporaryDirectory directory_;
  HollowFleet fleet_;
  double startedAt_ = 0, windowStart_ = 0;
  ProcessStats startStats_, voterStartStats_;
};

double probePeriod(const RunOptions& options, int members) {
  return options.periodSeconds * std::max(1.0, static_cast<double>(members) / options.periodGrowsFrom);
}

// Measures the fleets one after the other or concurrently; the CPU time of a fleet is that of its own
// processes either way.
std::vector<RestCosts> measureAtRest(const RunOptions& options, const std::vector<int>& sizes, bool kill) {
  std::vector<RestCosts> out;
  if (!options.concurrent) {
    for (const int members : sizes) {
      auto alone = options;
      alone.concurrent = true;
      out.push_back(measureAtRest(alone, {members}, kill).front());
    }
    return out;
  }
  std::vector<std::unique_ptr<RestMeasurement>> runs;
  for (const int members : sizes)
    runs.push_back(std::make_unique<RestMeasurement>(options, members, probePeriod(options, members)));
  std::vector<bool> converged;
  for (auto& run : runs) converged.push_back(run->startWindow());
  for (std::size_t i = 0; i < runs.size(); ++i) {
    out.push_back(converged[i] ? runs[i]->finishWindow() : RestCosts{});
    if (converged[i] && kill) runs[i]->killOne(out.back());
  }
  return out;
}

// Fits of the costs at rest by number of members.
struct RestFits {
  ScalingFit datagrams{FitModel::constant}, datagramBytes{FitModel::constant}, streamBytes, cpuMicros,
      kilobytes, voter;

  void add(double size, const RestCosts& r) {
    datagrams.add(size, r.datagrams);
    datagramBytes.add(size, r.datagramBytes);
    streamBytes.add(size, r.streamBytes);
    cpuMicros.add(size, r.cpuMicros);
    kilobytes.add(size, r.kilobytes);
    voter.add(size, r.voterMicros);
  }
  void compare(double size, const RestCosts& r) const {
    datagrams.compare("datagrams a member a period", size, r.datagrams);
    datagramBytes.compare("their bytes", size, r.datagramBytes);
    streamBytes.compare("stream bytes a member a period", size, r.streamBytes);
    cpuMicros.compare("us a member a period", size, r.cpuMicros);
    kilobytes.compare("KB of memory a member", size, r.kilobytes);
    voter.compare("us a voter a period", size, r.voterMicros);
  }
};

void printRow(int members, double period, const RestCosts& r) {
  fmt::print(
      "{:>8} {:>7.1f} {:>9.2f} {:>9.0f} {:>8.2f} {:>10.0f} {:>9.0f} {:>10.0f} {:>10.0f} {:>7.0f} {:>9.1f} "
      "{:>9.1f}\n",
      members, period, r.datagrams, r.datagramBytes, r.streams, r.streamBytes, r.cpuMicros, r.voterMicros,
      r.kilobytes, r.maxLoopDelayMs, r.firstDetection, r.lastDetection);
  std::fflush(stdout);
}

}  // namespace

void measureDetector(const RunOptions& options) {
  fmt::print("the detector over sockets at rest, by members; a member's share of a period, sent\n");
  fmt::print("{:>8} {:>7} {:>9} {:>9} {:>8} {:>10} {:>9} {:>10} {:>10} {:>7} {:>9} {:>9}\n", "members",
             "period", "datagrams", "bytes", "streams", "bytes", "us", "us, voter", "KB memory", "late ms",
             "first, p.", "all, p.");
  RestFits fits;
  const auto fitted = measureAtRest(options, options.sizes, options.killInFitted);
  for (std::size_t i = 0; i < fitted.size(); ++i) {
    const int members = options.sizes[i];
    printRow(members, probePeriod(options, members), fitted[i]);
    fits.add(members, fitted[i]);
  }
  if (options.largest <= 0) return;
  const auto largest = measureAtRest(options, {options.largest}, true).front();
  printRow(options.largest, probePeriod(options, options.largest), largest);
  fits.compare(options.largest, largest);
}

namespace {

// Propagation of changes to all members, and what it costs.
struct Propagation {
  double p50 = 0, p99 = 0, max = 0;                  // seconds from commit until applied at a member
  double complete = 0;                               // share of the changes that reached all members
  double bytes = 0, connections = 0, cpuMicros = 0;  // per voter and second; bytes sent
  double memberBytes = 0, memberMicros = 0;          // per other member and second; bytes received
  double relayBytes = 0;                             // per dedicated relay and second; bytes sent
  long changes = 0;
};

Propagation measurePropagation(const RunOptions& options, int members, double period) {
  TemporaryDirectory directory;
  HollowFleet fleet(hollowOptions(options, members, period, directory), options.membersPerProcess);
  Propagation out;
  const bool converged = fleet.startAndConverge(5 * period, 120);
  checkClaim(converged, fmt::format("all of {} members know each other", members));
  const double keys = options.keys;
  const bool level = fleet.waitUntil(60 * period, [&] { return fleet.otherStats().minCommands >= keys; });
  checkClaim(level, fmt::format("all of {} members hold the register", members));
  fleet.waitUntil(30 * period, [&] { return fleet.leader() >= 0; });
  if (!converged || !level) return out;
  const double at = HollowFleet::unixSeconds();
  fleet.sendToAll(fmt::format("record {}", static_cast<long>(at * 1000)));
  const auto from = fleet.voterStats(), othersFrom = fleet.otherStats(), relaysFrom = fleet.relayStats();
  fleet.sendToAll(
      fmt::format("change {} {}", options.changes, static_cast<long>(options.changeIntervalSeconds * 1000)));
  fleet.sleep(options.changes * options.changeIntervalSeconds);
  const double time = HollowFleet::unixSeconds() - at;
  const auto used = fleet.voterStats() - from, others = fleet.otherStats() - othersFrom;
  const auto relays = fleet.relayStats() - relaysFrom;
  // Changes in flight get 60 periods, the time of ten polls, to arrive.
  fleet.waitUntil(60 * period,
                  [&] { return fleet.otherStats().minCommands >= fleet.voterStats().maxCommands; });
  out.bytes = (used.sentBytes + used.streamSentBytes) / kVoters / time;
  out.connections = used.accepted / kVoters / time;
  out.cpuMicros = used.cpuMicros / kVoters / time;
  out.memberBytes = (others.receivedBytes + others.streamReceivedBytes) / others.running / time;
  out.memberMicros = others.cpuMicros / others.running / time;
  if (options.relays > 0)
    out.relayBytes = (relays.sentBytes + relays.streamSentBytes) / options.relays / time;
  const auto arrivals = fleet.arrivals();
  std::vector<double> delays;
  const auto nonVoters = static_cast<std::size_t>(members - kVoters);
  for (const auto& [number, voters] : arrivals.voters) {
    const double committedAt = *std::min_element(voters.begin(), voters.end());
    const auto applied = arrivals.others.find(number);
    ++out.changes;
    if (applied == arrivals.others.end()) continue;
    out.complete += applied->second.size() == nonVoters;
    for (const double when : applied->second) delays.push_back(when - committedAt);
  }
  if (out.changes > 0) out.complete /= static_cast<double>(out.changes);
  out.p50 = quantile(delays, 0.5);
  out.p99 = quantile(delays, 0.99);
  out.max = quantile(delays, 1);
  checkClaim(out.changes >= options.changes && out.complete == 1,
             fmt::format("each of {} changes reached all of {} members", out.changes, members));
  return out;
}

}  // namespace

void measureChangePropagation(const RunOptions& options) {
  fmt::print(
      "a change's way from decision to in force; {} keys, a change each {} s, {} of them, period {} s\n",
      options.keys, options.changeIntervalSeconds, options.changes, options.periodSeconds);
  fmt::print("{:>8} {:>8} {:>8} {:>8} {:>14} {:>14} {:>12} {:>15} {:>13} {:>14}\n", "members", "p50 s",
             "p99 s", "last s", "voter bytes/s", "voter conn./s", "voter us/s", "member bytes/s",
             "member us/s", "relay bytes/s");
  ScalingFit bytes, connections, relay;
  auto sizes = options.sizes;
  if (options.largest > 0) sizes.push_back(options.largest);
  for (const int members : sizes) {
    const auto w = measurePropagation(options, members, options.periodSeconds);
    fmt::print(
        "{:>8} {:>8.2f} {:>8.2f} {:>8.2f} {:>14.0f} {:>14.1f} {:>12.0f} {:>15.0f} {:>13.0f} {:>14.0f}\n",
        members, w.p50, w.p99, w.max, w.bytes, w.connections, w.cpuMicros, w.memberBytes, w.memberMicros,
        w.relayBytes);
    std::fflush(stdout);
    const double size = members;
    const double children = childrenPerRelay(options, members);
    if (members != options.largest) {
      bytes.add(size, w.bytes);
      connections.add(size, w.connections);
      relay.add(children, w.relayBytes);
      continue;
    }
    if (options.relays > 0) {
      relay.compare("bytes a relay a second, by children", children, w.relayBytes);
      continue;
    }
    bytes.compare("bytes a voter a second", size, w.bytes);
    connections.compare("connections a voter a second", size, w.connections);
  }
}

namespace {

// Kills `count` random non-voters at once, restarts them, and prints how long the fleet took to notice and to
// converge.
void killAtOnce(HollowFleet& fleet, const RunOptions& options, int members, int count,
                std::mt19937_64& random, const std::string& label) {
  std::vector<int> killed(static_cast<std::size_t>(members - kVoters));
  std::iota(killed.begin(), killed.end(), kVoters);
  std::shuffle(killed.begin(), killed.end(), random);
  killed.resize(static_cast<std::size_t>(count));
  const auto before = fleet.otherStats();
  const double from = HollowFleet::unixSeconds();
  fleet.sendToAll("kill" + joinIndices(killed));
  const bool known =
      fleet.waitUntil(120 * options.periodSeconds, [&] { return countViews(fleet, killed).present == 0; });
  const double detectionSeconds = HollowFleet::unixSeconds() - from;
  const auto sum = fleet.otherStats();
  checkClaim(known && sum.minAlive == members - count,
             fmt::format("{}: {} killed at once are known by all, and nobody else is taken for failed", label,
                         count));
  const auto used = sum - before;
  const double back = HollowFleet::unixSeconds();
  fleet.sendToAll("again" + joinIndices(killed));
  const bool again = fleet.waitUntil(120 * options.periodSeconds, [&] {
    auto now = fleet.voterStats();
    now += fleet.otherStats();
    return now.running == members && now.minAlive == members;
  });
  checkClaim(again, fmt::format("{}: they are back, and all know it", label));
  const double level = HollowFleet::unixSeconds() - back;
  const bool registersCurrent = fleet.waitUntil(60 * options.periodSeconds, [&] {
    return fleet.otherStats().minCommands >= fleet.voterStats().maxCommands;
  });
  checkClaim(registersCurrent, fmt::format("{}: they hold the register again", label));
  fmt::print("{:<28} {:>5} {:>12.1f} {:>12.1f} {:>12.1f} {:>14.0f}\n", label, count, detectionSeconds, level,
             HollowFleet::unixSeconds() - back,
             (used.sentBytes + used.streamSentBytes) / used.running / detectionSeconds);
  std::fflush(stdout);
}

// Kills the leader while changes are proposed, and restarts it.
void killLeaderAmidChanges(HollowFleet& fleet, const RunOptions& options) {
  const int leader = fleet.leader();
  checkClaim(leader >= 0, "there is a leader");
  if (leader < 0) return;
  const double at = HollowFleet::unixSeconds();
  fleet.sendToAll(fmt::format("record {}", static_cast<long>(at * 1000)));
  const auto before = fleet.voterStats().maxCommands;
  fleet.sendToAll(fmt::format("change {} {}", 20, static_cast<long>(500 * options.periodSeconds)));
  fleet.sleep(3 * options.periodSeconds);
  fleet.sendToAll(fmt::format("kill {}", leader));
  const double killed = HollowFleet::unixSeconds();
  const bool other = fleet.waitUntil(60 * options.periodSeconds, [&] {
    const int now = fleet.leader();
    return now >= 0 && now != leader;
  });
  const double after = HollowFleet::unixSeconds() - killed;
  checkClaim(other, "another leads after the leader was killed");
  fleet.sleep(5 * options.periodSeconds);
  fleet.sendToAll(fmt::format("again {}", leader));
  const bool level = fleet.waitUntil(90 * options.periodSeconds, [&] {
    const auto voters = fleet.voterStats(), others = fleet.otherStats();
    return voters.running == kVoters && voters.minCommands == voters.maxCommands &&
           others.minCommands == voters.maxCommands;
  });
  const auto voters = fleet.voterStats();
  checkClaim(level && voters.maxCommands > before, "all hold the same number of commands after it is back");
  fmt::print("{:<28} {:>5} {:>12.1f} {:>12} {:>12.1f} {:>14}   changes {:.0f}\n", "leader, amid changes", 1,
             after, "-", HollowFleet::unixSeconds() - killed, "-", voters.maxCommands - before);
  std::fflush(stdout);
}

// Restarts all non-voters, a few at a time.
void rollingRestart(HollowFleet& fleet, const RunOptions& options, int members) {
  const double from = HollowFleet::unixSeconds();
  const auto before = fleet.otherStats();
  constexpr int kMembersPerStep = 16;
  for (int first = kVoters; first < members; first += kMembersPerStep) {
    std::vector<int> some;
    for (int i = first; i < std::min(members, first + kMembersPerStep); ++i) some.push_back(i);
    fleet.sendToAll("kill" + joinIndices(some));
    fleet.sleep(0.1 * options.periodSeconds);
    fleet.sendToAll("again" + joinIndices(some));
    fleet.sleep(0.4 * options.periodSeconds);
  }
  const double over = HollowFleet::unixSeconds() - from;
  const bool level = fleet.waitUntil(180 * options.periodSeconds, [&] {
    auto now = fleet.voterStats();
    const auto others = fleet.otherStats();
    now += others;
    return now.running == members && now.minAlive == members &&
           others.minCommands >= fleet.voterStats().maxCommands;
  });
  checkClaim(level, "all restarted in a roll know each other and hold the register");
  const auto used = fleet.otherStats() - before;
  const double time = HollowFleet::unixSeconds() - from;
  fmt::print("{:<28} {:>5} {:>12.1f} {:>12} {:>12.1f} {:>14.0f}\n", "all in a roll", members - kVoters, over,
             "-", time, (used.sentBytes + used.streamSentBytes) / used.running / time);
  std::fflush(stdout);
}

}  // namespace

namespace {

void runBursts(const RunOptions& options, std::uint64_t seed) {
  const int members = options.largest;
  TemporaryDirectory directory;
  auto memberOptions = hollowOptions(options, members, options.periodSeconds, directory);
  memberOptions.votersAsSeeds = true;
  memberOptions.announced = false;
  std::mt19937_64 random(seed);
  fmt::print("bursts of {} members, seed {}, period {} s, {} keys\n", members, seed, options.periodSeconds,
             options.keys);
  HollowFleet fleet(memberOptions, options.membersPerProcess);
  const bool converged = fleet.startAndConverge(10 * options.periodSeconds, 180);
  checkClaim(converged, "all know each other");
  if (!converged) return;
  checkClaim(fleet.waitUntil(60 * options.periodSeconds,
                             [&] { return fleet.otherStats().minCommands >= options.keys; }),
             "all hold the register");
  fmt::print("{:<28} {:>5} {:>12} {:>12} {:>12} {:>14}\n", "", "count", "known, s", "back, s", "level, s",
             "bytes/s each");
  killAtOnce(fleet, options, members, 1, random, "one");
  killAtOnce(fleet, options, members, members / 8, random, "an eighth at once (a rack)");
  killAtOnce(fleet, options, members, members / 6, random, "a sixth at once (a zone)");
  killLeaderAmidChanges(fleet, options);
  rollingRestart(fleet, options, members);
}

}  // namespace

void measureBursts(const RunOptions& options) {
  for (const auto seed : options.seeds) runBursts(options, seed);
}

// The short run of CI: checks counts and ratios only, with generous time limits.
void runCiChecks(const RunOptions& options) {
  constexpr int kMembers = 200;
  constexpr int kRealProcesses = 3;
  constexpr int kChanges = 10;
  constexpr int kKilledMember = 77;
  constexpr double kPeriodSeconds = 1;
  constexpr double kWindowPeriods = 15;  // long enough to tolerate delays of a period on a busy machine
  constexpr double kLimitSeconds = 90;   // for steps that normally take a few seconds
  TemporaryDirectory directory;
  auto small = options;
  small.keys = 300;
  const auto memberOptions = hollowOptions(small, kMembers, kPeriodSeconds, directory);
  HollowFleet fleet(memberOptions, 40);
  const bool converged = fleet.startAndConverge(1, kLimitSeconds);
  checkClaim(converged, "all of 200 know each other");
  if (!converged) return;
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return fleet.otherStats().minCommands >= small.keys; }),
             "all hold the register");
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return fleet.leader() >= 0; }), "a voter leads");
  std::optional<RealProcesses> real;
  const int members = kMembers + (options.program.empty() ? 0 : kRealProcesses);
  if (!options.program.empty()) {
    real.emplace(options.program, kRealProcesses, memberOptions, directory.path());
    checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return real->minValue("members", "alive") == members; }),
               "three real processes know all others");
  }
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return fleet.otherStats().minAlive == members; }),
             "all know them");

  const auto before = fleet.otherStats();
  const double at = HollowFleet::unixSeconds();
  const auto known = fleet.voterStats().maxCommands;
  fleet.sendToAll(fmt::format("change {} 200", kChanges));
  fleet.sleep(kWindowPeriods * kPeriodSeconds);
  const auto used = fleet.otherStats() - before;
  const double periods = (HollowFleet::unixSeconds() - at) / kPeriodSeconds,
               each = used.sent / used.running / periods;
  // One probe and one answer per period. A probe that is answered late on a busy machine is repeated through
  // three other members, and a member with a poor health score probes up to nine times more slowly.
  checkClaim(each >= 0.2 && each <= 8,
             fmt::format("a member sends a fifth of a datagram to eight a period: {:.2f}", each));
  const auto committed = fleet.voterStats().maxCommands;
  checkClaim(committed >= known + kChanges / 2, "the register has been changed");
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return fleet.otherStats().minCommands >= committed; }),
             "the changes are in force at all");
  if (real)
    checkClaim(
        fleet.waitUntil(
            kLimitSeconds,
            [&] { return static_cast<double>(real->minValue("members register", "commands")) >= committed; }),
        "at the real ones, too");
  fleet.sendToAll(fmt::format("kill {}", kKilledMember));
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return countViews(fleet, {kKilledMember}).present == 0; }),
             "one that is killed is known by all");
  if (real)
    checkClaim(
        fleet.waitUntil(kLimitSeconds, [&] { return real->minValue("members", "alive") == members - 1; }),
        "by the real ones, too");
  fleet.sendToAll(fmt::format("again {}", kKilledMember));
  checkClaim(fleet.waitUntil(kLimitSeconds, [&] { return fleet.otherStats().minCommands >= committed; }),
             "it holds the register again");
  checkClaim(used.malformedMessages == 0, "no message was broken");
}

}  // namespace topazweir::lab::scale
