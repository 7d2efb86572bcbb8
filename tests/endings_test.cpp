// Tests the broker core on a virtual clock under randomised orders, from fixed seeds, of everything that can
// end a request or an attempt: answers and failures of every kind, server lists, clients that disconnect,
// unresponsive servers, the end of the process. A checker verifies the invariants on every step. See
// docs/design/ends.md.
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "broker/broker.hpp"
#include "check.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kServers = 6;
constexpr int kShards = 4;

// Checks the started attempts and the final answers against the invariants, independently of the core, and
// keeps a message for the first violation.
struct Checker {
  // One attempt.
  struct TrackedAttempt {
    ServerId server = 0;
    bool cancelled = false;
    std::optional<Outcome> end;
    Nanos startedAt = 0;
    bool mayHaveRun() const {
      return !end ||
             (*end != Outcome::rejected && *end != Outcome::connectFailed && *end != Outcome::notSent);
    }
  };
  // One request.
  struct TrackedRequest {
    Effect effect = Effect::safe;
    Nanos window = 0;  // keyedWindow of its class
    Nanos due = 0;
    bool over = false;  // answered, or its client has disconnected
    std::map<int, std::vector<TrackedAttempt>> parts;
    bool mayHaveRun() const {
      for (const auto& [part, attempts] : parts)
        for (const auto& attempt : attempts)
          if (attempt.mayHaveRun()) return true;
      return false;
    }
  };
  int maxAttempts = 0;
  Nanos setShutdownDeadline = std::numeric_limits<Nanos>::max();
  std::map<broker::RequestNo, TrackedRequest> asked;
  std::set<ServerId> serving;
  std::string fault;

  void violation(const std::string& what) {
    if (fault.empty()) fault = what;
  }
  void starts(const broker::AttemptOrder& order, Nanos now) {
    auto& request = asked[order.id.request];
    auto& attempts = request.parts[order.id.part];
    if (request.over) violation("sent for an ended request");
    if (serving.count(order.server) == 0) violation("sent to a server that is not up");
    if (static_cast<int>(attempts.size()) > order.id.attempt) return violation("duplicate attempt number");
    // An attempt that the core did not make because its deadline had passed is numbered all the same.
    attempts.resize(static_cast<std::size_t>(order.id.attempt), {order.server, false, Outcome::notSent, now});
    const auto made = std::count_if(attempts.begin(), attempts.end(), [](const TrackedAttempt& o) {
      return !o.end || *o.end != Outcome::notSent;
    });
    if (made >= maxAttempts) violation("too many attempts");
    for (const auto& attempt : attempts) {
      if (!attempt.mayHaveRun()) continue;
      if (request.effect == Effect::unsafe) violation("retried although it may have run");
      if (request.effect == Effect::keyed && now > attempt.startedAt + request.window)
        violation("retried after the keyed window");
      if (request.effect == Effect::keyed && order.writeBy > attempt.startedAt + request.window)
        violation("writeBy beyond the keyed window");
    }
    if (now + order.wait > std::min(request.due, std::max(setShutdownDeadline, now)))
      violation("attempt time-out beyond the deadline");
    attempts.push_back({order.server, false, std::nullopt, now});
  }
  void answered(broker::RequestNo no, const broker::FinalAnswer& answer, Nanos now) {
    auto& request = asked[no];
    if (std::exchange(request.over, true)) violation("second final answer");
    if (now > std::min(request.due, std::max(setShutdownDeadline, now))) violation("late final answer");
    if (answer.verdict == broker::Verdict::refused && request.effect != Effect::safe && request.mayHaveRun())
      violation("refused although it may have run");
  }
  void atEnd(const broker::Broker& core) {
    for (const auto& [no, request] : asked) {
      if (!request.over) violation("request without a final answer");
      for (const auto& [part, attempts] : request.parts)
        for (const auto& attempt : attempts)
          if (!attempt.end && !attempt.cancelled) violation("attempt neither ended nor cancelled");
    }
    if (core.open() != 0 || core.held() != 0) violation("requests still held at the end");
  }
};

// The core together with its fake clock, backend and front, and the random events.
struct Simulation : broker::Clock, broker::Backend, broker::Front {
  explicit Simulation(unsigned seed) : random(seed), core(terms(seed % 4 > 1), *this, *this, log) {
    checker.maxAttempts = core.terms().settings.maxAttempts;
    for (ServerId id = 1; id <= kServers; ++id) states[id] = {ServerState::up, 0};
    updateServers(ServerListUpdate::Scope::initial);
  }
  // `cold`: servers start with no capacity, and the rule on overloading cold servers applies.
  static broker::Terms terms(bool cold) {
    broker::Terms t;
    auto& s = t.settings;
    if (cold) {
      s.coldCapacityShare = 0;
      s.warmUpTime = 3000 * kMs;
      s.overloadMultiple = 4;
      s.overloadWindow = 1000 * kMs;
    }
    s.seed = 5;
    s.tick = 5 * kMs;
    s.shards = kShards;
    s.cells = kServers;
    s.reach = 3;
    s.maxAttempts = 4;
    s.hedging = true;
    s.cancelling = true;
    s.retryAfter = true;
    s.maxRetryAfter = 2000 * kMs;
    for (const auto effect : {Effect::safe, Effect::keyed, Effect::unsafe})
      s.classes.push_back({.name = std::to_string(s.classes.size()),
                           .aim = 500 * kMs,
                           .deadline = 1000 * kMs,
                           .lateWorth = 0.3,
                           .effect = effect,
                           .keyedWindow = 150 * kMs,
                           .floor = 0.5,
                           .partialWorth = 0.8});
    t.maxDeadline = 10'000 * kMs;
    return t;
  }
  Nanos now() const override { return time; }
  void wakeAt(Nanos at) override { wakes.insert(at); }
  void start(broker::AttemptOrder order) override {
    checker.starts(order, time);
    live.push_back(order.id);
    written[order.id] = random() % 3 > 0;  // else it still waits for a connection
  }
  void cancel(const broker::AttemptId& id) override {
    std::erase(live, id);
    checker.asked[id.request].parts[id.part][static_cast<std::size_t>(id.attempt)].cancelled = true;
  }
  void finish(broker::RequestNo no, broker::FinalAnswer answer) override {
    checker.answered(no, answer, time);
  }

  std::size_t randomBelow(std::size_t count) { return random() % count; }
  void ends(const broker::AttemptId& id, Outcome outcome) {
    std::erase(live, id);
    checker.asked[id.request].parts[id.part][static_cast<std::size_t>(id.attempt)].end = outcome;
    core.attemptEnded(id, outcome, outcome == Outcome::delivered ? "value" : "");
  }
  void pass(Nanos span) {
    const Nanos until = time + span;
    while (!wakes.empty() && *wakes.begin() <= until) {
      time = std::max(time, *wakes.begin());
      wakes.erase(wakes.begin());
      core.wake();
    }
    time = until;
  }
  void updateServers(ServerListUpdate::Scope scope) {
    ServerListUpdate update;
    update.scope = scope;
    checker.serving.clear();
    for (const auto& [id, state] : states) {
      update.entries.push_back(
          {.server = id, .cell = static_cast<int>(id) - 1, .state = state.first, .startedAt = state.second});
      if (state.first == ServerState::up) checker.serving.insert(id);
    }
    core.updateServers(std::move(update));
    // Like the connection pool: attempts not yet written to a server that is no longer up are not sent.
    for (const auto& id : std::vector(live)) {
      const bool out = std::find(live.begin(), live.end(), id) != live.end();
      const auto server =
          checker.asked[id.request].parts[id.part][static_cast<std::size_t>(id.attempt)].server;
      if (out && !written[id] && checker.serving.count(server) == 0) ends(id, Outcome::notSent);
    }
  }
  void ask() {
    broker::Request r;
    r.id = "q" + std::to_string(++asked);
    r.queryClass = static_cast<int>(randomBelow(3));
    r.timeLeft = static_cast<Nanos>(50 + randomBelow(1500)) * kMs;
    const int parts = 1 + static_cast<int>(randomBelow(kShards));
    for (int i = 0; i < parts; ++i) r.parts.push_back({i, 1.0 / parts});
    const auto& cls = core.terms().settings.classes[static_cast<std::size_t>(r.queryClass)];
    const Nanos due = time + r.timeLeft;
    const auto taken = core.take(std::move(r), *this);
    const auto no = std::get<broker::RequestNo>(taken);
    checker.asked[no] = {cls.effect, cls.keyedWindow, due, false, {}};
    open.push_back(no);
    core.begin(no);
  }
  void step() {
    std::erase_if(open, [&](auto no) { return checker.asked[no].over; });
    switch (randomBelow(10)) {
      case 0:
      case 1:
        return ask();
      case 2: {
        auto& state = states[1 + randomBelow(kServers)];
        state.first = static_cast<ServerState>(randomBelow(3));
        if (randomBelow(3) == 0) state.second = time;  // the server has restarted
        return updateServers(randomBelow(2) == 0 ? ServerListUpdate::Scope::full
                                                 : ServerListUpdate::Scope::changes);
      }
      case 3:
        if (open.empty() || randomBelow(3) > 0) return;
        checker.asked[open[randomBelow(open.size())]].over = true;  // its client disconnects
        for (const auto no : open)
          if (checker.asked[no].over) core.abandon(no);
        return;
      case 4:
        return pass(static_cast<Nanos>(randomBelow(200)) * kMs);
      case 5:
        return pass(static_cast<Nanos>(randomBelow(20)) * kMs);
      default:
        if (live.empty()) return;
        const auto id = live[randomBelow(live.size())];
        constexpr Outcome kNever[] = {Outcome::connectFailed, Outcome::notSent};
        constexpr Outcome kEnds[] = {Outcome::delivered, Outcome::delivered, Outcome::error,
                                     Outcome::rejected,  Outcome::timedOut,  Outcome::reset,
                                     Outcome::delivered};
        return written[id]           ? ends(id, kEnds[randomBelow(7)])
               : randomBelow(2) == 0 ? static_cast<void>(written[id] = true)
                                     : ends(id, kNever[randomBelow(2)]);
    }
  }

  std::mt19937 random;
  Nanos time = 1'000'000 * kMs;
  std::multiset<Nanos> wakes;
  std::map<ServerId, std::pair<ServerState, Nanos>> states;
  std::vector<broker::AttemptId> live;
  std::map<broker::AttemptId, bool> written;
  std::vector<broker::RequestNo> open;
  int asked = 0;
  Checker checker;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  broker::Broker core;
};

void randomOrdersKeepInvariants() {
  std::map<Effect, int> answered;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    Simulation sim(seed);
    for (int i = 0; i < 300 && sim.checker.fault.empty(); ++i) sim.step();
    // Half of the simulations end with a graceful shutdown, the others by the clients' deadlines alone.
    if (seed % 2 == 0) {
      sim.checker.setShutdownDeadline = sim.time + static_cast<Nanos>(sim.randomBelow(300)) * kMs;
      sim.core.setShutdownDeadline(sim.checker.setShutdownDeadline);
      for (int i = 0; i < 60 && sim.checker.fault.empty(); ++i) sim.step();
    }
    sim.pass(20'000 * kMs);
    sim.checker.atEnd(sim.core);
    for (const auto& [no, request] : sim.checker.asked)
      answered[request.effect] += request.parts.empty() ? 0 : 1;
    if (!sim.checker.fault.empty()) std::fprintf(stderr, "seed %u: %s\n", seed, sim.checker.fault.c_str());
    CHECK(sim.checker.fault.empty());
  }
  for (const auto& [effect, count] : answered) CHECK(count > 1000);  // every effect class was exercised
}

// The checker detects each kind of violation.
void checkerDetectsViolations() {
  const auto order = [](int attempt, Nanos wait = kMs, Nanos writeBy = 0) {
    return broker::AttemptOrder{{1, 0, attempt}, 1, "q.0", 0, nullptr, wait, writeBy};
  };
  const auto detects = [&](const std::string& what, Effect effect, const std::function<void(Checker&)>& act) {
    Checker c;
    c.maxAttempts = 2;
    c.serving = {1};
    c.asked[1] = {effect, 100 * kMs, 1000 * kMs, false, {}};
    act(c);
    if (c.fault != what) std::fprintf(stderr, "%s, not %s\n", c.fault.c_str(), what.c_str());
    CHECK(c.fault == what);
  };
  const broker::FinalAnswer refused{broker::Verdict::refused, false, false, 0, {}};
  const auto fails = [](Checker& c, int at, Outcome how) {
    c.asked[1].parts[0][static_cast<std::size_t>(at)].end = how;
  };
  detects("", Effect::safe,
          [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1), 0), c.answered(1, refused, 0); });
  detects("sent for an ended request", Effect::safe,
          [&](Checker& c) { c.answered(1, refused, 0), c.starts(order(0), 0); });
  detects("sent to a server that is not up", Effect::safe,
          [&](Checker& c) { c.serving.clear(), c.starts(order(0), 0); });
  detects("duplicate attempt number", Effect::safe,
          [&](Checker& c) { c.starts(order(0), 0), c.starts(order(0), 0); });
  detects("too many attempts", Effect::safe, [&](Checker& c) {
    for (int i = 0; i < 3; ++i) c.starts(order(i), 0);
  });
  detects("", Effect::unsafe, [&](Checker& c) {
    c.starts(order(0), 0), fails(c, 0, Outcome::connectFailed), c.starts(order(1), 0);
  });
  detects("retried although it may have run", Effect::unsafe,
          [&](Checker& c) { c.starts(order(0), 0), fails(c, 0, Outcome::reset), c.starts(order(1), 0); });
  detects("retried after the keyed window", Effect::keyed,
          [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1, kMs, 100 * kMs), 101 * kMs); });
  detects("writeBy beyond the keyed window", Effect::keyed,
          [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1, kMs, 101 * kMs), 0); });
  detects("attempt time-out beyond the deadline", Effect::safe,
          [&](Checker& c) { c.starts(order(0, 1001 * kMs), 0); });
  detects("second final answer", Effect::safe,
          [&](Checker& c) { c.answered(1, refused, 0), c.answered(1, refused, 0); });
  detects("late final answer", Effect::safe, [&](Checker& c) { c.answered(1, refused, 1001 * kMs); });
  detects("refused although it may have run", Effect::keyed,
          [&](Checker& c) { c.starts(order(0), 0), c.answered(1, refused, 0); });
  Simulation sim(1);
  detects("request without a final answer", Effect::safe, [&](Checker& c) { c.atEnd(sim.core); });
  detects("attempt neither ended nor cancelled", Effect::safe,
          [&](Checker& c) { c.starts(order(0), 0), c.answered(1, refused, 0), c.atEnd(sim.core); });
  sim.ask();
  detects("requests still held at the end", Effect::safe,
          [&](Checker& c) { c.answered(1, refused, 0), c.atEnd(sim.core); });
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::checkerDetectsViolations();
  topazweir::test::randomOrdersKeepInvariants();
}
