#include "lab/scale/module_slopes.hpp"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/deployed_settings.hpp"
#include "lab/scale/fit.hpp"
#include "lab/scale/target.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr Nanos kUs = 1'000, kMs = 1'000'000, kSec = 1000 * kMs;

double num(auto number) { return static_cast<double>(number); }

double cpuNow() {  // of this process, s
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return num(t.tv_sec) + num(t.tv_nsec) * 1e-9;
}

double heap() {  // bytes handed out
  const auto info = mallinfo2();
  return num(info.uordblks) + num(info.hblkhd);
}

// 94 shards on 94 cells, one replica set each; times of the class by the target's 260 ms, of the slow start
// as deployed today.
Settings settingsOf(std::uint64_t seed) {
  auto s = deployedSettings(kAggregators);
  s.seed = seed;
  s.number = static_cast<int>(seed % kAggregators);
  s.shards = s.cells = kParts, s.reach = 1;
  QueryClass c;
  c.name = "query", c.aim = 260 * kMs, c.deadline = 800 * kMs, c.lateWorth = 0.3;
  s.classes = {c};
  return s;
}

ServerEntry leaf(int i) {
  ServerEntry e;
  e.server = static_cast<ServerId>(i + 1), e.cell = i % kParts, e.zone = (i / kParts) % 2;
  return e;
}

ListNews listOf(int leafs, ListNews::Scope scope) {
  ListNews out{scope, {}};
  for (int i = 0; i < leafs; ++i) out.entries.push_back(leaf(i));
  return out;
}

// ---- one instance and its traffic, on a virtual clock ----

class Course {
 public:
  Course(int leafs, std::uint64_t seed) : module_(settingsOf(seed)), random_(seed) {
    module_.handle(now_, {listOf(leafs, ListNews::Scope::initial)});
  }

  // Poisson arrivals at the target's rate; answers take 20 ms in the mean. Each event is a turn of its own,
  // or those of a `batch` share one. Returns the processor time of the module, s.
  double serve(Nanos time, Nanos batch) {
    spent_ = 0;
    const Nanos end = now_ + time;
    std::exponential_distribution<double> gap(kQueriesEach / num(kSec));
    for (Nanos at = now_; (at += static_cast<Nanos>(gap(random_))) < end;) push(at, Kind::arrival);
    while (!due_.empty() && due_.top().at < end) {
      now_ = std::max(now_, due_.top().at);
      std::vector<Event> events;
      const Nanos upTo = now_ + batch;
      do {
        take(due_.top(), events);
        due_.pop();
      } while (batch > 0 && !due_.empty() && due_.top().at < upTo);
      if (batch > 0) now_ = upTo;
      if (!events.empty()) turn(events);
    }
    now_ = end;
    return spent_;
  }

  // Queries that stay open, for the cost of a turn beside them.
  void open(int queries) {
    for (int i = 0; i < queries; ++i) {
      std::vector<Event> events;
      arrival(events);
      now_ += 10 * kUs;
      turn(events);
    }
  }

  double cost(const std::vector<Event>& events, int times) {  // s a turn
    spent_ = 0;
    for (int i = 0; i < times; ++i) {
      now_ += 1;
      turn(events);
    }
    return spent_ / times;
  }

  // One query alone: arrival, then the ends in one turn or each in one of its own.
  double query(bool oneTurn) {
    spent_ = 0;
    std::vector<Event> events;
    arrival(events);
    turn(events);
    events.clear();
    now_ += 20 * kMs;
    while (!due_.empty()) {
      take(due_.top(), events);
      due_.pop();
      if (!oneTurn && !events.empty()) turn(events), events.clear();
    }
    if (!events.empty()) turn(events);
    while (!due_.empty()) due_.pop();  // timers; what a last turn has sent on is cancelled with the query
    return spent_;
  }

  // From now on each turn finds the processor's near caches full of other things, as after a round of reads
  // and writes: else small fleets would stay in them, large ones not, and no line would lead from one to the
  // other.
  void coldCaches() { others_.resize(16U << 20U); }
  std::size_t sends() const { return sends_; }
  std::size_t queries() const { return static_cast<std::size_t>(number_); }

 private:
  enum class Kind { arrival, end, timer };
  struct Due {
    Nanos at;
    Kind kind;
    std::string part;
    int attempt;
    ServerId server;
    Nanos delay;
    bool operator<(const Due& other) const { return at > other.at; }
  };

  void push(Nanos at, Kind kind) { due_.push({at, kind, {}, 0, 0, 0}); }

  void arrival(std::vector<Event>& events) {
    const auto no = ++number_;
    const auto id = std::to_string(no);
    events.push_back(QueryArrived{id, no, 0, 800 * kMs, kParts, false});
    for (int s = 0; s < kParts; ++s)
      events.push_back(PartArrived{id + "." + std::to_string(s), no, s, 1.0 / kParts});
  }

  void take(const Due& due, std::vector<Event>& events) {
    if (due.kind == Kind::arrival) return arrival(events);
    if (due.kind == Kind::timer) return events.push_back(TimerFired{due.attempt});
    const auto at = outs_.find(due.part);
    if (at == outs_.end() || !at->second[static_cast<std::size_t>(due.attempt)]) return;
    at->second[static_cast<std::size_t>(due.attempt)] = false;
    if (std::none_of(at->second.begin(), at->second.end(), [](bool out) { return out; })) outs_.erase(at);
    events.push_back(AttemptEnded{due.part, due.attempt, due.server, Outcome::delivered, due.delay});
  }

  void turn(const std::vector<Event>& events) {
    for (std::size_t i = 0; i < others_.size(); i += 64) ++others_[i];
    const double before = cpuNow();
    const auto actions = module_.handle(now_, events);
    spent_ += cpuNow() - before;
    for (const auto& action : actions) {
      if (const auto* s = std::get_if<Send>(&action)) {
        ++sends_;
        auto& outs = outs_[s->part];
        outs.push_back(true);
        const auto delay = static_cast<Nanos>(work_(random_));
        due_.push({now_ + delay, Kind::end, s->part, static_cast<int>(outs.size()) - 1, s->server, delay});
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        const auto at = outs_.find(c->part);
        if (at != outs_.end()) at->second[static_cast<std::size_t>(c->attempt)] = false;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        push(now_ + t->wait, Kind::timer);
      }
    }
  }

  Aggregator module_;
  std::mt19937_64 random_;
  std::gamma_distribution<double> work_{4, 5.0 * static_cast<double>(kMs)};
  Nanos now_ = 1000 * kSec;
  QueryNo number_ = 0;
  std::priority_queue<Due> due_;
  std::unordered_map<std::string, std::vector<bool>> outs_;  // by part: whether each attempt is out
  double spent_ = 0;
  std::size_t sends_ = 0;
  std::vector<unsigned char> others_;
};

// ---- figures by size ----

enum class Shape { line, square, level, none };  // none: shown, not fitted

struct Figure {
  const char* name;
  const char* unit;
  Shape shape;
  bool exact;  // bytes and counts: the same in each run
  std::map<int, std::vector<double>> by{};
};

// Prints what was fitted below the largest size, what that says of it and what came; true: understood. Fitted
// on the middle one of the repetitions, which go round all sizes in turn, so that what else runs here falls
// on all. A square is fitted as the line of its divided differences from the smallest size, whose slope is
// its own.
// Where it is not `judged` the figures are shown only.
bool judge(const Figure& f, int largest, bool judged) {
  const auto& [first, atFirst] = *f.by.begin();
  const double base = repeated(atFirst).middle;
  std::vector<double> x, y, all;
  for (const auto& [leafs, values] : f.by) {
    if (leafs == largest) continue;
    const double value = repeated(values).middle;
    all.push_back(value);
    if (f.shape == Shape::square && leafs < 5 * first) continue;  // too near for a difference
    x.push_back(leafs);
    y.push_back(f.shape == Shape::square ? (value - base) / (leafs - first) : value);
  }
  double predicted = repeated(all).middle;
  char text[160];
  std::snprintf(text, sizeof text, "%.4g", predicted);
  if (f.shape == Shape::line) {
    const Fit fit = fitLine(x, y);
    predicted = fit.at(largest);
    std::snprintf(text, sizeof text, "%.3g + %.3g n (r2 %.3f)", fit.intercept, fit.slope, fit.r2);
  } else if (f.shape == Shape::square) {
    const Fit fit = fitLine(x, y);
    predicted = base + fit.at(largest) * (largest - first);
    const double linear = fit.intercept - fit.slope * first;
    std::snprintf(text, sizeof text, "%.3g + %.3g n + %.3g n^2 (r2 %.3f)",
                  base - linear * first - fit.slope * first * first, linear, fit.slope, fit.r2);
  }
  std::printf("| %s%s%s |", f.name, *f.unit ? ", " : "", f.unit);
  for (const auto& [leafs, values] : f.by) {
    const auto r = repeated(values);
    std::printf(" %.3g (%.3g-%.3g) |", r.middle, r.least, r.most);
  }
  if (f.shape == Shape::none) return std::printf(" | | |\n"), true;
  const double came = repeated(f.by.at(largest)).middle;
  const bool understood = offBy(predicted, came) <= kUnderstood;
  std::printf(" %s | %.4g | %.2f%s |\n", text, predicted, came / predicted,
              !judged      ? " (shown)"
              : understood ? ""
                           : " NOT UNDERSTOOD");
  return understood || !judged;
}

// ---- one cold leaf and all its aggregators ----

// Eight leafs of two cores hold the one shard, sixty in a hundred busy; two of them go, and a cold one starts
// in that moment and is announced to all at once. `work` by part, s; `way` there and back.
class ColdWorld {
 public:
  ColdWorld(int aggregators, double work, Nanos way, std::uint64_t seed)
      : work_(work), way_(way), random_(seed) {
    for (ServerId id = 1; id <= kWarm; ++id) add(id);
    ListNews list{ListNews::Scope::initial, {}};
    for (const auto& [id, node] : leafs_) list.entries.push_back(entry(id, ServerState::up, 0));
    for (int i = 0; i < aggregators; ++i) {
      auto s = settingsOf(1000 * seed + static_cast<std::uint64_t>(i));
      s.aggregators = aggregators, s.number = i, s.shards = s.cells = 1;
      instances_.emplace_back(s);
      turn(i, {list});
    }
  }

  void run() {
    serve(kBefore);
    startedAt_ = now_;
    add(kCold);
    const ListNews news{ListNews::Scope::changes,
                        {entry(1, ServerState::gone, 0), entry(2, ServerState::gone, 0),
                         entry(kCold, ServerState::up, startedAt_)}};
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i) turn(i, {news});
    serve(kColdFor + kAfter);
  }

  // The largest sum of work sent in any window of the tipping rule over what tips it, by `cores`.
  double worst(double cores) const {
    double most = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < sends_.size() && sends_[first] - startedAt_ < kColdFor; ++first) {
      while (last < sends_.size() && sends_[last] < sends_[first] + kWindow) ++last;
      most = std::max(most, num(last - first) * work_ / (4 * cores * warmth(sends_[first]) * 2));
    }
    return most;
  }
  double sent() const {  // calls while it was cold
    return num(
        std::count_if(sends_.begin(), sends_.end(), [&](Nanos at) { return at - startedAt_ < kColdFor; }));
  }
  // Of its capacity while cold, and of the ceiling; of the calls of a warm one once it is warm.
  double capacityUsed() const { return sent() * work_ / (kCores * kMeanWarmth * 17); }
  double ceilingUsed() const { return capacityUsed() / 4; }
  double whenWarm() const {
    return num(std::count_if(sends_.begin(), sends_.end(),
                             [&](Nanos at) { return at - startedAt_ >= kColdFor + kSec; })) /
           std::max(1.0, warmMean_);
  }
  double callers() const { return num(callers_.size()); }
  double firstAfter() const { return sends_.empty() ? -1 : num(sends_.front() - startedAt_) / num(kSec); }

 private:
  static constexpr ServerId kWarm = 8, kCold = 99;
  static constexpr Nanos kBefore = 3 * kSec, kColdFor = 17 * kSec, kAfter = 3 * kSec, kWindow = 2 * kSec;
  static constexpr double kCores = 2, kBusy = 0.6, kMeanWarmth = (0.22 + 1) / 2;
  struct Leaf {
    int busy = 0;
    std::deque<std::size_t> waiting;  // calls
  };
  struct Call {
    int instance;
    QueryNo query;
    int attempt;
    ServerId leaf;
    Nanos sentAt;
    bool over = false;
  };
  enum class Kind { query, reaches, done, answered, timer };
  struct Due {
    Nanos at;
    Kind kind;
    std::size_t call;
    bool operator<(const Due& other) const { return at > other.at; }
  };

  static ServerEntry entry(ServerId id, ServerState state, Nanos startedAt) {
    ServerEntry e;
    e.server = id, e.state = state, e.startedAt = startedAt;
    return e;
  }
  double warmth(Nanos at) const { return std::min(1.0, 0.22 + 0.78 * num(at - startedAt_) / num(kColdFor)); }
  void add(ServerId id) { leafs_[id] = {}; }

  void serve(Nanos time) {
    const Nanos end = now_ + time;
    std::exponential_distribution<double> gap(num(kWarm) * kBusy * kCores / work_ / num(kSec));
    Nanos next = now_ + static_cast<Nanos>(gap(random_));
    for (;;) {
      const Nanos at = due_.empty() ? end : std::min(end, due_.top().at);
      if (next < at) {
        now_ = next, next += static_cast<Nanos>(gap(random_));
        ask();
        continue;
      }
      if (at >= end) break;
      const Due due = due_.top();
      due_.pop();
      now_ = std::max(now_, due.at);
      if (due.kind == Kind::timer) {
        turn(static_cast<int>(due.call), {TimerFired{0}});
      } else {
        step(due);
      }
    }
    now_ = end;
  }

  void ask() {
    const int i = static_cast<int>(random_() % instances_.size());
    const auto no = ++number_;
    const auto id = std::to_string(no);
    turn(i, {QueryArrived{id, no, 0, 800 * kMs, 1, false}, PartArrived{"p" + id, no, 0, 1.0}});
  }

  void step(const Due& due) {
    Call& call = calls_[due.call];
    Leaf& leaf = leafs_[call.leaf];
    if (due.kind == Kind::reaches) {
      leaf.waiting.push_back(due.call);
      begin(call.leaf);
    } else if (due.kind == Kind::done) {
      --leaf.busy;
      due_.push({now_ + way_ / 2, Kind::answered, due.call});
      begin(call.leaf);
    } else if (!call.over) {
      call.over = true;
      turn(call.instance, {AttemptEnded{"p" + std::to_string(call.query), call.attempt, call.leaf,
                                        Outcome::delivered, now_ - call.sentAt}});
    }
  }
  void begin(ServerId id) {
    Leaf& leaf = leafs_[id];
    while (leaf.busy < kCores && !leaf.waiting.empty()) {
      const auto call = leaf.waiting.front();
      leaf.waiting.pop_front();
      if (calls_[call].over) continue;  // called off while it waited
      ++leaf.busy;
      const double speed = id == kCold ? warmth(now_) : 1;
      const double time = std::gamma_distribution<double>(4, work_ / 4)(random_) / speed;
      due_.push({now_ + static_cast<Nanos>(time * num(kSec)), Kind::done, call});
    }
  }

  void turn(int i, const std::vector<Event>& events) {
    for (const auto& action : instances_[static_cast<std::size_t>(i)].handle(now_, events)) {
      if (const auto* s = std::get_if<Send>(&action)) {
        const auto query = static_cast<QueryNo>(std::stoll(s->part.substr(1)));
        auto& outs = outs_[query];
        calls_.push_back({i, query, static_cast<int>(outs.size()), s->server, now_});
        outs.push_back(calls_.size() - 1);
        due_.push({now_ + way_ / 2, Kind::reaches, calls_.size() - 1});
        if (s->server == kCold) sends_.push_back(now_), callers_[i] += 1;
        if (s->server != kCold && startedAt_ > 0 && now_ - startedAt_ >= kColdFor + kSec)
          warmMean_ += 1.0 / (kWarm - 2);
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        const auto query = static_cast<QueryNo>(std::stoll(c->part.substr(1)));
        calls_[outs_.at(query)[static_cast<std::size_t>(c->attempt)]].over = true;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        due_.push({now_ + t->wait, Kind::timer, static_cast<std::size_t>(i)});
      }
    }
  }

  double work_;
  Nanos way_;
  std::mt19937_64 random_;
  std::deque<Aggregator> instances_;
  std::map<ServerId, Leaf> leafs_;
  std::deque<Call> calls_;
  std::unordered_map<QueryNo, std::vector<std::size_t>> outs_;
  std::priority_queue<Due> due_;
  Nanos now_ = 1000 * kSec, startedAt_ = 0;
  QueryNo number_ = 0;
  std::vector<Nanos> sends_;
  std::map<int, int> callers_;
  double warmMean_ = 0;
};

}  // namespace

int runModuleSlopes(bool quick) {
  const std::vector<int> sizes = quick ? std::vector{200, 500, 1000, 1500, 2000}
                                       : std::vector{200, 500, 1000, 2000, 2600, 3300, 5000, kLeafs};
  const int largest = sizes.back(), repeats = quick ? 2 : 5;
  enum { idle, ten, thirty, batched, single, share, shareBatched, change, full, initial, bytes, used, sends };
  std::vector<Figure> figures{
      {"turn, nothing open", "us", Shape::line, false},
      {"turn, 10 queries open", "us", Shape::line, false},
      {"turn, 30 queries open", "us", Shape::line, false},
      {"query of 94 parts, ends in one turn", "us", Shape::square, false},
      {"query of 94 parts, each end a turn", "us", Shape::line, false},
      {"120 queries/s, each event a turn", "% of a core", Shape::none, false},
      {"120 queries/s, turns of 1 ms", "% of a core", Shape::none, false},
      {"one change of the list, 10 open", "us", Shape::line, false},
      {"full list, 10 open", "us", Shape::line, false},
      {"first list", "us", Shape::line, false},
      {"memory by a leaf after the first list", "B", Shape::level, true},
      {"memory of the module and its traffic after 1 s", "MB", Shape::line, true},
      {"sends a query", "", Shape::level, true},
  };
  for (int repeat = 0; repeat < repeats; ++repeat) {
    for (const int leafs : sizes) {
      const auto add = [&](int which, double value) {
        figures[static_cast<std::size_t>(which)].by[leafs].push_back(value);
      };
      const auto seed = static_cast<std::uint64_t>(repeat + 1);
      {
        malloc_trim(0);
        const auto list = std::vector<Event>{listOf(leafs, ListNews::Scope::initial)};
        auto one = std::make_unique<Aggregator>(settingsOf(seed));
        const double held = heap(), began = cpuNow();
        one->handle(1000 * kSec, list);
        add(initial, 1e6 * (cpuNow() - began));
        add(bytes, (heap() - held) / leafs);
      }
      const double held = heap();
      Course course(leafs, seed);
      course.serve(1 * kSec, 1 * kMs);  // all is learned by then
      add(used, (heap() - held) / 1e6);
      const auto asked = course.queries(), sent = course.sends();
      const auto shareOf = [&](Nanos batch) {  // for 120 queries, whatever the draw has brought
        const auto before = course.queries();
        const double spent = course.serve(leafs > 4000 ? kSec / 5 : kSec / 2, batch);
        return 100 * spent * kQueriesEach / num(course.queries() - before);
      };
      add(share, shareOf(0));
      add(shareBatched, shareOf(1 * kMs));
      add(sends, num(course.sends() - sent) / num(course.queries() - asked));
      Course alone(leafs, seed);
      for (int i = 0; i < leafs / kParts + 20; ++i) alone.query(true);
      double one = 0, each = 0;
      constexpr int kTimes = 3;
      alone.coldCaches();
      for (int i = 0; i < kTimes; ++i) {
        one += alone.query(true) / kTimes;
        each += alone.query(false) / kTimes;
      }
      add(batched, 1e6 * one);
      add(single, 1e6 * each);
      const std::vector<Event> timer{TimerFired{0}};
      const int turns = 20;
      add(idle, 1e6 * alone.cost(timer, turns));
      alone.open(10);
      add(ten, 1e6 * alone.cost(timer, turns));
      add(change, 1e6 * alone.cost({ListNews{ListNews::Scope::changes, {leaf(leafs / 2)}}}, 10));
      add(full, 1e6 * alone.cost({listOf(leafs, ListNews::Scope::full)}, 5));
      alone.open(20);
      add(thirty, 1e6 * alone.cost(timer, turns));
    }
  }
  std::printf("| figure |");
  for (const int leafs : sizes) std::printf(" %d leafs |", leafs);
  std::printf(" fit below the largest | predicted | came/predicted |\n| --- |");
  for (std::size_t i = 0; i < sizes.size() + 3; ++i) std::printf(" ---: |");
  std::printf("\n");
  bool understood = true;
  for (const auto& f : figures)
    if (!f.by.empty()) {
      const bool good = judge(f, largest, f.exact || !quick);
      understood = understood && good;
    }
  return understood ? 0 : 1;
}

// Rule: kFairShare 0.6 x tipMultiple 4 x warmth x tipWindow 2 s, over the aggregators, saved up for up to
// three windows; where that is less than a part the window is stretched.
int runColdShares(bool quick) {
  struct Load {
    double work;  // s a part
    Nanos way;
  };
  // Today's parts; what 2,279 a second leave of two cores, 60 in 100 busy; the same with a way there and
  // back, which the module takes for work.
  const std::vector<Load> loads{{0.020, 0}, {0.000527, 0}, {0.000527, 1 * kMs}};
  const std::vector<int> fleets = quick ? std::vector{30, 300} : std::vector{30, 100, 300, 1000, 2000};
  std::printf(
      "| part's work, way | aggregators | share when coldest, calls in 2 s (in 6 s) | below one call in the "
      "saved-up windows from | calls while cold | by so many | first after | worst window / ceiling of two "
      "cores | of one core | ceiling used | capacity used | calls once warm / a warm one's |\n");
  std::printf("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  bool below = true;
  for (const auto& load : loads)
    for (const int fleet : fleets) {
      const double part = load.work + num(load.way) / num(kSec), all = 0.6 * 4 * 0.22 * 2 / part;
      ColdWorld world(fleet, load.work, load.way, 1);
      world.run();
      below = below && world.worst(2) < 1;
      std::printf(
          "| %.3g ms, %.0f ms | %d | %.3g (%.3g) | %.0f | %.0f | %.0f | %.2f s | %.3f | %.3f | %.3f | %.3f | "
          "%.2f |\n",
          1e3 * load.work, 1e-6 * num(load.way), fleet, all / fleet,
          std::clamp(std::sqrt(fleet) / 3, 1.0, 3.0) * all / fleet, 3 * all, world.sent(), world.callers(),
          world.firstAfter(), world.worst(2), world.worst(1), world.ceilingUsed(), world.capacityUsed(),
          world.whenWarm());
    }
  return below ? 0 : 1;
}

int runModuleTraffic(int leafs) {
  Course course(leafs, 1);
  course.serve(300 * kMs, 0);
  std::printf("%d leafs: %zu queries, %zu sends\n", leafs, course.queries(), course.sends());
  return 0;
}

void printTarget() {
  const double leafParts = kQueries * kParts / kLeafs, fromEach = leafParts / kAggregators;
  std::printf(
      "240,000 queries/s over 2,000: %.0f/s each, %.0f parts/s each, %.2f million parts/s, %.0f/s a leaf, "
      "%.2f/s "
      "from each aggregator\n",
      kQueriesEach, kPartsEach, 1e-6 * kQueries * kParts, leafParts, fromEach);
  const double part = 1 - std::pow(0.99, 1.0 / kParts);
  std::printf("late by part, 1 in 100 by query: %.3e (1 in %.0f)\n", part, 1 / part);
  // Hedged at random in one part of ten; independent replicas: late only if both are. p (1 - h + h p) = part.
  const auto alone = [&](double hedged) {  // lateness of one replica that gives the same
    if (hedged >= 1) return std::sqrt(part);
    double low = part, high = 1;
    for (int i = 0; i < 200; ++i) {
      const double p = (low + high) / 2;
      (p * (1 - hedged + hedged * p) < part ? low : high) = p;
    }
    return low;
  };
  std::printf(
      "one replica may be late in 1 of: no hedge %.0f, a tenth drawn by chance %.0f, all late parts hedged "
      "(budget "
      "0.1 reached by the latest tenth) %.0f\n",
      1 / part, 1 / alone(0.1), 1 / alone(1));
  std::printf(
      "\n| leafs | parts/s to a leaf from each | touched in 24 s | descriptors | slots for leafs | busy at "
      "once | hit rate | new/s each | standing at a leaf | new/s at a leaf | subset: leafs of a cell | held "
      "by each, at "
      "a leaf |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  for (const int leafs : {200, 500, 1000, 2000, 3300, 5000, kLeafs})
    for (const std::size_t sockets : {std::size_t{256}, std::size_t{1024}}) {
      const ConnectionModel m(leafs, sockets);
      const double dials = m.dialsAPart() * kPartsEach;
      std::printf("| %d | %.2f | %.0f | %zu | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | ", leafs,
                  kPartsEach / leafs, m.touched, sockets, m.slots, m.busy, m.hit, dials,
                  kAggregators * m.standing / leafs, kAggregators * dials / leafs);
      const int kept = m.subsetOfCell();
      kept == 0 ? std::printf("none fits | |\n")
                : std::printf("%d | %.0f, %.0f |\n", kept, m.wanted(kept * kParts),
                              kAggregators * num(kept) * kParts / leafs);
    }
  std::printf("\nchanges: 7,800 a day, one in %.2f s; an hour missed: %.0f\n", 86400 / 7800.0, 7800 / 24.0);
  std::printf(
      "a zone of six: %.0f aggregators, %.0f leafs; an all-restart in an hour: %.2f aggregators/s, %.2f "
      "leafs/s\n",
      kAggregators / num(kZones), kLeafs / num(kZones), kAggregators / 3600.0, kLeafs / 3600.0);
  std::printf("1,600 restarts a day: one in %.0f s; 40 machine failures: one in %.0f min\n", 86400 / 1600.0,
              1440 / 40.0);
}

}  // namespace topazweir::lab::scale
