// What the module infers from messages of peers, from broken connections and from the time a client has left;
// and partial answers.
#include "module_harness.hpp"

namespace topazweir::test {
namespace {

// Without hedging, so that each send shows a choice of server.
Settings withoutHedging() {
  auto s = basic();
  s.hedging = false;
  return s;
}

// The messages that an aggregator sends to its peers.
std::vector<std::string> messagesIn(const std::vector<Action>& actions) {
  std::vector<std::string> messages;
  for (const auto& a : actions)
    if (const auto* message = std::get_if<SendToPeers>(&a)) messages.push_back(message->bytes);
  return messages;
}

// The message of a peer that has just sent a part to this server.
std::string messageFor(ServerId server, Settings s) {
  s.messages = true;
  ModuleHarness peer(s);
  ServerEntry e;
  e.server = server;
  peer.list({e});
  peer.query();
  peer.now += 5 * ms;
  const auto messages = messagesIn(peer.turn({TimerFired{0}}));
  return messages.empty() ? std::string() : messages.front();
}

// ---- peers ----

TEST(Peers, NothingIsToldWhereMessagesAreNotAllowed) {
  EXPECT_FALSE(messageFor(1, withoutHedging()).empty());
  ModuleHarness t(withoutHedging());
  t.servers(2);
  t.query();
  t.now += 5 * ms;
  EXPECT_TRUE(messagesIn(t.turn({TimerFired{0}})).empty());
}

TEST(Peers, QueueThatPeersMakeIsSeen) {
  auto s = withoutHedging();
  s.messages = true;
  s.aggregators = 8;
  const auto busy = messageFor(1, s);
  ASSERT_FALSE(busy.empty());
  for (const bool heard : {false, true}) {
    ModuleHarness t(s);
    t.servers(2);
    t.measureDelays({50 * ms, 60 * ms});
    for (int i = 0; i < 12; ++i) t.round(50 * ms);
    t.measureDelays({50 * ms, 60 * ms});
    if (heard)
      for (int i = 0; i < 12; ++i) t.turn({PeerMessage{2, busy}});
    EXPECT_EQ(t.attempts[t.query() + ".0"][0], heard ? 2U : 1U);
  }
}

TEST(Peers, OddMessagesAreIgnored) {
  auto s = withoutHedging();
  s.messages = true;
  ModuleHarness t(s);
  t.servers(2);
  for (const std::string& bytes : {std::string(), std::string("\x01"), std::string(3, '\xff'),
                                   std::string(400, 'x'), std::string("ab\x01")})
    t.turn({PeerMessage{2, bytes}});
  EXPECT_EQ(t.attempts[t.query() + ".0"].size(), 1U);
}

TEST(Peers, SendThatFailedAtOnceIsNoQueueForAnybody) {
  auto s = withoutHedging();
  s.messages = true;
  ModuleHarness t(s);
  t.servers(1);
  const auto part = t.query() + ".0";
  t.now += 1 * ms;
  const auto actions = t.turn({AttemptEnded{part, 0, 1, Outcome::connectFailed, 1 * ms}});
  EXPECT_TRUE(messagesIn(actions).empty());
}

// A server that several peers report as unresponsive is tried last by an aggregator without recent
// measurements of its own; the report of a single peer has no effect.
TEST(Peers, SilentServerIsTriedLastWhenSeveralAgree) {
  auto s = withoutHedging();
  s.messages = true;
  ModuleHarness finder(s);
  finder.servers(1);
  for (int i = 0; i < 20; ++i) finder.round(40 * ms);
  finder.query();
  std::string report;
  for (int i = 0; i < 200 && report.empty(); ++i) {
    finder.now += 10 * ms;
    for (const auto& message : messagesIn(finder.turn({TimerFired{0}})))
      if (message.back() != messageFor(1, s).back()) report = message;
  }
  ASSERT_FALSE(report.empty());
  for (const int peers : {1, 3}) {
    ModuleHarness t(s);
    t.servers(2);
    t.measureDelays({50 * ms, 200 * ms});
    t.now += 2 * sec;  // there is no recent measurement of either
    for (int i = 0; i < peers; ++i) t.turn({PeerMessage{i + 1, report}});
    EXPECT_EQ(t.attempts[t.query() + ".0"][0], peers > 1 ? 2U : 1U);
  }
  ModuleHarness own(s);  // recent measurements of its own outweigh reports
  own.servers(2);
  own.measureDelays({50 * ms, 200 * ms});
  for (int i = 0; i < 3; ++i) own.turn({PeerMessage{i + 1, report}});
  EXPECT_EQ(own.attempts[own.query() + ".0"][0], 1U);
}

// ---- connections ----

TEST(Connections, BreakBeforeAnyWorkIsNoKillingQuery) {
  for (const bool early : {true, false}) {
    auto s = withoutHedging();
    s.shards = 3;
    ModuleHarness t(s);
    t.servers(6);
    for (int i = 0; i < 20; ++i) t.round(40 * ms);
    const auto id = t.query(3);
    // A query on its first attempt is blamed once two servers broke the connection. A break that comes before
    // the part can have been processed (here after 1 ms) does not count.
    for (int nth = 0; nth < 2; ++nth) {
      EXPECT_EQ(t.finals[id], 0);
      EXPECT_EQ(t.attempts[id + ".0"].size(), static_cast<std::size_t>(nth) + 1);
      t.now += early ? 1 * ms : 30 * ms;
      t.end(id + ".0", nth, Outcome::reset);
    }
    EXPECT_EQ(t.finals[id], early ? 0 : 1);
  }
}

TEST(Connections, HalfOfABudgetIsKeptForPartsThatFailed) {
  auto s = basic();
  s.budget = RetryBudget{5 * sec, 4, 0};
  ModuleHarness t(s);
  t.servers(3);
  for (int i = 0; i < 60; ++i) t.round(40 * ms);
  EXPECT_LE(t.extraAttempts(), 2U);
  const auto part = t.query() + ".0";
  const auto sends = t.attempts[part].size();
  t.now += 1 * ms;
  t.end(part, 0, Outcome::connectFailed);
  EXPECT_EQ(t.attempts[part].size(), sends + 1);
}

TEST(Connections, WhoCantGoOnSendsItsClientBackSoon) {
  auto s = withoutHedging();
  s.maxAttempts = 1;
  ModuleHarness t(s);
  t.servers(2);
  for (int i = 0; i < 20; ++i) t.round(40 * ms);
  const auto part = t.query() + ".0";
  t.now += 1 * ms;
  t.end(part, 0, Outcome::connectFailed);
  ASSERT_EQ(t.refusals.size(), 1U);
  EXPECT_GT(t.refusals[0].retryAfter, 0);
  EXPECT_LT(t.refusals[0].retryAfter, 100 * ms);
}

// ---- partial answers, and the time a client has left ----

// Four shards; half of the parts suffice for a partial answer, and a late answer is worth nothing.
Settings withPartialAnswers() {
  auto s = withoutHedging();
  s.shards = 4;
  s.classes[0].floor = 0.5;
  s.classes[0].partialWorth = 0.8;
  s.classes[0].lateWorth = 0;
  return s;
}

TEST(Partial, WhatIsInGoesOutWhileTheClientStillGetsItWithinTheAim) {
  ModuleHarness t(withPartialAnswers());
  t.servers(4);
  const Nanos start = t.now;
  const auto id = t.query(4);
  t.now += 40 * ms;
  t.end(id + ".0", 0);
  t.end(id + ".1", 0);
  while (t.answers.empty() && t.now < start + 1500 * ms) t.pass(5 * ms, 5 * ms);
  ASSERT_EQ(t.answers.size(), 1U);
  EXPECT_FALSE(t.answers[0].whole);
  EXPECT_LT(t.now, start + t.settings.classes[0].aim);
  EXPECT_GT(t.now, start + t.settings.classes[0].aim - 50 * ms);
}

TEST(Partial, ItWaitsWhereTheWholeIsWorthMoreLater) {
  auto s = withPartialAnswers();
  s.classes[0].lateWorth = 0.9;
  ModuleHarness t(s);
  t.servers(4);
  const auto id = t.query(4);
  t.now += 40 * ms;
  t.end(id + ".0", 0);
  t.end(id + ".1", 0);
  t.pass(1100 * ms);
  EXPECT_TRUE(t.answers.empty());
}

TEST(Partial, NeverUnderTheFloor) {
  ModuleHarness t(withPartialAnswers());
  t.servers(4);
  const auto id = t.query(4);
  t.now += 40 * ms;
  t.end(id + ".0", 0);
  t.pass(2 * sec);
  EXPECT_TRUE(t.answers.empty());
  EXPECT_EQ(t.finals[id], 1);
}

TEST(Partial, SecondStepOfAClassWithoutAFloorIsNotAnsweredInPart) {
  auto s = withoutHedging();
  s.shards = 2;
  s.classes[0].secondStepParts = 2;
  s.classes[0].lateWorth = 0;
  ModuleHarness t(s);
  t.servers(4);
  const auto id = t.query(2);
  t.now += 40 * ms;
  t.end(id + ".0", 0);
  t.end(id + ".1", 0);
  ASSERT_EQ(t.answers.size(), 1U);
  t.turn(
      {PartArrived{id + ".2", t.lastQueryNumber, 0, 0.5}, PartArrived{id + ".3", t.lastQueryNumber, 1, 0.5}});
  t.now += 40 * ms;
  t.end(id + ".2", 0);
  t.pass(2 * sec);
  EXPECT_EQ(t.answers.size(), 1U);
  EXPECT_EQ(t.refusals.size(), 1U);
}

// Where clients do not mark retries, a query with less time left than a first attempt has is taken for a
// retry. If its aim has passed and a late answer is worth nothing, it is rejected at once.
TEST(ClientTime, UnmarkedRepeatPastItsAimIsRefusedAtOnce) {
  for (const bool marked : {false, true}) {
    auto s = withoutHedging();
    s.classes[0].deadline = 3 * sec;
    s.classes[0].lateWorth = 0;
    s.retriesMarked = marked;
    ModuleHarness t(s);
    t.servers(2);
    for (int i = 0; i < 20; ++i) t.round(40 * ms);  // a first attempt has 2 s
    t.query(1, 0, 1700 * ms);                       // 1.3 s have passed
    EXPECT_EQ(t.refusals.size(), marked ? 0U : 1U);
  }
}

TEST(ClientTime, ClientInAHurryIsServed) {
  auto s = withoutHedging();
  s.classes[0].lateWorth = 0;
  s.retriesMarked = false;
  ModuleHarness t(s);
  t.servers(2);
  for (int i = 0; i < 20; ++i) t.round(40 * ms);
  t.query(1, 0, 500 * ms);
  EXPECT_TRUE(t.refusals.empty());
}

}  // namespace
}  // namespace topazweir::test
