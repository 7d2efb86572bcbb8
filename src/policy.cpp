// Every decision of the aggregator. The mechanism is OPEN (optimal endorsement): each part goes to the
// replica of its shard with the lowest last delay; a replica with a part still pending is set aside with a
// guessed delay; within a small budget a safe part is paired at once with a random other replica, and the
// first answer wins. docs/design.md says what was added and when each addition acts.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "topazweir/aggregator.hpp"

namespace topazweir {

namespace {

// ---- tuning: shares and ratios, without unit unless stated ----

constexpr double kTwinShare = 0.10, kCopyShare = 0.18;  // of parts: the design's tenth; all under a fifth
constexpr double kCopyBudget = 0.5;    // of a told budget: the rest is kept for parts that have failed
constexpr double kResendShare = 0.15;  // time-outs per part: for a few sick servers, no storm when all are
constexpr double kRepeatShare = 0.2;   // of parts: repeats of what was turned away, in a large fleet
constexpr double kTrialShare = 0.03;   // of parts: sent to benched servers, to learn whether they are back
constexpr double kTokenCap = 4;        // copies that may be saved up: a burst of them must stay small
constexpr double kEpsilon = 1;         // ns above the round's largest delay, as in the paper
constexpr double kAsideRatio = 1.5;    // a set-aside replica is taken when all others look this much slower
constexpr double kOwnQueue = 0.5, kOwnAtDoor = 1.0;  // parts' work an own part out adds: ranking (each), door
constexpr double kSeenQueue = 0.5;  // the same where peers tell what they send: parts share a server's cores
constexpr double kCorrect = 0.5;    // of the error in a reckoned queue that an own answer sets right
constexpr double kTypical = 2.0;    // a part's usual delay over that of the quickest tenth, at most
constexpr double kPace = 0.04, kPaceMost = 5, kLagStep = 0.15;  // steps and limit of common pace, zones' lags
// In shortest aims: what a server or a zone has shown is forgotten, unheard peers count as cut off, and a
// reckoned queue is no longer, since more would be as late.
constexpr double kForgetAims = 4, kHeardAims = 1, kLongestQueue = 2;
constexpr std::size_t kTellMost = 120;  // entries a message, two bytes each
constexpr double kCallCost = 3;         // a new call's work, also paid by all that wait behind it
constexpr double kZoneWeight = 10;      // says how often a crossing's price counts in the ranking
constexpr double kMemoryAims = 1.0;     // a last delay has lost most of its say after so many class aims
// A part is late past so many 90th percentiles and medians of delays, but by this share of its aim.
constexpr double kLateHigh = 1.3, kLateMedian = 2.0, kLateAim = 0.4;
constexpr double kSilentLates = 1.6;  // a server without a reply for so many late times is benched
constexpr double kBenchAims = 1.0, kBenchAimsMost = 6.0;  // first and longest bench, in shortest aims
constexpr double kCloseAims = 0.5;                        // longest time without even a trial, in these
// Of the aim: refused beyond where none of the refused come again, and where all do; until so many have.
constexpr double kDoor = 1.3, kDoorAdvised = 0.6, kComeBacks = 8;
// The door's correction: so that this share took no longer; largest step; share of the aim that teaches.
constexpr double kInTime = 0.75, kBiasStep = 0.1, kEdge = 0.2;
// Of queries, refused by chance when all were late; up to so many aggregators each knows enough for itself.
constexpr double kShed = 0.9, kFewAggregators = 4, kJamStep = 0.5;
constexpr double kCalm = 1.25, kJammed = 2.0;  // median over the calmest: copies cost nobody, or feed queues
constexpr double kBaseDrift = 0.02;            // of the unqueued delay is forgotten in an aim: speeds change
constexpr double kFairShare = 0.6;  // part of this aggregator's share of a cold server's limit that is used
// Of the lowest tenth of full sets of samples: two or three times such a tenth's own error below it, for
// delays that spread by half of their mean. Less than that is chance.
constexpr double kLeastWork = 0.7;
// Windows of the tipping rule for which shares are saved up: by the root of the fleet's size, at most.
constexpr double kSavedByRoot = 1.0 / 3, kSavedWindows = 3;
// A full server's window: what is left of the own parts that it held, and what each answer adds, in parts.
constexpr double kCutBack = 0.8, kOpenUp = 2;
constexpr double kWeightSlack = 5e-5;  // rounding of part weights
constexpr double kWide = 0.25;  // a query of more parts than this share of the servers could kill too many
constexpr std::size_t kNoChance = 2;  // errors in a row, servers dead under a query: a single one is chance
constexpr double kTogether = 0.5;     // of the unqueued delay: failures closer are one, of one connection
constexpr double kTooSoon = 0.05;     // of the unqueued delay: what breaks sooner no part has broken
constexpr std::size_t kSamples = 96, kFewSamples = 8;  // delays kept for the percentiles; fewer say nothing
constexpr double kUnknownWork = 0.1;  // work of a part before any was seen, as share of the shortest aim
constexpr int kVotes = 8;             // queries that agree on the time of a first try, until it is firm
constexpr double kHurry = 0.8;        // a client with less of the aim left may be in a hurry
constexpr Nanos kLastTicks = 3, kDeathDeadlines = 2;  // before the aim, to get there; that deaths go on for
constexpr char kTellSends = 1, kTellSilent = 2;       // kinds of messages
constexpr double kSlow = 2.5, kDoubts = 1.5;  // slowness told to peers like silence; peers to agree on it
constexpr double kInfinite = std::numeric_limits<double>::infinity();

constexpr double num(auto number) { return static_cast<double>(number); }
constexpr std::size_t idx(std::int64_t i) { return static_cast<std::size_t>(i); }
constexpr Nanos nanos(double time) { return static_cast<Nanos>(time); }

struct Memory {            // of one shard at one server
  double delay = -1;       // last delay; below 0: unheard
  Nanos at = 0;            // when it was heard
  double ownThen = 0;      // parts known to be at the server when that part was sent
  int pending = 0;         // parts out for this shard
  Nanos pendingSince = 0;  // the last of them was sent then
};

struct Fading {  // a measured value that is forgotten with time
  double value = 0;
  Nanos at = 0;
};

struct Health {                             // what was learned of a server process
  Nanos lastReply = 0;                      // 0: unheard
  Nanos lastRepliedSent = 0;                // send time of the youngest attempt that it has answered
  Nanos waited = 0;                         // for parts given up on since it last said something
  Fading slowness{1};                       // smoothed delay over what was to be expected of any server
  std::size_t failures = 0;                 // in a row
  Nanos failedAt = 0;                       // the last of them
  double bench = 0;                         // length of the last bench; 0: in good standing
  Nanos benchedUntil = 0, closedUntil = 0;  // closed: it failed at once, nothing goes to it before then
  double window = 0;                        // own parts that it bears at once, since it was full
  Nanos cutAt = -1;                         // when it was; below 0: never
  Nanos busyUntil = 0;                      // when all parts known to have been sent to it should be done
  Fading doubts;                            // peers that have found it silent
};

struct Server : Health {
  ServerId id = 0;
  unsigned code = 0;  // two bytes for messages: a mix-up costs a little order in the ranking, no more
  int zone = 0, cell = 0;
  ServerState state = ServerState::up;
  Nanos startedAt = 0;
  std::uint64_t tieBreak = 0;  // drawn here: instances must not all prefer the same server
  std::vector<Memory> memory;  // by shard
  std::multiset<Nanos> outs;   // send times of own attempts out
  Nanos waitsSince = 0;        // it has parts out and has said nothing since then
  std::deque<Nanos> sends;     // within the tipping window
  std::int64_t callTurn = -1;  // turn of its open call
  int callParts = 0;
  double out() const { return num(outs.size()); }
  bool atLimit() const { return cutAt >= 0 && out() + 1 > std::max(1.0, window); }
  Nanos mute(Nanos now) const { return waited + (outs.empty() ? 0 : now - waitsSince); }
};

struct Pick {
  Server* server = nullptr;
  double delay = kInfinite;
};

struct Attempt {
  Server* server;
  Nanos sentAt;
  double ownThen;
  bool out = true;
  bool mayHaveRun = true;  // until proven otherwise
  bool rejected = false;
};

struct Part {
  RequestId id;
  int shard = 0, step = 1;
  double weight = 0;
  bool wanted = false, delivered = false;  // not wanted: a spare
  std::vector<Attempt> attempts;
  long outs() const {
    return std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  bool isOut() const { return outs() > 0; }
  bool at(const Server& r, bool stillOut) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.server == &r && (a.out || !stillOut); });
  }
};

struct Query {
  RequestId id;
  const QueryClass* cls = nullptr;
  Nanos arrived = 0;
  Nanos due = 0;      // the client's time is up
  Nanos aimAt = 0;    // an answer by then has the full worth, as the client sees it over all its tries
  double hoped = 0;   // ns, what the door expected of it
  double target = 1;  // weight of parts that it goes for
  int step = 1;
  bool planned = false, repeat = false, firstWhole = false;  // whole: the first step's answer was complete
  bool wary = false, held = false;    // a single part is tried first; the others wait for it
  bool proven = false;                // a server has survived a part of it
  std::vector<const Server*> lost{};  // servers whose connection broke under it
  std::vector<Part> parts{};
  bool tried() const {
    return std::any_of(parts.begin(), parts.end(), [](const Part& p) { return !p.attempts.empty(); });
  }
  bool anyOut() const {
    return std::any_of(parts.begin(), parts.end(), [](const Part& p) { return p.isOut(); });
  }
  double got(int ofStep) const {
    double sum = 0;
    for (const auto& p : parts) sum += p.step == ofStep && p.delivered ? p.weight : 0;
    return sum;
  }
};

}  // namespace

struct Aggregator::Impl {
  explicit Impl(Settings given) : set(std::move(given)), fault(findFault(set)), random(set.seed) {
    if (fault) return;
    shortestAim = set.classes.front().aim;
    for (const auto& c : set.classes) shortestAim = std::min(shortestAim, c.aim);
    holders.resize(idx(set.shards));
    rounds.resize(idx(set.shards), -1);
    waiting.resize(idx(set.shards), 0);
    tryTime.resize(set.classes.size());
    for (const auto& c : set.classes) longestDeadline = std::max(longestDeadline, c.deadline);
    for (const auto& c : set.classes) leastLate = std::max(leastLate, c.leastLate);
  }

  Settings set;
  std::optional<std::string> fault;
  std::mt19937_64 random;
  Nanos now = 0;
  std::int64_t turn = 0;
  Nanos shortestAim = 0, longestDeadline = 0, leastLate = 0;  // over all classes
  std::vector<Action> actions;

  Nanos lastHeard = -1;                             // from any peer; below 0: never
  std::map<int, Fading> lags;                       // by zone
  double pace = 1;                                  // of all servers: delays over what their queues explain
  std::vector<Server*> justSent, lastSent, silent;  // for the peers: sent parts this turn, last; found so
  std::unordered_map<unsigned, Server*> byCode;
  std::map<ServerId, Server> servers;  // every server ever named by a list
  std::vector<std::vector<Server*>> holders;
  std::vector<double> rounds;   // by shard: largest delay heard since the last pick; below 0: none
  std::vector<double> waiting;  // by shard: parts of older queries that have found no server in this turn
  Nanos askAt = -1;             // next call to the list; below 0: none planned
  double askWait = 0;           // ns, grows with failures

  std::map<QueryNo, Query> queries;                // open ones
  std::unordered_map<RequestId, QueryNo> queryOf;  // by the id of the query or of a part
  std::deque<Nanos> taken, extras;                 // within the budget's window
  std::vector<std::pair<Nanos, int>> tryTime;      // by class, of a client's first try, and votes for it
  Nanos lastDeath = -1;                            // a connection broke
  double twinTokens = 1, copyTokens = 1, resendTokens = 1, trialTokens = 1, repeatTokens = kTokenCap;

  std::deque<double> samples;  // delays of the latest delivered parts
  double low = 0, median = 0, high = 0;
  double unqueued = 0;  // delay of a part that meets no queue
  double fullLow = 0;   // the same, but a minimum only of full sets of samples
  double calm = 0;      // median delay in the calmest time
  Nanos unqueuedAt = 0, timerAt = -1;
  std::size_t refusals = 0, repeats = 0;  // given, and come in
  Fading jam;       // how late the latest queries were: 0 all in good time, 1 all past their aim
  double bias = 1;  // time taken over what the door expected, at most so in kInTime of the queries

  double faded(const Fading& f, double usual, double aims = kForgetAims) const {
    return usual + (f.value - usual) * std::exp(-num(now - f.at) / (aims * num(shortestAim)));
  }
  double unit() { return num(random() >> 11) * 0x1.0p-53; }
  void log(std::string text) { actions.push_back(Log{std::move(text)}); }

  // ---- the list of servers ----

  void take(const ListNews& told) {
    if (told.scope == ListNews::Scope::failed) return planAsk(true);
    if (told.scope == ListNews::Scope::initial) planAsk(false);
    askWait = 0;
    if (told.scope != ListNews::Scope::changes)  // what a full list does not name has left
      for (auto& [id, server] : servers) server.state = ServerState::gone;
    for (const auto& entry : told.entries) takeEntry(entry);
    forgetGone();
    std::vector<std::vector<Server*>> members(idx(set.cells));
    for (auto& [id, server] : servers)
      if (server.state == ServerState::up && server.cell >= 0 && server.cell < set.cells)
        members[idx(server.cell)].push_back(&server);
    for (int s = 0; s < set.shards; ++s) {
      auto& list = holders[idx(s)];
      list.clear();
      for (int j = 0; j < std::min(set.reach, set.cells); ++j)
        for (auto* server : members[idx((s + j) % set.cells)]) list.push_back(server);
    }
  }

  // Replaced day after day, servers must not fill the memory: one that has gone goes once nothing names it.
  void forgetGone() {
    std::set<const Server*> named(silent.begin(), silent.end());
    for (const auto* list : {&justSent, &lastSent}) named.insert(list->begin(), list->end());
    for (const auto& [number, q] : queries) {
      named.insert(q.lost.begin(), q.lost.end());
      for (const auto& part : q.parts)
        for (const auto& a : part.attempts) named.insert(a.server);
    }
    std::erase_if(byCode, [&](const auto& e) { return gone(*e.second) && named.count(e.second) == 0; });
    std::erase_if(servers, [&](const auto& e) { return gone(e.second) && named.count(&e.second) == 0; });
  }
  static bool gone(const Server& r) { return r.state == ServerState::gone; }

  void takeEntry(const ServerEntry& entry) {
    auto [at, fresh] = servers.try_emplace(entry.server);
    Server& server = at->second;
    // A start in the future is absurd: it counts as a start now, the safest reading.
    const Nanos started = std::min(entry.startedAt, now);
    if (fresh) {
      server.id = entry.server;
      server.tieBreak = random();
      server.memory.resize(idx(set.shards));
      server.code = static_cast<unsigned>((server.id * 0x9E3779B97F4A7C15ULL) >> 48);
      byCode[server.code] = &server;
    } else if (started > server.startedAt) {  // a new process: what was learned of the old one is void
      for (auto& memory : server.memory) memory.delay = -1;
      static_cast<Health&>(server) = Health{};
    }
    std::tie(server.zone, server.cell, server.state) = std::tie(entry.zone, entry.cell, entry.state);
    server.startedAt = std::max(server.startedAt, started);
  }

  // Asks again soon after a failure, then ever more slowly, each instance at times of its own: restarted
  // together, they would jam the list. Always well within the time after which news counts as told.
  void planAsk(bool failed) {
    if (!set.listOnRequest) return;
    askAt = now;
    if (!failed) return;
    const double most = num(set.askWithin > 0 ? set.askWithin : shortestAim * 4) / 2;
    askWait = std::min(most, askWait > 0 ? askWait * 2 : num(shortestAim) / 2);
    askAt += nanos(askWait * (0.5 + unit() / 2));
  }

  // ---- what peers tell ----

  // Where messages are allowed each tells which servers it has just sent parts: without, all herd onto the
  // same replicas unseen. Told a turn later, without what failed at once: that is no work for anyone. When
  // nothing is heard any more, own parts stand for the others' again.
  void tellPeers() {
    const char told = static_cast<char>(kTellSilent + set.zone);  // another zone may have another way there
    tell(lastSent, kTellSends), tell(silent, told);
    lastSent = std::exchange(justSent, {}), silent.clear();
  }

  void tell(const std::vector<Server*>& which, char kind) {
    std::string bytes;
    for (const auto* r : which) bytes += {static_cast<char>(r->code >> 8), static_cast<char>(r->code & 255)};
    for (std::size_t i = 0; i < bytes.size() && set.messages; i += 2 * kTellMost)
      actions.push_back(Tell{bytes.substr(i, 2 * kTellMost) + kind, std::nullopt});
  }

  void take(const PeerMessage& e) {
    if (e.bytes.size() % 2 != 1) return;
    lastHeard = now;
    for (std::size_t i = 0; i + 1 < e.bytes.size(); i += 2) {
      const auto byte = [&](std::size_t k) { return static_cast<unsigned char>(e.bytes[k]); };
      const auto at = byCode.find(256U * byte(i) + byte(i + 1));
      if (at == byCode.end()) continue;
      Server& r = *at->second;
      if (e.bytes.back() == kTellSends) queue(r);
      if (e.bytes.back() == kTellSilent + set.zone) r.doubts = {faded(r.doubts, 0) + 1, now};
    }
  }

  // Silent or very slow for several peers and not heard lately: tried last. Each aggregator would find out on
  // a query of its own otherwise. Own replies outrank it, since a server may be bad for others alone.
  bool doubted(const Server& r) const {
    return faded(r.doubts, 0) > kDoubts && num(now - r.lastReply) > num(shortestAim);
  }

  bool hearing() const { return lastHeard >= 0 && num(now - lastHeard) < kHeardAims * num(shortestAim); }

  // Parts known to be at a server: own ones out, or where peers are heard the queue that all have made, which
  // drains by itself and is set right by each own answer.
  double parts(const Server& r) const {
    return hearing() ? num(std::max<Nanos>(0, r.busyUntil - now)) / (kSeenQueue * usualWork())
                     : r.out() / set.parallel;
  }
  double queued(double ahead) const { return (1 + kSeenQueue * ahead) * usualWork(); }
  double reckoned(const Attempt& a) const { return queued(a.ownThen) + lagNow(*a.server); }

  // What all servers of a zone take longer than those of the nearest: a slow way there, which is no fault of
  // a server and adds to each part alike. Guards against links, partitions and far zones; less than a part's
  // work is chance. May blame a zone for its sick servers where most are, for a while.
  double lagNow(const Server& r) const {
    double own = 0, least = kInfinite;
    for (const auto& [zone, lag] : lags) {
      least = std::min(least, faded(lag, 0));
      if (zone == r.zone) own = faded(lag, 0);
    }
    return own - least > work() ? own - least : 0;
  }
  void learnLag(const Server& r, double excess) {
    if (!hearing()) return;
    const double lag = faded(lags[r.zone], 0), step = kLagStep * std::max(work(), lag);  // towards the median
    lags[r.zone] = {std::max(0.0, lag + (excess > lag ? step : -step)), now};
  }
  void correct(const Attempt& a, double delay) {
    const double early = reckoned(a) - delay;  // answered sooner than reckoned
    a.server->busyUntil = std::max(now, a.server->busyUntil - nanos(kCorrect * early));
  }
  void queue(Server& r, int more = 1) {
    const Nanos work = nanos(more * kSeenQueue * usualWork() * faded(r.slowness, 1));
    r.busyUntil = std::min(std::max(r.busyUntil, now) + work, now + nanos(kLongestQueue * num(shortestAim)));
  }

  // ---- delays and ranking ----

  void sample(double delay) {
    samples.push_back(delay);
    if (samples.size() > kSamples) samples.pop_front();
    std::vector<double> sorted(samples.begin(), samples.end());
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&](std::size_t tenths) { return sorted[samples.size() * tenths / 10]; };
    low = at(1), median = at(5), high = at(9);
    if (!known()) return;
    const double drift = kBaseDrift * num(now - unqueuedAt) / num(shortestAim);
    unqueued = unqueued > 0 ? std::min(low, unqueued * (1 + drift)) : low;
    calm = calm > 0 ? std::min(median, calm * (1 + drift)) : median;
    // The tenth of the first few is their least: a minimum with that stays low by chance for long.
    fullLow = samples.size() == kSamples && fullLow > 0 ? std::min(low, fullLow * (1 + drift)) : low;
    unqueuedAt = now;
  }

  // How far copies may be made: 1 when delays show no queueing, 0 in a jam.
  double relief() const {
    return known() ? std::clamp((kJammed - median / calm) / (kJammed - kCalm), 0.0, 1.0) : 1;
  }

  bool known() const { return samples.size() >= kFewSamples; }
  // Delay of a part at a server without a queue, by the pace at which all of them answer lately.
  double usualWork() const {
    if (!known()) return kUnknownWork * num(shortestAim);
    return std::min(calm, kTypical * unqueued) * faded({pace, unqueuedAt}, 1, 1);
  }
  double work() const { return known() ? unqueued : kUnknownWork * num(shortestAim); }

  double partWork(double whole) const { return std::max(whole / 2, whole - num(set.callOverhead)); }

  double lateAfter(const QueryClass& cls) const {
    const double most = kLateAim * num(cls.aim);
    const double late = known() ? std::min(most, std::max(kLateHigh * high, kLateMedian * median)) : most;
    return std::max(late, num(cls.leastLate));
  }

  double warmth(Nanos age) const {
    if (set.coldFor <= 0 || age >= set.coldFor) return 1;
    return set.coldFrom + (1 - set.coldFrom) * num(std::max<Nanos>(age, 0)) / num(set.coldFor);
  }
  bool cold(const Server& r) const { return r.startedAt > 0 && now - r.startedAt < set.coldFor; }

  double shardMean(int shard) const {
    double sum = 0, n = 0;
    for (const auto* r : holders[idx(shard)]) {
      const auto& m = r->memory[idx(shard)];
      if (m.delay >= 0) sum += m.delay, n += 1;
    }
    return n > 0 ? sum / n : -1;
  }

  // What the design ranks by: the last delay of this shard at this replica, or the guess where it is pending.
  // Added: it fades towards what the server shows lately, own parts out count as queue,
  // and the age of the oldest unanswered part is a lower bound.
  double expected(const Server& r, int shard, const QueryClass& cls, bool door = false) const {
    const auto& m = r.memory[idx(shard)];
    const double aim = num(cls.aim), mean = shardMean(shard), largest = rounds[idx(shard)];
    double general = mean >= 0 ? mean : aim / 2;
    if (r.lastReply > 0 && known()) general = (hearing() ? usualWork() : median) * faded(r.slowness, 1);
    general += lagNow(r);
    double guess = general, ownThen = 0;
    if (m.delay >= 0) {
      const double keep = std::exp(-num(now - m.at) / (kMemoryAims * aim));
      guess = keep * m.delay + (1 - keep) * general;
      ownThen = keep * m.ownThen;
    }
    if (m.pending > 0)
      guess = std::max({guess, largest >= 0 ? largest + kEpsilon : 0, num(now - m.pendingSince)});
    if (cold(r) && m.delay < 0) guess = std::max(guess, work() / warmth(now - r.startedAt));
    // Passed over for an aim it gets one part: among quick replicas no query would come to it for long.
    if (cold(r) && r.lastReply == 0 && r.outs.empty() && now - r.startedAt > shortestAim) guess = work();
    // The ranking takes unheard aggregators to herd as this one does. Parts of a turn's call cost their work.
    const double own = door ? kOwnAtDoor : std::max(kOwnAtDoor, kOwnQueue * set.aggregators);
    const int joined = r.callTurn == turn ? r.callParts : 0;
    guess += (parts(r) - joined - ownThen) * (hearing() ? kSeenQueue * usualWork() : own * work());
    guess += joined * partWork(work()) / 2;
    if (joined % set.partsPerCall == 0) guess += kCallCost * num(set.callOverhead);
    guess = std::max(guess, work());
    if (!r.outs.empty() && r.lastReply < *r.outs.begin()) guess = std::max(guess, num(now - *r.outs.begin()));
    return guess * (r.zone == set.zone ? 1 : 1 + kZoneWeight * set.crossZonePrice);
  }

  // What the door expects. A replica with nothing out, silent for longer than the delay it is blamed for, has
  // had the time to drain: a trial. Guards against a door kept shut by its own old evidence.
  double atDoor(const Part& part, const Query& q) {
    const auto* r = pick(part, *q.cls).server;
    const Nanos opens = opensAt(part);
    if (!r) return opens < q.due ? num(opens - now) + work() + waitAtLimit(part, *q.cls) : kInfinite;
    // Nobody has been heard there: that says nothing against it while the others answer.
    const bool unheard = r->lastReply == 0 && r->memory[idx(part.shard)].delay < 0;
    if (hearing() && known() && unheard) return queued(parts(*r));
    const double delay = expected(*r, part.shard, *q.cls, true);
    return !hearing() && r->outs.empty() && num(now - r->lastReply) > delay ? 0 : delay;
  }

  // What those that wait for the shard's holders, all at their limits, have before them there.
  double waitAtLimit(const Part& part, const QueryClass& cls) const {
    double least = kInfinite;
    for (const auto* r : holders[idx(part.shard)])
      if (r->state == ServerState::up && r->atLimit())
        least = std::min(least, expected(*r, part.shard, cls, true) *
                                    (1 + waiting[idx(part.shard)] / std::max(1.0, r->window)));
    return least < kInfinite ? least : 0;
  }

  // The design's choice: the lowest expected delay among the eligible; set-aside ones when no other is left.
  // Added: or when every eligible one looks kAsideRatio slower (one part out at a sound server says less than
  // a sick server's record); benched servers come last.
  Pick pick(const Part& part, const QueryClass& cls) {
    std::array<Pick, 3> best;  // eligible, set aside, benched or already tried
    for (auto* r : holders[idx(part.shard)]) {
      if (!mayReceive(*r, part)) continue;
      const bool aside = r->memory[idx(part.shard)].pending > 0;
      const bool out = benched(*r) && (mayCopy(cls) || !onTrial(*r));
      auto& slot = best[part.at(*r, false) || out ? 2 : aside ? 1 : 0];
      const double delay = expected(*r, part.shard, cls);
      const bool tie = delay == slot.delay && slot.server;
      if (!slot.server || delay < slot.delay || (tie && r->tieBreak < slot.server->tieBreak))
        slot = {r, delay};
    }
    if (best[0].server && best[0].delay <= kAsideRatio * best[1].delay) return best[0];
    if (best[1].server) return best[1];
    return best[0].server ? best[0] : best[2];
  }

  Server* pickTwin(const Part& part, const Server& first) {
    std::vector<Server*> others;
    for (auto* r : holders[idx(part.shard)])
      if (r != &first && !benched(*r) && mayReceive(*r, part)) others.push_back(r);
    return others.empty() ? nullptr : others[random() % others.size()];
  }

  // ---- the two gates: every send passes both ----

  bool mayReceive(Server& r, const Part& part) {
    // The drain's grace is not used: the news may be old already.
    if (r.state != ServerState::up || now < r.closedUntil || part.at(r, true) || r.atLimit()) return false;
    if (set.tipMultiple <= 0 || !cold(r)) return true;
    // Cold: this aggregator's fair share of what tips it over, taken at the window's start and for a single
    // core (neither cores nor the others' traffic are known). Where that is less than a part the window is
    // stretched, from a moment of its own for each instance: however many they are, their sum stays under.
    // Many that ask seldom, each at times of its own, may save up what they did not use: their sum is even.
    const double windows = std::clamp(kSavedByRoot * std::sqrt(set.aggregators), 1.0, kSavedWindows);
    // The fewer they are, the less it evens out what chance has left too low of one's estimate of work.
    const double each = std::max(partWork(work()), kLeastWork / windows * partWork(fullLow));
    const double share = kFairShare * set.tipMultiple * warmth(now - r.startedAt - set.tipWindow) *
                         num(set.tipWindow) / set.aggregators;
    const double window = num(set.tipWindow) * std::max(windows, each / share);
    const double own = num(set.number % set.aggregators) / set.aggregators;
    if (num(now - r.startedAt) < own * (window - num(set.tipWindow))) return false;
    const auto recent =
        std::count_if(r.sends.begin(), r.sends.end(), [&](Nanos at) { return num(now - at) < window; });
    return num(recent + 1) * each <= std::max(windows * share, each);
  }

  bool mayAttempt(const Query& q, const Part& part) {
    if (part.delivered || part.step != q.step || now >= q.due) return false;
    if (part.attempts.empty()) return true;
    if (num(part.attempts.size()) >= limitOf(set, *q.cls)) return false;
    // Guards a fleet whose queues are full: repeats at all other holders, by all, would keep them so.
    if (part.attempts.back().rejected && unseen() > 0 && repeatTokens < 1) return false;
    if (part.isOut() && !(set.secondCopies && q.cls->copies)) return false;
    for (const auto& a : part.attempts) {
      if (!a.mayHaveRun) continue;
      if (q.cls->effect == Effect::unsafe) return false;
      if (q.cls->effect == Effect::keyed && now + set.tick > a.sentAt + q.cls->keyedWindow) return false;
    }
    return budgetLeft(1);
  }

  // How much of what is sent this aggregator has to reckon with and does not see: nothing in a small fleet.
  double unseen() const { return std::max(0.0, 1 - kFewAggregators / set.aggregators); }

  bool budgetLeft(double share) {
    if (!set.budget) return true;
    while (!taken.empty() && taken.front() <= now - set.budget->window) taken.pop_front();
    while (!extras.empty() && extras.front() < now - set.budget->window) extras.pop_front();
    return num(extras.size() + 1) <= share * (set.budget->free + set.budget->perTaken * num(taken.size()));
  }

  bool send(Query& q, Part& part, Server& r) {
    if (!mayReceive(r, part) || !mayAttempt(q, part)) return false;
    if (!part.attempts.empty()) {
      extras.push_back(now);
      if (part.attempts.back().rejected) repeatTokens = std::max(0.0, repeatTokens - 1);
    } else {
      const double width = num(q.parts.size());
      const auto earn = [&](double& tokens, double share) {  // a wide query's own may be spent at once
        tokens = std::min(std::max({kTokenCap, tokens, share * width}), tokens + share);
      };
      const double call = std::max(0.0, work() - num(set.callOverhead)) / work();
      earn(twinTokens, kTwinShare * call * relief());
      earn(copyTokens, kCopyShare * call * relief());
      earn(resendTokens, kResendShare);
      earn(trialTokens, kTrialShare);
      earn(repeatTokens, kRepeatShare);
    }
    if (r.bench > 0) trialTokens = std::max(0.0, trialTokens - 1);
    part.wanted = true;
    const double there = parts(r);
    part.attempts.push_back(Attempt{&r, now, there});
    queue(r);
    if (set.messages) justSent.push_back(&r);
    if (r.callTurn != turn) r.callTurn = turn, r.callParts = 0;
    ++r.callParts;
    if (r.outs.empty()) r.waitsSince = now;
    r.outs.insert(now), r.sends.push_back(now);
    while (r.sends.front() <= now - std::max({set.tipWindow, set.coldFor, Nanos{1}})) r.sends.pop_front();
    auto& m = r.memory[idx(part.shard)];
    ++m.pending, m.pendingSince = now;
    actions.push_back(Send{part.id, r.id, 0});
    return true;
  }

  bool sendBest(Query& q, Part& part) {
    if (careful(q) && q.anyOut()) return false;
    const auto best = pick(part, *q.cls);
    if (!best.server || !send(q, part, *best.server)) return false;
    rounds[idx(part.shard)] = -1;
    return true;
  }

  // Twins: the query's slowest-looking part gets one, since it decides when the query ends.
  void sendTwin(Query& q) {
    if (!mayCopy(*q.cls) || careful(q)) return;
    sendTrials(q);
    if (twinTokens < 1 || copyTokens < 1 || !budgetLeft(kCopyBudget)) return;
    Part* slowest = nullptr;
    double delay = -1;
    for (auto& part : q.parts) {
      if (part.step != q.step || part.attempts.size() != 1 || !part.isOut()) continue;
      const double d = expected(*part.attempts.front().server, part.shard, *q.cls);
      if (d > delay) slowest = &part, delay = d;
    }
    auto* other = slowest ? pickTwin(*slowest, *slowest->attempts.front().server) : nullptr;
    if (other && send(q, *slowest, *other)) twinTokens -= 1, copyTokens -= 1;
  }

  bool mayCopy(const QueryClass& cls) const {
    return set.secondCopies && cls.copies && cls.effect == Effect::safe;
  }

  // Trials ride on parts that are out elsewhere. Guards queries against finding out, each anew, that a server
  // is still sick: an aggregator that sends seldom would try it with every query, and all aggregators do.
  void sendTrials(Query& q) {
    for (auto& part : q.parts) {
      if (part.step != q.step || part.attempts.size() != 1 || !part.isOut()) continue;
      for (auto* r : holders[idx(part.shard)])
        if (onTrial(*r) && budgetLeft(kCopyBudget) && send(q, part, *r)) break;
    }
  }

  void cancel(Part& part, std::size_t at) {
    auto& a = part.attempts[at];
    if (!a.out) return;
    // An attempt given up on is a delay too: it is known to be longer than its age.
    auto& m = a.server->memory[idx(part.shard)];
    const auto age = num(now - a.sentAt);
    if (age > reckoned(a)) correct(a, age), learnLag(*a.server, age - reckoned(a) + lagNow(*a.server));
    if (age > std::max(m.delay, median)) m.delay = age, m.at = now, m.ownThen = a.ownThen;
    settle(part, a);
    if (set.cancelling) actions.push_back(Cancel{part.id, static_cast<int>(at)});
  }

  void cancelAll(Query& q) {
    for (auto& part : q.parts)
      for (std::size_t i = 0; i < part.attempts.size(); ++i) cancel(part, i);
  }

  void settle(const Part& part, Attempt& a) {
    a.out = false;
    a.server->outs.erase(a.server->outs.find(a.sentAt));
    const Nanos quiet = now - a.server->waitsSince;
    // Longer than others take just now: it may be silent over several queries, none of which waits so long.
    if (a.server->outs.empty() &&
        num(quiet) > kLateMedian * std::max(median, samples.empty() ? 0 : samples.back()))
      a.server->waited += quiet;
    --a.server->memory[idx(part.shard)].pending;
  }

  // ---- outcomes and health ----

  bool benched(const Server& r) const { return doubted(r) || r.bench > 0; }
  // Its bench is over: single trials tell whether it is back.
  bool onTrial(const Server& r) const {
    return r.bench > 0 && now >= r.benchedUntil && r.outs.empty() && trialTokens >= 1 && !doubted(r);
  }

  bool putOnBench(Server& r, const char* why, bool longest = false) {
    if (r.bench > 0 && now < r.benchedUntil) return false;
    const double most = kBenchAimsMost * num(shortestAim);
    r.bench = longest ? most : std::min(most, r.bench > 0 ? 2 * r.bench : kBenchAims * num(shortestAim));
    r.benchedUntil = now + nanos(r.bench);
    log("server " + std::to_string(r.id) + " set aside: " + why);
    return true;
  }

  // It failed at once: for a while a further part would fail too, and where a call costs work it would keep a
  // full server full. Guards against storms of quick failures, whatever their reason. Never for the whole of
  // a long bench: it may be the last holder that is left, as in a release, and parts can wait for it.
  void close(Server& r, const char* why) {
    putOnBench(r, why);
    r.closedUntil = std::min(r.benchedUntil, now + nanos(kCloseAims * num(shortestAim)));
  }
  // It is full: it gets fewer of the own parts than it held, and more again with each answer. Guards the last
  // holder of a shard: closed for a time it runs idle, and all that has waited for it then comes at once and
  // finds it full again. Parts sent before the last cut tell nothing new; where it held none the others' fill
  // it.
  void cutBack(Server& r, Nanos sentAt) {
    putOnBench(r, "full");
    if (r.outs.empty()) return close(r, "full");
    if (r.cutAt >= 0 && sentAt <= r.cutAt) return;
    r.window = kCutBack * (r.cutAt >= 0 ? std::min(r.window, r.out()) : r.out());
    r.cutAt = now;
  }
  Nanos opensAt(const Part& part) const {
    Nanos first = std::numeric_limits<Nanos>::max();
    for (const auto* r : holders[idx(part.shard)])
      if (r->state == ServerState::up) first = std::min(first, std::max(now, r->closedUntil));
    return first;
  }

  // Notes a failure; true when it is no chance any more. Guards against servers left out for one connection
  // that broke: where nodes close and reset them now and then, the others would be swamped.
  bool again(Server& r) {
    if (r.failures == 0 || num(now - r.failedAt) > kTogether * work()) ++r.failures, r.failedAt = now;
    return r.failures >= kNoChance;
  }

  void take(const AttemptEnded& e) {
    const auto owner = queryOf.find(e.part);
    if (owner == queryOf.end()) return;
    auto& q = queries.at(owner->second);
    const auto same = [&](const Part& p) { return p.id == e.part; };
    const auto found = std::find_if(q.parts.begin(), q.parts.end(), same);
    if (found == q.parts.end() || e.attempt < 0 || idx(e.attempt) >= found->attempts.size()) return;
    Part& part = *found;
    Attempt& a = part.attempts[idx(e.attempt)];
    Server& r = *a.server;
    if (a.out) settle(part, a);
    if (e.outcome == Outcome::delivered) {
      q.proven = true;
      return delivered(part, a, num(std::max<Nanos>(e.delay, 0)));
    }
    const bool full = e.outcome == Outcome::rejected, none = e.outcome == Outcome::connectFailed;
    if (!mayHaveRun(e.outcome)) a.mayHaveRun = false;
    if (full || e.outcome == Outcome::error) r.waitsSince = now, r.waited = 0;
    if (e.outcome == Outcome::notSent || e.outcome == Outcome::cancelled) return;
    a.rejected = full;
    queue(r, -1);
    if (const auto at = std::find(lastSent.begin(), lastSent.end(), &r); at != lastSent.end())
      lastSent.erase(at);
    shun(part, r);  // fails fast: its delay must not make it look like the best
    if (full) return cutBack(r, a.sentAt);
    const bool mute = none && num(e.delay) > kTogether * work();  // its machine does not even refuse
    const bool sure = again(r) || mute;
    if (none && sure) putOnBench(r, "no connection", true);
    if (e.outcome == Outcome::error && sure) close(r, "errors");
    if (e.outcome != Outcome::reset) return;
    if (num(e.delay) < kTooSoon * work()) return void(sure && putOnBench(r, "connection refused", true));
    if (sure) close(r, "connection broke");
    lastDeath = now;
    if (std::find(q.lost.begin(), q.lost.end(), &r) == q.lost.end()) q.lost.push_back(&r);
  }

  void delivered(Part& part, Attempt& a, double delay) {
    Server& r = *a.server;
    auto& m = r.memory[idx(part.shard)];
    std::tie(m.delay, m.at, m.ownThen) = std::tuple(delay, now, a.ownThen);
    correct(a, delay);
    rounds[idx(part.shard)] = std::max(rounds[idx(part.shard)], delay);
    if (median > 0) {
      double usual = median + lagNow(r);
      if (hearing()) {
        usual = reckoned(a);
        pace = std::clamp(pace * (delay > usual ? 1 + kPace : 1 - kPace), 0.5, kPaceMost);
      }
      learnLag(r, delay - usual + lagNow(r));
      r.slowness = {0.7 * faded(r.slowness, 1) + 0.3 * delay / usual, now};
      if (hearing() && r.slowness.value > kSlow) silent.push_back(&r);
    }
    r.lastReply = r.waitsSince = now, r.waited = 0, r.failures = 0;
    if (r.cutAt >= 0) r.window = std::max(1.0, r.window) + kOpenUp / std::max(1.0, r.window);
    r.lastRepliedSent = std::max(r.lastRepliedSent, a.sentAt);
    // An answer as late as those for which it was set aside does not speak for it.
    const bool quick = delay <= std::max(lateAfter(set.classes.front()), kLateHigh * high);
    if (r.bench > 0 && now >= r.benchedUntil && quick)
      r.bench = 0, log("server " + std::to_string(r.id) + " is back");
    sample(delay);
    part.delivered = true;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) cancel(part, i);
  }

  // ---- queries that kill ----

  // A query is to blame for dead servers when each of its parts that came to anything broke its connection.
  // Until a server has survived one, it tries one part at a time, without copies, if a server died under it,
  // if it is a repeat while connections break, or if it is wide and there is time. Guards against whatever in
  // a query brings servers down. Costs an innocent query the time of one part.
  bool careful(const Query& q) const { return !q.proven && (q.wary || !q.lost.empty()); }

  // Which part is tried is left to chance: tries of the same query must not take all replicas of one shard.
  void mix(Query& q) {
    if (careful(q) && !q.anyOut()) std::shuffle(q.parts.begin(), q.parts.end(), random);
  }

  // After a failure the shard's other replicas come first; it is no measured delay, so bounded.
  void shun(const Part& part, Server& r) {
    auto& m = r.memory[idx(part.shard)];
    const double least = std::max(m.delay, 2 * std::max(shardMean(part.shard), median));
    std::tie(m.delay, m.at, m.ownThen) = std::tuple(std::min(least, num(shortestAim)), now, parts(r));
    const double usual = std::max({median, work(), 1.0});  // answers may have taken no time at all
    r.slowness = {0.7 * faded(r.slowness, 1) + 0.3 * num(shortestAim) / usual, now};
  }

  // A server that has answered nothing for long is sick for all its shards: hung, silent, stalled or very
  // slow. Not when most look so at once: then all are slow, and moving the work would only add to it.
  void watchServers() {
    const double limit = kSilentLates * std::max(lateAfter(set.classes.front()), num(leastLate));
    int busy = 0;
    std::vector<Server*> mute;
    for (auto& [id, r] : servers) {
      if (gone(r)) continue;
      const Nanos quiet = r.mute(now);
      busy += quiet > 0;
      if (num(quiet) > limit) mute.push_back(&r);
    }
    if (2 * mute.size() > idx(busy) && busy > 2) return;
    for (auto* r : mute)
      if (putOnBench(*r, "silent")) silent.push_back(r), r->waited = 0;
  }

  // ---- the course of a query ----

  void take(const QueryArrived& e) {
    if (e.queryClass < 0 || idx(e.queryClass) >= set.classes.size())
      return actions.push_back(Refuse{e.id, 0});
    if (queries.count(e.number) > 0 || !queryOf.try_emplace(e.id, e.number).second) return;
    repeats += e.repeat;
    Query q{.id = e.id, .arrived = now, .due = now + e.timeLeft, .repeat = e.repeat};
    q.cls = &set.classes[idx(e.queryClass)];
    q.aimAt = now + q.cls->aim - spent(e, *q.cls);
    queries.try_emplace(e.number, std::move(q));
    if (set.budget) taken.push_back(now);
  }

  // What a client's earlier tries have used up of its time. A try is given the same time each, or what is
  // left of the deadline; only the latter tells how much is gone. Where repeats are not marked, less time
  // than usual tells one, unless it is so little that the client may just be in a hurry.
  Nanos spent(const QueryArrived& e, const QueryClass& cls) {
    auto& [usual, votes] = tryTime[idx(e.queryClass)];
    const bool same = std::abs(e.timeLeft - usual) <= usual / 100;
    if (!e.repeat) votes = std::clamp(votes + (same ? 1 : -1), 0, kVotes);
    if (!e.repeat && votes == 0) usual = e.timeLeft;
    if (set.repeatsMarked ? !e.repeat : num(e.timeLeft) < kHurry * num(cls.aim)) return 0;
    if (same || (!set.repeatsMarked && votes < kVotes / 2)) return 0;
    return std::clamp<Nanos>(cls.deadline - e.timeLeft, 0, cls.deadline);
  }

  void take(const PartArrived& e) {
    const auto at = queries.find(e.query);
    const bool odd = at == queries.end() || e.shard < 0 || e.shard >= set.shards;
    if (odd || !queryOf.try_emplace(e.id, e.query).second) return;
    at->second.parts.push_back(Part{e.id, e.shard, at->second.step, e.weight, false, false, {}});
    at->second.planned = false;
    if (set.budget) taken.push_back(now);
  }

  double need(const Query& q) const { return q.step == 1 ? std::min(q.target, q.cls->need) : 1.0; }

  // Of the refusals, how many are followed by a further try: the others are no respite but a query lost.
  double comeBack() const {
    return std::min(1.0, (kComeBacks + num(repeats)) / (kComeBacks + num(refusals)));
  }

  // First sends: as many parts as the need asks for, quickest-looking first; the rest are spares. Refused
  // when the slowest is not expected within the aim: the work would be wasted.
  bool plan(Query& q) {
    q.planned = true;
    std::vector<std::pair<double, Part*>> order;
    for (auto& part : q.parts)
      if (part.step == q.step) order.emplace_back(atDoor(part, q), &part);
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& x, const auto& y) { return x.first < y.first; });
    const Nanos end = q.aimAt <= now && q.cls->lateWorth > 0 ? q.due : std::min(q.aimAt, q.due);
    const double aim = num(end - now) - (q.step == 1 && q.cls->secondStepParts > 0 ? median : 0);
    // Narrow also where most of the load is others': there it alone keeps a jam from feeding itself.
    const double narrow = set.retryAfter ? std::max(comeBack(), unseen()) : 0;
    const double share = kDoor + (kDoorAdvised - kDoor) * narrow, door = share * aim;
    double weight = 0, slowest = 0;
    for (auto& [delay, part] : order) {
      // The answer goes out without what feeds a jam: crowded servers are left to those who need every part.
      const bool spared = q.step == 1 && q.cls->floor < q.cls->need && weight >= q.cls->floor;
      const auto* r = spared ? pick(*part, *q.cls).server : nullptr;
      const bool crowded = r ? hearing() && num(r->busyUntil - now) > share * num(shortestAim)
                             : waitAtLimit(*part, *q.cls) > 0;
      if (spared && (bias * delay > door || crowded)) q.target = weight;
      if (weight >= need(q) - kWeightSlack) break;
      weight += part->weight, slowest = delay, part->wanted = true;
    }
    if (q.step == 1) {
      const bool wide = q.parts.size() > 1 && kWide * num(servers.size()) < num(q.parts.size());
      const bool deaths = lastDeath >= 0 && now - lastDeath < kDeathDeadlines * longestDeadline;
      const bool room = relief() > 0 && 2 * (median + 2 * high) < num(q.cls->aim);
      q.wary = (deaths && q.repeat) || ((deaths || wide) && known() && room);
      q.held = q.wary;
    }
    // Own word that is older than the aim shuts no door: with all refused there is none to correct it.
    const bool stale = hearing() && num(now - unqueuedAt) > num(shortestAim);
    if (q.step == 1 && bias * slowest > door && ((known() && !stale) || slowest == kInfinite))
      return !refuse(q, nanos(slowest < kInfinite ? slowest / 2 : work()));
    // One of many hears too seldom that a fleet is jammed: to it each query is a trial, and all try. Guards
    // against jams that feed themselves; each refuses a share by what its latest queries have met.
    const double shed = kShed * unseen() * faded(jam, 0);
    if (q.step == 1 && shed > 0 && unit() < shed)
      return !refuse(q, nanos((0.5 + unit()) * kCloseAims * num(shortestAim)));
    q.hoped = slowest;
    mix(q);
    sendAll(q);
    return true;
  }

  void sendAll(Query& q) {
    for (auto& part : q.parts)
      if (part.wanted && part.step == q.step && part.attempts.empty()) sendBest(q, part);
    sendTwin(q);
  }

  // Looks after the parts of a query: what could not be sent, what failed, what is late.
  void tend(Query& q) {
    const double late = lateAfter(*q.cls);
    mix(q);
    if (q.held && !careful(q)) q.held = false, sendAll(q);
    for (auto& part : q.parts) {
      if (!part.wanted || part.delivered || part.step != q.step) continue;
      if (!part.isOut()) {
        if (sendBest(q, part)) continue;
        waiting[idx(part.shard)] += 1;
        if (!careful(q)) sendSpare(q);
        continue;
      }
      if (careful(q)) {  // a server that neither answers nor dies in time proves nothing: go on without
        if (q.lost.empty() && num(now - part.attempts.back().sentAt) > median) q.wary = false;
        continue;
      }
      // Given up on early: its server is found silent, or has since answered a part sent well after this one.
      // For servers that hang, vanish or drop single parts; a jam makes few: queued parts are not overtaken.
      for (std::size_t i = 0; i < part.attempts.size() && resendTokens >= 1; ++i) {
        const Attempt& a = part.attempts[i];
        const bool overtaken = num(a.server->lastRepliedSent - a.sentAt) > median;
        if (!a.out || num(now - a.sentAt) <= late) continue;
        if (!overtaken && now >= a.server->benchedUntil) continue;
        const auto other = pick(part, *q.cls);
        if (!other.server || benched(*other.server) || !send(q, part, *other.server)) continue;
        cancel(part, i), resendTokens -= 1;
      }
      if (num(now - part.attempts.back().sentAt) < late || sendSpare(q)) continue;
      if (part.outs() > 1 || copyTokens < 1 || !budgetLeft(kCopyBudget)) continue;
      const auto other = pick(part, *q.cls);
      if (!other.server || benched(*other.server) || now + nanos(other.delay) > q.due) continue;
      if (send(q, part, *other.server)) copyTokens -= 1;
    }
  }

  // A spare's first send is no further attempt; it stands in for one part that is late, so one at a time.
  bool sendSpare(Query& q) {
    double hoped = 0;
    for (const auto& part : q.parts)
      if (part.step == q.step && part.wanted && !part.delivered && part.isOut() &&
          num(now - part.attempts.back().sentAt) < lateAfter(*q.cls))
        hoped += part.weight;
    if (q.got(q.step) + hoped >= need(q) - kWeightSlack) return true;
    for (auto& part : q.parts)
      if (part.step == q.step && !part.wanted && sendBest(q, part)) return true;
    return false;
  }

  // Ends the query when it is answered or can't be any more. Returns true when it has ended.
  bool conclude(Query& q) {
    const double got = q.got(q.step);
    const auto missing = [&](const Part& p) { return p.step == q.step && !p.delivered; };
    const bool all = got >= need(q) - kWeightSlack &&
                     (q.step == 1 || std::none_of(q.parts.begin(), q.parts.end(), missing));
    if (q.planned && all && got >= q.cls->floor - kWeightSlack)
      return answer(q, q.step == 1 ? got >= q.cls->need - kWeightSlack : q.firstWhole);
    const double floor = q.step == 2 || q.cls->floor < q.cls->need ? q.cls->floor : kInfinite;
    const bool may = got > 0 && got >= floor - kWeightSlack;
    // At the aim, while an answer still gets there, what is in goes out if the whole is worth less later.
    const double inHand = may ? q.cls->partialWorth * got / std::max(q.cls->need, kWeightSlack) : 0;
    const bool worthless = now + kLastTicks * set.tick >= q.aimAt && inHand >= q.cls->lateWorth;
    if (!q.proven && !q.anyOut() && q.lost.size() >= (q.wary && q.repeat ? 1 : kNoChance)) {
      log("query blamed for " + std::to_string(q.lost.size()) + " broken servers");
      return refuse(q, set.maxRetryAfter);
    }
    if (now < q.due - 2 * set.tick && !worthless && possible(q)) return false;
    if (may) return answer(q, false);
    if (q.planned) learnBias(q);
    if (q.tried()) learnJam(1);
    // Where it is this aggregator that can't go on another may: its client is told to come back at once.
    return refuse(q, worthless ? set.maxRetryAfter : nanos(work()));
  }

  bool possible(const Query& q) {
    double sum = q.got(q.step);
    const Nanos end = q.cls->lateWorth > 0 ? q.due : std::min(q.due, q.aimAt);
    for (const auto& part : q.parts)
      if (part.step == q.step && !part.delivered &&
          (part.isOut() || (mayAttempt(q, part) && opensAt(part) < end)))
        sum += part.weight;
    return sum >= std::min(need(q), q.cls->floor) - kWeightSlack;
  }

  // How far the door can be believed, learned from what it let in: the more, the nearer to its edge.
  void learnBias(const Query& q) {
    const double edge = std::min(1.0, q.hoped / num(q.cls->aim));
    if (q.step != 1 || q.wary || !q.lost.empty() || edge < kEdge || q.hoped >= kInfinite) return;
    const bool above = num(now - q.arrived) > bias * q.hoped;
    bias = std::clamp(bias + kBiasStep * edge * (above ? kInTime : kInTime - 1), 0.25, 1.25);
  }

  void learnJam(double late) { jam = {faded(jam, 0) + kJamStep * (late - faded(jam, 0)), now}; }

  bool answer(Query& q, bool whole) {
    learnBias(q);
    learnJam(
        std::clamp((num(now - q.arrived) / num(q.cls->aim) - kDoorAdvised) / (1 - kDoorAdvised), 0.0, 1.0));
    actions.push_back(Answer{q.id, whole});
    cancelAll(q);
    if (q.step == 1 && q.cls->secondStepParts > 0) {  // its parts come in the next turn
      q.step = 2, q.firstWhole = whole, q.planned = true;
      return false;
    }
    forget(q);
    return true;
  }

  // The final no. A refusal promises that a retry is safe, which a part that may have run does not allow.
  bool refuse(Query& q, Nanos retryAfter) {
    const auto ran = [](const Attempt& a) { return a.mayHaveRun; };
    const bool harmless =
        q.cls->effect == Effect::safe || std::none_of(q.parts.begin(), q.parts.end(), [&](const Part& p) {
          return std::any_of(p.attempts.begin(), p.attempts.end(), ran);
        });
    const Nanos advice = set.retryAfter ? std::min(retryAfter, set.maxRetryAfter) : 0;
    refusals += harmless;
    harmless ? actions.push_back(Refuse{q.id, advice}) : actions.push_back(Fail{q.id});
    cancelAll(q);
    forget(q);
    return true;
  }

  void forget(const Query& q) {
    for (const auto& part : q.parts) queryOf.erase(part.id);
    queryOf.erase(q.id);
  }

  void take(const QueryExpired& e) {
    const auto owner = queryOf.find(e.query);
    const auto at = owner == queryOf.end() ? queries.end() : queries.find(owner->second);
    if (at == queries.end() || at->second.id != e.query) return;
    cancelAll(at->second);
    forget(at->second);
    queries.erase(at);
  }

  void take(const TimerFired&) {}
  void take(const FleetChanged& e) {
    set.aggregators = std::max(1, e.aggregators), set.number = std::max(0, e.number);
  }
  void take(const SentElsewhere& e) {
    if (const auto at = servers.find(e.server); at != servers.end()) at->second.sends.push_back(e.at);
  }

  void run() {
    watchServers();
    std::fill(waiting.begin(), waiting.end(), 0);
    for (auto at = queries.begin(); at != queries.end();) {
      Query& q = at->second;
      bool ended = conclude(q);
      if (!ended && !q.planned) ended = !plan(q);
      if (!ended) tend(q);
      at = ended ? queries.erase(at) : std::next(at);
    }
    if (askAt >= 0 && now >= askAt) actions.push_back(Subscribe{true}), askAt = -1;
    tellPeers();
    const bool busy = !queries.empty();
    Nanos wait = std::max<Nanos>(1, busy ? std::max<Nanos>(2 * set.tick, shortestAim / 100) : askAt - now);
    for (const auto& [number, q] : queries)  // the last moments to answer must not fall between two steps
      for (const Nanos at : {q.aimAt - kLastTicks * set.tick, q.due - 2 * set.tick})
        if (at > now) wait = std::min(wait, at - now);
    if ((!busy && askAt < 0) || (timerAt > now && timerAt <= now + wait)) return;
    actions.push_back(SetTimer{turn, wait});
    timerAt = now + wait;
  }
};

Aggregator::Aggregator(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Aggregator::~Aggregator() = default;
Aggregator::Aggregator(Aggregator&&) noexcept = default;
Aggregator& Aggregator::operator=(Aggregator&&) noexcept = default;

std::vector<Action> Aggregator::handle(Nanos now, const std::vector<Event>& events) {
  Impl& i = *impl_;
  if (i.fault) return {};
  i.now = std::max(now, i.now);
  ++i.turn;
  for (const auto& event : events) std::visit([&](const auto& e) { i.take(e); }, event);
  i.run();
  return std::move(i.actions);
}

}  // namespace topazweir
