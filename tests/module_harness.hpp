// Test harness of the decision module: feeds it scripted events through its public interface and records the
// actions that it returns.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::test {

constexpr Nanos ms = 1'000'000;
constexpr Nanos sec = 1000 * ms;

// One class of safe queries with an aim of 1 s, one shard, hedged requests and retries allowed.
inline Settings basic() {
  Settings s;
  s.seed = 11;
  s.tick = 5 * ms;
  s.shards = 1;
  s.cells = 1;
  s.reach = 1;
  s.maxAttempts = 4;
  s.hedging = true;
  s.cancelling = true;
  s.retryAfter = true;
  s.maxRetryAfter = 1 * sec;
  s.answerSlack = 20 * ms;
  s.drainGrace = sec;
  QueryClass lookup;
  lookup.name = "lookup";
  lookup.aim = 1 * sec;
  lookup.deadline = 2 * sec;
  lookup.lateWorth = 0.3;
  s.classes = {lookup};
  return s;
}

// An aggregator with a clock that only the test moves. Query ids are "q<number>", part ids "<query>.<index>".
struct ModuleHarness {
  explicit ModuleHarness(Settings initial) : settings(initial), aggregator(std::move(initial)) {}

  // Handles the events at the present time, records the actions and returns them.
  std::vector<Action> turn(std::vector<Event> events) {
    auto actions = aggregator.handle(now, events);
    for (const auto& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sends.push_back(*send);
        attempts[send->part].push_back(send->server);
        sentAt[send->part].push_back(now);
      } else if (const auto* cancel = std::get_if<Cancel>(&a)) {
        cancels.push_back(*cancel);
      } else if (const auto* answer = std::get_if<Answer>(&a)) {
        answers.push_back(*answer);
        ++finals[answer->query];
      } else if (const auto* refusal = std::get_if<Refuse>(&a)) {
        refusals.push_back(*refusal);
        ++finals[refusal->query];
      } else if (const auto* log = std::get_if<Log>(&a)) {
        logs.push_back(log->text);
      } else if (const auto* failure = std::get_if<Fail>(&a)) {
        failures.push_back(*failure);
        ++finals[failure->query];
      }
    }
    return actions;
  }
  // Advances the clock by `time`, with a timer event every `step`.
  void pass(Nanos time, Nanos step = 10 * ms) {
    for (const Nanos end = now + time; now < end;) {
      now = std::min(end, now + step);
      turn({TimerFired{0}});
    }
  }
  // Delivers a server list update.
  void list(std::vector<ServerEntry> entries, ServerListUpdate::Scope scope = ServerListUpdate::Scope::full) {
    turn({ServerListUpdate{scope, std::move(entries)}});
  }
  // Announces the servers 1 to `count` as a full list.
  void servers(int count) {
    std::vector<ServerEntry> entries;
    for (int i = 1; i <= count; ++i) {
      ServerEntry e;
      e.server = static_cast<ServerId>(i);
      entries.push_back(e);
    }
    list(entries);
  }
  // Starts a query of class `cls` with `parts` parts, one for each of the shards in turn, whose client waits
  // for `left`. Returns its id.
  std::string query(int parts = 1, int cls = 0, Nanos left = 2 * sec) {
    ++lastQueryNumber;
    const std::string id = "q" + std::to_string(lastQueryNumber);
    std::vector<Event> events{QueryArrived{id, lastQueryNumber, cls, left, parts, false}};
    for (int i = 0; i < parts; ++i)
      events.push_back(
          PartArrived{id + "." + std::to_string(i), lastQueryNumber, i % settings.shards, 1.0 / parts});
    turn(events);
    return id;
  }
  // Ends attempt `attempt` (from 0) of a part; its delay is the time since it was sent.
  void end(const std::string& part, int attempt, Outcome outcome = Outcome::delivered) {
    const auto at = static_cast<std::size_t>(attempt);
    turn({AttemptEnded{part, attempt, attempts.at(part).at(at), outcome, now - sentAt.at(part).at(at)}});
  }
  // Sends a query of one part and ends its first attempt successfully after `delay`. Returns the server that
  // received it, or 0 if nothing was sent.
  ServerId round(Nanos delay) {
    const auto part = query() + ".0";
    if (!attempts.count(part)) return 0;
    now += delay;
    end(part, 0);
    return attempts[part][0];
  }
  // Lets the module observe one delay of each server (item i is that of server i + 1): sends a query to each
  // while the others are outstanding, then ends them in the order of their delays.
  void measureDelays(const std::vector<Nanos>& delayByServer) {
    std::map<ServerId, std::string> partOf;
    for (std::size_t i = 0; i < delayByServer.size(); ++i) {
      const auto part = query() + ".0";
      partOf[attempts.at(part).at(0)] = part;
    }
    ASSERT_EQ(partOf.size(), delayByServer.size());
    const Nanos start = now;
    std::vector<std::pair<Nanos, ServerId>> order;
    for (std::size_t i = 0; i < delayByServer.size(); ++i) order.emplace_back(delayByServer[i], i + 1);
    std::sort(order.begin(), order.end());
    for (const auto& [delay, server] : order) {
      now = start + delay;
      end(partOf[server], 0);
    }
  }
  // Attempts beyond the first of their part: hedged requests and retries.
  std::size_t extraAttempts() const { return sends.size() - attempts.size(); }

  Settings settings;
  Aggregator aggregator;
  Nanos now = 100 * sec;
  QueryNo lastQueryNumber = 0;
  std::vector<Send> sends;
  std::vector<Cancel> cancels;
  std::vector<std::string> logs;
  std::vector<Answer> answers;
  std::vector<Refuse> refusals;
  std::vector<Fail> failures;
  std::map<std::string, int> finals;                      // final answers, refusals and failures by query
  std::map<std::string, std::vector<ServerId>> attempts;  // servers by part, in the order of sending
  std::map<std::string, std::vector<Nanos>> sentAt;       // like `attempts`: the time of each
};

}  // namespace topazweir::test
