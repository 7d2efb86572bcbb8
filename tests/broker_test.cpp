// The core on a virtual clock, with a backend that does as it is told: no socket, no wire.
#include "broker/broker.hpp"

#include <algorithm>
#include <map>

#include "check.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

struct World : broker::Clock, broker::Backend, broker::Front {
  explicit World(broker::Terms terms) : core(std::move(terms), *this, *this, log) {
    ListNews list;
    for (ServerId id = 1; id <= 2; ++id) list.entries.push_back({.server = id});
    core.told(list);
  }
  Nanos now() const override { return time; }
  bool gathering() const override { return gathers; }
  void wakeAt(Nanos at) override { wakes.insert({at, 0}); }
  void start(broker::AttemptOrder order) override {
    if (end) return core.attemptEnded(order.id, *end, "value");  // from within the module's turn
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
  bool gathers = false;
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
  t.settings.secondCopies = t.settings.cancelling = t.settings.retryAfter = true;
  t.settings.maxRetryAfter = 2000 * kMs;
  t.settings.classes = {
      QueryClass{.name = "a", .aim = 500 * kMs, .deadline = 1000 * kMs, .lateWorth = 0.3, .floor = 0.5}};
  t.contracts = {{"coast", 0.6, 2}, {"rift", 0.4, 0}};
  t.longestDeadline = 5000 * kMs;
  t.maxOpen = 9;
  return t;
}

void answersWithWhatCameIn() {
  World w(terms());
  const auto no = w.take(w.request("q"));
  CHECK(w.orders.size() >= 2 && w.orders[0].partId.substr(0, 2) == "q.");
  const auto orders = w.orders;
  for (const auto& order : orders)
    w.core.attemptEnded(order.id, Outcome::delivered, "v" + std::to_string(order.shard));
  CHECK(w.finals[no].size() == 1);
  const auto& answer = w.finals[no][0].second;
  CHECK(answer.verdict == broker::Verdict::answered && answer.whole && answer.results.size() == 2);
  for (const auto& r : answer.results) CHECK(r.value == "v" + std::to_string(r.shard));
  w.core.attemptEnded(orders[0].id, Outcome::delivered, "late");  // after the end: nothing happens
  CHECK(w.finals[no].size() == 1 && w.core.open() == 0);
}

// Nothing comes back: one final answer before the client's time is up, all attempts called off.
void silenceEndsInTime() {
  World w(terms());
  const auto no = w.take(w.request("q"));
  const Nanos taken = w.time;
  w.pass(3000 * kMs);
  CHECK(w.finals[no].size() == 1 && w.finals[no][0].first <= taken + 1000 * kMs);
  CHECK(w.finals[no][0].second.verdict == broker::Verdict::refused && w.finals[no][0].second.retryAfter > 0);
  CHECK(w.core.counters().sent <= 8);
  CHECK(w.lines.find("request.unserved id=q class=a after_ms=") != std::string::npos);
  CHECK(w.lines.find(" in=0/2 attempts=" + std::to_string(w.core.counters().sent) + " cancelled=") !=
        std::string::npos);
  for (const auto& order : w.orders)
    CHECK(std::find(w.cancelled.begin(), w.cancelled.end(), order.id) != w.cancelled.end());
}

// Every attempt fails from within its start: no turn within a turn, four attempts a part at most.
void failuresAtOnce() {
  for (const auto end : {Outcome::error, Outcome::rejected, Outcome::connectFailed, Outcome::reset}) {
    World w(terms());
    w.end = end;
    const auto no = w.take(w.request("q"));
    w.pass(3000 * kMs);
    CHECK(w.finals[no].size() == 1 && w.finals[no][0].second.verdict == broker::Verdict::refused);
    const auto& c = w.core.counters();
    CHECK(c.sent >= 1 && c.sent <= 8 && c.ends[static_cast<std::size_t>(end)] == c.sent);
  }
}

void drainedServersGetNothing() {
  World w(terms());
  ListNews news;
  news.scope = ListNews::Scope::changes;
  for (ServerId id = 1; id <= 2; ++id) news.entries.push_back({.server = id, .state = ServerState::draining});
  w.core.told(news);
  const auto no = w.take(w.request("q"));
  CHECK(w.orders.empty() && w.finals[no].size() == 1);  // given up at once, and so answered at once
  CHECK(w.finals[no][0].second.verdict == broker::Verdict::refused && w.finals[no][0].second.retryAfter > 0);
}

void holdsNoMoreThanAgreed() {
  World w(terms());
  for (const auto* id : {"a", "b", "c"}) w.take(w.request(id));
  CHECK(w.core.held() == 9);
  const auto no = w.take(w.request("d"));
  CHECK(w.finals[no].size() == 1 && w.finals[no][0].second.verdict == broker::Verdict::refused);
  CHECK(w.core.counters().turnedAway == 1 && w.core.held() == 9);
  CHECK(w.core.counters().tenants[0].taken == 4 && w.core.counters().tenants[0].overQuota == 2);
}

void clientLeaves() {
  World w(terms());
  const auto no = w.take(w.request("q"));
  w.core.abandon(no);
  CHECK(w.core.open() == 0 && w.cancelled.size() == w.orders.size());
  w.pass(3000 * kMs);
  CHECK(w.finals.empty() && w.core.counters().abandoned == 1);
}

// After a standstill several clients have left, and further attempts are due: the turn for the first must not
// begin any for the others.
void clientsLeaveTogether() {
  for (const bool gathers : {false, true}) {
    World w(terms());
    std::vector<broker::RequestNo> all;
    for (const auto* id : {"q", "r", "s"}) all.push_back(w.take(w.request(id)));
    w.time += 600 * kMs;  // nothing has woken it
    const auto before = w.orders.size();
    w.gathers = gathers;
    for (const auto no : all) w.core.abandon(no);
    w.gathers = false;
    CHECK(gathers == (w.orders.size() == before));  // shown to be counted: one by one, some begin
    w.pass(3000 * kMs);
    CHECK(gathers == (w.orders.size() == before));
    CHECK(w.core.open() == 0 && w.finals.empty() && w.cancelled.size() == w.orders.size());
  }
}

// The process is to end: what is open and what still comes has its one final answer by then, told whether it
// may be asked again: not where something that must not run twice may have run.
void endsAllInTime() {
  auto agreed = terms();
  agreed.maxOpen = 0;
  agreed.settings.classes.push_back(agreed.settings.classes.front());
  agreed.settings.classes.back().effect = Effect::unsafe;
  for (const auto took : {std::optional<Outcome>(), std::optional(Outcome::delivered)}) {
    World w(agreed);
    auto one = w.request("safe"), two = w.request("unsafe"), brief = w.request("brief");
    two.queryClass = 1, brief.timeLeft = 100 * kMs;
    const auto safe = w.take(one), unsafe = w.take(two), first = w.take(brief);
    if (took)
      for (const auto& order : std::vector(w.orders))
        if (order.id.request == unsafe && order.id.part == 0) w.core.attemptEnded(order.id, *took, "value");
    const Nanos by = w.time + 200 * kMs;
    w.core.endBy(by);
    auto late = w.request("late");
    late.timeLeft = 900 * kMs;
    const auto last = w.take(late);
    for (const auto& order : w.orders) CHECK(order.id.request != last || order.wait <= by - w.time);
    w.pass(2000 * kMs);
    for (const auto no : {safe, unsafe, first, last}) {
      CHECK(w.finals[no].size() == 1 && w.finals[no][0].first <= by);
      CHECK(w.finals[no][0].second.verdict ==
            (no == unsafe ? broker::Verdict::failed : broker::Verdict::refused));
    }
    CHECK(w.finals[first][0].first < by && w.core.open() == 0);
    const auto after = w.take(w.request("after"));
    CHECK(w.finals[after][0].second.verdict == broker::Verdict::refused && w.core.open() == 0);
  }
}

// A repeat of a keyed part may not leave after its window, counted from the first attempt that may have run.
void repeatsKnowTheirWindow() {
  auto agreed = terms();
  agreed.settings.classes[0].effect = Effect::keyed;
  agreed.settings.classes[0].keyedWindow = 300 * kMs;
  World w(agreed);
  w.take(w.request("q"));
  const auto orders = w.orders;
  const Nanos due = w.time + 1000 * kMs;
  CHECK(orders.size() == 2 && orders[0].writeBy == due);
  const Nanos first = w.time;
  w.time += 50 * kMs;
  w.core.attemptEnded(orders[0].id, Outcome::connectFailed);  // it cannot have run: no window begins
  CHECK(w.orders.size() == 3 && w.orders[2].writeBy == due);
  w.core.attemptEnded(w.orders[2].id, Outcome::delivered, "value");
  w.core.attemptEnded(orders[1].id, Outcome::reset);  // it may have
  w.pass(100 * kMs);
  CHECK(w.orders.size() == 4 && w.orders[3].id.part == 1 && w.orders[3].writeBy == first + 300 * kMs);
}

void senselessRequests() {
  World w(terms());
  const auto odd = [&](auto change) {
    auto r = w.request("q");
    change(r);
    return w.invalid(r);
  };
  CHECK(odd([](auto& r) { r.queryClass = 1; }) && odd([](auto& r) { r.tenant = 7; }));
  CHECK(odd([](auto& r) { r.timeLeft = 0; }) && odd([](auto& r) { r.timeLeft = 6000 * kMs; }));
  CHECK(odd([](auto& r) { r.parts.clear(); }) && odd([](auto& r) { r.parts[1].shard = 0; }));
  CHECK(odd([](auto& r) { r.parts[0].shard = 2; }) && odd([](auto& r) { r.parts[0].weight = 0.9; }));
  CHECK(odd([](auto& r) { r.id = "a b"; }) && odd([](auto& r) { r.id = ""; }));
  w.take(w.request("q"));
  CHECK(w.invalid(w.request("q")));  // its id is open
  CHECK(w.core.counters().invalid == 11 && w.core.open() == 1);
}

void logIsRateLimited() {
  Nanos now = 0;
  std::string out;
  broker::Log log(
      [&](auto event, auto text) { out.append(event).append(text.empty() ? "" : " ").append(text) += '\n'; },
      [&] { return now; });
  for (int i = 0; i < 100; ++i) log.line("x", "text\nforged");
  CHECK(std::count(out.begin(), out.end(), '\n') == broker::Log::kMostPerSecond);
  now = 2'000'000'000;
  log.line("x", "");
  CHECK(out.find("x suppressed=95\nx\n") != std::string::npos);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  answersWithWhatCameIn();
  silenceEndsInTime();
  failuresAtOnce();
  drainedServersGetNothing();
  holdsNoMoreThanAgreed();
  clientLeaves();
  clientsLeaveTogether();
  senselessRequests();
  endsAllInTime();
  repeatsKnowTheirWindow();
  logIsRateLimited();
}
