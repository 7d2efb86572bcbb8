// The core on a virtual clock under random orders of all that can end something, from fixed seeds: answers
// and failures of every kind, lists, clients that leave, silence, the end of the process. One checker judges
// what was done. docs/design/ends.md.
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "broker/broker.hpp"
#include "check.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kServers = 6, kShards = 4;

// Judges starts, ends and final answers, whatever made them; the first thing that is wrong is kept in words.
struct Checker {
  struct Out {
    ServerId server = 0;
    bool cancelled = false;
    std::optional<Outcome> end;
    Nanos startedAt = 0;
    bool mayHaveRun() const {
      return !end ||
             (*end != Outcome::rejected && *end != Outcome::connectFailed && *end != Outcome::notSent);
    }
  };
  struct Asked {
    Effect effect = Effect::safe;
    Nanos window = 0, due = 0;
    bool over = false;  // answered, or its client has left
    std::map<int, std::vector<Out>> parts;
    bool mayHaveRun() const {
      for (const auto& [part, outs] : parts)
        for (const auto& out : outs)
          if (out.mayHaveRun()) return true;
      return false;
    }
  };
  int mostAttempts = 0;
  Nanos endBy = std::numeric_limits<Nanos>::max();
  std::map<broker::RequestNo, Asked> asked;
  std::set<ServerId> serving;
  std::string fault;

  void wrong(const std::string& what) {
    if (fault.empty()) fault = what;
  }
  void starts(const broker::AttemptOrder& order, Nanos now) {
    auto& request = asked[order.id.request];
    auto& outs = request.parts[order.id.part];
    if (request.over) wrong("sent for a request that is over");
    if (serving.count(order.server) == 0) wrong("sent to a server that is leaving");
    if (static_cast<int>(outs.size()) > order.id.attempt) return wrong("an attempt's number is taken");
    // One that the core did not make, since its time was over, is numbered all the same.
    outs.resize(static_cast<std::size_t>(order.id.attempt), {order.server, false, Outcome::notSent, now});
    const auto made = std::count_if(outs.begin(), outs.end(),
                                    [](const Out& o) { return !o.end || *o.end != Outcome::notSent; });
    if (made >= mostAttempts) wrong("too many attempts");
    for (const auto& out : outs) {
      if (!out.mayHaveRun()) continue;
      if (request.effect == Effect::unsafe) wrong("sent again though it may have run");
      if (request.effect == Effect::keyed && now > out.startedAt + request.window)
        wrong("sent again after its window");
      if (request.effect == Effect::keyed && order.writeBy > out.startedAt + request.window)
        wrong("may leave after its window");
    }
    if (now + order.wait > std::min(request.due, std::max(endBy, now))) wrong("waits past its time");
    outs.push_back({order.server, false, std::nullopt, now});
  }
  void answered(broker::RequestNo no, const broker::FinalAnswer& answer, Nanos now) {
    auto& request = asked[no];
    if (std::exchange(request.over, true)) wrong("a second final answer");
    if (now > std::min(request.due, std::max(endBy, now))) wrong("a late final answer");
    if (answer.verdict == broker::Verdict::refused && request.effect != Effect::safe && request.mayHaveRun())
      wrong("called harmless though it may have run");
  }
  void atEnd(const broker::Broker& core) {
    for (const auto& [no, request] : asked) {
      if (!request.over) wrong("a request without a final answer");
      for (const auto& [part, outs] : request.parts)
        for (const auto& out : outs)
          if (!out.end && !out.cancelled) wrong("an attempt that nobody has ended");
    }
    if (core.open() != 0 || core.held() != 0) wrong("a place that is still taken");
  }
};

struct World : broker::Clock, broker::Backend, broker::Front {
  explicit World(unsigned seed) : random(seed), core(terms(seed % 4 > 1), *this, *this, log) {
    checker.mostAttempts = core.terms().settings.maxAttempts;
    for (ServerId id = 1; id <= kServers; ++id) states[id] = {ServerState::up, 0};
    tell(ListNews::Scope::initial);
  }
  // `cold`: servers that start can do nothing at first, and are watched over by the rule on overload.
  static broker::Terms terms(bool cold) {
    broker::Terms t;
    auto& s = t.settings;
    if (cold) s.coldFrom = 0, s.coldFor = 3000 * kMs, s.tipMultiple = 4, s.tipWindow = 1000 * kMs;
    s.seed = 5, s.tick = 5 * kMs, s.shards = kShards, s.cells = kServers, s.reach = 3, s.maxAttempts = 4;
    s.secondCopies = s.cancelling = s.retryAfter = true;
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
    t.longestDeadline = 10'000 * kMs;
    return t;
  }
  Nanos now() const override { return time; }
  void wakeAt(Nanos at) override { wakes.insert(at); }
  void start(broker::AttemptOrder order) override {
    checker.starts(order, time);
    live.push_back(order.id);
    written[order.id] = random() % 3 > 0;  // else it waits for its connection
  }
  void cancel(const broker::AttemptId& id) override {
    std::erase(live, id);
    checker.asked[id.request].parts[id.part][static_cast<std::size_t>(id.attempt)].cancelled = true;
  }
  void finish(broker::RequestNo no, broker::FinalAnswer answer) override {
    checker.answered(no, answer, time);
  }

  std::size_t any(std::size_t count) { return random() % count; }
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
  void tell(ListNews::Scope scope) {
    ListNews news;
    news.scope = scope;
    checker.serving.clear();
    for (const auto& [id, state] : states) {
      news.entries.push_back(
          {.server = id, .cell = static_cast<int>(id) - 1, .state = state.first, .startedAt = state.second});
      if (state.first == ServerState::up) checker.serving.insert(id);
    }
    core.told(std::move(news));
    // As the pool does: what has not left for a server that leaves is called back.
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
    r.queryClass = static_cast<int>(any(3));
    r.timeLeft = static_cast<Nanos>(50 + any(1500)) * kMs;
    const int parts = 1 + static_cast<int>(any(kShards));
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
    switch (any(10)) {
      case 0:
      case 1:
        return ask();
      case 2: {
        auto& state = states[1 + any(kServers)];
        state.first = static_cast<ServerState>(any(3));
        if (any(3) == 0) state.second = time;  // replaced
        return tell(any(2) == 0 ? ListNews::Scope::full : ListNews::Scope::changes);
      }
      case 3:
        if (open.empty() || any(3) > 0) return;
        checker.asked[open[any(open.size())]].over = true;  // its client leaves
        for (const auto no : open)
          if (checker.asked[no].over) core.abandon(no);
        return;
      case 4:
        return pass(static_cast<Nanos>(any(200)) * kMs);
      case 5:
        return pass(static_cast<Nanos>(any(20)) * kMs);
      default:
        if (live.empty()) return;
        const auto id = live[any(live.size())];
        constexpr Outcome kNever[] = {Outcome::connectFailed, Outcome::notSent};
        constexpr Outcome kEnds[] = {Outcome::delivered, Outcome::delivered, Outcome::error,
                                     Outcome::rejected,  Outcome::timedOut,  Outcome::reset,
                                     Outcome::delivered};
        return written[id]   ? ends(id, kEnds[any(7)])
               : any(2) == 0 ? static_cast<void>(written[id] = true)
                             : ends(id, kNever[any(2)]);
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

void anyOrderEndsWell() {
  std::map<Effect, int> answered;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    World w(seed);
    for (int i = 0; i < 300 && w.checker.fault.empty(); ++i) w.step();
    // Half of the worlds end as a process does; the others by the clients' time alone.
    if (seed % 2 == 0) {
      w.checker.endBy = w.time + static_cast<Nanos>(w.any(300)) * kMs;
      w.core.endBy(w.checker.endBy);
      for (int i = 0; i < 60 && w.checker.fault.empty(); ++i) w.step();
    }
    w.pass(20'000 * kMs);
    w.checker.atEnd(w.core);
    for (const auto& [no, request] : w.checker.asked)
      answered[request.effect] += request.parts.empty() ? 0 : 1;
    if (!w.checker.fault.empty()) std::fprintf(stderr, "seed %u: %s\n", seed, w.checker.fault.c_str());
    CHECK(w.checker.fault.empty());
  }
  for (const auto& [effect, count] : answered) CHECK(count > 1000);  // all kinds were really tried
}

// Each kind of violation is seen.
void theCheckerSees() {
  const auto order = [](int attempt, Nanos wait = kMs, Nanos writeBy = 0) {
    return broker::AttemptOrder{{1, 0, attempt}, 1, "q.0", 0, nullptr, wait, writeBy};
  };
  const auto sees = [&](const std::string& what, Effect effect, const std::function<void(Checker&)>& wrong) {
    Checker c;
    c.mostAttempts = 2, c.serving = {1};
    c.asked[1] = {effect, 100 * kMs, 1000 * kMs, false, {}};
    wrong(c);
    if (c.fault != what) std::fprintf(stderr, "%s, not %s\n", c.fault.c_str(), what.c_str());
    CHECK(c.fault == what);
  };
  const broker::FinalAnswer refused{broker::Verdict::refused, false, false, 0, {}};
  const auto fails = [](Checker& c, int at, Outcome how) {
    c.asked[1].parts[0][static_cast<std::size_t>(at)].end = how;
  };
  sees("", Effect::safe,
       [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1), 0), c.answered(1, refused, 0); });
  sees("sent for a request that is over", Effect::safe,
       [&](Checker& c) { c.answered(1, refused, 0), c.starts(order(0), 0); });
  sees("sent to a server that is leaving", Effect::safe,
       [&](Checker& c) { c.serving.clear(), c.starts(order(0), 0); });
  sees("an attempt's number is taken", Effect::safe,
       [&](Checker& c) { c.starts(order(0), 0), c.starts(order(0), 0); });
  sees("too many attempts", Effect::safe, [&](Checker& c) {
    for (int i = 0; i < 3; ++i) c.starts(order(i), 0);
  });
  sees("", Effect::unsafe, [&](Checker& c) {
    c.starts(order(0), 0), fails(c, 0, Outcome::connectFailed), c.starts(order(1), 0);
  });
  sees("sent again though it may have run", Effect::unsafe,
       [&](Checker& c) { c.starts(order(0), 0), fails(c, 0, Outcome::reset), c.starts(order(1), 0); });
  sees("sent again after its window", Effect::keyed,
       [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1, kMs, 100 * kMs), 101 * kMs); });
  sees("may leave after its window", Effect::keyed,
       [&](Checker& c) { c.starts(order(0), 0), c.starts(order(1, kMs, 101 * kMs), 0); });
  sees("waits past its time", Effect::safe, [&](Checker& c) { c.starts(order(0, 1001 * kMs), 0); });
  sees("a second final answer", Effect::safe,
       [&](Checker& c) { c.answered(1, refused, 0), c.answered(1, refused, 0); });
  sees("a late final answer", Effect::safe, [&](Checker& c) { c.answered(1, refused, 1001 * kMs); });
  sees("called harmless though it may have run", Effect::keyed,
       [&](Checker& c) { c.starts(order(0), 0), c.answered(1, refused, 0); });
  World w(1);
  sees("a request without a final answer", Effect::safe, [&](Checker& c) { c.atEnd(w.core); });
  sees("an attempt that nobody has ended", Effect::safe,
       [&](Checker& c) { c.starts(order(0), 0), c.answered(1, refused, 0), c.atEnd(w.core); });
  w.ask();
  sees("a place that is still taken", Effect::safe,
       [&](Checker& c) { c.answered(1, refused, 0), c.atEnd(w.core); });
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::theCheckerSees();
  topazweir::test::anyOrderEndsWell();
}
