#include "lab/scale/fleet_runs.hpp"

#include <set>

#include "lab/scale/claims.hpp"
#include "lab/scale/drop_rule.hpp"
#include "lab/scale/fleet_setup.hpp"
#include "lab/scale/hollow_fleet.hpp"

namespace topazweir::lab::scale {

namespace {

// A process holds members of one zone only, hence of one side of any partition.
constexpr int kMemberStride = 2 * kRegions;

// Summary over the processes of the selected regions.
HollowFleet::RegisterSummary summariseRegisters(const std::vector<HollowFleet::RegisterSummary>& all,
                                                const std::function<bool(int region)>& includesRegion) {
  HollowFleet::RegisterSummary out;
  bool first = true;
  for (const auto& r : all) {
    if (!includesRegion(regionOf(r.firstMember))) continue;
    out.minCommands = first ? r.minCommands : std::min(out.minCommands, r.minCommands);
    out.minFence = first ? r.minFence : std::min(out.minFence, r.minFence);
    out.maxCommands = std::max(out.maxCommands, r.maxCommands);
    out.maxAgeSeconds = std::max(out.maxAgeSeconds, r.maxAgeSeconds);
    out.hashes.insert(r.hashes.begin(), r.hashes.end());
    first = false;
  }
  return out;
}

class RegionPartition {
 public:
  RegionPartition(const CutOptions& options, std::uint64_t seed)
      : options_(options), fleet_(memberOptions(options, seed, directory_), options.membersPerProcess) {}

  void run() {
    if (!prepare()) return;
    const double isolatedAt = isolateRegion();
    const auto inside =
        summariseRegisters(fleet_.registerSummaries(), [this](int r) { return isIsolated(r); });
    const auto outside =
        summariseRegisters(fleet_.registerSummaries(), [this](int r) { return !isIsolated(r); });
    const auto peakTraffic = fleet_.takePeakTraffic();
    const double isolatedSeconds = HollowFleet::unixSeconds() - isolatedAt;
    checkClaim(inside.maxCommands < outside.minCommands,
               fmt::format("the region keeps what it had: {:.0f} commands at most, "
                           "{:.0f} at least on the other side",
                           inside.maxCommands, outside.minCommands));
    checkClaim(inside.maxAgeSeconds >= 0.8 * isolatedSeconds, "its age shows that it is cut off");
    checkClaim(outside.maxAgeSeconds < 0.2 * isolatedSeconds, "the others' does not");
    printRow("while cut", isolatedSeconds, inside.maxAgeSeconds, outside.minCommands - inside.minCommands,
             peakTraffic);
    heal(outside);
  }

 private:
  static HollowOptions memberOptions(const CutOptions& options, std::uint64_t seed,
                                     const TemporaryDirectory& directory) {
    RunOptions run;
    run.keys = options.keys;
    auto out = hollowOptions(run, options.members, options.periodSeconds, directory);
    out.votersAsSeeds = true;
    out.stride = kMemberStride;
    out.seed = seed;
    return out;
  }
  bool isIsolated(int region) const { return region == options_.region; }
  static bool anyRegion(int) { return true; }

  bool prepare() {
    const double period = options_.periodSeconds;
    const bool connected = fleet_.startAndConverge(5 * period, 120);
    checkClaim(connected, fmt::format("all of {} know each other", options_.members));
    const bool converged = connected && fleet_.waitUntil(60 * period, [&] {
      return fleet_.otherStats().minCommands >= options_.keys;
    });
    checkClaim(converged, "all hold the register");
    if (!converged || !makeIsolatedVoterLead()) return false;
    // Waits until the traffic of the simultaneous start is over, so that it is not attributed to the
    // partition.
    const bool fresh = fleet_.waitUntil(60 * period, [&] {
      return summariseRegisters(fleet_.registerSummaries(), anyRegion).maxAgeSeconds <
             kMaxFreshAgePeriods * period;
    });
    checkClaim(fresh, "the register is fresh everywhere");
    return fresh;
  }

  // Makes the only voter of the isolated region the leader: what it has uncommitted when it is isolated must
  // not override what the other voters commit meanwhile.
  bool makeIsolatedVoterLead() {
    int isolatedVoter = -1;
    for (int v = 0; v < kVoters; ++v)
      if (isIsolated(regionOf(v))) isolatedVoter = isolatedVoter < 0 ? v : kVoters;
    if (isolatedVoter < 0) return true;  // the region has no voters
    const auto leads = [&] { return fleet_.leader() == isolatedVoter; };
    for (int i = 0; i < kMaxLeaderAttempts && !leads(); ++i) {
      const int leader = fleet_.leader();
      if (leader >= 0) fleet_.sendToAll(fmt::format("kill {}", leader));
      fleet_.waitUntil(20 * options_.periodSeconds,
                       [&] { return fleet_.leader() >= 0 && fleet_.leader() != leader; });
      if (leader >= 0) fleet_.sendToAll(fmt::format("again {}", leader));
      fleet_.sleep(2 * options_.periodSeconds);
    }
    leaderIsolated_ = leads();
    checkClaim(leaderIsolated_, "the only voter of the region leads");
    return leaderIsolated_;
  }

  double isolateRegion() {
    fenceBefore_ = summariseRegisters(fleet_.registerSummaries(), anyRegion).minFence;
    fleet_.takePeakTraffic();
    fleet_.sendToAll(fmt::format("change {} {}", options_.changes,
                                 static_cast<long>(1000 * options_.changeIntervalSeconds)));
    fleet_.sleep(2 * options_.periodSeconds);
    const double at = HollowFleet::unixSeconds();
    fleet_.sendToAll(fmt::format("cut {}", options_.region));
    fleet_.sleep(options_.cutSeconds);
    return at;
  }

  void heal(const HollowFleet::RegisterSummary& outside) {
    const double at = HollowFleet::unixSeconds();
    const auto before = fleet_.otherStats();
    fleet_.sendToAll("heal");
    checkConvergence(outside);
    const bool allAlive = fleet_.waitUntil(kConvergeLimitPeriods * options_.periodSeconds, [&] {
      const double n = options_.members;
      return fleet_.otherStats().minAlive == n && fleet_.voterStats().minAlive == n;
    });
    checkClaim(allAlive, "all know each other again");
    const double time = HollowFleet::unixSeconds() - at;
    const auto traffic = fleet_.otherStats() - before;
    printRow("back", time, summariseRegisters(fleet_.registerSummaries(), anyRegion).maxAgeSeconds, 0,
             fleet_.takePeakTraffic());
    fmt::print("{:.0f} bytes/s sent by a member in the mean, {:.0f} whole registers asked for\n",
               (traffic.sentBytes + traffic.streamSentBytes) / traffic.running / time,
               traffic.registerRequests);
    std::fflush(stdout);
  }

  void checkConvergence(const HollowFleet::RegisterSummary& outside) {
    const double at = HollowFleet::unixSeconds();
    const auto before = fleet_.voterStats();
    const bool converged = fleet_.waitUntil(kConvergeLimitPeriods * options_.periodSeconds, [&] {
      return summariseRegisters(fleet_.registerSummaries(), anyRegion).hashes.size() == 1;
    });
    const auto traffic = fleet_.voterStats() - before;
    fmt::print("level after {:.1f} s, {:.0f} bytes sent by a voter until then\n",
               HollowFleet::unixSeconds() - at, (traffic.sentBytes + traffic.streamSentBytes) / kVoters);
    checkClaim(converged, "all hold one register again");
    const auto after = summariseRegisters(fleet_.registerSummaries(), anyRegion);
    checkClaim(after.minCommands >= outside.maxCommands,
               "and it is that of the voters that went on: nothing of theirs is undone");
    const bool rises = leaderIsolated_ ? outside.minFence > fenceBefore_ : outside.minFence >= fenceBefore_;
    checkClaim(
        rises && after.minFence >= outside.minFence,
        fmt::format(
            "the later fence of the coordinator wins: {:.0f} everywhere, {:.0f} while cut, {:.0f} before{}",
            after.minFence, outside.minFence, fenceBefore_,
            leaderIsolated_ ? " with its leader cut off" : ""));
  }

  void printRow(const char* phase, double seconds, double age, double changesBehind,
                const HollowFleet::PeakTraffic& most) const {
    fmt::print(
        "{:<10} {:>6.1f} s, age {:>5.1f} s, {:>4.0f} changes behind; bytes in the worst second: voter {:.0f} "
        "out, {:.0f} in, member {:.0f} out, {:.0f} in\n",
        phase, seconds, age, changesBehind, most.voterSent, most.voterReceived, most.memberSent,
        most.memberReceived);
    std::fflush(stdout);
  }

  static constexpr int kMaxLeaderAttempts = 8;
  static constexpr double kConvergeLimitPeriods = 120;
  static constexpr double kMaxFreshAgePeriods = 3;  // a register younger than this counts as fresh
  CutOptions options_;
  TemporaryDirectory directory_;
  HollowFleet fleet_;
  bool leaderIsolated_ = false;
  double fenceBefore_ = 0;  // of the coordinator role, before the partition
};

}  // namespace

void measureRegionCut(const CutOptions& options) {
  for (const auto seed : options.seeds) {
    fmt::print(
        "region {} of {} cut off: {} members, {} keys, {} changes, one in {} s, period {} s, seed {}\n",
        options.region, kRegions, options.members, options.keys, options.changes,
        options.changeIntervalSeconds, options.periodSeconds, seed);
    RegionPartition(options, seed).run();
  }
}

namespace {

struct ColdStart {
  double convergedSeconds = 0;  // until all members have the register
  double voterBytes = 0;        // sent until then, mean of the voters
  double peakVoterBytes = 0;    // the most that one voter sent in any second
  double memberBytes = 0;       // received until then, mean of the other members
};

ColdStart measureStart(const RunOptions& options, int members, int keys) {
  TemporaryDirectory directory;
  auto startOptions = options;
  startOptions.keys = keys;
  auto memberOptions = hollowOptions(startOptions, members, options.periodSeconds, directory);
  memberOptions.votersAsSeeds = true;
  memberOptions.announced = false;
  HollowFleet fleet(memberOptions, options.membersPerProcess);
  fleet.takePeakTraffic();
  fleet.start(options.periodSeconds);
  const double at = HollowFleet::unixSeconds();
  const bool converged = fleet.waitUntil(120 * options.periodSeconds, [&] {
    const auto others = fleet.otherStats();
    return others.running == members - kVoters && others.minCommands >= keys;
  });
  ColdStart out;
  out.convergedSeconds = HollowFleet::unixSeconds() - at;
  checkClaim(converged, fmt::format("all of {} members hold {} keys", members, keys));
  const auto voters = fleet.voterStats(), others = fleet.otherStats();
  out.voterBytes = (voters.sentBytes + voters.streamSentBytes) / kVoters;
  out.memberBytes = (others.receivedBytes + others.streamReceivedBytes) / others.running;
  out.peakVoterBytes = fleet.takePeakTraffic().voterSent;
  return out;
}

}  // namespace

void measureColdStart(const RunOptions& options, const std::vector<int>& keys) {
  fmt::print("all start at once, within a period of {} s, and hold nothing\n", options.periodSeconds);
  fmt::print("{:>8} {:>8} {:>8} {:>14} {:>16} {:>16}\n", "keys", "members", "level s", "voter bytes",
             "in worst second", "member bytes in");
  auto sizes = options.sizes;
  if (options.largest > 0) sizes.push_back(options.largest);
  for (const int count : keys) {
    ScalingFit bytes;
    for (const int members : sizes) {
      const auto s = measureStart(options, members, count);
      fmt::print("{:>8} {:>8} {:>8.1f} {:>14.0f} {:>16.0f} {:>16.0f}\n", count, members, s.convergedSeconds,
                 s.voterBytes, s.peakVoterBytes, s.memberBytes);
      std::fflush(stdout);
      if (members != options.largest) {
        bytes.add(members, s.voterBytes);
      } else {
        bytes.compare(fmt::format("bytes a voter, {} keys", count), members, s.voterBytes);
      }
    }
  }
}

}  // namespace topazweir::lab::scale
