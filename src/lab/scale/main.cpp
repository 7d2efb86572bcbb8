// What the control of a fleet costs by its size: one command a table, docs/results/scale.md. Ends non-zero
// when a stated claim does not hold or a slope is not understood.
#include <CLI/CLI.hpp>
#include <exception>

#include "lab/scale/connections.hpp"
#include "lab/scale/fleet_runs.hpp"
#include "lab/scale/hollow.hpp"
#include "lab/scale/module_slopes.hpp"
#include "lab/scale/pure_slopes.hpp"
#include "lab/scale/report.hpp"
#include "lab/scale/socket_runs.hpp"

using namespace topazweir::lab::scale;

namespace {

void sizesOf(CLI::App* command, RunOptions& options) {
  command->add_option("--sizes", options.sizes, "members, fitted")->delimiter(',')->capture_default_str();
  command->add_option("--largest", options.largest, "members, compared with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--period", options.periodSeconds, "seconds between two probes of a member")
      ->capture_default_str();
  command->add_option("--keys", options.keys, "of the register")->capture_default_str();
  command->add_option("--per-process", options.perProcess, "members in one process")->capture_default_str();
  command->add_option("--port", options.port, "of all members; 0: drawn")->capture_default_str();
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("What the control of a fleet costs by its size", "topazweir_scale");
  app.require_subcommand(1);
  app.add_subcommand("register", "by keys: an answer to a follower, a snapshot, a change at a voter")
      ->callback(registerSlopes);
  app.add_subcommand("exchange", "by members: a full exchange")->callback(exchangeSlopes);
  app.add_subcommand("looks", "by members: a tick and what is looked through at each")
      ->callback(detectorCosts);

  // One period for all: a member ticks each 100 ms whatever the period, so that sizes with periods of their
  // own are not on one line.
  RunOptions detector{.sizes = {500, 700, 1000},
                      .largest = 2000,
                      .periodSeconds = 3,
                      .perSecond = 2000,
                      .keys = 100,
                      .together = true,
                      .killFitted = false};
  auto* command = app.add_subcommand("detector", "hollow members at rest over sockets, and one killed");
  sizesOf(command, detector);
  command->add_option("--grow-from", detector.perSecond, "members from which the period grows with them")
      ->capture_default_str();
  command->add_flag("!--one-by-one", detector.together, "the fitted sizes, and not at once");
  command->add_flag("--kill-each", detector.killFitted, "one of each size, not of the largest alone");
  command->callback([&] { detectorRun(detector); });

  RunOptions change{.sizes = {60, 125, 250}, .largest = 500};
  command = app.add_subcommand("change", "a change's way from decision to in force at the last member");
  sizesOf(command, change);
  command->add_option("--changes", change.changes)->capture_default_str();
  command->add_option("--every", change.changeSeconds, "seconds between two")->capture_default_str();
  command->callback([&] { changeRun(change); });

  RunOptions bursts{.largest = 250};
  command =
      app.add_subcommand("bursts", "killed and back: one, an eighth, a sixth, the leader, all in a roll");
  sizesOf(command, bursts);
  command->add_option("--seed", bursts.seeds)->delimiter(',')->capture_default_str();
  command->callback([&] { burstRun(bursts); });

  RunOptions relays{.sizes = {65, 125, 245}, .largest = 405, .changes = 30, .relays = 2};
  command = app.add_subcommand("relays", "the same by members set aside, by their children");
  sizesOf(command, relays);
  command->add_option("--changes", relays.changes)->capture_default_str();
  command->add_option("--every", relays.changeSeconds, "seconds between two")->capture_default_str();
  command->add_option("--relays", relays.relays)->capture_default_str();
  command->add_option("--bytes-a-child", relays.bytesAChild, "that a relay may send a second")
      ->capture_default_str();
  command->callback([&] { changeRun(relays); });

  CutOptions cut;
  command = app.add_subcommand("cut", "a region cut off on sockets, and back with the changes it missed");
  command->add_option("--members", cut.members)->capture_default_str();
  command->add_option("--region", cut.region, "1 has one of the three voters, 2 none")
      ->check(CLI::Range(1, 2))
      ->capture_default_str();
  command->add_option("--seconds", cut.cutSeconds, "that it is cut off")->capture_default_str();
  command->add_option("--changes", cut.changes)->capture_default_str();
  command->add_option("--every", cut.changeSeconds, "seconds between two")->capture_default_str();
  command->add_option("--keys", cut.keys)->capture_default_str();
  command->add_option("--seed", cut.seeds)->delimiter(',')->capture_default_str();
  command->callback([&] { cutRun(cut); });

  RunOptions start{.sizes = {60, 125, 250}, .largest = 500};
  std::vector<int> startKeys{1000, 9900};
  command = app.add_subcommand("start", "all start and hold nothing: a voter's bytes, time until level");
  command->add_option("--sizes", start.sizes, "members, fitted")->delimiter(',')->capture_default_str();
  command->add_option("--largest", start.largest, "members, compared with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--keys", startKeys)->delimiter(',')->capture_default_str();
  command->callback([&] { startRun(start, startKeys); });

  RunOptions small;
  command = app.add_subcommand(
      "ci", "200 hollow members, three voters, three real processes; counts and ratios alone");
  command->add_option("--program", small.program, "topazweir, for the real ones; none without it");
  command->callback([&] { smallRun(small); });

  bool quick = false, cold = false, target = false;
  int traffic = 0;
  command = app.add_subcommand("module", "the decision module by leafs");
  command->add_flag("--quick", quick, "few sizes; bytes and counts alone decide");
  command->add_flag("--cold", cold, "instead: a cold leaf's ceiling by aggregators");
  command->add_flag("--target", target, "instead: connections and the arithmetic, computed");
  command->add_option("--traffic", traffic, "instead: 0.3 s with so many leafs, for a profiler");
  command->callback([&] {
    if (target) return printTarget();
    if (traffic > 0) return void(runModuleTraffic(traffic));
    claim((cold ? runColdShares(quick) : runModuleSlopes(quick)) == 0,
          "the module's figures are as predicted");
  });

  ConnectionOptions connections;
  command = app.add_subcommand("connections", "connections that an aggregator wants and holds, by leafs");
  command->add_option("--sizes", connections.sizes, "leafs, fitted")->delimiter(',')->capture_default_str();
  command->add_option("--largest", connections.largest, "leafs, compared with the prediction; 0: none")
      ->capture_default_str();
  command->add_option("--seed", connections.seeds)->delimiter(',')->capture_default_str();
  command->add_option("--stretch", connections.stretch, "so many times slower than at the target")
      ->capture_default_str();
  command->add_option("--streams", connections.streams, "parts on a connection at once")
      ->capture_default_str();
  command->add_option("--seconds", connections.seconds, "counted at each size")->capture_default_str();
  command->callback([&] { connectionRun(connections); });

  HollowOptions hollow;
  long periodMs = 1000;
  command = app.add_subcommand("hollow", "one process of hollow members, told what to do by lines");
  command->group("");  // started by the other commands
  command->add_option("--first", hollow.first);
  command->add_option("--seed", hollow.seed);
  command->add_option("--count", hollow.count);
  command->add_option("--stride", hollow.stride);
  command->add_option("--members", hollow.members);
  command->add_option("--voters", hollow.voters);
  command->add_option("--relays", hollow.relays);
  command->add_option("--change-bytes", hollow.changeBytesPerS);
  command->add_option("--keys", hollow.keys);
  command->add_option("--port", hollow.port);
  command->add_option("--period-ms", periodMs);
  command->add_option("--state", hollow.state);
  command->add_flag("--seeded", hollow.seeded);
  command->callback([&] {
    hollow.period = periodMs * 1'000'000;
    runHollow(hollow);
  });

  try {
    CLI11_PARSE(app, count, words);
  } catch (const std::exception& error) {
    fmt::print(stderr, "topazweir_scale: {}\n", error.what());
    return 2;
  }
  return broken() == 0 ? 0 : 1;
}
