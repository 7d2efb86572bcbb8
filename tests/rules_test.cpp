// The decision module through its public interface: choice of replicas, hedged requests, and the rules that
// hold for every query (one final answer, no effect twice, draining, slow start, honest answers, attempt
// budget).
#include <malloc.h>

#include "module_harness.hpp"

namespace topazweir::test {
namespace {

// Each send is then a first attempt or a retry.
Settings withoutHedging() {
  auto s = basic();
  s.hedging = false;
  return s;
}

// ---- choice of replicas and hedging ----

TEST(Mechanism, LowestLastDelayWins) {
  for (const bool firstIsFast : {true, false}) {
    ModuleHarness t(withoutHedging());
    t.servers(2);
    t.measureDelays(firstIsFast ? std::vector<Nanos>{50 * ms, 400 * ms}
                                : std::vector<Nanos>{400 * ms, 50 * ms});
    for (int i = 0; i < 3; ++i) EXPECT_EQ(t.round(50 * ms), firstIsFast ? 1U : 2U);
  }
}

TEST(Mechanism, PendingReplicaIsSetAside) {
  ModuleHarness t(withoutHedging());
  t.servers(2);
  // Server 1 has the shorter expected delay even with an outstanding part.
  t.measureDelays({40 * ms, 150 * ms});
  const auto first = t.query() + ".0";
  const auto second = t.query() + ".0";
  EXPECT_EQ(t.attempts[first][0], 1U);
  EXPECT_EQ(t.attempts[second][0], 2U);
}

TEST(Mechanism, SetAsideGivesWayWhenTheOthersLookFarSlower) {
  ModuleHarness t(withoutHedging());
  t.servers(2);
  t.measureDelays({50 * ms, 900 * ms});
  const auto first = t.query() + ".0";
  const auto second = t.query() + ".0";
  EXPECT_EQ(t.attempts[first][0], 1U);
  EXPECT_EQ(t.attempts[second][0], 1U);
}

TEST(Mechanism, LowestGuessWinsWhenAllAreSetAside) {
  ModuleHarness t(withoutHedging());
  t.servers(3);
  t.measureDelays({100 * ms, 110 * ms, 120 * ms});
  for (int i = 0; i < 3; ++i) t.query();
  const auto fourth = t.query() + ".0";
  EXPECT_EQ(t.attempts[fourth].size(), 1U);
}

TEST(Mechanism, GuessIsTheRoundsLargestWhenSomethingWasHeard) {
  ModuleHarness t(withoutHedging());
  t.servers(3);
  t.measureDelays({100 * ms, 120 * ms, 560 * ms});
  const auto a = t.query() + ".0";
  const auto b = t.query() + ".0";
  ASSERT_EQ(t.attempts[a][0], 1U);
  ASSERT_EQ(t.attempts[b][0], 2U);
  t.now += 50 * ms;
  t.end(a, 0);
  const auto c = t.query() + ".0";  // server 1 again: outstanding from here on
  ASSERT_EQ(t.attempts[c][0], 1U);
  t.now += 200 * ms;
  t.end(b, 0);  // the largest delay since then is 250 ms, longer than the part at server 1 has been out
  ServerEntry draining;
  draining.server = 2;
  draining.state = ServerState::draining;
  t.list({draining}, ServerListUpdate::Scope::changes);
  // By the age of its part alone, server 1 would look over 1.5 times faster than server 3.
  const auto d = t.query() + ".0";
  EXPECT_EQ(t.attempts[d][0], 3U);
}

TEST(Mechanism, UnheardReplicaCountsAsTheShardsMean) {
  ModuleHarness t(withoutHedging());
  t.servers(2);
  t.measureDelays({100 * ms, 300 * ms});
  ServerEntry fresh;
  fresh.server = 3;
  t.list({fresh}, ServerListUpdate::Scope::changes);
  const auto first = t.query() + ".0";
  const auto second = t.query() + ".0";
  EXPECT_EQ(t.attempts[first][0], 1U);   // measured at 100 ms; the mean is 200 ms
  EXPECT_EQ(t.attempts[second][0], 3U);  // assumed 200 ms beats a measured 300 ms
}

TEST(Mechanism, TwinsStayNearATenthAndGoToOtherReplicas) {
  ModuleHarness t(basic());
  t.servers(3);
  std::map<ServerId, int> hedgesByServer;
  for (int i = 0; i < 400; ++i) {
    const auto part = t.query() + ".0";
    const auto sent = t.attempts[part];
    ASSERT_LE(sent.size(), 2U);  // at most one hedged request a part
    if (sent.size() == 2) {
      EXPECT_NE(sent[0], sent[1]);
      ++hedgesByServer[sent[1]];
    }
    t.now += 40 * ms;
    t.end(part, 0);
  }
  EXPECT_LE(t.extraAttempts(), 44U);
  EXPECT_GE(t.extraAttempts(), 20U);
  EXPECT_GE(hedgesByServer.size(), 2U);  // the server is random, not always the same
}

TEST(Mechanism, FirstAnswerWinsAndTheLoserIsCancelledAtOnce) {
  auto s = basic();
  s.shards = 2;
  ModuleHarness t(s);
  t.servers(2);
  for (int i = 0; i < 60; ++i) {
    const auto id = t.query(2);
    t.now += 30 * ms;
    for (const auto* which : {".0", ".1"}) {
      if (t.attempts[id + which].size() != 2) continue;
      t.end(id + which, 1);  // the query's other part is still outstanding
      EXPECT_EQ(t.finals[id], 0);
      ASSERT_EQ(t.cancels.size(), 1U);
      EXPECT_EQ(t.cancels[0].part, id + which);
      EXPECT_EQ(t.cancels[0].attempt, 0);
      return;
    }
    t.end(id + ".0", 0);
    t.end(id + ".1", 0);
  }
  FAIL() << "no hedged request in 120 parts";
}

TEST(Mechanism, OnlySafePartsGetTwins) {
  for (const auto effect : {Effect::keyed, Effect::unsafe}) {
    auto s = basic();
    s.classes[0].effect = effect;
    s.classes[0].keyedWindow = 5 * sec;
    ModuleHarness t(s);
    t.servers(2);
    for (int i = 0; i < 100; ++i) t.round(20 * ms);
    EXPECT_EQ(t.extraAttempts(), 0U);
  }
}

TEST(Mechanism, TwinsStandDownInAJam) {
  ModuleHarness t(basic());
  t.servers(3);
  for (int i = 0; i < 120; ++i) t.round(30 * ms);
  for (int i = 0; i < 120; ++i) t.round(200 * ms);  // the median is now far above that without queueing
  const auto before = t.extraAttempts();
  for (int i = 0; i < 60; ++i) t.round(200 * ms);
  EXPECT_LE(t.extraAttempts() - before, 1U);
}

// ---- no query lost ----

TEST(NoQueryLost, SilentServersStillGetAFinalAnswerInTime) {
  ModuleHarness t(basic());
  t.servers(2);
  const auto id = t.query(1, 0, 1500 * ms);
  const Nanos deadline = t.now + 1500 * ms;
  while (t.now < deadline + 20 * ms && t.finals[id] == 0) t.pass(5 * ms, 5 * ms);
  EXPECT_EQ(t.finals[id], 1);
  EXPECT_LE(t.now, deadline + 20 * ms);
  const auto sent = t.sends.size();
  t.pass(2 * sec);
  EXPECT_EQ(t.finals[id], 1);
  EXPECT_EQ(t.sends.size(), sent);  // nothing is sent for an ended query
}

TEST(NoQueryLost, NoServersAtAllRefusesAtOnce) {
  ModuleHarness t(basic());
  const auto id = t.query();
  EXPECT_EQ(t.finals[id], 1);
  ASSERT_EQ(t.refusals.size(), 1U);
  EXPECT_GT(t.refusals[0].retryAfter, 0);
  EXPECT_LE(t.refusals[0].retryAfter, t.settings.maxRetryAfter);
}

TEST(NoQueryLost, NoAdviceWhereClientsDoNotReceiveIt) {
  auto s = basic();
  s.retryAfter = false;
  ModuleHarness t(s);
  t.query();
  ASSERT_EQ(t.refusals.size(), 1U);
  EXPECT_EQ(t.refusals[0].retryAfter, 0);
}

TEST(NoQueryLost, ClientGoneEndsAllAndSendsNothingMore) {
  ModuleHarness t(basic());
  t.servers(2);
  const auto id = t.query();
  t.turn({QueryExpired{id}});
  EXPECT_EQ(t.finals[id], 0);
  const auto sent = t.sends.size();
  t.pass(3 * sec);
  EXPECT_EQ(t.sends.size(), sent);
  EXPECT_EQ(t.finals[id], 0);
}

TEST(NoQueryLost, WorthlessAfterTheAimEndsAtTheAim) {
  auto s = basic();
  s.classes[0].lateWorth = 0;
  ModuleHarness t(s);
  t.servers(2);
  const auto id = t.query(1, 0, 2 * sec);
  const Nanos start = t.now;
  while (t.finals[id] == 0 && t.now < start + 3 * sec) t.pass(10 * ms);
  EXPECT_LE(t.now - start, t.settings.classes[0].aim + 20 * ms);
}

// ---- no effect twice ----

TEST(NoEffectTwice, UnsafePartIsNotResentAfterAnErrorAndItsQueryFails) {
  for (const auto outcome : {Outcome::error, Outcome::reset, Outcome::timedOut, Outcome::cancelled}) {
    auto s = basic();
    s.classes[0].effect = Effect::unsafe;
    ModuleHarness t(s);
    t.servers(2);
    const auto id = t.query();
    t.now += 20 * ms;
    t.end(id + ".0", 0, outcome);
    t.pass(3 * sec);
    EXPECT_EQ(t.sends.size(), 1U);
    EXPECT_EQ(t.failures.size(), 1U);
    EXPECT_TRUE(t.refusals.empty());
  }
}

TEST(NoEffectTwice, UnsafePartIsResentWhenProvenNotRun) {
  for (const auto outcome : {Outcome::rejected, Outcome::connectFailed, Outcome::notSent}) {
    auto s = basic();
    s.classes[0].effect = Effect::unsafe;
    ModuleHarness t(s);
    t.servers(2);
    const auto id = t.query();
    t.now += 20 * ms;
    t.end(id + ".0", 0, outcome);
    EXPECT_EQ(t.sends.size(), 2U);
  }
}

TEST(NoEffectTwice, UnsafeQueryIsRefusedOnlyWhenNothingCanHaveRun) {
  auto s = basic();
  s.classes[0].effect = Effect::unsafe;
  s.maxAttempts = 1;
  ModuleHarness t(s);
  t.servers(2);
  const auto id = t.query();
  t.end(id + ".0", 0, Outcome::connectFailed);
  EXPECT_EQ(t.refusals.size(), 1U);
  EXPECT_TRUE(t.failures.empty());
}

TEST(NoEffectTwice, KeyedPartIsResentOnlyWithinItsWindow) {
  for (const bool within : {true, false}) {
    auto s = basic();
    s.classes[0].effect = Effect::keyed;
    s.classes[0].keyedWindow = 300 * ms;
    s.hedging = false;
    ModuleHarness t(s);
    t.servers(2);
    const auto id = t.query();
    t.pass(within ? 250 * ms : 300 * ms);
    t.end(id + ".0", 0, Outcome::error);
    EXPECT_EQ(t.sends.size(), within ? 2U : 1U);
  }
}

TEST(NoEffectTwice, AttemptsStayWithinTheMost) {
  auto s = basic();
  s.maxAttempts = 3;
  ModuleHarness t(s);
  t.servers(4);
  const auto part = t.query() + ".0";
  for (int i = 0; i < 10; ++i) {
    if (static_cast<std::size_t>(i) >= t.attempts[part].size()) break;
    t.now += 10 * ms;
    t.end(part, i, Outcome::error);
  }
  EXPECT_EQ(t.attempts[part].size(), 3U);
  EXPECT_EQ(t.refusals.size(), 1U);  // ended as soon as it can no longer be answered
}

TEST(NoEffectTwice, NoSecondCopyWhereNotAllowed) {
  ModuleHarness t(withoutHedging());
  t.servers(3);
  for (int i = 0; i < 50; ++i) t.round(20 * ms);
  const auto part = t.query() + ".0";
  t.pass(1900 * ms);
  EXPECT_EQ(t.attempts[part].size(), 1U);
}

// ---- connection draining ----

TEST(Drains, NothingNewToADrainingGoneOrUnlistedServer) {
  enum class Removal { draining, gone, unlisted };
  ServerEntry one, two;
  one.server = 1;
  two.server = 2;
  for (const auto removal : {Removal::draining, Removal::gone, Removal::unlisted}) {
    ModuleHarness t(withoutHedging());
    t.servers(2);
    t.measureDelays({20 * ms, 200 * ms});
    if (removal == Removal::unlisted) {
      t.list({two});  // a full list without server 1
    } else {
      one.state = removal == Removal::draining ? ServerState::draining : ServerState::gone;
      t.list({one}, ServerListUpdate::Scope::changes);
    }
    const auto before = t.sends.size();
    for (int i = 0; i < 20; ++i) EXPECT_EQ(t.round(50 * ms), 2U);
    for (std::size_t i = before; i < t.sends.size(); ++i) EXPECT_EQ(t.sends[i].server, 2U);
  }
}

TEST(Drains, RetriesAndTwinsKeepToItToo) {
  ModuleHarness t(basic());
  t.servers(2);
  const auto id = t.query();
  const auto first = t.attempts[id + ".0"][0];
  ServerEntry other;
  other.server = first == 1 ? 2 : 1;
  other.state = ServerState::draining;
  t.list({other}, ServerListUpdate::Scope::changes);
  const auto before = t.sends.size();
  t.end(id + ".0", 0, Outcome::rejected);
  for (std::size_t i = before; i < t.sends.size(); ++i) EXPECT_NE(t.sends[i].server, other.server);
}

TEST(Drains, ListIsAskedForAtOnceAndAgainAfterAFailure) {
  auto s = basic();
  s.listOnRequest = true;
  s.listRequestInterval = 10 * sec;
  ModuleHarness t(s);
  const auto subscribes = [](const std::vector<Action>& actions) {
    return std::count_if(actions.begin(), actions.end(),
                         [](const Action& a) { return std::holds_alternative<Subscribe>(a); });
  };
  EXPECT_EQ(subscribes(t.turn({ServerListUpdate{ServerListUpdate::Scope::initial, {ServerEntry{}}}})), 1);
  for (int failure = 0; failure < 6; ++failure) {
    t.turn({ServerListUpdate{ServerListUpdate::Scope::failed, {}}});
    const Nanos start = t.now;
    long requests = 0;
    while (requests == 0 && t.now < start + 10 * sec) {
      t.now += 50 * ms;
      requests = subscribes(t.turn({TimerFired{0}}));
    }
    EXPECT_EQ(requests, 1);
    EXPECT_LT(t.now - start, 6 * sec);
  }
}

// ---- slow start of cold servers ----

TEST(Cold, FreshServerGetsNoMoreThanAFairShareInAnyWindow) {
  auto s = basic();
  s.aggregators = 3;
  s.coldCapacityShare = 0.15;
  s.warmUpTime = 16 * sec;
  s.overloadMultiple = 2.5;
  s.overloadWindow = 1 * sec;
  ModuleHarness t(s);
  ServerEntry fresh;
  fresh.server = 1;
  fresh.startedAt = t.now;
  t.list({fresh});
  std::vector<Nanos> sentAt;
  for (int i = 0; i < 300; ++i) {  // a burst of ten parts every 50 ms, all to the only server
    const auto before = t.sends.size();
    for (int k = 0; k < 10; ++k) t.query(1, 0, 500 * ms);
    for (auto n = before; n < t.sends.size(); ++n) sentAt.push_back(t.now);
    for (auto n = before; n < t.sends.size(); ++n) {
      const auto part = t.sends[n].part;
      t.now += 1 * ms;
      if (t.finals[part.substr(0, part.find('.'))] == 0) t.end(part, 0, Outcome::delivered);
    }
    t.now += 50 * ms;
    t.turn({TimerFired{0}});
    if (t.now > 104 * sec) break;
  }
  ASSERT_FALSE(sentAt.empty());
  // Before any delay is measured a part counts as a tenth of the aim (0.1 s of work), so the limit per
  // aggregator, 2.5 x 0.15 s / 3, admits one part.
  std::size_t maxInWindow = 0;
  for (std::size_t i = 0; i < sentAt.size() && sentAt[i] < 101 * sec; ++i) {
    std::size_t n = 0;
    while (i + n < sentAt.size() && sentAt[i + n] < sentAt[i] + 1 * sec) ++n;
    maxInWindow = std::max(maxInWindow, n);
  }
  EXPECT_LE(maxInWindow, 8U);
}

TEST(Cold, CeilingForgetsAChanceQuickDelayAmongTheFirst) {
  auto s = withoutHedging();
  s.coldCapacityShare = 0.5;
  s.warmUpTime = 1000 * sec;  // equally cold throughout the test
  s.overloadMultiple = 2;
  s.overloadWindow = 1 * sec;
  ModuleHarness t(s);
  t.servers(1);
  for (int i = 0; i < 200; ++i) t.round((i == 5 ? 5 : 50) * ms);
  const ServerEntry fresh{.server = 2, .startedAt = t.now};
  t.list({fresh});
  t.now += 2 * sec;
  const auto before = t.sends.size();
  for (int i = 0; i < 100; ++i) t.query();
  // 2 x 0.5 s of work are 20 parts of 50 ms; judged by the one delay of 5 ms they would be 200.
  EXPECT_LE(t.sends.size() - before, 20U);
  EXPECT_GE(t.sends.size() - before, 12U);  // at least 60% of the limit
}

TEST(Cold, BurstInOneTurnAgainstAColdServerIsLimited) {
  auto s = basic();
  s.shards = 8;
  s.coldCapacityShare = 0.2;
  s.warmUpTime = 10 * sec;
  s.overloadMultiple = 3;
  s.overloadWindow = 1 * sec;
  s.aggregators = 3;
  ModuleHarness t(s);
  ServerEntry fresh;
  fresh.server = 1;
  fresh.startedAt = t.now;
  t.list({fresh});
  t.query(8);
  EXPECT_LE(t.sends.size(), 2U);
}

TEST(Cold, UnheardColdReplicaDoesNotShutTheDoor) {
  // Guards against a rejected query when a rollout leaves only a fresh replica: its expected delay was taken
  // as the usual delay divided by its share of capacity, too long to pass admission control, so it was never
  // used.
  auto s = withoutHedging();
  s.coldCapacityShare = 0.15;
  s.warmUpTime = 16 * sec;
  ModuleHarness t(s);
  t.servers(1);
  for (int i = 0; i < 20; ++i) t.round(60 * ms);
  ServerEntry fresh;
  fresh.server = 2;
  fresh.startedAt = t.now;
  t.list({fresh});
  const auto part = t.query() + ".0";
  EXPECT_EQ(t.attempts[part].size(), 1U);
}

TEST(Cold, ReplicaCalledBackAmongQuickOnesIsTriedSoon) {
  auto s = basic();
  s.coldCapacityShare = 0.2;
  s.warmUpTime = 17 * sec;
  s.overloadMultiple = 4;
  s.overloadWindow = 2 * sec;
  ModuleHarness t(s);
  t.servers(3);
  for (int i = 0; i < 200; ++i) {
    t.round(ms);
    t.now += 4 * ms;
  }
  const auto queryUnderLoad = [&](int i) {
    t.round((2 + i % 3) * ms);
    t.now += 4 * ms;
  };
  for (int i = 0; i < 100; ++i) queryUnderLoad(i);  // rising delays, as of a queue, suspend random hedging
  t.list({{.server = 2, .startedAt = t.now}}, ServerListUpdate::Scope::changes);
  const Nanos restartedAt = t.now;
  const auto tried = [&] {
    return std::any_of(t.sends.begin(), t.sends.end(), [&](const Send& send) {
      return send.server == 2 && t.sentAt[send.part].back() >= restartedAt;
    });
  };
  for (int i = 0; !tried() && t.now < restartedAt + 5 * sec; ++i) queryUnderLoad(i);
  EXPECT_TRUE(tried());
}

// ---- honest answers ----

TEST(Honest, WholeOnlyWhenTheNeedIsMet) {
  auto s = basic();
  s.shards = 4;
  ModuleHarness t(s);
  t.servers(2);
  const auto id = t.query(4);
  for (int i = 0; i < 3; ++i) t.end(id + "." + std::to_string(i), 0);
  EXPECT_TRUE(t.answers.empty());
  t.end(id + ".3", 0);
  ASSERT_EQ(t.answers.size(), 1U);
  EXPECT_TRUE(t.answers[0].whole);
}

TEST(Honest, AsksForAsManyPartsAsNeededAndKeepsSpares) {
  auto s = basic();
  s.shards = 6;
  s.classes[0].need = 0.67;
  s.classes[0].floor = 0.67;
  s.hedging = false;
  ModuleHarness t(s);
  t.servers(3);
  const auto id = t.query(6);
  EXPECT_EQ(t.sends.size(), 5U);  // 4 of 6 parts are 0.667 of the query, below the needed 0.67
  t.end(t.sends[0].part, 0, Outcome::connectFailed);
  const auto parts = t.attempts.size();
  EXPECT_GE(t.sends.size(), 6U);
  EXPECT_LE(parts, 6U);
  EXPECT_EQ(t.finals[id], 0);
}

TEST(Honest, PartialAnswerOnlyFromTheFloorAndNeverMarkedWhole) {
  for (const int arrived : {1, 2}) {
    auto s = basic();
    s.shards = 4;
    s.classes[0].floor = 0.5;
    s.classes[0].partialWorth = 0.9;
    ModuleHarness t(s);
    t.servers(2);
    const auto id = t.query(4);
    for (int i = 0; i < arrived; ++i) t.end(id + "." + std::to_string(i), 0);
    t.pass(3 * sec);
    EXPECT_EQ(t.finals[id], 1);
    if (arrived == 2) {
      ASSERT_EQ(t.answers.size(), 1U);
      EXPECT_FALSE(t.answers[0].whole);
    } else {
      EXPECT_TRUE(t.answers.empty());
    }
  }
}

TEST(Honest, DuplicateDeliveriesCountOnce) {
  auto s = basic();
  s.shards = 2;
  ModuleHarness t(s);
  t.servers(2);
  const auto id = t.query(2);
  t.end(id + ".0", 0);
  t.end(id + ".0", 0);
  EXPECT_TRUE(t.answers.empty());
}

TEST(Honest, SecondStepNeedsAllItsParts) {
  auto s = basic();
  s.shards = 2;
  s.classes[0].secondStepParts = 1;
  ModuleHarness t(s);
  t.servers(2);
  const auto id = t.query(2);
  t.end(id + ".0", 0);
  t.end(id + ".1", 0);
  ASSERT_EQ(t.answers.size(), 1U);
  t.now += 5 * ms;
  t.turn({PartArrived{id + ".f", t.lastQueryNumber, 0, 1.0}});
  ASSERT_EQ(t.attempts[id + ".f"].size() >= 1, true);
  EXPECT_EQ(t.answers.size(), 1U);
  t.end(id + ".f", 0);
  ASSERT_EQ(t.answers.size(), 2U);
  EXPECT_TRUE(t.answers[1].whole);
}

// ---- the attempt budget ----

TEST(Budget, FurtherAttemptsStayWithinTheWindow) {
  auto s = basic();
  s.budget = RetryBudget{2 * sec, 2, 0.1};
  ModuleHarness t(s);
  t.servers(3);
  std::vector<Nanos> earning;  // times of arrivals, which earn budget: one of the query and one of its part
  std::vector<Nanos> extra;    // times of further attempts, which use it
  for (int i = 0; i < 200; ++i) {
    const auto part = t.query() + ".0";
    earning.push_back(t.now);
    earning.push_back(t.now);
    t.now += 10 * ms;
    for (std::size_t k = 0; k < t.attempts[part].size(); ++k)
      t.end(part, static_cast<int>(k), Outcome::error);
    t.pass(20 * ms);
  }
  for (const auto& [part, times] : t.sentAt) extra.insert(extra.end(), times.begin() + 1, times.end());
  std::sort(extra.begin(), extra.end());
  ASSERT_FALSE(extra.empty());
  for (const auto end : extra) {
    const auto within = [&](Nanos x) { return x > end - 2 * sec && x <= end; };
    const auto extras = std::count_if(extra.begin(), extra.end(), within);
    const auto earned = std::count_if(earning.begin(), earning.end(), within);
    EXPECT_LE(static_cast<double>(extras), 2 + 0.1 * static_cast<double>(earned));
  }
}

// ---- failures, outlier ejection and admission control ----

TEST(Health, FailingFastDoesNotLookFastest) {
  ModuleHarness t(withoutHedging());
  t.servers(2);
  t.measureDelays({100 * ms, 110 * ms});
  int toFailing = 0;
  for (int i = 0; i < 40; ++i) {
    const auto part = t.query() + ".0";
    for (int k = 0; k < static_cast<int>(t.attempts[part].size()) && k < 4; ++k) {
      const bool failing = t.attempts[part][static_cast<std::size_t>(k)] == 1;
      toFailing += failing ? 1 : 0;
      t.now += failing ? 1 * ms : 100 * ms;
      t.end(part, k, failing ? Outcome::error : Outcome::delivered);
    }
  }
  EXPECT_LE(toFailing, 10);
  EXPECT_EQ(t.answers.size(), 42U);
}

TEST(Health, ConnectFailureGoesToAnotherReplicaAtOnce) {
  ModuleHarness t(basic());
  t.servers(2);
  const auto part = t.query() + ".0";
  t.now += 5 * ms;
  t.end(part, 0, Outcome::connectFailed);
  ASSERT_EQ(t.attempts[part].size(), 2U);
  EXPECT_NE(t.attempts[part][0], t.attempts[part][1]);
}

TEST(Health, OneBrokenConnectionIsChance) {
  ModuleHarness t(basic());
  t.servers(2);
  for (int i = 0; i < 20; ++i) t.round(20 * ms);
  const auto fail = [&](Outcome outcome) {
    const auto part = t.query() + ".0";
    const auto server = t.attempts[part].at(0);
    t.now += 15 * ms;
    t.end(part, 0, outcome);
    t.now += 15 * ms;
    t.end(part, 1);
    return "server " + std::to_string(server) + " set aside";
  };
  const auto logged = [&](const std::string& text) {
    return std::any_of(t.logs.begin(), t.logs.end(), [&](const auto& l) { return l.rfind(text, 0) == 0; });
  };
  EXPECT_FALSE(logged(fail(Outcome::reset)));
  EXPECT_FALSE(logged(fail(Outcome::error)));
  ModuleHarness twice(basic());
  twice.servers(1);
  for (int i = 0; i < 20; ++i) twice.round(20 * ms);
  for (int i = 0; i < 2; ++i) {
    const auto part = twice.query() + ".0";
    twice.now += 15 * ms;
    twice.end(part, static_cast<int>(twice.attempts[part].size()) - 1, Outcome::reset);
    twice.pass(30 * ms);
  }
  EXPECT_EQ(std::count_if(twice.logs.begin(), twice.logs.end(),
                          [](const auto& l) { return l.find("connection broke") != std::string::npos; }),
            1);
}

TEST(Health, LastHolderIsClosedForAMomentOnly) {
  ModuleHarness t(basic());
  t.servers(1);
  for (int i = 0; i < 20; ++i) t.round(20 * ms);
  for (int i = 0; i < 4; ++i) {  // each ejection is longer than the one before
    const auto part = t.query() + ".0";
    if (t.attempts[part].empty()) t.pass(600 * ms);
    ASSERT_EQ(t.attempts[part].size(), 1U);
    t.end(part, 0, Outcome::rejected);
    t.pass(600 * ms);
    // The server is the only holder of the shard: the part has waited and is retried there.
    ASSERT_GE(t.attempts[part].size(), 2U);
    t.end(part, 1);
  }
}

TEST(Health, GoneServersAreForgotten) {
  auto s = basic();
  s.hedging = false;
  ModuleHarness t(s);
  t.servers(2);
  const auto part = t.query() + ".0";
  const auto old = t.attempts[part].at(0);
  ServerEntry e;
  for (ServerId id = 1; id <= 2; ++id) {
    e.server = id;
    e.state = ServerState::gone;
    t.list({e}, ServerListUpdate::Scope::changes);
  }
  const auto before = ::mallinfo2().uordblks;
  // An attempt is still outstanding at a removed server; its outcome must be handled.
  for (ServerId id = 3; id <= 20'000; ++id) {
    e.server = id;
    e.state = id == 20'000 ? ServerState::up : ServerState::gone;
    t.list({e}, ServerListUpdate::Scope::changes);
  }
  EXPECT_LT(::mallinfo2().uordblks, before + 500'000);
  t.turn({AttemptEnded{part, 0, old, Outcome::reset, 5 * ms}});
  ASSERT_GE(t.attempts[part].size(), 2U);
  EXPECT_EQ(t.attempts[part].back(), 20'000U);
}

TEST(Health, AllSlowAtOnceMakesNoStorm) {
  ModuleHarness t(basic());
  t.servers(3);
  for (int i = 0; i < 100; ++i) t.round(40 * ms);
  const auto before = t.extraAttempts();
  for (int i = 0; i < 60; ++i) t.round(300 * ms);
  // Under a third of the queries, although delays rise more than sevenfold.
  EXPECT_LE(t.extraAttempts() - before, 18U);
}

TEST(Health, OneSilentServerIsFoundAndLeft) {
  ModuleHarness t(basic());
  t.servers(3);
  for (int i = 0; i < 60; ++i) t.round(40 * ms);
  std::map<std::string, Nanos> answerAt;
  int toSilent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto id = t.query();
    const auto part = id + ".0";
    for (Nanos waited = 0; waited < 600 * ms && t.finals[id] == 0; waited += 20 * ms) {
      t.now += 20 * ms;
      t.turn({TimerFired{0}});
      for (std::size_t k = 0; k < t.attempts[part].size() && t.finals[id] == 0; ++k)
        if (t.attempts[part][k] != 1 && t.now - t.sentAt[part][k] >= 40 * ms)
          t.end(part, static_cast<int>(k));
    }
    toSilent += static_cast<int>(std::count(t.attempts[part].begin(), t.attempts[part].end(), 1U));
  }
  EXPECT_LE(toSilent, 20);
  EXPECT_GE(t.answers.size(), 150U);
}

TEST(Health, SilentServerIsBenched) {
  ModuleHarness t(withoutHedging());
  t.servers(3);
  for (int i = 0; i < 60; ++i) t.round(40 * ms);
  t.query();
  const auto hung = t.query();
  const auto server = t.attempts[hung + ".0"][0];
  const auto loggedOfServer = [&](const std::string& what) {
    return std::any_of(t.logs.begin(), t.logs.end(),
                       [&](const std::string& l) { return l == "server " + std::to_string(server) + what; });
  };
  for (int i = 0; i < 30; ++i) {
    const auto part = t.query() + ".0";
    t.now += 40 * ms;
    t.turn({TimerFired{0}});
    if (t.attempts[part].size() == 1 && t.attempts[part][0] != server) t.end(part, 0);
  }
  EXPECT_TRUE(loggedOfServer(" set aside: silent"));
}

TEST(Health, TheDoorOpensAgainWhenOldEvidenceHasDrained) {
  // Guards against permanent load shedding: after a stall of the aggregator itself all delays looked long,
  // every query was rejected, and so no new delay was ever measured.
  ModuleHarness t(withoutHedging());
  t.servers(2);
  for (int i = 0; i < 30; ++i) t.round(50 * ms);
  for (int i = 0; i < 80; ++i) {
    const auto one = t.query() + ".0";
    const auto two = t.query() + ".0";
    t.now += 1500 * ms;
    for (const auto& slow : {one, two})
      if (!t.attempts[slow].empty()) t.end(slow, 0);
    t.now += 5 * sec;
  }
  const auto part = t.query() + ".0";
  EXPECT_EQ(t.attempts[part].size(), 1U);
}

TEST(Health, ManyFailuresDoNotShutTheDoorOnSoundReplicas) {
  // Guards against failures that double the remembered delay without bound: through the mean of the shard
  // admission control then rejected everything.
  ModuleHarness t(withoutHedging());
  t.servers(2);
  t.measureDelays({60 * ms, 61 * ms});
  for (int i = 0; i < 10; ++i) t.round(60 * ms);  // establishes the usual delay
  for (int i = 0; i < 12; ++i) {
    const auto part = t.query() + ".0";
    for (int k = 0; k < static_cast<int>(t.attempts[part].size()) && k < 4; ++k) {
      t.now += 2 * ms;
      t.end(part, k, Outcome::rejected);
    }
  }
  t.now += 1500 * ms;
  const auto id = t.query();
  EXPECT_EQ(t.attempts[id + ".0"].size(), 1U);
}

TEST(Health, OvertakenPartIsSentElsewhere) {
  auto s = basic();
  s.classes[0].effect = Effect::keyed;  // keyed parts are not hedged
  s.classes[0].keyedWindow = 5 * sec;
  ModuleHarness t(s);
  t.servers(2);
  for (int i = 0; i < 80; ++i) t.round(40 * ms);
  const auto stuck = t.query() + ".0";
  const auto server = t.attempts[stuck][0];
  for (int i = 0; i < 12 && t.attempts[stuck].size() == 1; ++i) {
    const auto part = t.query() + ".0";
    t.now += 60 * ms;
    if (t.attempts[part][0] == server || i > 0) t.end(part, 0);
  }
  EXPECT_GE(t.attempts[stuck].size(), 2U);
  EXPECT_TRUE(
      std::any_of(t.cancels.begin(), t.cancels.end(), [&](const Cancel& c) { return c.part == stuck; }));
}

// Guards against a timer that fires only after the last time at which an answer still meets the aim or the
// client's deadline. The module is called only at the times for which it set a timer.
TEST(Rules, LastMomentsAreNotMissedBetweenSteps) {
  for (const Nanos aim : {997 * ms, 1001 * ms, 1013 * ms}) {
    auto s = basic();
    s.shards = 2;
    s.classes[0].aim = aim;
    s.classes[0].floor = 0.5;
    s.classes[0].partialWorth = 0.8;
    ModuleHarness t(s);
    t.servers(2);
    const Nanos arrived = t.now;
    std::vector<Nanos> timers;
    const auto recordTimers = [&](const std::vector<Action>& actions) {
      for (const auto& a : actions)
        if (const auto* timer = std::get_if<SetTimer>(&a)) timers.push_back(t.now + timer->wait);
    };
    recordTimers(t.turn({QueryArrived{"q", 1, 0, 2 * sec, 2, false}, PartArrived{"q.0", 1, 0, 0.5},
                         PartArrived{"q.1", 1, 1, 0.5}}));
    t.now += ms;
    recordTimers(t.turn({AttemptEnded{"q.0", 0, t.attempts["q.0"][0], Outcome::delivered, ms}}));
    while (t.answers.empty()) {
      const auto next = std::min_element(timers.begin(), timers.end());
      ASSERT_NE(next, timers.end());
      t.now = std::max(t.now, *next);
      timers.erase(next);
      recordTimers(t.turn({TimerFired{0}}));
    }
    EXPECT_LE(t.now - arrived, aim - 3 * s.tick);
    EXPECT_FALSE(t.answers[0].whole);
  }
}

}  // namespace
}  // namespace topazweir::test
