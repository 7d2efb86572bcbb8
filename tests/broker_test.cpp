// Tests the broker core on a virtual clock with a fake backend and a fake front; no sockets.
#include "broker/broker.hpp"

#include <algorithm>
#include <map>

#include "check.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

// The core together with its fake clock, backend and front.
struct Simulation : broker::Clock, broker::Backend, broker::Front {
  explicit Simulation(broker::Terms terms) : core(std::move(terms), *this, *this, log) {
    ServerListUpdate list;
    for (ServerId id = 1; id <= 2; ++id) list.entries.push_back({.server = id});
    core.updateServers(list);
  }
  Nanos now() const override { return time; }
  bool gathering() const override { return isGathering; }
  void wakeAt(Nanos at) override { wakes.insert({at, 0}); }
  void start(broker::AttemptOrder order) override {
    if (end) return core.attemptEnded(order.id, *end, "value");  // called from within the module's turn
    orders.push_back(order);
  }
  void cancel(const broker::AttemptId& id) override { cancelled.push_back(id); }
  void finish(broker::RequestNo no, broker::FinalAnswer answer) override {
    finals[no].push_back({time, answer});
  }

  void pass(Nanos span) {
    for (const Nanos until = time + span; !wakes.empty() && wakes.begin()->first <= until;) {
      time = std::max(time, wakes.begin()->first);
      wakes.erase(wakes.begin());
      core.wake();
    }
  }
  broker::Request request(const std::string& id, int tenant = 0) const {
    return {id, 0, tenant, 1000 * kMs, false, {{0, 0.5}, {1, 0.5}}, "text"};
  }
  broker::RequestNo take(const broker::Request& r) {
    const auto no = std::get<broker::RequestNo>(core.take(r, *this));
    core.begin(no);
    return no;
  }
  bool invalid(const broker::Request& r) {
    return std::holds_alternative<broker::Invalid>(core.take(r, *this));
  }

  Nanos time = 1'000'000 * kMs;
  std::multimap<Nanos, int> wakes;
  std::vector<broker::AttemptOrder> orders;
  std::vector<broker::AttemptId> cancelled;
  std::map<broker::RequestNo, std::vector<std::pair<Nanos, broker::FinalAnswer>>> finals;
  std::optional<Outcome> end;
  bool isGathering = false;
  std::string lines;
  broker::Log log{[this](auto event, auto text) { lines.append(event).append(" ").append(text) += '\n'; },
                  [this] { return time; }};
  broker::Broker core;
};

broker::Terms terms() {
  broker::Terms t;
  t.settings.seed = 3;
  t.settings.tick = 5 * kMs;
  t.settings.shards = 2;
  t.settings.maxAttempts = 4;
  t.settings.hedging = true;
  t.settings.cancelling = true;
  t.settings.retryAfter = true;
  t.settings.maxRetryAfter = 2000 * kMs;
  t.settings.classes = {
      QueryClass{.name = "a", .aim = 500 * kMs, .deadline = 1000 * kMs, .lateWorth = 0.3, .floor = 0.5}};
  t.contracts = {{"coast", 0.6, 2}, {"rift", 0.4, 0}};
  t.maxDeadline = 5000 * kMs;
  t.maxOpen = 9;
  return t;
}

void answersWithDeliveredParts() {
  Simulation sim(terms());
  const auto no = sim.take(sim.request("q"));
  CHECK(sim.orders.size() >= 2 && sim.orders[0].partId.substr(0, 2) == "q.");
  const auto orders = sim.orders;
  for (const auto& order : orders)
    sim.core.attemptEnded(order.id, Outcome::delivered, "v" + std::to_string(order.shard));
  CHECK(sim.finals[no].size() == 1);
  const auto& answer = sim.finals[no][0].second;
  CHECK(answer.verdict == broker::Verdict::answered && answer.whole && answer.results.size() == 2);
  for (const auto& r : answer.results) CHECK(r.value == "v" + std::to_string(r.shard));
  sim.core.attemptEnded(orders[0].id, Outcome::delivered, "late");  // after the final answer: ignored
  CHECK(sim.finals[no].size() == 1 && sim.core.open() == 0);
}

// No attempt is answered: one final answer before the client's deadline, and all attempts are cancelled.
void unansweredRequestEndsInTime() {
  Simulation sim(terms());
  const auto no = sim.take(sim.request("q"));
  const Nanos taken = sim.time;
  sim.pass(3000 * kMs);
  CHECK(sim.finals[no].size() == 1 && sim.finals[no][0].first <= taken + 1000 * kMs);
  CHECK(sim.finals[no][0].second.verdict == broker::Verdict::refused &&
        sim.finals[no][0].second.retryAfter > 0);
  CHECK(sim.core.counters().sent <= 8);
  CHECK(sim.lines.find("request.unserved id=q class=a after_ms=") != std::string::npos);
  CHECK(sim.lines.find(" in=0/2 attempts=" + std::to_string(sim.core.counters().sent) + " cancelled=") !=
        std::string::npos);
  for (const auto& order : sim.orders)
    CHECK(std::find(sim.cancelled.begin(), sim.cancelled.end(), order.id) != sim.cancelled.end());
}

// Every attempt fails synchronously from within Backend::start: turns do not nest, and a part has at most
// four attempts.
void synchronousFailures() {
  for (const auto end : {Outcome::error, Outcome::rejected, Outcome::connectFailed, Outcome::reset}) {
    Simulation sim(terms());
    sim.end = end;
    const auto no = sim.take(sim.request("q"));
    sim.pass(3000 * kMs);
    CHECK(sim.finals[no].size() == 1 && sim.finals[no][0].second.verdict == broker::Verdict::refused);
    const auto& c = sim.core.counters();
    CHECK(c.sent >= 1 && c.sent <= 8 && c.ends[static_cast<std::size_t>(end)] == c.sent);
  }
}

void drainingServersGetNoAttempts() {
  Simulation sim(terms());
  ServerListUpdate update;
  update.scope = ServerListUpdate::Scope::changes;
  for (ServerId id = 1; id <= 2; ++id)
    update.entries.push_back({.server = id, .state = ServerState::draining});
  sim.core.updateServers(update);
  const auto no = sim.take(sim.request("q"));
  CHECK(sim.orders.empty() && sim.finals[no].size() == 1);  // no server is left, so it is answered at once
  CHECK(sim.finals[no][0].second.verdict == broker::Verdict::refused &&
        sim.finals[no][0].second.retryAfter > 0);
}

void admissionLimitHolds() {
  Simulation sim(terms());
  for (const auto* id : {"a", "b", "c"}) sim.take(sim.request(id));
  CHECK(sim.core.held() == 9);
  const auto no = sim.take(sim.request("d"));
  CHECK(sim.finals[no].size() == 1 && sim.finals[no][0].second.verdict == broker::Verdict::refused);
  CHECK(sim.core.counters().turnedAway == 1 && sim.core.held() == 9);
  CHECK(sim.core.counters().tenants[0].taken == 4 && sim.core.counters().tenants[0].overQuota == 2);
}

void clientDisconnects() {
  Simulation sim(terms());
  const auto no = sim.take(sim.request("q"));
  sim.core.abandon(no);
  CHECK(sim.core.open() == 0 && sim.cancelled.size() == sim.orders.size());
  sim.pass(3000 * kMs);
  CHECK(sim.finals.empty() && sim.core.counters().abandoned == 1);
}

// Several clients disconnect while the process stalls, and retries fall due in that time. The turn for the
// first client must not start retries for the others; that works only while Clock::gathering() is true.
void clientsDisconnectTogether() {
  for (const bool isGathering : {false, true}) {
    Simulation sim(terms());
    std::vector<broker::RequestNo> all;
    for (const auto* id : {"q", "r", "s"}) all.push_back(sim.take(sim.request(id)));
    sim.time += 600 * kMs;  // a stall: no wake-up in between
    const auto before = sim.orders.size();
    sim.isGathering = isGathering;
    for (const auto no : all) sim.core.abandon(no);
    sim.isGathering = false;
    // Counter-check: without gathering, some retries do start.
    CHECK(isGathering == (sim.orders.size() == before));
    sim.pass(3000 * kMs);
    CHECK(isGathering == (sim.orders.size() == before));
    CHECK(sim.core.open() == 0 && sim.finals.empty() && sim.cancelled.size() == sim.orders.size());
  }
}

// Graceful shutdown: open requests and later ones get their one final answer by the end of the shutdown. They
// are refused, which permits a retry, unless a non-idempotent part may have run: such a request fails.
void shutdownAnswersAllInTime() {
  auto agreed = terms();
  agreed.maxOpen = 0;
  agreed.settings.classes.push_back(agreed.settings.classes.front());
  agreed.settings.classes.back().effect = Effect::unsafe;
  for (const auto took : {std::optional<Outcome>(), std::optional(Outcome::delivered)}) {
    Simulation sim(agreed);
    auto one = sim.request("safe");
    auto two = sim.request("unsafe");
    auto brief = sim.request("brief");
    two.queryClass = 1;
    brief.timeLeft = 100 * kMs;
    const auto safe = sim.take(one);
    const auto unsafe = sim.take(two);
    const auto first = sim.take(brief);
    if (took)
      for (const auto& order : std::vector(sim.orders))
        if (order.id.request == unsafe && order.id.part == 0) sim.core.attemptEnded(order.id, *took, "value");
    const Nanos by = sim.time + 200 * kMs;
    sim.core.setShutdownDeadline(by);
    auto late = sim.request("late");
    late.timeLeft = 900 * kMs;
    const auto last = sim.take(late);
    for (const auto& order : sim.orders) CHECK(order.id.request != last || order.wait <= by - sim.time);
    sim.pass(2000 * kMs);
    for (const auto no : {safe, unsafe, first, last}) {
      CHECK(sim.finals[no].size() == 1 && sim.finals[no][0].first <= by);
      CHECK(sim.finals[no][0].second.verdict ==
            (no == unsafe ? broker::Verdict::failed : broker::Verdict::refused));
    }
    CHECK(sim.finals[first][0].first < by && sim.core.open() == 0);
    const auto after = sim.take(sim.request("after"));
    CHECK(sim.finals[after][0].second.verdict == broker::Verdict::refused && sim.core.open() == 0);
  }
}

// A retry of a keyed part must not be written after keyedWindow, counted from the first attempt that may have
// run. Where the part may be hedged, neither must its first attempt.
void keyedRetriesKeepTheirWindow() {
  for (const bool hedging : {false, true}) {
    auto agreed = terms();
    agreed.settings.hedging = hedging;
    agreed.settings.classes[0].effect = Effect::keyed;
    agreed.settings.classes[0].keyedWindow = 300 * kMs;
    Simulation sim(agreed);
    sim.take(sim.request("q"));
    const auto orders = sim.orders;
    const Nanos due = sim.time + 1000 * kMs;
    const Nanos first = sim.time;
    CHECK(orders.size() == 2 && orders[0].writeBy == (hedging ? first + 300 * kMs : due));
    sim.time += 50 * kMs;
    sim.core.attemptEnded(orders[0].id,
                          Outcome::connectFailed);  // cannot have run: the window does not start
    CHECK(sim.orders.size() == 3 && sim.orders[2].writeBy == (hedging ? first + 350 * kMs : due));
    sim.core.attemptEnded(sim.orders[2].id, Outcome::delivered, "value");
    sim.core.attemptEnded(orders[1].id, Outcome::reset);  // may have run: the window counts from its start
    sim.pass(100 * kMs);
    CHECK(sim.orders.size() == 4 && sim.orders[3].id.part == 1 && sim.orders[3].writeBy == first + 300 * kMs);
  }
}

// Guards against a duplicate: the first attempt of a keyed part waits at the backend while its hedge runs,
// and is written when the servers have forgotten the hedge. The attempts of a part may be written no further
// apart than keyedWindow.
void hedgedKeyedAttemptsKeepTheirWindow() {
  auto agreed = terms();
  const Nanos window = 400 * kMs;
  agreed.settings.classes[0].effect = Effect::keyed;
  agreed.settings.classes[0].keyedWindow = window;
  Simulation sim(agreed);
  const Nanos start = sim.time;
  sim.take(sim.request("q"));
  sim.pass(900 * kMs);
  CHECK(std::any_of(sim.orders.begin(), sim.orders.end(),
                    [](const auto& order) { return order.id.attempt > 0; }));
  for (const auto& order : sim.orders) CHECK(order.writeBy <= start + window);
}

void invalidRequests() {
  Simulation sim(terms());
  const auto odd = [&](auto change) {
    auto r = sim.request("q");
    change(r);
    return sim.invalid(r);
  };
  CHECK(odd([](auto& r) { r.queryClass = 1; }) && odd([](auto& r) { r.tenant = 7; }));
  CHECK(odd([](auto& r) { r.timeLeft = 0; }) && odd([](auto& r) { r.timeLeft = 6000 * kMs; }));
  CHECK(odd([](auto& r) { r.parts.clear(); }) && odd([](auto& r) { r.parts[1].shard = 0; }));
  CHECK(odd([](auto& r) { r.parts[0].shard = 2; }) && odd([](auto& r) { r.parts[0].weight = 0.9; }));
  CHECK(odd([](auto& r) { r.id = "a b"; }) && odd([](auto& r) { r.id = ""; }));
  sim.take(sim.request("q"));
  CHECK(sim.invalid(sim.request("q")));  // its id belongs to an open request
  CHECK(sim.core.counters().invalid == 11 && sim.core.open() == 1);
}

void logIsRateLimited() {
  Nanos now = 0;
  std::string out;
  broker::Log log(
      [&](auto event, auto text) { out.append(event).append(text.empty() ? "" : " ").append(text) += '\n'; },
      [&] { return now; });
  for (int i = 0; i < 100; ++i) log.line("x", "text\nforged");
  CHECK(std::count(out.begin(), out.end(), '\n') == broker::Log::kMaxLinesPerSecond);
  now = 2'000'000'000;
  log.line("x", "");
  CHECK(out.find("x suppressed=95\nx\n") != std::string::npos);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  answersWithDeliveredParts();
  unansweredRequestEndsInTime();
  synchronousFailures();
  drainingServersGetNoAttempts();
  admissionLimitHolds();
  clientDisconnects();
  clientsDisconnectTogether();
  invalidRequests();
  shutdownAnswersAllInTime();
  keyedRetriesKeepTheirWindow();
  hedgedKeyedAttemptsKeepTheirWindow();
  logIsRateLimited();
}
