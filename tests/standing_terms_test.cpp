// Five requirements of the operators. For each: the other tests that cover it, and the cases here.
// 1 An update counts 6 s after discovery had it and could be reached. Covered by retry_pace_test, ends_test,
//   program_test; here newsIsInSixSecondsLater. Discovery may delay a request but not an open watch, so the
//   2 s that the requirement allows after such a delay have no case here.
// 2 Nothing is started for a client more than 0.1 s after it has left. Covered by broker_test, endings_test,
//   ends_test and, for cancelled calls, grpc_wire_test; here nothingBeginsForWhoHasLeft, norAfterAStandstill,
//   norBehindAFlood, noDialBringsItBack.
// 3 The load of all aggregators together does not overload cold servers. Covered by fleet_test and
//   cold_ramp_test and, for a single instance, rules_test; no case here.
// 4 Idle clients may use up the descriptors while discovery is down. Covered by server_test, node_pool_test,
//   but not with discovery down; here idleClientsMayFillIt.
// 5 Nine in ten restarted processes are ready within 10 s. Covered by operation_test, ends_test; here
//   nineInTenAreReady, realOnesAreReady.
// The arguments are the program's path and, to run a single case, the case's name. Every case runs to its end
// and reports each failure.
#include <sys/resource.h>

#include <array>
#include <chrono>
#include <cstring>
#include <deque>
#include <map>
#include <random>
#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "lab/fake_server.hpp"
#include "operation/operation.hpp"
#include "platform/discovery_retry_policy.hpp"
#include "platform/platform_service.hpp"
#include "processes/event_loop_test.hpp"
#include "processes/process.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;

// ---- 1: updates are known 6 s after discovery could be asked for them ----

// The outcome of a request. nobody: nobody listens. vanished: the connect times out. unresponsive: the
// connection is accepted and stays unresponsive.
enum class Reaction { list, refusal, nobody, vanished, reset, unresponsive };
constexpr std::array kFailures{Reaction::refusal, Reaction::nobody, Reaction::vanished, Reaction::reset,
                               Reaction::unresponsive};
constexpr std::array kReactionNames{"list", "refusal", "nobody", "vanished", "reset", "unresponsive"};

constexpr Nanos kAnswerNs = 20 * kMs;       // round trip of an answer
constexpr Nanos kHeartbeatNs = 2000 * kMs;  // longest silence of a healthy watch

// A client of discovery on a virtual clock. It sends requests as platform::Discovery does, with the waits and
// time-outs of `pace`.
template <class Pace>
struct DiscoveryClient {
  Pace pace;
  Nanos now;
  // Sends a request at `now`. False: it has failed, and the next one is due at the new `now`.
  bool request(const std::function<Reaction(Nanos)>& reaction) {
    const Nanos startedAt = now;
    switch (reaction(startedAt)) {
      case Reaction::nobody:
        return fail(startedAt + kMs, false);
      case Reaction::vanished:
        return fail(startedAt + platform::DiscoveryRetryPolicy::kConnectTimeoutNs, false);
      case Reaction::reset:
        return fail(startedAt + kAnswerNs, false);
      case Reaction::refusal:
        return fail(startedAt + kAnswerNs, true);
      case Reaction::unresponsive:
        return fail(startedAt + pace.answerTimeout(startedAt), false);
      case Reaction::list:
        break;
    }
    now = startedAt + kAnswerNs;
    pace.recordData(now);
    pace.recordSuccess();
    return true;
  }
  bool fail(Nanos at, bool refused) {
    now = at + pace.nextWait(at, refused);
    return false;
  }
  // Sends requests until the list has arrived, or until `end`; returns when that was.
  Nanos listed(const std::function<Reaction(Nanos)>& reaction, Nanos end) {
    while (now < end)
      if (request(reaction)) return now;
    return now;
  }
};

struct Outage {
  // The end of each span and the outcome in it; afterwards requests bring the list.
  std::vector<std::pair<Nanos, Reaction>> spans;
  Reaction at(Nanos now) const {
    for (const auto& [until, reaction] : spans)
      if (now < until) return reaction;
    return Reaction::list;
  }
  Nanos over() const { return spans.empty() ? 0 : spans.back().first; }
};

// A random outage from `from` on. `only` >= 0: with this one kind of failure.
Outage randomOutage(std::mt19937_64& random, Nanos from, int only) {
  Outage out;
  const std::size_t count = only >= 0 ? 1 : 1 + random() % 4;
  for (std::size_t i = 0; i < count; ++i) {
    from += static_cast<Nanos>(random() % static_cast<std::uint64_t>(30 * kSec)) + kMs;
    out.spans.emplace_back(
        from, kFailures[only >= 0 ? static_cast<std::size_t>(only) : random() % kFailures.size()]);
  }
  return out;
}

constexpr std::array kFleets{1, 3, 12, 48, 100, 300, 1000, 2000};
constexpr unsigned kPaceSeeds = 600;

// By scenario: by how much an update missed its deadline at worst; negative when it was in time.
using WorstLateness = std::map<std::string, Nanos>;

// The worst over seeds and fleet sizes, with outages of all kinds: for updates after an outage, after a watch
// has become unresponsive, and after a SIGHUP.
template <class Make>
WorstLateness worstLateness(bool pushed, const Make& make) {
  WorstLateness out;
  const auto note = [&](const std::string& what, Nanos late) {
    const auto at = out.try_emplace(what, late).first;
    at->second = std::max(at->second, late);
  };
  for (const int fleet : kFleets)
    for (unsigned seed = 0; seed < kPaceSeeds; ++seed) {
      std::mt19937_64 random(seed * 7919U + static_cast<unsigned>(fleet));
      const Nanos start = 1000 * kSec;
      using Pace = decltype(make(fleet, pushed, std::uint64_t{}));
      // An outage from the start on; the list is available from its end.
      const int only = static_cast<int>(seed % (kFailures.size() + 1)) - 1;
      const auto outage = randomOutage(random, start, only);
      DiscoveryClient<Pace> early{make(fleet, pushed, seed), start};
      early.pace.recordMove(start);
      const auto reaction = [&](Nanos now) { return outage.at(now); };
      const Nanos up = outage.over();
      note(
          std::string("outage: ") + (only < 0 ? "mixed" : kReactionNames[static_cast<std::size_t>(only) + 1]),
          early.listed(reaction, up + 60 * kSec) - std::max(up + 6 * kSec, start + 4 * kSec));

      // A watch that has sent data for a while, 13 s at most, then breaks with discovery unreachable.
      DiscoveryClient<Pace> broken{make(fleet, pushed, seed), start};
      broken.pace.recordMove(start);
      CHECK(broken.request([](Nanos) { return Reaction::list; }));
      const Nanos lastDataAt =
          broken.now + static_cast<Nanos>(random() % static_cast<std::uint64_t>(13 * kSec));
      broken.pace.recordData(lastDataAt);
      const auto later = randomOutage(random, lastDataAt, only);
      broken.now = lastDataAt + broken.pace.nextWait(lastDataAt);
      note(std::string("broken watch, outage: ") +
               (only < 0 ? "mixed" : kReactionNames[static_cast<std::size_t>(only) + 1]),
           broken.listed([&](Nanos now) { return later.at(now); }, later.over() + 60 * kSec) -
               (later.over() + 6 * kSec));

      // A watch that becomes unresponsive after 13 s of data. Discovery answers the next request, or that one
      // fails and the second is answered. Counted from the last data.
      for (const bool fault : {false, true}) {
        DiscoveryClient<Pace> silent{make(fleet, pushed, seed), start};
        silent.pace.recordMove(start);
        CHECK(silent.request([](Nanos) { return Reaction::list; }));
        Nanos last = silent.now;
        for (; last < start + 13 * kSec; last += kHeartbeatNs) silent.pace.recordData(last);
        last -= kHeartbeatNs;
        const Nanos timedOutAt = last + platform::DiscoveryRetryPolicy::kWatchIdleTimeoutNs;
        silent.now = timedOutAt + silent.pace.nextWait(timedOutAt);
        const Reaction first = fault ? kFailures[seed % kFailures.size()] : Reaction::list;
        bool requested = false;
        const auto once = [&](Nanos) { return std::exchange(requested, true) ? Reaction::list : first; };
        note(fault ? std::string("late silence, then once ") + kReactionNames[seed % kFailures.size() + 1]
                   : "late silence",
             silent.listed(once, last + 60 * kSec) - (last + 6 * kSec));
      }

      // Requests that are not answered, the first one kept: data arrives on it at any time, beside a later
      // one, and it becomes the watch. It becomes unresponsive at once; the next request is answered, or that
      // one fails and the second is answered.
      for (const bool fault : {false, true}) {
        DiscoveryClient<Pace> kept{make(fleet, pushed, seed), start};
        kept.pace.recordMove(start);
        for (std::size_t requests = 1 + random() % 4; requests > 0; --requests)
          CHECK(!kept.request([](Nanos) { return Reaction::unresponsive; }));
        const Nanos dataAt =
            kept.now +
            static_cast<Nanos>(random() % static_cast<std::uint64_t>(kept.pace.answerTimeout(kept.now)));
        kept.pace.recordData(dataAt);
        kept.pace.recordSuccess();
        const Nanos timedOutAt = dataAt + platform::DiscoveryRetryPolicy::kWatchIdleTimeoutNs;
        kept.now = timedOutAt + kept.pace.nextWait(timedOutAt);
        const Reaction first = fault ? kFailures[seed % kFailures.size()] : Reaction::list;
        bool requested = false;
        const auto once = [&](Nanos) { return std::exchange(requested, true) ? Reaction::list : first; };
        note(fault ? std::string("kept request answered, then once ") +
                         kReactionNames[seed % kFailures.size() + 1]
                   : "kept request answered",
             kept.listed(once, dataAt + 60 * kSec) - (dataAt + 6 * kSec));
      }

      // SIGHUP moves discovery at any time of an outage at the old address; at the new address the first
      // request may fail.
      DiscoveryClient<Pace> moved{make(fleet, pushed, seed), start};
      moved.pace.recordMove(start);
      const auto away = randomOutage(random, start, -1);
      while (moved.now < away.over() && !moved.request([&](Nanos now) { return away.at(now); })) {
      }
      const Nanos at = std::max(moved.now, away.over());
      moved.now = at;
      moved.pace.recordMove(at);
      bool requested = false;
      const Reaction first = seed % 2 == 0 ? Reaction::list : Reaction::unresponsive;
      note(first == Reaction::list ? "SIGHUP" : "SIGHUP, first request unresponsive",
           moved.listed([&](Nanos) { return std::exchange(requested, true) ? Reaction::list : first; },
                        at + 60 * kSec) -
               (at + 4 * kSec));
    }
  return out;
}

// Reports the scenarios that missed their deadline; returns their number.
int countLate(const WorstLateness& worst, const char* mode) {
  int late = 0;
  for (const auto& [what, by] : worst) {
    if (by <= 0) continue;
    ++late;
    std::fprintf(stderr, "update, %s, %s: %.2f s late\n", mode, what.c_str(), static_cast<double>(by) / 1e9);
  }
  return late;
}

// A retry policy with fixed waits and time-outs, to show that the check detects one that breaks the deadline
// of 6 s.
struct FixedPace {
  Nanos wait;
  Nanos timeout;
  void recordData(Nanos) {}
  void recordMove(Nanos) {}
  void recordSuccess() {}
  Nanos nextWait(Nanos, bool = false) const { return wait; }
  Nanos answerTimeout(Nanos) const { return timeout; }
};

int newsIsInSixSecondsLater(const char*) {
  const auto fixed = [](Nanos wait, Nanos timeout) {
    return worstLateness(false, [=](int, bool, std::uint64_t) { return FixedPace{wait, timeout}; });
  };
  const auto longWait = fixed(6500 * kMs, kSec);
  const auto longTimeout = fixed(kSec, 8 * kSec);
  CHECK(longWait.at("outage: nobody") > 0 && longWait.at("outage: refusal") > 0 &&
        longWait.at("late silence") > 0);
  CHECK(longTimeout.at("outage: unresponsive") > 0 && longTimeout.at("outage: nobody") <= 0);
  const auto quick = fixed(200 * kMs, 500 * kMs);
  for (const auto& [what, by] : quick) CHECK(by <= 0);
  int late = 0;
  for (const bool pushed : {false, true})
    late += countLate(worstLateness(pushed,
                                    [](int fleet, bool agent, std::uint64_t seed) {
                                      return platform::DiscoveryRetryPolicy(fleet, agent, seed);
                                    }),
                      pushed ? "pushed" : "on request");
  return late;
}

// ---- 5: nine in ten are ready 10 s after a restart of all ----

// A discovery service that answers 20 requests a second, in order, and refuses one that has waited for 2 s.
// Returns when a request is answered, and whether with the list.
struct QueueingService {
  Nanos serviceTime = 50 * kMs;
  Nanos maxQueueTime = 2 * kSec;
  Nanos freeAt = 0;
  std::pair<Nanos, bool> request(Nanos now) {
    const Nanos at = std::max(now, freeAt) + serviceTime;
    if (at - now > maxQueueTime) return {now + maxQueueTime, false};
    freeAt = at;
    return {at, true};
  }
};

// How many of a fleet that restarts within 1 s are ready in time. `ready(started, listed)`: the time from its
// start after which a process is ready when its list arrives at `listed`; 0: never.
template <class Ready>
int readyInTime(int fleet, std::uint64_t seed, const Ready& ready) {
  QueueingService discovery;
  std::mt19937_64 random(seed);
  std::multimap<Nanos, std::size_t> next;
  std::vector<platform::DiscoveryRetryPolicy> paces;
  std::vector<Nanos> started, listed(static_cast<std::size_t>(fleet), 0);
  for (int i = 0; i < fleet; ++i) {
    started.push_back(1000 * kSec + static_cast<Nanos>(random() % static_cast<std::uint64_t>(kSec)));
    paces.emplace_back(fleet, false, random());
    paces.back().recordMove(started.back());
    next.emplace(started.back(), static_cast<std::size_t>(i));
  }
  while (!next.empty() && next.begin()->first < 1060 * kSec) {
    const auto [now, who] = *next.begin();
    next.erase(next.begin());
    const auto [at, isList] = discovery.request(now);
    const Nanos doneAt = std::min(at, now + paces[who].answerTimeout(now));
    if (isList && doneAt == at) {
      listed[who] = at;
    } else {
      next.emplace(doneAt + paces[who].nextWait(doneAt, doneAt == at), who);
    }
  }
  int answeredInTime = 0;
  for (std::size_t i = 0; i < started.size(); ++i)
    answeredInTime += ready(started[i], listed[i]) <= 10 * kSec;
  return answeredInTime;
}

Nanos readyAfter(Nanos started, Nanos listed) {
  const operation::Operation operation("n", {started, 1}, 17 * kSec);
  for (Nanos at = started; at < started + 60 * kSec; at += 20 * kMs)
    if (operation.mayServe({listed > 0 && listed <= at, false}, at)) return at - started;
  return 60 * kSec;
}

int nineInTenAreReady(const char*) {
  int broken = 0;
  for (const int fleet : {20, 100, 300, 2000})
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
      broken += readyInTime(fleet, seed, readyAfter) * 10 < fleet * 9;
  // Shows that the check detects processes that wait for their list without limit: 300 lists take 15 s.
  const auto waitsForList = [](Nanos started, Nanos listed) {
    return listed > 0 ? listed - started : 60 * kSec;
  };
  CHECK(readyInTime(300, 1, waitsForList) * 10 < 300 * 9);
  if (broken > 0) std::fprintf(stderr, "restarts: %d of 20 fleets were not ready in time\n", broken);
  return broken;
}

// ---- with real sockets ----

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
std::string query(const std::string& id) {
  const std::string body = R"({"targets":[{"partition":0,"share":1}],"query":"x"})";
  return "POST /search HTTP/1.1\r\nHost: a\r\nReq-Id: " + id +
         "\r\nReq-Deadline: 9\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string list(int generation, const std::vector<std::string>& leafs) {
  std::string out = R"({"generation":)" + std::to_string(generation) + R"(,"reset":true,"instances":[)";
  for (std::size_t i = 0; i < leafs.size(); ++i)
    out += std::string(i > 0 ? "," : "") + R"({"instanceId":"s)" + std::to_string(i) + R"(","hostPort":")" +
           leafs[i] + R"(","zone":"a","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0})";
  return out + "]}";
}
std::string configuration(const std::string& listen, const std::string& discovery, const std::string& known,
                          const std::string& sockets) {
  return R"({"listen":")" + listen + R"(","discovery":")" + discovery + R"(",)" +
         (known.empty() ? "" : R"("known":)" + known + ",") + R"("limits":{"sockets":)" + sockets +
         R"(},"settings":{"localities":["a"],"discovery":"pushed","familyInfo":{"slabs":1},)"
         R"("limits":{"maxAttempts":9,"cancelling":true,"retryAfter":true,"connectTimeoutNs":9000000000},)"
         R"("profiles":[{"name":"search","aimNs":200000000,"deadlineNs":9000000000,"lateWorth":0.9}]}})";
}

// ---- 2: nothing is started for clients that have left ----

// A leaf that counts the parts that reach it, and rejects them or does not answer.
struct CountingLeaf : FakeNode {
  int parts = 0;
  std::optional<std::string> reply(std::string& input, Fault fault) override {
    auto out = FakeNode::reply(input, fault);
    if (out) ++parts;
    return out;
  }
};

// The platform service on the test's own loop. While the loop is paused clients can close, so that any time
// can pass between their close and the loop's next poll.
struct LeaveFixture : Stage {
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  CountingLeaf speaker;
  FakeServer first, second;
  platform::PlatformService service;
  std::vector<Poco::Net::StreamSocket> clients;
  explicit LeaveFixture(Fault fault)
      : first(loop, speaker, fault),
        second(loop, speaker, fault),
        service(loop, log,
                config::read(configuration("127.0.0.1:" + portOf(freeAddress()), freeAddress(),
                                           list(1, {first.address(), second.address()}), "64")),
                [] { return std::string(); }) {}
  static std::string portOf(const std::string& address) { return address.substr(address.find(':') + 1); }
  void connectClients(int count) {
    for (int i = 0; i < count; ++i) {
      clients.emplace_back(service.front().server().address());
      const auto text = query("q" + std::to_string(i));
      clients.back().sendBytes(text.data(), static_cast<int>(text.size()));
    }
  }
  bool allGone() { return service.front().server().connections() == 0 && service.broker().open() == 0; }
  // Connects clients and waits until their parts have reached the leafs and all answers have arrived. Returns
  // the number of parts.
  int sendParts() {
    constexpr int kClients = 15;
    const bool unresponsive = first.fault() == Fault::silent;
    connectClients(kClients);
    until("parts", [&] { return speaker.parts >= (unresponsive ? 1 : kClients); });
    runFor(100 * kMs);
    // At this point the loop is paused and nothing is in flight to a leaf.
    if (!unresponsive)
      until("all sent parts to arrive",
            [&] { return static_cast<std::uint64_t>(speaker.parts) == service.broker().counters().sent; });
    return speaker.parts;
  }
  // Runs this many iterations of the loop, each of which polls all sockets.
  void runIterations(int count) {
    int left = count;
    std::function<void()> next = [&] {
      if (--left > 0) loop.soon(next);
    };
    loop.soon(next);
    until("iterations of the loop", [&] { return left <= 0; });
  }
};

// Returns how many parts are started after all clients have left at once. After a stall of the loop every
// part counts, since the kernel has had time to deliver the ends of the connections. Otherwise parts count
// once the program has seen these ends, which takes a few iterations of the loop; if the kernel is late, up
// to the 0.1 s of the requirement.
int startedAfterLeaving(Fault fault, bool stall) {
  int startedParts = 0;
  LeaveFixture w(fault);
  w.play([&] {
    const int before = w.sendParts();
    const Nanos at = w.loop.now();
    w.clients.clear();
    if (stall) std::this_thread::sleep_for(std::chrono::milliseconds(400));
    w.runIterations(10);
    if (!w.allGone() && !stall) {
      w.until("all clients to be gone", [&] { return w.allGone(); });
      CHECK(w.loop.now() - at <= 100 * kMs);
    }
    CHECK(w.allGone());
    const int counted = stall ? before : w.speaker.parts;
    w.runFor(1500 * kMs);
    startedParts = w.speaker.parts - counted;
  });
  return startedParts;
}

// Shows that the check detects started parts: for clients that stay, retries continue.
void partsStartForClientsThatStay(bool stall) {
  LeaveFixture w(Fault::rejects);
  w.play([&] {
    const int before = w.sendParts();
    if (stall) std::this_thread::sleep_for(std::chrono::milliseconds(400));
    w.until("further parts", [&] { return w.speaker.parts > before; });
  });
}

int nothingBeginsForWhoHasLeft(const char*) {
  int broken = 0;
  const auto check = [&](const char* what, Fault fault) {
    const int startedParts = startedAfterLeaving(fault, false);
    if (startedParts == 0) return;
    ++broken;
    std::fprintf(stderr, "clients left, %s: %d parts started afterwards\n", what, startedParts);
  };
  for (const bool stall : {false, true}) partsStartForClientsThatStay(stall);
  check("retries due", Fault::rejects);
  check("errors", Fault::errs);
  check("unresponsive leafs", Fault::silent);
  return broken;
}

// A leaf without a loop: it reads and answers only when the test calls it.
struct ManualLeaf {
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1", 0), 64};
  struct Accepted {
    Poco::Net::StreamSocket socket;
    std::string input{};
    std::vector<std::string> parts{};
  };
  std::deque<Accepted> accepted;
  // Reads all that has arrived; returns the number of parts received so far.
  std::size_t read() {
    while (listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      accepted.push_back({listener.acceptConnection()});
    std::size_t count = 0;
    for (auto& one : accepted) {
      std::array<char, 65536> chunk;
      while (one.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        const int got = one.socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (got <= 0) break;
        one.input.append(chunk.data(), static_cast<std::size_t>(got));
      }
      while (const auto frame = platform::readFrame(one.input).frame) {
        if (frame->letter == 'S') one.parts.emplace_back(frame->rest.substr(0, frame->rest.find(' ')));
        one.input.erase(0, frame->size);
      }
      count += one.parts.size();
    }
    return count;
  }
  void rejectAll() {
    for (auto& one : accepted)
      for (const auto& part : one.parts) {
        const auto text = FakeNode::answer(part, "full");
        one.socket.sendBytes(text.data(), static_cast<int>(text.size()));
      }
  }
};

// Two leafs and clients that wait. While the loop is paused the clients leave, or stay, and the first leaf
// rejects all its parts. Returns how many parts are then sent to the second one.
std::size_t startedByAnswers(bool stay) {
  Stage stage;
  ManualLeaf first, second;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  platform::PlatformService service(
      stage.loop, log,
      config::read(configuration(
          freeAddress(), freeAddress(),
          list(1, {first.listener.address().toString(), second.listener.address().toString()}), "256")),
      [] { return std::string(); });
  std::size_t startedParts = 0;
  stage.play([&] {
    constexpr std::size_t kClients = 15;
    std::vector<Poco::Net::StreamSocket> clients;
    for (std::size_t i = 0; i < kClients; ++i) {
      clients.emplace_back(service.front().server().address());
      const auto text = query("q" + std::to_string(i));
      clients.back().sendBytes(text.data(), static_cast<int>(text.size()));
    }
    stage.until("parts", [&] { return first.read() + second.read() >= kClients && first.read() > 0; });
    const auto before = second.read();
    if (!stay) clients.clear();
    first.rejectAll();
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    if (stay) return stage.until("retries", [&] { return (startedParts = second.read() - before) > 0; });
    stage.until("all clients to be gone", [&] { return service.broker().open() == 0; });
    stage.runFor(300 * kMs);
    startedParts = second.read() - before;
  });
  return startedParts;
}

// After a stall of the process of 0.4 s, as on a busy machine, the same iteration of the loop handles the
// ends of the clients and the timers of their retries, or the rejections that lead to retries.
int norAfterAStandstill(const char*) {
  int broken = 0;
  for (int i = 0; i < 3; ++i) {
    const int startedParts = startedAfterLeaving(Fault::rejects, true);
    if (startedParts == 0) continue;
    ++broken;
    std::fprintf(stderr, "clients left 0.4 s ago, retries due: %d parts started\n", startedParts);
  }
  CHECK(startedByAnswers(true) > 0);
  for (int i = 0; i < 3; ++i) {
    const auto startedParts = startedByAnswers(false);
    if (startedParts == 0) continue;
    ++broken;
    std::fprintf(stderr, "clients left 0.4 s ago, parts rejected: %zu parts started\n", startedParts);
  }
  return broken;
}

// A client that has sent more than the program buffers: its end is behind unread input, so it is not seen at
// once. The test's timer of 0.1 s is due after every check that the program has scheduled before it; a stall
// delays both.
int norBehindAFlood(const char*) {
  int broken = 0;
  LeaveFixture w(Fault::silent);
  w.play([&] {
    constexpr int kTries = 6;
    for (int i = 0; i < kTries; ++i) {
      auto& client = w.clients.emplace_back(w.service.front().server().address());
      auto input = query("f" + std::to_string(i));
      while (input.size() < 340 * 1024) input += get("/up");
      client.setBlocking(false);
      std::size_t sent = 0;
      w.until("a flood", [&] {
        const auto left = static_cast<int>(input.size() - sent);
        const int got = left > 0 ? client.sendBytes(input.data() + sent, left) : 0;
        sent += got > 0 ? static_cast<std::size_t>(got) : 0;
        return sent == input.size() && w.service.broker().open() == 1;
      });
      // The program checks periodically: the clients close at different times between two checks.
      w.runFor(i * 37 * kMs);
      bool checked = false;
      bool open = false;
      w.loop.after(100 * kMs, [&] {
        checked = true;
        open = w.service.broker().open() > 0;
      });
      client.close();
      w.until("0.1 s to pass", [&] { return checked; });
      broken += open;
      w.until("its end", [&] { return w.service.broker().open() == 0; });
    }
    if (broken > 0)
      std::fprintf(stderr,
                   "clients left behind unread input: %d of %d still had an open request 0.1 s later\n",
                   broken, kTries);
  });
  return broken;
}

// Parts that wait for a connection to be established: a leaf whose machine accepts no connection for a while
// must get nothing for clients that have left meanwhile. Returns the bytes that the leaf gets.
int partsAfterTheDial(bool stay) {
  Poco::Net::ServerSocket listener;
  listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  listener.listen(1);
  std::vector<Poco::Net::StreamSocket> fillers;  // of the listener's backlog
  std::vector<Poco::Net::StreamSocket> accepted;
  for (int i = 0; i < 8; ++i) fillers.emplace_back().connectNB(listener.address());
  Stage stage;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  platform::PlatformService service(
      stage.loop, log,
      config::read(
          configuration(freeAddress(), freeAddress(), list(1, {listener.address().toString()}), "64")),
      [] { return std::string(); });
  std::size_t bytes = 0;
  stage.play([&] {
    std::vector<Poco::Net::StreamSocket> clients;
    for (int i = 0; i < 15; ++i) {
      clients.emplace_back(service.front().server().address());
      const auto text = query("q" + std::to_string(i));
      clients.back().sendBytes(text.data(), static_cast<int>(text.size()));
    }
    stage.until("connects",
                [&] { return service.broker().open() == 15 && service.pool().connections() > 0; });
    if (!stay) clients.clear();
    // The program has closed their requests before the leaf accepts a connection.
    if (!stay) stage.until("all clients to be gone", [&] { return service.broker().open() == 0; });
    const auto drain = [&] {
      while (listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        accepted.push_back(listener.acceptConnection());
      std::array<char, 65536> chunk;
      for (auto& socket : accepted)
        while (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
          const int got = socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
          if (got <= 0) break;
          bytes += static_cast<std::size_t>(got);
        }
      return bytes > 0;
    };
    if (stay) return stage.until("a part", drain, 20 * kSec);
    const Nanos end = stage.loop.now() + 1500 * kMs;  // the kernel retransmits its connect after 1 s
    stage.until("a second connect", [&] { return drain() || stage.loop.now() > end; });
  });
  return static_cast<int>(bytes);
}

int noDialBringsItBack(const char*) {
  CHECK(partsAfterTheDial(true) > 0);
  const int bytes = partsAfterTheDial(false);
  if (bytes > 0) std::fprintf(stderr, "clients left during connects: %d bytes were sent\n", bytes);
  return bytes > 0;
}

// ---- 4: idle clients may use up the descriptors while discovery is down ----

// A fake discovery agent that can be down: then nobody listens at its address.
struct FakeAgent {
  std::string address = freeAddress(), list;
  std::unique_ptr<Poco::Net::ServerSocket> listener;
  std::vector<std::pair<Poco::Net::StreamSocket, std::string>> watches;
  int listsSent = 0;
  void up() {
    listener = std::make_unique<Poco::Net::ServerSocket>();
    listener->bind(Poco::Net::SocketAddress(address), true, false);
    listener->listen(64);
  }
  void down() {
    listener.reset();
    watches.clear();
  }
  // Accepts connections, and answers each request that is complete. Returns whether a list has been sent.
  bool serve() {
    if (!listener) return false;
    while (listener->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      watches.emplace_back(listener->acceptConnection(), "");
    for (auto& [socket, text] : watches) {
      std::array<char, 4096> chunk;
      while (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        const int got = socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (got <= 0) break;
        text.append(chunk.data(), static_cast<std::size_t>(got));
      }
      if (!text.ends_with("\r\n\r\n")) continue;
      text.clear();
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
      const auto answer =
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size.data() + list) + "\r\n";
      socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
      ++listsSent;
    }
    return listsSent > 0;
  }
};

// Clients that connect, send nothing, half a request or one request, and then stay idle.
struct IdleClients {
  std::string address;
  bool allSendRequest = false;
  std::deque<std::pair<Poco::Net::StreamSocket, bool>> all{};  // and whether it has sent what it will send
  int opened = 0;
  static constexpr std::size_t kMaxClients = 600;
  void connectMore(int count) {
    for (int i = 0; i < count; ++i) {
      all.emplace_back(Poco::Net::StreamSocket(), false);
      all.back().first.connectNB(Poco::Net::SocketAddress(address));
      ++opened;
    }
    int nth = opened - static_cast<int>(all.size());
    for (auto& [socket, sent] : all) {
      const auto text = ++nth % 3 == 0 || allSendRequest ? get("/up") : nth % 3 == 1 ? "GET /u" : "";
      if (sent || !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_WRITE)) continue;
      sent = true;
      try {
        if (!text.empty()) socket.sendBytes(text.data(), static_cast<int>(text.size()));
      } catch (const Poco::Exception&) {  // closed by the program before it was read
      }
    }
    while (all.size() > kMaxClients) all.pop_front();
  }
};

// A sanitizer needs descriptors for itself, and ends a process that has none left. In such builds the process
// without a limit is instead stopped (SIGSTOP) once it has many clients, which makes it as unresponsive.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
constexpr long kExhaustedDescriptors = 200;
#else
constexpr bool kSanitized = false;
constexpr long kExhaustedDescriptors = 256;
#endif

enum class Down { fromStart, later, withoutLimit };

// Discovery is down when the process starts, or goes down later, and recovers with a leaf that the process
// did not know. The process may open 256 descriptors. Without limit: its configuration says 4096, so it does
// not evict idle clients, which the test must detect. Returns whether the list was received and a client then
// served.
bool outlivesIdleClients(const char* program, Down down) {
  Stage stage;
  FakeNode nodes;
  FakeServer leaf(stage.loop, nodes, Fault::none);
  FakeServer laterLeaf(stage.loop, nodes, Fault::none);
  FakeAgent agent;
  agent.list = list(1, {leaf.address()});
  const auto folder = temporaryFolder("idle-" + std::to_string(static_cast<int>(down)));
  const auto listen = freeAddress();
  const bool withoutLimit = down == Down::withoutLimit;
  std::ofstream(folder + "/config.json")
      << configuration(listen, agent.address, "", withoutLimit ? "4096" : "256");
  if (down == Down::later) agent.up();
  Process process(
      {program,
       {},
       {{"NODE_CONFIG", folder + "/config.json"}, {"NODE_LISTEN", std::nullopt}, {"NODE_OPS", std::nullopt}},
       folder + "/log"});
  const rlim_t limit = withoutLimit && kSanitized ? 1024 : 256;
  const rlimit most{limit, limit};
  CHECK(::prlimit(process.id(), RLIMIT_NOFILE, &most, nullptr) == 0);
  IdleClients idle{listen, withoutLimit};
  bool listReceived = false;
  bool served = false;
  stage.play([&] {
    // The status of the answer; 0: there was none in time.
    const auto statusOf = [&](const std::string& request) {
      Client client(stage.loop, listen, request);
      client.stopsLoop = false;
      const Nanos end = stage.loop.now() + (withoutLimit ? 3 * kSec : 20 * kSec);
      stage.until("an answer", [&] {
        agent.serve();
        CHECK(!process.over());
        return client.done() || stage.loop.now() > end;
      });
      return client.status;
    };
    while (statusOf(get("/up")) != 200) {
    }
    if (down == Down::later) {
      stage.until("the first list", [&] {
        agent.serve();
        return process.said("discovery.list generation=1");
      });
      agent.down();
    }
    // The clients' share of 256 is 160: it stays used up for a while, with more clients trying to connect.
    int full = 0;
    stage.until("descriptors to be used up", [&] {
      idle.connectMore(5);
      CHECK(!process.over());
      full = process.openDescriptors() >= (withoutLimit ? kExhaustedDescriptors : 160) ? full + 1 : 0;
      return idle.opened >= 400 && full >= 20;
    });
    if (withoutLimit && kSanitized) process.stop();
    agent.list = list(2, {laterLeaf.address()});
    agent.listsSent = 0;
    agent.up();
    const Nanos end = stage.loop.now() + (withoutLimit ? 3 * kSec : 40 * kSec);
    stage.until("the list", [&] {
      agent.serve();
      idle.connectMore(5);
      CHECK(!process.over());
      listReceived = agent.listsSent > 0 && process.said("discovery.list generation=2");
      return listReceived || stage.loop.now() > end;
    });
    if (!listReceived) return;
    // Several tries: a new connection may be closed before it is read.
    for (int tries = 0; tries < (withoutLimit ? 1 : 20) && !served; ++tries) {
      idle.connectMore(5);
      served = statusOf(query("q" + std::to_string(tries))) == 200 && laterLeaf.requests() > 0;
    }
    if (!served) return;
    idle.all.clear();
    CHECK(statusOf(get("/counters")) == 200);
    process.terminate();
    stage.until("the end", [&] { return process.over(); });
    CHECK(*process.exited() == 0);
  });
  return listReceived && served;
}

int idleClientsMayFillIt(const char* program) {
  CHECK(!outlivesIdleClients(program, Down::withoutLimit));
  int broken = 0;
  for (const auto down : {Down::fromStart, Down::later}) {
    if (outlivesIdleClients(program, down)) continue;
    ++broken;
    std::fprintf(stderr, "idle clients, discovery down %s: no list, or no client served\n",
                 down == Down::later ? "later" : "from the start");
  }
  return broken;
}

// ---- 5 with real processes: some get no answer from discovery, and are ready all the same ----

int realOnesAreReady(const char* program) {
  Stage stage;
  FakeDiscoveryAgent speaker;
  FakeServer unresponsive(stage.loop, speaker, Fault::silent);
  FakeServer healthy(stage.loop, speaker, Fault::none);
  speaker.list = list(1, {});
  const auto folder = temporaryFolder("ready");
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<Process>> processes;
  for (int i = 0; i < 6; ++i) {
    addresses.push_back(freeAddress());
    const auto file = folder + "/config." + std::to_string(i);
    std::ofstream(file) << configuration(addresses.back(), (i % 2 == 0 ? unresponsive : healthy).address(),
                                         "", "256");
    Process::Plan plan{program,
                       {},
                       {{"NODE_CONFIG", file}, {"NODE_LISTEN", std::nullopt}, {"NODE_OPS", std::nullopt}},
                       folder + "/log." + std::to_string(i)};
    processes.push_back(std::make_unique<Process>(plan));
  }
  stage.play([&] {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      int status = 0;
      while (status != 200) {
        Client client(stage.loop, addresses[i], get("/up"));
        client.stopsLoop = false;
        stage.until("an answer", [&] { return client.done(); });
        CHECK(!processes[i]->over());
        status = client.status;
      }
      CHECK(processes[i]->said(i % 2 == 0 ? "operation.serving list=known" : "operation.serving list=told"));
    }
    CHECK(unresponsive.requests() > 3);  // it was asked repeatedly meanwhile
  });
  return 0;
}

}  // namespace
}  // namespace topazweir::test

int main(int count, char** words) {
  using namespace topazweir::test;
  CHECK(count > 1);
  const std::vector<std::pair<const char*, int (*)(const char*)>> cases{
      {"newsIsInSixSecondsLater", newsIsInSixSecondsLater},
      {"nineInTenAreReady", nineInTenAreReady},
      {"nothingBeginsForWhoHasLeft", nothingBeginsForWhoHasLeft},
      {"norAfterAStandstill", norAfterAStandstill},
      {"norBehindAFlood", norBehindAFlood},
      {"noDialBringsItBack", noDialBringsItBack},
      {"idleClientsMayFillIt", idleClientsMayFillIt},
      {"realOnesAreReady", realOnesAreReady}};
  int broken = 0;
  for (const auto& [name, play] : cases) {
    if (count > 2 && std::strcmp(name, words[2]) != 0) continue;
    const int here = play(words[1]);
    std::printf("%s: %s\n", name, here == 0 ? "passed" : "FAILED");
    std::fflush(stdout);
    broken += here;
  }
  return broken > 0 ? 1 : 0;
}
