// Tests of the line protocol adapter of the simulator (src/sim), with hand-written input.
#include "wire.hpp"

#include <sstream>

#include "gtest/gtest.h"

namespace topazweir::wire {
namespace {

const std::string kUp =
    "up who=1 randomSeed=5 az=0 balancers=1 discovery=pushed familyInfo.needByClass=1.0 "
    "familyInfo.minShare=1.0 "
    "familyInfo.fetchParts=0 familyInfo.sets=1 familyInfo.reach=1 familyInfo.slabs=2 familyInfo.partsACall=4 "
    "limits.maxAttempts=3 limits.cancelling=true limits.secondCopies=true limits.retryAfter=true "
    "limits.maxRetryAfterNs=1000000000 profiles.count=1 profiles.0.aimNs=500000000 "
    "profiles.0.deadlineNs=1000000000 "
    "profiles.0.semantics=repeatable profiles.0.value=1.0 some.new.key=7 tickNs=5000000\n";
const std::string kList =
    "list list=0 elements=1\nm leaf=42 rackZone=0 flavor=0 slotNo=0 readiness=U capacityHint=1\n";
const std::string kView = "view who=1 serial=1 scope=C list=0\n";
const std::string kQuery =
    "job_in who=1 id=Q class=0 leftNs=900000000 wholeNo=3 rangeNo=-1 sizeOrWeight=1 options=0\n"
    "job_in who=1 id=P class=0 leftNs=900000000 wholeNo=3 rangeNo=0 sizeOrWeight=1 options=0\n";

// A batch of event lines at time `at`.
std::string batch(const std::string& events, Nanos at = 1000) {
  return "batch tsNs=" + std::to_string(at) + "\n" + events + "your_turn\n";
}

// Runs the adapter on `text` and returns its output.
std::string runHost(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  Host().run(in, out);
  return out.str();
}

// Returns the message of the WireError that `text` causes, or an empty string.
std::string errorMessage(const std::string& text) {
  try {
    runHost(text);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

TEST(Wire, EmptyBatch) { EXPECT_EQ(runHost(batch("")), "end\n"); }

TEST(Wire, AQueryFromStartToAnswer) {
  const auto out =
      runHost(batch(kUp + kList + kView) + batch(kQuery, 2000) +
              batch("response who=1 id=P lagNs=9000 leaf=42 status=delivered settled=1 roundNo=0\n", 11000));
  EXPECT_NE(out.find("send who=1 id=P leaf=42"), std::string::npos);
  EXPECT_NE(out.find("wrap_up who=1 id=Q entire=1"), std::string::npos);
  EXPECT_EQ(std::count(out.begin(), out.end(), '\n') > 3, true);
}

TEST(Wire, ListNumbersAreResolvedInEventOrder) {
  const std::string other =
      "list list=0 elements=1\nm leaf=7 rackZone=0 flavor=0 slotNo=0 readiness=U capacityHint=1\n";
  const auto out = runHost(batch(kUp + kList + kView + other) + batch(kQuery, 2000));
  EXPECT_NE(out.find("leaf=42"), std::string::npos);
  EXPECT_EQ(out.find("leaf=7"), std::string::npos);
}

TEST(Wire, TeardownAndUpInOneBatchForgetsAll) {
  const auto out =
      runHost(batch(kUp + kList + kView) + batch(kQuery, 2000) +
              batch("teardown who=1\n" + kUp + kList + kView, 3000) +
              batch("response who=1 id=P lagNs=9000 leaf=42 status=delivered settled=1 roundNo=0\n", 11000));
  EXPECT_EQ(out.find("wrap_up"), std::string::npos);
}

TEST(Wire, UnknownEventsFieldsAndKeysAreIgnored) {
  EXPECT_EQ(runHost(batch("weather who=1 sky=blue\n")), "end\n");
  EXPECT_NE(
      runHost(batch(kUp + kList + kView) + batch("alarm who=1 keyBack=3 mood=fine\n", 2000)).find("end"),
      std::string::npos);
}

TEST(Wire, MessagesOfPeersAreReadAndWritten) {
  const auto up = std::string(kUp).insert(kUp.size() - 1, " limits.mayTell=true balancers=2");
  const auto out =
      runHost(batch(up + kList + kView) + batch(kQuery, 1500) + batch("alarm who=1 keyBack=1\n", 2000));
  const auto share = out.find("share who=1 target=all msg=");
  ASSERT_NE(share, std::string::npos);  // reports the part that it has just sent
  const auto start = share + std::string("share who=1 target=all msg=").size();
  const auto text = out.substr(start, out.find('\n', start) - start);
  EXPECT_EQ(
      runHost(batch(up + kList + kView) + batch("heard who=1 by=2 msg=" + text + "\n", 1500)).find("broken"),
      std::string::npos);
  EXPECT_NE(errorMessage(batch(up + "heard who=1 by=2 msg=a=bc\n")).find("field msg"), std::string::npos);
  EXPECT_NE(errorMessage(batch(up + "heard who=1 by=2 msg=abc\n")).find("field msg"), std::string::npos);
}

TEST(Wire, FailedViewKeepsThePreviousList) {
  const auto out = runHost(batch(kUp + kList + kView) + batch("view who=1 serial=2 scope=X\n", 1500) +
                           batch(kQuery, 2000));
  EXPECT_NE(out.find("send who=1 id=P leaf=42"), std::string::npos);
}

TEST(Wire, SettingsThatMakeNoSenseAnswerBroken) {
  const auto out = runHost(batch("up who=4 randomSeed=1 profiles.count=0\n"));
  EXPECT_NE(out.find("broken who=4 msg="), std::string::npos);
}

TEST(Wire, MalformedLinesNameLineAndField) {
  EXPECT_NE(errorMessage("batch tsNs=abc\nyour_turn\n").find("line 1: field tsNs"), std::string::npos);
  EXPECT_NE(errorMessage(batch("alarm who=9 keyBack=1\n")).find("line 2: field who"), std::string::npos);
  EXPECT_NE(errorMessage(batch(kUp + "view who=1 serial=1 scope=F list=3\n")).find("field list"),
            std::string::npos);
  EXPECT_NE(
      errorMessage(batch(kUp + "response who=1 id=P leaf=42 status=shiny roundNo=0\n")).find("field status"),
      std::string::npos);
  EXPECT_NE(
      errorMessage(batch(kUp + "job_in who=1 id=Q class=0 wholeNo=1 rangeNo=-1\n")).find("field leftNs"),
      std::string::npos);
  EXPECT_NE(errorMessage("batch tsNs=1\nbroken_line\n").find("input ends"), std::string::npos);
  EXPECT_NE(errorMessage("alarm who=1 keyBack=1\n").find("outside a batch"), std::string::npos);
  EXPECT_NE(errorMessage(batch("", 5) + batch("", 4)).find("clock"), std::string::npos);
}

TEST(Wire, SettingsAreReadByPath) {
  const Fields fields(
      "randomSeed=9 az=2 balancers=3 discovery=on_request familyInfo.needByClass=1.0,0.67 "
      "familyInfo.minShare=1.0,0.5 "
      "profiles.count=2 profiles.0.aimNs=1 profiles.0.deadlineNs=2 profiles.0.semantics=once "
      "profiles.1.aimNs=3 "
      "profiles.1.deadlineNs=4 profiles.1.semantics=by_key profiles.1.windowNs=5 guarantees.countedOverNs=6 "
      "guarantees.minExtra=7 guarantees.extraRatio=0.25");
  const auto settings = readSettings(fields);
  EXPECT_EQ(settings.zone, 2);
  EXPECT_TRUE(settings.listOnRequest);
  ASSERT_EQ(settings.classes.size(), 2U);
  EXPECT_EQ(settings.classes[0].effect, Effect::unsafe);
  EXPECT_EQ(settings.classes[1].effect, Effect::keyed);
  EXPECT_DOUBLE_EQ(settings.classes[1].need, 0.67);
  EXPECT_DOUBLE_EQ(settings.classes[1].floor, 0.5);
  ASSERT_TRUE(settings.budget);
  EXPECT_EQ(settings.budget->window, 6);
  EXPECT_DOUBLE_EQ(settings.budget->attemptsPerAccepted, 0.25);
}

}  // namespace
}  // namespace topazweir::wire
