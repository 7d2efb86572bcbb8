// Measures the membership protocol on a virtual clock: detection times, false verdicts, traffic and recovery
// from a partition. Prints tables; the exit status is 1 if a claim does not hold. Claims are ratios and
// counts of one run. Usage: topazweir_membership_experiment [SEED]
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "fleet/codec.hpp"
#include "lab/membership_simulation.hpp"

namespace topazweir::lab {
namespace {

using membership::State;
constexpr Nanos kSec = MembershipSimulation::kSec;
constexpr int kDetectionLimitSeconds = 120;  // longer detections are cut off and reported as this

int brokenClaims = 0;

// Prints a claim and whether it holds, and counts those that do not.
void claim(bool holds, const std::string& text) {
  fmt::print("{} {}\n", holds ? "holds: " : "BROKEN:", text);
  brokenClaims += !holds;
}

// The nearest value below or at the quantile; 0 if there are no values.
double quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0
                        : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Seconds from the kill of a member until the first and until the last of the others sees it as failed, by
// trial.
struct DetectionTimes {
  std::vector<double> first;
  std::vector<double> all;
};

DetectionTimes measureDetection(int members, int trials, std::uint64_t seed) {
  DetectionTimes out;
  for (int trial = 0; trial < trials; ++trial) {
    MembershipSimulation fleet(members, seed + static_cast<std::uint64_t>(trial));
    const int victim = members / 2;
    std::vector<double> detectedAfter;
    const Nanos killedAt = fleet.now;
    fleet.onChange = [&](int, const membership::Change& change) {
      if (change.record.name == MembershipSimulation::name(victim) && change.record.state == State::failed)
        detectedAfter.push_back(static_cast<double>(fleet.now - killedAt) / 1e9);
    };
    fleet.kill(victim);
    for (int s = 0; s < kDetectionLimitSeconds && static_cast<int>(detectedAfter.size()) < members - 1; ++s)
      fleet.run(kSec);
    out.first.push_back(detectedAfter.empty() ? kDetectionLimitSeconds : detectedAfter.front());
    out.all.push_back(static_cast<int>(detectedAfter.size()) < members - 1 ? kDetectionLimitSeconds
                                                                           : detectedAfter.back());
  }
  return out;
}

void printDetectionTimes(std::uint64_t seed) {
  fmt::print("\nseconds from a kill to the first verdict and to that of all (period 1 s)\n");
  fmt::print("{:>8} {:>7} {:>10} {:>10} {:>10} {:>10}\n", "members", "trials", "first p50", "first p99",
             "all p50", "all p99");
  std::map<int, double> allMedian;
  for (const auto& [members, trials] : {std::pair{10, 20}, {40, 20}, {300, 5}, {1000, 1}}) {
    const auto times = measureDetection(members, trials, seed);
    fmt::print("{:>8} {:>7} {:>10.1f} {:>10.1f} {:>10.1f} {:>10.1f}\n", members, trials,
               quantile(times.first, 0.5), quantile(times.first, 0.99), quantile(times.all, 0.5),
               quantile(times.all, 0.99));
    allMedian[members] = quantile(times.all, 0.5);
  }
  claim(allMedian[1000] <= 3 * allMedian[10], "all of 1,000 know within three times what all of 10 take");
}

// Verdicts of failure on running members, per hour, in a fleet of 30. `stalled`: a tenth of the members
// stalls for 5 s in every 30 s.
double falseFailures(double loss, bool stalled, bool lifeguard, std::uint64_t seed) {
  constexpr int kMembers = 30;
  constexpr int kRuns = 3;
  constexpr Nanos kRunTime = 300 * kSec;
  constexpr Nanos kStallInterval = 30 * kSec;
  constexpr Nanos kStallTime = 5 * kSec;
  int sum = 0;
  for (int run = 0; run < kRuns; ++run) {
    membership::Settings settings;
    settings.lifeguard = lifeguard;
    MembershipSimulation fleet(kMembers, seed + static_cast<std::uint64_t>(run), settings);
    fleet.loss = loss;
    for (Nanos at = 0; at < kRunTime; at += kStallInterval) {
      for (int i = 0; stalled && i < kMembers; i += 10) fleet.stall(i, kStallTime);
      fleet.run(kStallInterval);
    }
    sum += fleet.falseFailures;
  }
  return sum * 3600.0 / (kRuns * static_cast<double>(kRunTime) / 1e9);
}

// The baseline, false verdicts per hour of all-to-all heartbeats: each of 30 members sends to all others each
// second and sees a peer as failed after `periods` lost heartbeats in a row, the time of the detector's first
// verdict.
double heartbeatVerdicts(double loss, int periods, std::uint64_t seed) {
  constexpr int kMembers = 30;
  constexpr int kSeconds = 3600;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<> unit(0, 1);
  int verdicts = 0;
  for (int pair = 0; pair < kMembers * (kMembers - 1); ++pair)
    for (int s = 0, missed = 0; s < kSeconds; ++s) {
      missed = unit(random) < loss ? missed + 1 : 0;
      verdicts += missed == periods;
    }
  return verdicts;
}

void printFalseVerdicts(std::uint64_t seed) {
  const int periods = static_cast<int>(std::lround(quantile(measureDetection(30, 10, seed).first, 0.5)));
  fmt::print("\nwrong verdicts an hour, 30 members (heartbeats: after {} missed)\n", periods);
  fmt::print("{:<22} {:>14} {:>14} {:>11}\n", "", "with additions", "plain SWIM", "heartbeats");
  std::map<double, std::pair<double, double>> byLoss;  // with the additions to SWIM, without
  for (const double loss : {0.0, 0.05, 0.2, 0.3}) {
    byLoss[loss] = {falseFailures(loss, false, true, seed), falseFailures(loss, false, false, seed)};
    fmt::print("{:<22} {:>14.0f} {:>14.0f} {:>11.0f}\n", fmt::format("{:.0f}% lost", loss * 100),
               byLoss[loss].first, byLoss[loss].second, heartbeatVerdicts(loss, periods, seed));
  }
  const auto with = falseFailures(0, true, true, seed);
  const auto without = falseFailures(0, true, false, seed);
  fmt::print("{:<22} {:>14.0f} {:>14.0f} {:>11}\n", "a tenth stalled 5 s", with, without, "-");
  claim(byLoss[0.0].first == 0 && byLoss[0.05].first == 0, "none without loss, nor at 5%");
  claim(3 * byLoss[0.3].first <= 2 * byLoss[0.3].second, "at 30% loss two thirds of plain SWIM's at most");
  claim(with <= without, "with a tenth stalled not more than plain SWIM");
}

void printTraffic(std::uint64_t seed) {
  fmt::print("\nsent by a member a second, at rest\n");
  fmt::print("{:>8} {:>10} {:>10} {:>16}\n", "members", "messages", "bytes", "heartbeats, msg.");
  std::map<int, double> messages;
  for (const int members : {10, 40, 300, 1000}) {
    MembershipSimulation fleet(members, seed);
    std::size_t count = 0;
    std::size_t bytes = 0;  // of datagrams
    fleet.onSend = [&](const membership::Out& out) {
      ++count;
      if (!membership::usesStream(out.message.kind)) bytes += fleet::encode(out.message, "fleet").size();
    };
    constexpr int kSeconds = 60;
    fleet.run(kSeconds * kSec);
    const double perMemberSecond = 1.0 / members / kSeconds;
    messages[members] = static_cast<double>(count) * perMemberSecond;
    fmt::print("{:>8} {:>10.2f} {:>10.0f} {:>16}\n", members, messages[members],
               static_cast<double>(bytes) * perMemberSecond, members - 1);
  }
  claim(messages[1000] <= 1.5 * messages[10], "1,000 members cost each at most 1.5 times what 10 do");
}

void printPartitionRecovery(std::uint64_t seed) {
  fmt::print("\nseconds from the end of a cut (60 s, two fifths of the members) to one view\n");
  fmt::print("{:>8} {:>10}\n", "members", "seconds");
  double maxSeconds = 0;
  for (const int members : {10, 40, 300}) {
    MembershipSimulation fleet(members, seed);
    fleet.cut = [&](int a, int b) { return (5 * a < 2 * members) != (5 * b < 2 * members); };
    fleet.run(60 * kSec);
    fleet.cut = [](int, int) { return false; };
    int seconds = 0;
    while (!fleet.oneView() && seconds < 300) {
      fleet.run(kSec);
      ++seconds;
    }
    fmt::print("{:>8} {:>10}\n", members, seconds);
    maxSeconds = std::max<double>(maxSeconds, seconds);
  }
  claim(maxSeconds <= 90, "one view within three exchanges (90 s)");
}

}  // namespace
}  // namespace topazweir::lab

int main(int argc, char** argv) {
  using namespace topazweir::lab;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  fmt::print("seed {}\n", seed);
  printDetectionTimes(seed);
  printFalseVerdicts(seed);
  printTraffic(seed);
  printPartitionRecovery(seed);
  return brokenClaims == 0 ? 0 : 1;
}
