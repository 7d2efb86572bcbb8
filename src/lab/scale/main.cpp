// Measures what the control plane of a fleet costs by the size of the fleet, one subcommand per table of
// docs/results/scale.md. Exits with a non-zero status if a claim fails or a fit does not predict the largest
// size.
#include <CLI/CLI.hpp>
#include <exception>

#include "lab/scale/claims.hpp"
#include "lab/scale/connections.hpp"
#include "lab/scale/fleet_runs.hpp"
#include "lab/scale/hollow_members.hpp"
#include "lab/scale/module_costs.hpp"
#include "lab/scale/socket_runs.hpp"
#include "lab/scale/socketless_costs.hpp"

using namespace topazweir::lab::scale;

namespace {

void addSizeOptions(CLI::App* command, RunOptions& options) {
  command->add_option("--sizes", options.sizes, "numbers of members to fit on")
      ->delimiter(',')
      ->capture_default_str();
  command
      ->add_option("--largest", options.largest, "number of members to compare with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--period", options.periodSeconds, "seconds between two probes of a member")
      ->capture_default_str();
  command->add_option("--keys", options.keys, "keys of the register")->capture_default_str();
  command->add_option("--per-process", options.membersPerProcess, "members per process")
      ->capture_default_str();
  command->add_option("--port", options.port, "port of all members; 0: derived from the process id")
      ->capture_default_str();
}

}  // namespace

int main(int count, char** arguments) {
  CLI::App app("Measures what the control plane of a fleet costs by its size", "topazweir_scale");
  app.require_subcommand(1);
  app.add_subcommand("register", "by keys: an answer to a follower, a snapshot, a change at a voter")
      ->callback(measureRegister);
  app.add_subcommand("exchange", "by members: a full exchange")->callback(measureFullExchange);
  app.add_subcommand("looks", "by members: a detector tick and the evaluations that go with each tick")
      ->callback(measureDetectorCosts);

  // One period for all sizes: a member ticks every 100 ms whatever the period is, so figures per period taken
  // with different periods do not lie on one line.
  RunOptions detector{.sizes = {500, 700, 1000},
                      .largest = 2000,
                      .periodSeconds = 3,
                      .periodGrowsFrom = 2000,
                      .keys = 100,
                      .concurrent = true,
                      .killInFitted = false};
  auto* command =
      app.add_subcommand("detector", "hollow members at rest over sockets, then one member killed");
  addSizeOptions(command, detector);
  command
      ->add_option("--grow-from", detector.periodGrowsFrom,
                   "number of members above which the period grows in proportion")
      ->capture_default_str();
  command->add_flag("!--one-by-one", detector.concurrent,
                    "run the fitted sizes one after the other instead of concurrently");
  command->add_flag("--kill-each", detector.killInFitted,
                    "kill one member at each size, not at the largest alone");
  command->callback([&] { measureDetector(detector); });

  RunOptions change{.sizes = {60, 125, 250}, .largest = 500};
  command = app.add_subcommand("change",
                               "propagation of a change from commit until the last member has applied it");
  addSizeOptions(command, change);
  command->add_option("--changes", change.changes)->capture_default_str();
  command->add_option("--every", change.changeIntervalSeconds, "seconds between two changes")
      ->capture_default_str();
  command->callback([&] { measureChangePropagation(change); });

  RunOptions bursts{.largest = 250};
  command = app.add_subcommand(
      "bursts",
      "members killed and restarted: one, an eighth, a sixth, the leader, all in a rolling restart");
  addSizeOptions(command, bursts);
  command->add_option("--seed", bursts.seeds)->delimiter(',')->capture_default_str();
  command->callback([&] { measureBursts(bursts); });

  RunOptions relays{.sizes = {65, 125, 245}, .largest = 405, .changes = 30, .relays = 2};
  command = app.add_subcommand("relays",
                               "propagation of a change by dedicated relays, by their number of children");
  addSizeOptions(command, relays);
  command->add_option("--changes", relays.changes)->capture_default_str();
  command->add_option("--every", relays.changeIntervalSeconds, "seconds between two changes")
      ->capture_default_str();
  command->add_option("--relays", relays.relays)->capture_default_str();
  command
      ->add_option("--bytes-a-child", relays.bytesPerChild,
                   "send limit of a relay, bytes/s for each of its children")
      ->capture_default_str();
  command->callback([&] { measureChangePropagation(relays); });

  CutOptions cut;
  command = app.add_subcommand(
      "cut", "a region isolated by a network partition, then healed with the changes it missed");
  command->add_option("--members", cut.members)->capture_default_str();
  command->add_option("--region", cut.region, "region to isolate; 1 has one of the three voters, 2 none")
      ->check(CLI::Range(1, 2))
      ->capture_default_str();
  command->add_option("--seconds", cut.cutSeconds, "duration of the partition")->capture_default_str();
  command->add_option("--changes", cut.changes)->capture_default_str();
  command->add_option("--every", cut.changeIntervalSeconds, "seconds between two changes")
      ->capture_default_str();
  command->add_option("--keys", cut.keys)->capture_default_str();
  command->add_option("--seed", cut.seeds)->delimiter(',')->capture_default_str();
  command->callback([&] { measureRegionCut(cut); });

  RunOptions start{.sizes = {60, 125, 250}, .largest = 500};
  std::vector<int> coldStartKeys{1000, 9900};
  command = app.add_subcommand(
      "start", "all members start empty at once: bytes sent by a voter, time until all hold the register");
  command->add_option("--sizes", start.sizes, "numbers of members to fit on")
      ->delimiter(',')
      ->capture_default_str();
  command->add_option("--largest", start.largest, "number of members to compare with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--keys", coldStartKeys)->delimiter(',')->capture_default_str();
  command->callback([&] { measureColdStart(start, coldStartKeys); });

  RunOptions small;
  command = app.add_subcommand(
      "ci", "200 hollow members, three voters, three real processes; checks counts and ratios only");
  command->add_option("--program", small.program,
                      "path of topazweir for the real processes; without it none are started");
  command->callback([&] { runCiChecks(small); });

  bool quick = false, cold = false, target = false;
  int traffic = 0;
  command = app.add_subcommand("module", "cost of the decision module by number of leafs");
  command->add_flag("--quick", quick, "few sizes; only bytes and counts decide");
  command->add_flag("--cold", cold,
                    "instead: share of a cold leaf's slow-start limit by number of aggregators");
  command->add_flag("--target", target, "instead: computed connections and rates of the target");
  command->add_option("--traffic", traffic,
                      "instead: 0.3 s of traffic with this number of leafs, for a profiler");
  command->callback([&] {
    if (target) return printTarget();
    if (traffic > 0) return void(runModuleTrafficForProfiler(traffic));
    checkClaim((cold ? measureColdLeafShares(quick) : measureModule(quick)) == 0,
               "the module's figures are as predicted");
  });

  ConnectionOptions connections;
  command =
      app.add_subcommand("connections", "connections that an aggregator wants and holds, by number of leafs");
  command->add_option("--sizes", connections.sizes, "numbers of leafs to fit on")
      ->delimiter(',')
      ->capture_default_str();
  command
      ->add_option("--largest", connections.largest,
                   "number of leafs to compare with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--seed", connections.seeds)->delimiter(',')->capture_default_str();
  command
      ->add_option("--stretch", connections.slowdownFactor,
                   "factor by which time runs slower than at the target")
      ->capture_default_str();
  command->add_option("--streams", connections.streamsPerConnection, "concurrent parts on a connection")
      ->capture_default_str();
  command->add_option("--seconds", connections.countedSeconds, "seconds counted at each size")
      ->capture_default_str();
  command->callback([&] { measureConnections(connections); });

  HollowOptions hollow;
  long periodMs = 1000;
  command =
      app.add_subcommand("hollow", "one process of hollow members, controlled by lines on standard input");
  command->group("");  // hidden: started by the other subcommands
  command->add_option("--first", hollow.firstMember);
  command->add_option("--seed", hollow.seed);
  command->add_option("--count", hollow.memberCount);
  command->add_option("--stride", hollow.stride);
  command->add_option("--members", hollow.fleetSize);
  command->add_option("--voters", hollow.voters);
  command->add_option("--relays", hollow.relays);
  command->add_option("--change-bytes", hollow.changeBytesPerSecond);
  command->add_option("--keys", hollow.keys);
  command->add_option("--port", hollow.port);
  command->add_option("--period-ms", periodMs);
  command->add_option("--state", hollow.stateDirectory);
  command->add_flag("--seeded", hollow.votersAsSeeds);
  command->callback([&] {
    hollow.period = periodMs * 1'000'000;
    runHollowMembers(hollow);
  });

  try {
    CLI11_PARSE(app, count, arguments);
  } catch (const std::exception& error) {
    fmt::print(stderr, "topazweir_scale: {}\n", error.what());
    return 2;
  }
  return brokenClaims() == 0 ? 0 : 1;
}
