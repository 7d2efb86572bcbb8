#include "lab/scale/fleet_runs.hpp"

#include <set>

#include "lab/scale/drop_rule.hpp"
#include "lab/scale/fleet_setup.hpp"
#include "lab/scale/herd.hpp"
#include "lab/scale/report.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr int kZoneStride = 2 * kRegions;  // a process holds members of one zone, so of one side of any cut

// One side of the cut, or both.
Herd::Registers sum(const std::vector<Herd::Registers>& all, const std::function<bool(int region)>& wanted) {
  Herd::Registers out;
  bool first = true;
  for (const auto& r : all) {
    if (!wanted(regionOf(r.first))) continue;
    out.least = first ? r.least : std::min(out.least, r.least);
    out.fence = first ? r.fence : std::min(out.fence, r.fence);
    out.most = std::max(out.most, r.most), out.age = std::max(out.age, r.age);
    out.hashes.insert(r.hashes.begin(), r.hashes.end());
    first = false;
  }
  return out;
}

class RegionCut {
 public:
  RegionCut(const CutOptions& options, std::uint64_t seed)
      : options_(options), herd_(hollow(options, seed, folder_), options.perProcess) {}

  void run() {
    if (!prepare()) return;
    const double cutAt = cut();
    const auto inside = sum(herd_.registers(), [this](int r) { return isCut(r); });
    const auto outside = sum(herd_.registers(), [this](int r) { return !isCut(r); });
    const auto whileCut = herd_.metered();
    const double lasted = Herd::now() - cutAt;
    claim(inside.most < outside.least, fmt::format("the region keeps what it had: {:.0f} commands at most, "
                                                   "{:.0f} at least on the other side",
                                                   inside.most, outside.least));
    claim(inside.age >= 0.8 * lasted, "its age shows that it is cut off");
    claim(outside.age < 0.2 * lasted, "the others' does not");
    print("while cut", lasted, inside.age, outside.least - inside.least, whileCut);
    heal(outside);
  }

 private:
  static HollowOptions hollow(const CutOptions& options, std::uint64_t seed, const Folder& folder) {
    RunOptions run;
    run.keys = options.keys;
    auto out = hollowOf(run, options.members, options.periodSeconds, folder);
    out.seeded = true, out.stride = kZoneStride, out.seed = seed;
    return out;
  }
  bool isCut(int region) const { return region == options_.region; }
  static bool any(int) { return true; }

  bool prepare() {
    const double period = options_.periodSeconds;
    const bool met = herd_.meet(5 * period, 120);
    claim(met, fmt::format("all of {} know each other", options_.members));
    const bool level =
        met && herd_.wait(60 * period, [&] { return herd_.others().leastCommands >= options_.keys; });
    claim(level, "all hold the register");
    if (!level || !cutLeaderLeads()) return false;
    // What a start of all costs is not a cut's.
    const bool fresh =
        herd_.wait(60 * period, [&] { return sum(herd_.registers(), any).age < kFresh * period; });
    claim(fresh, "the register is fresh everywhere");
    return fresh;
  }

  // So that what it has under way when it is cut off must not come back over what the others have agreed on.
  bool cutLeaderLeads() {
    int wanted = -1;
    for (int v = 0; v < kVoters; ++v)
      if (isCut(regionOf(v))) wanted = wanted < 0 ? v : kVoters;
    if (wanted < 0) return true;  // a region without voters
    const auto leads = [&] { return herd_.leader() == wanted; };
    for (int i = 0; i < kTries && !leads(); ++i) {
      const int leader = herd_.leader();
      if (leader >= 0) herd_.all(fmt::format("kill {}", leader));
      herd_.wait(20 * options_.periodSeconds,
                 [&] { return herd_.leader() >= 0 && herd_.leader() != leader; });
      if (leader >= 0) herd_.all(fmt::format("again {}", leader));
      herd_.sleep(2 * options_.periodSeconds);
    }
    leaderCut_ = leads();
    claim(leaderCut_, "the only voter of the region leads");
    return leaderCut_;
  }

  double cut() {
    fence_ = sum(herd_.registers(), any).fence;
    herd_.metered();
    herd_.all(
        fmt::format("change {} {}", options_.changes, static_cast<long>(1000 * options_.changeSeconds)));
    herd_.sleep(2 * options_.periodSeconds);
    const double at = Herd::now();
    herd_.all(fmt::format("cut {}", options_.region));
    herd_.sleep(options_.cutSeconds);
    return at;
  }

  void heal(const Herd::Registers& outside) {
    const double at = Herd::now();
    const auto before = herd_.others();
    herd_.all("heal");
    levelAgain(outside);
    const bool known = herd_.wait(kLimit * options_.periodSeconds, [&] {
      const double n = options_.members;
      return herd_.others().leastAlive == n && herd_.voters().leastAlive == n;
    });
    claim(known, "all know each other again");
    const double time = Herd::now() - at;
    const auto spent = herd_.others() - before;
    print("back", time, sum(herd_.registers(), any).age, 0, herd_.metered());
    fmt::print("{:.0f} bytes/s sent by a member in the mean, {:.0f} whole registers asked for\n",
               (spent.sentBytes + spent.streamSent) / spent.running / time, spent.asked);
    std::fflush(stdout);
  }

  void levelAgain(const Herd::Registers& outside) {
    const double at = Herd::now();
    const auto before = herd_.voters();
    const bool level = herd_.wait(kLimit * options_.periodSeconds,
                                  [&] { return sum(herd_.registers(), any).hashes.size() == 1; });
    const auto spent = herd_.voters() - before;
    fmt::print("level after {:.1f} s, {:.0f} bytes sent by a voter until then\n", Herd::now() - at,
               (spent.sentBytes + spent.streamSent) / kVoters);
    claim(level, "all hold one register again");
    const auto after = sum(herd_.registers(), any);
    claim(after.least >= outside.most,
          "and it is that of the voters that went on: nothing of theirs is undone");
    const bool rises = leaderCut_ ? outside.fence > fence_ : outside.fence >= fence_;
    claim(rises && after.fence >= outside.fence,
          fmt::format(
              "the later fence of the coordinator wins: {:.0f} everywhere, {:.0f} while cut, {:.0f} before{}",
              after.fence, outside.fence, fence_, leaderCut_ ? " with its leader cut off" : ""));
  }

  void print(const char* what, double seconds, double age, double behind, const Herd::Metered& most) const {
    fmt::print(
        "{:<10} {:>6.1f} s, age {:>5.1f} s, {:>4.0f} changes behind; bytes in the worst second: voter {:.0f} "
        "out, {:.0f} in, member {:.0f} out, {:.0f} in\n",
        what, seconds, age, behind, most.voterSent, most.voterReceived, most.memberSent, most.memberReceived);
    std::fflush(stdout);
  }

  static constexpr int kTries = 8;
  static constexpr double kLimit = 120;  // periods
  static constexpr double kFresh = 3;
  CutOptions options_;
  Folder folder_;
  Herd herd_;
  bool leaderCut_ = false;
  double fence_ = 0;  // the coordinator's, before
};

}  // namespace

void cutRun(const CutOptions& options) {
  for (const auto seed : options.seeds) {
    fmt::print(
        "region {} of {} cut off: {} members, {} keys, {} changes, one in {} s, period {} s, seed {}\n",
        options.region, kRegions, options.members, options.keys, options.changes, options.changeSeconds,
        options.periodSeconds, seed);
    RegionCut(options, seed).run();
  }
}

namespace {

struct Start {
  double level = 0;                      // seconds until all have the register
  double voterBytes = 0, mostBytes = 0;  // sent by a voter until then; by one in a second
  double memberBytes = 0;                // received by a member until then
};

Start startOf(const RunOptions& options, int members, int keys) {
  Folder folder;
  auto some = options;
  some.keys = keys;
  auto hollow = hollowOf(some, members, options.periodSeconds, folder);
  hollow.seeded = true, hollow.told = false;
  Herd herd(hollow, options.perProcess);
  herd.metered();
  herd.begin(options.periodSeconds);
  const double at = Herd::now();
  const bool level = herd.wait(120 * options.periodSeconds, [&] {
    const auto others = herd.others();
    return others.running == members - kVoters && others.leastCommands >= keys;
  });
  Start out;
  out.level = Herd::now() - at;
  claim(level, fmt::format("all of {} members hold {} keys", members, keys));
  const auto voters = herd.voters(), others = herd.others();
  out.voterBytes = (voters.sentBytes + voters.streamSent) / kVoters;
  out.memberBytes = (others.receivedBytes + others.streamReceived) / others.running;
  out.mostBytes = herd.metered().voterSent;
  return out;
}

}  // namespace

void startRun(const RunOptions& options, const std::vector<int>& keys) {
  fmt::print("all start at once, within a period of {} s, and hold nothing\n", options.periodSeconds);
  fmt::print("{:>8} {:>8} {:>8} {:>14} {:>16} {:>16}\n", "keys", "members", "level s", "voter bytes",
             "in worst second", "member bytes in");
  auto sizes = options.sizes;
  if (options.largest > 0) sizes.push_back(options.largest);
  for (const int count : keys) {
    Slope bytes;
    for (const int members : sizes) {
      const auto s = startOf(options, members, count);
      fmt::print("{:>8} {:>8} {:>8.1f} {:>14.0f} {:>16.0f} {:>16.0f}\n", count, members, s.level,
                 s.voterBytes, s.mostBytes, s.memberBytes);
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
