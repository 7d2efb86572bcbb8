// Tests of the aggregator with invalid input: unknown or repeated ids, out-of-range values, absurd list
// entries and settings. It must ignore or reject them without breaking its guarantees, and equal input gives
// equal actions.
#include <limits>

#include "module_harness.hpp"

namespace topazweir::test {
namespace {

TEST(Robust, UnknownIdsAreIgnored) {
  ModuleHarness script(basic());
  script.servers(2);
  script.turn({AttemptEnded{"nobody", 0, 1, Outcome::delivered, 5}, QueryExpired{"nobody"}, TimerFired{99},
               PartArrived{"stray", 77, 0, 1.0}});
  EXPECT_TRUE(script.sends.empty());
  const auto id = script.query();
  script.turn({AttemptEnded{id + ".0", 7, 1, Outcome::delivered, 5},
               AttemptEnded{id + ".0", -1, 1, Outcome::delivered, 5},
               AttemptEnded{id, 0, 1, Outcome::delivered, 5}, QueryExpired{id + ".0"}});
  EXPECT_EQ(script.finals[id], 0);
  script.end(id + ".0", 0);
  EXPECT_EQ(script.finals[id], 1);
}

TEST(Robust, EmptyTurnsAndQueriesWithoutParts) {
  ModuleHarness script(basic());
  EXPECT_TRUE(script.turn({}).empty());
  script.servers(2);
  const auto id = script.query(0);
  script.pass(3 * sec);
  EXPECT_EQ(script.finals[id], 1);
  EXPECT_TRUE(script.answers.empty());
}

TEST(Robust, RepeatedQueryNumberAndId) {
  ModuleHarness script(basic());
  script.servers(2);
  const auto id = script.query();
  script.turn({QueryArrived{id, 1, 0, sec, 1, false}, QueryArrived{"other", 1, 0, sec, 1, false}});
  script.turn({QueryExpired{"other"}});
  script.end(id + ".0", 0);
  EXPECT_EQ(script.finals[id], 1);
}

TEST(Robust, ClassAndShardOutOfRange) {
  ModuleHarness script(basic());
  script.servers(2);
  script.turn({QueryArrived{"bad", 50, 9, sec, 1, false}, PartArrived{"bad.0", 50, 0, 1.0}});
  EXPECT_EQ(script.finals["bad"], 1);
  script.turn({QueryArrived{"odd", 51, 0, sec, 1, false}, PartArrived{"odd.0", 51, 400, 1.0},
               PartArrived{"odd.1", 51, -4, 1.0}});
  script.pass(2 * sec);
  EXPECT_EQ(script.finals["odd"], 1);
  EXPECT_TRUE(script.sends.empty());
}

TEST(Robust, AbsurdListEntries) {
  auto settings = basic();
  settings.coldCapacityShare = 0.2;
  settings.warmUpTime = 10 * sec;
  settings.overloadMultiple = 3;
  settings.overloadWindow = sec;
  ModuleHarness script(settings);
  ServerEntry entry;
  entry.server = 1;
  entry.capacity = std::numeric_limits<double>::quiet_NaN();
  entry.startedAt = std::numeric_limits<Nanos>::max();  // in the future: treated as started now
  ServerEntry duplicate = entry;
  duplicate.cell = -3;
  script.list({entry, duplicate, entry});
  for (int i = 0; i < 20; ++i) script.query(1, 0, sec);
  EXPECT_LE(script.sends.size(), 6U);
}

TEST(Robust, ServerThatChangesItsCellIsAskedForItsNewShardsOnly) {
  auto settings = basic();
  settings.shards = 2;
  settings.cells = 2;
  ModuleHarness script(settings);
  ServerEntry first, second;
  first.server = 1;
  second.server = 2;
  second.cell = 1;
  script.list({first, second});
  first.cell = 1;
  second.cell = 0;
  script.list({first, second}, ServerListUpdate::Scope::changes);
  const auto id = script.query(2);
  EXPECT_EQ(script.attempts[id + ".0"].at(0), 2U);
  EXPECT_EQ(script.attempts[id + ".1"].at(0), 1U);
}

TEST(Robust, NegativeDelaysAndTimeLeft) {
  ModuleHarness script(basic());
  script.servers(2);
  const auto expired = script.query(1, 0, -5 * sec);
  EXPECT_EQ(script.finals[expired], 1);
  EXPECT_TRUE(script.sends.empty());
  const auto id = script.query();
  script.turn({AttemptEnded{id + ".0", 0, script.attempts[id + ".0"][0], Outcome::delivered, -5}});
  EXPECT_EQ(script.finals[id], 1);
}

TEST(Robust, SenselessSettingsAreNamedAndTakeNoAction) {
  auto settings = basic();
  settings.classes.clear();
  EXPECT_TRUE(findFault(settings));
  Aggregator aggregator(settings);
  EXPECT_TRUE(aggregator.handle(1, {QueryArrived{"q", 1, 0, sec, 1, false}}).empty());
  settings = basic();
  EXPECT_FALSE(findFault(settings));
  settings.reach = 3;
  EXPECT_TRUE(findFault(settings));
  settings = basic();
  settings.coldCapacityShare = 0;
  EXPECT_TRUE(findFault(settings));
}

TEST(Robust, SameEventsSameActions) {
  const auto actionTrace = [](std::uint64_t seed) {
    auto settings = basic();
    settings.seed = seed;
    ModuleHarness script(settings);
    script.servers(3);
    for (int i = 0; i < 200; ++i) script.round((20 + i % 7) * ms);
    std::string trace;
    for (const auto& send : script.sends) trace += send.part + ">" + std::to_string(send.server) + " ";
    return trace;
  };
  EXPECT_EQ(actionTrace(5), actionTrace(5));
  EXPECT_NE(actionTrace(5), actionTrace(6));
}

}  // namespace
}  // namespace topazweir::test
