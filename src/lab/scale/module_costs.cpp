#include "lab/scale/module_costs.hpp"

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

constexpr Nanos kUs = 1'000;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;

double toDouble(auto number) { return static_cast<double>(number); }

double processCpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return toDouble(t.tv_sec) + toDouble(t.tv_nsec) * 1e-9;
}

double heapBytes() {  // allocated, not freed
  const auto info = mallinfo2();
  return toDouble(info.uordblks) + toDouble(info.hblkhd);
}

// 94 shards on 94 cells, one replica set each. The class has the 260 ms of the target; slow start is set as
// deployed.
Settings settingsForStaticServers(std::uint64_t seed) {
  auto s = deployedSettings(kAggregators);
  s.seed = seed;
  s.number = static_cast<int>(seed % kAggregators);
  s.shards = s.cells = kParts;
  s.reach = 1;
  QueryClass c;
  c.name = "query";
  c.aim = 260 * kMs;
  c.deadline = 800 * kMs;
  c.lateWorth = 0.3;
  s.classes = {c};
  return s;
}

ServerEntry leaf(int i) {
  ServerEntry e;
  e.server = static_cast<ServerId>(i + 1);
  e.cell = i % kParts;
  e.zone = (i / kParts) % 2;
  return e;
}

ServerListUpdate serverList(int leafs, ServerListUpdate::Scope scope) {
  ServerListUpdate out{scope, {}};
  for (int i = 0; i < leafs; ++i) out.entries.push_back(leaf(i));
  return out;
}

// ---- one instance and its traffic, on a virtual clock ----

class InstanceSimulation {
 public:
  InstanceSimulation(int leafs, std::uint64_t seed)
      : module_(settingsForStaticServers(seed)), randomEngine_(seed) {
    module_.handle(now_, {serverList(leafs, ServerListUpdate::Scope::initial)});
  }

  // Simulates `time` of Poisson arrivals at the target's rate, with a mean answer time of 20 ms. Each event
  // is a turn of its own; with a `batch` > 0, events within that time share a turn. Returns the CPU time of
  // the module in seconds.
  double serve(Nanos time, Nanos batch) {
    cpuSeconds_ = 0;
    const Nanos end = now_ + time;
    std::exponential_distribution<double> gap(kQueriesPerAggregatorPerS / toDouble(kSec));
    for (Nanos at = now_; (at += static_cast<Nanos>(gap(randomEngine_))) < end;) push(at, Kind::arrival);
    while (!dueEvents_.empty() && dueEvents_.top().at < end) {
      now_ = std::max(now_, dueEvents_.top().at);
      std::vector<Event> events;
      const Nanos upTo = now_ + batch;
      do {
        take(dueEvents_.top(), events);
        dueEvents_.pop();
      } while (batch > 0 && !dueEvents_.empty() && dueEvents_.top().at < upTo);
      if (batch > 0) now_ = upTo;
      if (!events.empty()) turn(events);
    }
    now_ = end;
    return cpuSeconds_;
  }

  // Starts queries that stay open, to measure the cost of a turn beside them.
  void openQueries(int queries) {
    for (int i = 0; i < queries; ++i) {
      std::vector<Event> events;
      arrival(events);
      now_ += 10 * kUs;
      turn(events);
    }
  }

  double cost(const std::vector<Event>& events, int times) {  // CPU seconds per turn
    cpuSeconds_ = 0;
    for (int i = 0; i < times; ++i) {
      now_ += 1;
      turn(events);
    }
    return cpuSeconds_ / times;
  }

  // Runs a single query: its arrival, then the ends of its parts in one turn or in a turn each. Returns CPU
  // seconds.
  double query(bool oneTurn) {
    cpuSeconds_ = 0;
    std::vector<Event> events;
    arrival(events);
    turn(events);
    events.clear();
    now_ += 20 * kMs;
    while (!dueEvents_.empty()) {
      take(dueEvents_.top(), events);
      dueEvents_.pop();
      if (!oneTurn && !events.empty()) {
        turn(events);
        events.clear();
      }
    }
    if (!events.empty()) turn(events);
    // Discards timers and the ends of attempts sent by the last turn, which are cancelled with the query.
    while (!dueEvents_.empty()) dueEvents_.pop();
    return cpuSeconds_;
  }

  // From now on each turn starts with the near CPU caches full of other data, as after a round of network
  // I/O. Otherwise small fleets would stay in the caches and large ones would not, and no line would fit
  // both.
  void evictCachesEachTurn() { cacheFiller_.resize(16U << 20U); }
  std::size_t sends() const { return sends_; }
  std::size_t queries() const { return static_cast<std::size_t>(queryCount_); }

 private:
  enum class Kind { arrival, end, timer };
  struct DueEvent {
    Nanos at;
    Kind kind;
    std::string part;
    int attempt;
    ServerId server;
    Nanos delay;
    bool operator<(const DueEvent& other) const { return at > other.at; }
  };

  void push(Nanos at, Kind kind) { dueEvents_.push({at, kind, {}, 0, 0, 0}); }

  void arrival(std::vector<Event>& events) {
    const auto no = ++queryCount_;
    const auto id = std::to_string(no);
    events.push_back(QueryArrived{id, no, 0, 800 * kMs, kParts, false});
    for (int s = 0; s < kParts; ++s)
      events.push_back(PartArrived{id + "." + std::to_string(s), no, s, 1.0 / kParts});
  }

  void take(const DueEvent& due, std::vector<Event>& events) {
    if (due.kind == Kind::arrival) return arrival(events);
    if (due.kind == Kind::timer) return events.push_back(TimerFired{due.attempt});
    const auto at = outstanding_.find(due.part);
    if (at == outstanding_.end() || !at->second[static_cast<std::size_t>(due.attempt)]) return;
    at->second[static_cast<std::size_t>(due.attempt)] = false;
    if (std::none_of(at->second.begin(), at->second.end(), [](bool out) { return out; }))
      outstanding_.erase(at);
    events.push_back(AttemptEnded{due.part, due.attempt, due.server, Outcome::delivered, due.delay});
  }

  void turn(const std::vector<Event>& events) {
    for (std::size_t i = 0; i < cacheFiller_.size(); i += 64) ++cacheFiller_[i];
    const double before = processCpuSeconds();
    const auto actions = module_.handle(now_, events);
    cpuSeconds_ += processCpuSeconds() - before;
    for (const auto& action : actions) {
      if (const auto* s = std::get_if<Send>(&action)) {
        ++sends_;
        auto& attempts = outstanding_[s->part];
        attempts.push_back(true);
        const auto delay = static_cast<Nanos>(answerTime_(randomEngine_));
        dueEvents_.push(
            {now_ + delay, Kind::end, s->part, static_cast<int>(attempts.size()) - 1, s->server, delay});
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        const auto at = outstanding_.find(c->part);
        if (at != outstanding_.end()) at->second[static_cast<std::size_t>(c->attempt)] = false;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        push(now_ + t->wait, Kind::timer);
      }
    }
  }

  Aggregator module_;
  std::mt19937_64 randomEngine_;
  std::gamma_distribution<double> answerTime_{4, 5.0 * static_cast<double>(kMs)};
  Nanos now_ = 1000 * kSec;
  QueryNo queryCount_ = 0;
  std::priority_queue<DueEvent> dueEvents_;
  // By part: whether each attempt is outstanding.
  std::unordered_map<std::string, std::vector<bool>> outstanding_;
  double cpuSeconds_ = 0;
  std::size_t sends_ = 0;
  std::vector<unsigned char> cacheFiller_;
};

// ---- figures by size ----

enum class FigureShape { line, square, level, none };  // none: printed, not fitted

struct Figure {
  const char* name;
  const char* unit;
  FigureShape shape;
  bool exact;  // a byte size or count, which is the same in each run
  std::map<int, std::vector<double>> valuesBySize{};
};

// Prints the fit on all sizes below the largest, its prediction and the measured value; returns whether they
// agree within kMaxRelativeError. The fit uses the median of the repetitions, which alternate between the
// sizes so that other load on the machine affects all sizes alike. A square is fitted as the line through its
// divided differences from the smallest size, whose slope is the quadratic coefficient. If not `checked`, the
// figures are printed only, and the result is true.
bool printAndCheck(const Figure& f, int largest, bool checked) {
  const auto& [first, atFirst] = *f.valuesBySize.begin();
  const double base = summarise(atFirst).median;
  std::vector<double> x, y, all;
  for (const auto& [leafs, values] : f.valuesBySize) {
    if (leafs == largest) continue;
    const double value = summarise(values).median;
    all.push_back(value);
    // Too close to the smallest size for a divided difference.
    if (f.shape == FigureShape::square && leafs < 5 * first) continue;
    x.push_back(leafs);
    y.push_back(f.shape == FigureShape::square ? (value - base) / (leafs - first) : value);
  }
  double predicted = summarise(all).median;
  char text[160];
  std::snprintf(text, sizeof text, "%.4g", predicted);
  if (f.shape == FigureShape::line) {
    const Fit fit = fitLine(x, y);
    predicted = fit.predict(largest);
    std::snprintf(text, sizeof text, "%.3g + %.3g n (r2 %.3f)", fit.intercept, fit.slope, fit.r2);
  } else if (f.shape == FigureShape::square) {
    const Fit fit = fitLine(x, y);
    predicted = base + fit.predict(largest) * (largest - first);
    const double linear = fit.intercept - fit.slope * first;
    std::snprintf(text, sizeof text, "%.3g + %.3g n + %.3g n^2 (r2 %.3f)",
                  base - linear * first - fit.slope * first * first, linear, fit.slope, fit.r2);
  }
  std::printf("| %s%s%s |", f.name, *f.unit ? ", " : "", f.unit);
  for (const auto& [leafs, values] : f.valuesBySize) {
    const auto r = summarise(values);
    std::printf(" %.3g (%.3g-%.3g) |", r.median, r.min, r.max);
  }
  if (f.shape == FigureShape::none) return std::printf(" | | |\n"), true;
  const double measured = summarise(f.valuesBySize.at(largest)).median;
  const bool understood = relativeError(predicted, measured) <= kMaxRelativeError;
  std::printf(" %s | %.4g | %.2f%s |\n", text, predicted, measured / predicted,
              !checked     ? " (shown)"
              : understood ? ""
                           : " NOT UNDERSTOOD");
  return understood || !checked;
}

// ---- one cold leaf and all its aggregators ----

// Eight leafs with two cores each hold the only shard at 60% utilisation. Two of them leave; at the same
// moment a cold leaf starts and is announced to all aggregators. `partSeconds`: mean CPU time of a part;
// `roundTripTime`: of the network.
class ColdStartSimulation {
 public:
  ColdStartSimulation(int aggregators, double partSeconds, Nanos roundTripTime, std::uint64_t seed)
      : partSeconds_(partSeconds), roundTripTime_(roundTripTime), randomEngine_(seed) {
    for (ServerId id = 1; id <= kWarmLeafs; ++id) add(id);
    ServerListUpdate list{ServerListUpdate::Scope::initial, {}};
    for (const auto& [id, node] : leafs_) list.entries.push_back(entry(id, ServerState::up, 0));
    for (int i = 0; i < aggregators; ++i) {
      auto s = settingsForStaticServers(1000 * seed + static_cast<std::uint64_t>(i));
      s.aggregators = aggregators;
      s.number = i;
      s.shards = s.cells = 1;
      instances_.emplace_back(s);
      turn(i, {list});
    }
  }

  void run() {
    serve(kLeadTime);
    coldStartedAt_ = now_;
    add(kColdLeaf);
    const ServerListUpdate update{ServerListUpdate::Scope::changes,
                                  {entry(1, ServerState::gone, 0), entry(2, ServerState::gone, 0),
                                   entry(kColdLeaf, ServerState::up, coldStartedAt_)}};
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i) turn(i, {update});
    serve(kWarmUpTime + kTailTime);
  }

  // The largest work sent to the cold leaf in any overload window, as a share of what overloads a leaf with
  // so many `cores`.
  double worstWindowRatio(double cores) const {
    double most = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < sends_.size() && sends_[first] - coldStartedAt_ < kWarmUpTime;
         ++first) {
      while (last < sends_.size() && sends_[last] < sends_[first] + kOverloadWindow) ++last;
      most = std::max(most, toDouble(last - first) * partSeconds_ / (4 * cores * warmth(sends_[first]) * 2));
    }
    return most;
  }
  double callsWhileCold() const {
    return toDouble(std::count_if(sends_.begin(), sends_.end(),
                                  [&](Nanos at) { return at - coldStartedAt_ < kWarmUpTime; }));
  }
  // Shares used while cold of the leaf's capacity and of its slow-start limit; and, once it is warm, its
  // calls over those of a warm leaf.
  double capacityUsed() const { return callsWhileCold() * partSeconds_ / (kCores * kMeanWarmth * 17); }
  double limitUsed() const { return capacityUsed() / 4; }
  double callsOnceWarm() const {
    return toDouble(std::count_if(sends_.begin(), sends_.end(),
                                  [&](Nanos at) { return at - coldStartedAt_ >= kWarmUpTime + kSec; })) /
           std::max(1.0, meanWarmCalls_);
  }
  double callingAggregators() const { return toDouble(callsByAggregator_.size()); }
  double firstCallAfterSeconds() const {
    return sends_.empty() ? -1 : toDouble(sends_.front() - coldStartedAt_) / toDouble(kSec);
  }

 private:
  static constexpr ServerId kWarmLeafs = 8;  // before two of them leave
  static constexpr ServerId kColdLeaf = 99;
  static constexpr Nanos kLeadTime = 3 * kSec;  // simulated before the cold leaf starts
  static constexpr Nanos kWarmUpTime = 17 * kSec;
  static constexpr Nanos kTailTime = 3 * kSec;  // simulated after the warm-up
  static constexpr Nanos kOverloadWindow = 2 * kSec;
  static constexpr double kCores = 2;
  static constexpr double kUtilisation = 0.6;
  static constexpr double kMeanWarmth = (0.22 + 1) / 2;  // over the warm-up, which starts at 0.22
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
    bool finished = false;
  };
  enum class Kind { query, arrivesAtLeaf, done, responseArrives, timer };
  struct DueEvent {
    Nanos at;
    Kind kind;
    std::size_t call;
    bool operator<(const DueEvent& other) const { return at > other.at; }
  };

  static ServerEntry entry(ServerId id, ServerState state, Nanos startedAt) {
    ServerEntry e;
    e.server = id;
    e.state = state;
    e.startedAt = startedAt;
    return e;
  }
  double warmth(Nanos at) const {
    return std::min(1.0, 0.22 + 0.78 * toDouble(at - coldStartedAt_) / toDouble(kWarmUpTime));
  }
  void add(ServerId id) { leafs_[id] = {}; }

  void serve(Nanos time) {
    const Nanos end = now_ + time;
    std::exponential_distribution<double> gap(toDouble(kWarmLeafs) * kUtilisation * kCores / partSeconds_ /
                                              toDouble(kSec));
    Nanos next = now_ + static_cast<Nanos>(gap(randomEngine_));
    for (;;) {
      const Nanos at = dueEvents_.empty() ? end : std::min(end, dueEvents_.top().at);
      if (next < at) {
        now_ = next;
        next += static_cast<Nanos>(gap(randomEngine_));
        sendQuery();
        continue;
      }
      if (at >= end) break;
      const DueEvent due = dueEvents_.top();
      dueEvents_.pop();
      now_ = std::max(now_, due.at);
      if (due.kind == Kind::timer) {
        turn(static_cast<int>(due.call), {TimerFired{0}});
      } else {
        advanceCall(due);
      }
    }
    now_ = end;
  }

  void sendQuery() {
    const int i = static_cast<int>(randomEngine_() % instances_.size());
    const auto no = ++queryCount_;
    const auto id = std::to_string(no);
    turn(i, {QueryArrived{id, no, 0, 800 * kMs, 1, false}, PartArrived{"p" + id, no, 0, 1.0}});
  }

  void advanceCall(const DueEvent& due) {
    Call& call = calls_[due.call];
    Leaf& leaf = leafs_[call.leaf];
    if (due.kind == Kind::arrivesAtLeaf) {
      leaf.waiting.push_back(due.call);
      startWaitingCalls(call.leaf);
    } else if (due.kind == Kind::done) {
      --leaf.busy;
      dueEvents_.push({now_ + roundTripTime_ / 2, Kind::responseArrives, due.call});
      startWaitingCalls(call.leaf);
    } else if (!call.finished) {
      call.finished = true;
      turn(call.instance, {AttemptEnded{"p" + std::to_string(call.query), call.attempt, call.leaf,
                                        Outcome::delivered, now_ - call.sentAt}});
    }
  }
  void startWaitingCalls(ServerId id) {
    Leaf& leaf = leafs_[id];
    while (leaf.busy < kCores && !leaf.waiting.empty()) {
      const auto call = leaf.waiting.front();
      leaf.waiting.pop_front();
      if (calls_[call].finished) continue;  // cancelled while it waited
      ++leaf.busy;
      const double speed = id == kColdLeaf ? warmth(now_) : 1;
      const double time = std::gamma_distribution<double>(4, partSeconds_ / 4)(randomEngine_) / speed;
      dueEvents_.push({now_ + static_cast<Nanos>(time * toDouble(kSec)), Kind::done, call});
    }
  }

  void turn(int i, const std::vector<Event>& events) {
    for (const auto& action : instances_[static_cast<std::size_t>(i)].handle(now_, events)) {
      if (const auto* s = std::get_if<Send>(&action)) {
        const auto query = static_cast<QueryNo>(std::stoll(s->part.substr(1)));
        auto& attempts = outstanding_[query];
        calls_.push_back({i, query, static_cast<int>(attempts.size()), s->server, now_});
        attempts.push_back(calls_.size() - 1);
        dueEvents_.push({now_ + roundTripTime_ / 2, Kind::arrivesAtLeaf, calls_.size() - 1});
        if (s->server == kColdLeaf) {
          sends_.push_back(now_);
          callsByAggregator_[i] += 1;
        }
        if (s->server != kColdLeaf && coldStartedAt_ > 0 && now_ - coldStartedAt_ >= kWarmUpTime + kSec)
          meanWarmCalls_ += 1.0 / (kWarmLeafs - 2);
      } else if (const auto* c = std::get_if<Cancel>(&action)) {
        const auto query = static_cast<QueryNo>(std::stoll(c->part.substr(1)));
        calls_[outstanding_.at(query)[static_cast<std::size_t>(c->attempt)]].finished = true;
      } else if (const auto* t = std::get_if<SetTimer>(&action)) {
        dueEvents_.push({now_ + t->wait, Kind::timer, static_cast<std::size_t>(i)});
      }
    }
  }

  double partSeconds_;
  Nanos roundTripTime_;
  std::mt19937_64 randomEngine_;
  std::deque<Aggregator> instances_;
  std::map<ServerId, Leaf> leafs_;
  std::deque<Call> calls_;
  std::unordered_map<QueryNo, std::vector<std::size_t>> outstanding_;
  std::priority_queue<DueEvent> dueEvents_;
  Nanos now_ = 1000 * kSec, coldStartedAt_ = 0;
  QueryNo queryCount_ = 0;
  std::vector<Nanos> sends_;
  std::map<int, int> callsByAggregator_;
  double meanWarmCalls_ = 0;
};

}  // namespace

int measureModule(bool quick) {
  const std::vector<int> sizes = quick ? std::vector{200, 500, 1000, 1500, 2000}
                                       : std::vector{200, 500, 1000, 2000, 2600, 3300, 5000, kLeafs};
  const int largest = sizes.back();
  const int repeats = quick ? 2 : 5;
  enum { idle, ten, thirty, batched, single, share, shareBatched, change, full, initial, bytes, used, sends };
  std::vector<Figure> figures{
      {"turn, nothing open", "us", FigureShape::line, false},
      {"turn, 10 queries open", "us", FigureShape::line, false},
      {"turn, 30 queries open", "us", FigureShape::line, false},
      {"query of 94 parts, ends in one turn", "us", FigureShape::square, false},
      {"query of 94 parts, each end a turn", "us", FigureShape::line, false},
      {"120 queries/s, each event a turn", "% of a core", FigureShape::none, false},
      {"120 queries/s, turns of 1 ms", "% of a core", FigureShape::none, false},
      {"one change of the list, 10 open", "us", FigureShape::line, false},
      {"full list, 10 open", "us", FigureShape::line, false},
      {"first list", "us", FigureShape::line, false},
      {"memory by a leaf after the first list", "B", FigureShape::level, true},
      {"memory of the module and its traffic after 1 s", "MB", FigureShape::line, true},
      {"sends a query", "", FigureShape::level, true},
  };
  for (int repeat = 0; repeat < repeats; ++repeat) {
    for (const int leafs : sizes) {
      const auto add = [&](int which, double value) {
        figures[static_cast<std::size_t>(which)].valuesBySize[leafs].push_back(value);
      };
      const auto seed = static_cast<std::uint64_t>(repeat + 1);
      {
        malloc_trim(0);
        const auto list = std::vector<Event>{serverList(leafs, ServerListUpdate::Scope::initial)};
        auto one = std::make_unique<Aggregator>(settingsForStaticServers(seed));
        const double held = heapBytes(), began = processCpuSeconds();
        one->handle(1000 * kSec, list);
        add(initial, 1e6 * (processCpuSeconds() - began));
        add(bytes, (heapBytes() - held) / leafs);
      }
      const double held = heapBytes();
      InstanceSimulation simulation(leafs, seed);
      simulation.serve(1 * kSec, 1 * kMs);  // the module has learnt its response times by then
      add(used, (heapBytes() - held) / 1e6);
      const auto queriesBefore = simulation.queries(), sendsBefore = simulation.sends();
      // Normalised to the target rate, whatever number of random arrivals there were.
      const auto shareOf = [&](Nanos batch) {
        const auto before = simulation.queries();
        const double spent = simulation.serve(leafs > 4000 ? kSec / 5 : kSec / 2, batch);
        return 100 * spent * kQueriesPerAggregatorPerS / toDouble(simulation.queries() - before);
      };
      add(share, shareOf(0));
      add(shareBatched, shareOf(1 * kMs));
      add(sends, toDouble(simulation.sends() - sendsBefore) / toDouble(simulation.queries() - queriesBefore));
      InstanceSimulation isolated(leafs, seed);
      for (int i = 0; i < leafs / kParts + 20; ++i) isolated.query(true);
      double one = 0, each = 0;
      constexpr int kTimes = 3;
      isolated.evictCachesEachTurn();
      for (int i = 0; i < kTimes; ++i) {
        one += isolated.query(true) / kTimes;
        each += isolated.query(false) / kTimes;
      }
      add(batched, 1e6 * one);
      add(single, 1e6 * each);
      const std::vector<Event> timer{TimerFired{0}};
      const int turns = 20;
      add(idle, 1e6 * isolated.cost(timer, turns));
      isolated.openQueries(10);
      add(ten, 1e6 * isolated.cost(timer, turns));
      add(change,
          1e6 * isolated.cost({ServerListUpdate{ServerListUpdate::Scope::changes, {leaf(leafs / 2)}}}, 10));
      add(full, 1e6 * isolated.cost({serverList(leafs, ServerListUpdate::Scope::full)}, 5));
      isolated.openQueries(20);
      add(thirty, 1e6 * isolated.cost(timer, turns));
    }
  }
  std::printf("| figure |");
  for (const int leafs : sizes) std::printf(" %d leafs |", leafs);
  std::printf(" fit below the largest | predicted | came/predicted |\n| --- |");
  for (std::size_t i = 0; i < sizes.size() + 3; ++i) std::printf(" ---: |");
  std::printf("\n");
  bool understood = true;
  for (const auto& f : figures)
    if (!f.valuesBySize.empty()) {
      const bool good = printAndCheck(f, largest, f.exact || !quick);
      understood = understood && good;
    }
  return understood ? 0 : 1;
}

// The limit: kFairShare 0.6 x overloadMultiple 4 x warmth x overloadWindow 2 s, divided by the number of
// aggregators; unused shares accumulate over up to three windows. If a share is less than one part, the
// window is stretched.
int measureColdLeafShares(bool quick) {
  struct Load {
    double partSeconds;  // mean CPU time of a part
    Nanos roundTripTime;
  };
  // Parts of today's size; parts of the size at which 2,279 per second use 60% of two cores; the same with a
  // network round trip, which the module counts as work.
  const std::vector<Load> loads{{0.020, 0}, {0.000527, 0}, {0.000527, 1 * kMs}};
  const std::vector<int> fleets = quick ? std::vector{30, 300} : std::vector{30, 100, 300, 1000, 2000};
  std::printf(
      "| part's work, way | aggregators | share when coldest, calls in 2 s (in 6 s) | below one call in the "
      "saved-up windows from | calls while cold | by so many | first after | worst window / ceiling of two "
      "cores | of one core | ceiling used | capacity used | calls once warm / a warm one's |\n");
  std::printf("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  bool staysBelowLimit = true;
  for (const auto& load : loads)
    for (const int fleet : fleets) {
      const double part = load.partSeconds + toDouble(load.roundTripTime) / toDouble(kSec),
                   all = 0.6 * 4 * 0.22 * 2 / part;
      ColdStartSimulation simulation(fleet, load.partSeconds, load.roundTripTime, 1);
      simulation.run();
      staysBelowLimit = staysBelowLimit && simulation.worstWindowRatio(2) < 1;
      std::printf(
          "| %.3g ms, %.0f ms | %d | %.3g (%.3g) | %.0f | %.0f | %.0f | %.2f s | %.3f | %.3f | %.3f | %.3f | "
          "%.2f |\n",
          1e3 * load.partSeconds, 1e-6 * toDouble(load.roundTripTime), fleet, all / fleet,
          std::clamp(std::sqrt(fleet) / 3, 1.0, 3.0) * all / fleet, 3 * all, simulation.callsWhileCold(),
          simulation.callingAggregators(), simulation.firstCallAfterSeconds(), simulation.worstWindowRatio(2),
          simulation.worstWindowRatio(1), simulation.limitUsed(), simulation.capacityUsed(),
          simulation.callsOnceWarm());
    }
  return staysBelowLimit ? 0 : 1;
}

int runModuleTrafficForProfiler(int leafs) {
  InstanceSimulation simulation(leafs, 1);
  simulation.serve(300 * kMs, 0);
  std::printf("%d leafs: %zu queries, %zu sends\n", leafs, simulation.queries(), simulation.sends());
  return 0;
}

void printTarget() {
  const double leafParts = kQueriesPerS * kParts / kLeafs,
               partsPerLeafFromEachAggregator = leafParts / kAggregators;
  std::printf(
      "240,000 queries/s over 2,000: %.0f/s each, %.0f parts/s each, %.2f million parts/s, %.0f/s a leaf, "
      "%.2f/s "
      "from each aggregator\n",
      kQueriesPerAggregatorPerS, kPartsPerAggregatorPerS, 1e-6 * kQueriesPerS * kParts, leafParts,
      partsPerLeafFromEachAggregator);
  const double part = 1 - std::pow(0.99, 1.0 / kParts);
  std::printf("late by part, 1 in 100 by query: %.3e (1 in %.0f)\n", part, 1 / part);
  // With random hedging of a share of the parts and independent replicas, a hedged part is late only if both
  // replicas are: p (1 - h + h p) = part.
  // Probability of one replica being late at which the query target is just met.
  const auto maxLateProbability = [&](double hedged) {
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
      1 / part, 1 / maxLateProbability(0.1), 1 / maxLateProbability(1));
  std::printf(
      "\n| leafs | parts/s to a leaf from each | touched in 24 s | descriptors | slots for leafs | busy at "
      "once | hit rate | new/s each | standing at a leaf | new/s at a leaf | subset: leafs of a cell | held "
      "by each, at "
      "a leaf |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  for (const int leafs : {200, 500, 1000, 2000, 3300, 5000, kLeafs})
    for (const std::size_t sockets : {std::size_t{256}, std::size_t{1024}}) {
      const ConnectionModel m(leafs, sockets);
      const double dials = m.dialsPerPart() * kPartsPerAggregatorPerS;
      std::printf("| %d | %.2f | %.0f | %zu | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | ", leafs,
                  kPartsPerAggregatorPerS / leafs, m.activeLeafs, sockets, m.connectionLimit,
                  m.busyConnections, m.idleHitRate, dials, kAggregators * m.steadyConnections / leafs,
                  kAggregators * dials / leafs);
      const int leafsPerCell = m.maxSubsetPerCell();
      leafsPerCell == 0
          ? std::printf("none fits | |\n")
          : std::printf("%d | %.0f, %.0f |\n", leafsPerCell, m.connectionsFor(leafsPerCell * kParts),
                        kAggregators * toDouble(leafsPerCell) * kParts / leafs);
    }
  std::printf("\nchanges: 7,800 a day, one in %.2f s; an hour missed: %.0f\n", 86400 / 7800.0, 7800 / 24.0);
  std::printf(
      "a zone of six: %.0f aggregators, %.0f leafs; an all-restart in an hour: %.2f aggregators/s, %.2f "
      "leafs/s\n",
      kAggregators / toDouble(kZones), kLeafs / toDouble(kZones), kAggregators / 3600.0, kLeafs / 3600.0);
  std::printf("1,600 restarts a day: one in %.0f s; 40 machine failures: one in %.0f min\n", 86400 / 1600.0,
              1440 / 40.0);
}

}  // namespace topazweir::lab::scale
