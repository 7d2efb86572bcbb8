// The decision module: which replica each part is sent to, when it is retried or hedged, which queries are
// admitted, and when a query ends.
//
// The mechanism is OPEN (optimal endorsement). Each part goes to the replica of its shard with the lowest
// last delay. A replica with a part still pending is passed over and gets a guessed delay. Within a small
// budget an idempotent part is hedged at once with a request to another replica chosen at random; the first
// answer wins. docs/design/ describes the additions to this mechanism.
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

// ---- tuning ----
//
// Shares and ratios have no unit. Names that end in Aims are multiples of an aim (the response time that
// earns full worth): of the shortest aim over all classes unless the comment names the query's own.

// Hedging budgets, as shares of the parts sent. The first is the tenth that OPEN prescribes, the second keeps
// all hedged requests together below a fifth.
constexpr double kImmediateHedgeShare = 0.10;  // sent together with the part's first attempt
constexpr double kHedgeShare = 0.18;           // all hedged requests, immediate and late

// Share of the retry budget that hedged requests and probes may use; the rest is kept for parts that failed.
constexpr double kHedgeBudgetShare = 0.5;

// Retries after a time-out, per part: enough for a few failing servers, but no retry storm when all are slow.
constexpr double kTimeoutRetryShare = 0.15;

// Retries of rejected parts, per part sent; binds in large fleets only, see Impl::mayAttempt().
constexpr double kRejectedRetryShare = 0.2;

// Parts sent to ejected servers to find out whether they have recovered, per part sent.
constexpr double kProbeShare = 0.03;

// Tokens that a budget may accumulate: a burst of hedged requests must stay small.
constexpr double kMaxSavedTokens = 4;

// OPEN's guess for a replica with a pending part lies this far above the largest delay of the round.
constexpr double kPendingGuessNs = 1;

// A replica with a pending part is preferred when all replicas without one look slower by this ratio.
constexpr double kPendingReplicaRatio = 1.5;

// Work, in parts, that each of the aggregator's own parts in flight adds to a server's expected delay.
constexpr double kRankingQueuePerPart = 0.5;    // when ranking replicas, times the number of aggregators
constexpr double kAdmissionQueuePerPart = 1.0;  // in admission control, and the minimum when ranking

// The same where peers announce what they send. Below 1, since parts share the cores of a server.
constexpr double kKnownQueuePerPart = 0.5;

// Share of the error in a predicted queue that the aggregator's own answer corrects.
constexpr double kQueueCorrection = 0.5;

// Upper limit of a part's typical delay, as a multiple of the unqueued delay (quickest tenth).
constexpr double kMaxTypicalRatio = 2.0;

// Common pace of all servers: relative step per answer, and limits.
constexpr double kPaceStep = 0.04;
constexpr double kMinPace = 0.5;
constexpr double kMaxPace = 5;

// Step towards the median of a zone's lag, as a share of the lag or of the unqueued delay.
constexpr double kZoneLagStep = 0.15;

// Time constant with which observations of a server or zone decay, and the estimate of overload.
constexpr double kObservationDecayAims = 4;

// Peers that have sent nothing for this long count as cut off.
constexpr double kPeerTimeoutAims = 1;

// Longest queue that is predicted for a server: behind any longer one a part would be just as late.
constexpr double kMaxQueueAims = 2;

constexpr std::size_t kMaxServersPerMessage = 120;  // two bytes each; a message holds 256 bytes at most

// Ranking cost of opening a new call, in Settings::callOverhead: everything queued behind it pays as well.
constexpr double kNewCallCost = 3;

// Weight of Settings::crossZonePrice in the ranking of replicas.
constexpr double kCrossZoneWeight = 10;

// Time constant, in aims of the class, with which a last delay loses its influence.
constexpr double kDelayDecayClassAims = 1.0;

// A part is late after these multiples of the 90th percentile and of the median of delays, whichever is
// longer, but no later than this share of its aim.
constexpr double kLateP90Ratio = 1.3;
constexpr double kLateMedianRatio = 2.0;
constexpr double kMaxLateClassAims = 0.4;

// A server that has not replied for this many times the time after which a part is late is ejected.
constexpr double kUnresponsiveLateTimes = 1.6;

// Ejection time: the first one, doubled each time up to the longest.
constexpr double kFirstEjectionAims = 1.0;
constexpr double kMaxEjectionAims = 6.0;

// Longest time for which a server that failed at once receives nothing, not even a probe. Also the scale of
// the retry advice for queries that are shed.
constexpr double kMaxBlockAims = 0.5;

// Admission limit, in the query's aim: a query is refused when its expected delay is longer. The first holds
// where no refused client retries, the second where all do.
constexpr double kAdmissionAims = 1.3;
constexpr double kAdmissionAimsWithRetry = 0.6;

// Until this many refusals have been counted the estimated share of clients that retry stays near 1.
constexpr double kClientRetryPrior = 8;

// Correction of admission control: learned so that this share of the queries took no longer than expected.
constexpr double kBiasQuantile = 0.75;
constexpr double kBiasStep = 0.1;  // largest step of the correction
constexpr double kMinBias = 0.25;  // limits of the correction
constexpr double kMaxBias = 1.25;
constexpr double kMinBiasEvidenceShare = 0.2;  // queries expected to take less of their aim teach nothing

// Share of the queries that is shed at random when all recent ones were late.
constexpr double kMaxShedShare = 0.9;

// Up to this many aggregators each sees enough of the traffic to decide on its own observations.
constexpr double kSmallFleetAggregators = 4;

constexpr double kOverloadStep = 0.5;  // weight of the latest query in the overload estimate

// Median delay over the calmest median: up to the first, hedged requests cost nobody anything; from the
// second on they only feed the queues.
constexpr double kCalmMedianRatio = 1.25;
constexpr double kOverloadMedianRatio = 2.0;

// Share of the unqueued delay that is forgotten within an aim, since the speed of servers changes.
constexpr double kBaselineDriftPerAim = 0.02;

// Part of this aggregator's share of a cold server's slow-start limit that is used.
constexpr double kFairShareUsed = 0.6;

// Minimum estimate of a part's work, as a share of the lowest tenth of full sets of samples. For delays that
// spread by half of their mean this is two or three times such a tenth's own error below it; anything lower
// is chance.
constexpr double kMinWorkRatio = 0.7;

// Overload windows for which a slow-start share may be saved up: this times the root of the fleet's size, up
// to the maximum.
constexpr double kSavedWindowsPerRoot = 1.0 / 3;
constexpr double kMaxSavedWindows = 3;

// Concurrency window of an overloaded server: the share of its own parts in flight that is left, and the
// parts that a full window of answers adds.
constexpr double kWindowDecrease = 0.8;
constexpr double kWindowIncreaseParts = 2;

constexpr double kWeightTolerance = 5e-5;  // rounding of part weights

// A query with more parts than this share of the servers could break too many of them at once.
constexpr double kWideQueryShare = 0.25;

// Consecutive failures of a server, or servers broken under one query, that count as more than chance.
constexpr std::size_t kMinFailures = 2;

// Failures closer together than this share of the unqueued delay count as one: they come from one connection.
constexpr double kSameFailureRatio = 0.5;

// A connection that breaks within this share of the unqueued delay was not broken by the part sent on it.
constexpr double kImmediateResetRatio = 0.05;

constexpr std::size_t kMaxSamples = 96;  // delays kept for the percentiles
constexpr std::size_t kMinSamples = 8;   // with fewer the percentiles mean nothing

constexpr double kInitialWorkAims = 0.1;  // assumed work of a part before any delay is known

// Queries that agree on the time given to a client's first try, until that time counts as certain.
constexpr int kMaxTryTimeVotes = 8;

// A client that leaves less than this share of the aim may just be impatient, rather than on a retry.
constexpr double kImpatientClientShare = 0.8;

constexpr Nanos kAnswerLeadTicks = 3;          // ticks before the aim, for an answer to arrive in time
constexpr Nanos kBreakageMemoryDeadlines = 2;  // longest deadlines for which broken connections may go on

// Last byte of a message to peers: its kind.
constexpr char kMessageSends = 1;         // servers that parts were sent to
constexpr char kMessageUnresponsive = 2;  // servers found unresponsive; plus the sender's zone

// A server slower than all others by this ratio is reported to peers as if it were unresponsive.
constexpr double kSlowServerRatio = 2.5;

// Decayed number of peers that must report a server before it counts as suspected.
constexpr double kMinSuspicions = 1.5;

// Weights of the old value and of the new one in a server's smoothed slowness.
constexpr double kSlownessKept = 0.7;
constexpr double kSlownessAdded = 0.3;

constexpr double kInfinity = std::numeric_limits<double>::infinity();

constexpr double num(auto number) { return static_cast<double>(number); }
constexpr std::size_t idx(std::int64_t i) { return static_cast<std::size_t>(i); }
constexpr Nanos nanos(double time) { return static_cast<Nanos>(time); }

// What is known of one shard at one server.
struct ShardRecord {
  double lastDelay = -1;   // ns; below 0: unknown
  Nanos heardAt = 0;       // when the last delay was observed
  double partsAtSend = 0;  // parts known to be at the server when that part was sent
  int pending = 0;         // own parts in flight for this shard
  Nanos pendingSince = 0;  // when the latest of them was sent
};

// An observation that decays exponentially, see Impl::decayed().
struct DecayingValue {
  double value = 0;
  Nanos at = 0;
};

// What was learned of a server process; reset when the process restarts.
struct ServerHealth {
  Nanos lastReplyAt = 0;           // 0: never
  Nanos newestAnsweredSendAt = 0;  // send time of the latest attempt that it has answered
  Nanos unansweredTime = 0;        // waited for abandoned parts since its last sign of life
  DecayingValue slowness{1};       // smoothed ratio of its delay to that expected of any server
  std::size_t failures = 0;        // consecutive
  Nanos lastFailureAt = 0;
  double ejectionTime = 0;  // ns, length of the latest ejection; 0: not ejected
  Nanos ejectedUntil = 0;
  Nanos blockedUntil = 0;    // it failed at once: nothing is sent to it before then
  double window = 0;         // own parts that it accepts concurrently, since it was overloaded
  Nanos windowCutAt = -1;    // when it was last overloaded; below 0: never
  Nanos busyUntil = 0;       // when all parts known to have been sent to it should be done
  DecayingValue suspicions;  // number of peers that have reported it unresponsive
};

// One server named by the server list.
struct Server : ServerHealth {
  ServerId id = 0;
  unsigned messageCode = 0;  // two-byte hash for peer messages; a collision costs a little ranking quality
  int zone = 0;
  int cell = 0;
  ServerState state = ServerState::up;
  Nanos startedAt = 0;
  std::uint64_t tieBreak = 0;  // random per instance, so that not all instances prefer the same server
  std::vector<ShardRecord> shardRecords;  // by shard
  std::multiset<Nanos> inFlight;          // send times of own attempts in flight
  Nanos waitingSince = 0;                 // start of the present wait for a sign of life, unless idle
  std::deque<Nanos> recentSends;          // within the overload window
  std::int64_t callTurn = -1;             // turn of its open call
  int callParts = 0;                      // parts in that call

  double inFlightCount() const { return num(inFlight.size()); }
  // Whether it was overloaded and one more part would exceed its concurrency window.
  bool atLimit() const { return windowCutAt >= 0 && inFlightCount() + 1 > std::max(1.0, window); }
  // Time that own parts have waited for it without any sign of life.
  Nanos unresponsiveFor(Nanos now) const {
    return unansweredTime + (inFlight.empty() ? 0 : now - waitingSince);
  }
};

// A replica chosen for a part.
struct Candidate {
  Server* server = nullptr;  // none: no replica may receive the part
  double delay = kInfinity;  // ns, expected
};

// One send of a part to a server.
struct Attempt {
  Server* server;
  Nanos sentAt;
  double partsAtSend;  // parts known to be at the server then
  bool inFlight = true;
  bool mayHaveRun = true;  // until the outcome proves otherwise
  bool rejected = false;
};

// One part of an open query, with its attempts in the order of their sends.
struct Part {
  RequestId id;
  int shard = 0;
  int step = 1;
  double weight = 0;
  bool wanted = false;  // false: a spare, sent only in place of a wanted part
  bool delivered = false;
  std::vector<Attempt> attempts;

  long inFlightCount() const {
    return std::count_if(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.inFlight; });
  }
  bool isInFlight() const { return inFlightCount() > 0; }
  // Whether an attempt went to the server, or is still in flight there.
  bool hasAttemptAt(const Server& r, bool inFlightOnly) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.server == &r && (a.inFlight || !inFlightOnly); });
  }
};

// An open query.
struct Query {
  RequestId id;
  const QueryClass* cls = nullptr;
  Nanos arrivedAt = 0;
  Nanos dueAt = 0;           // when the client stops waiting
  Nanos aimAt = 0;           // an answer by then earns full worth, measured over all tries of the client
  double expectedDelay = 0;  // ns, as admission control estimated it
  double targetWeight = 1;   // weight of parts that is requested
  int step = 1;
  bool planned = false;
  bool isRetry = false;         // marked as a retry by the client
  bool firstStepWhole = false;  // the first step's answer was complete
  bool suspect = false;         // may break servers: one part is tried at a time, see Impl::isCautious()
  bool held = false;            // parts are held back until the first one has proven harmless
  bool proven = false;          // a server has survived a part of it
  std::vector<const Server*> brokenServers{};  // servers whose connection broke under it
  std::vector<Part> parts{};

  bool hasAttempts() const {
    return std::any_of(parts.begin(), parts.end(), [](const Part& p) { return !p.attempts.empty(); });
  }
  bool anyInFlight() const {
    return std::any_of(parts.begin(), parts.end(), [](const Part& p) { return p.isInFlight(); });
  }
  double deliveredWeight(int ofStep) const {
    double sum = 0;
    for (const auto& p : parts) sum += p.step == ofStep && p.delivered ? p.weight : 0;
    return sum;
  }
};

}  // namespace

// State and rules of one aggregator. A turn handles its events, then runTurn() advances every open query.
struct Aggregator::Impl {
  explicit Impl(Settings given)
      : settings(std::move(given)), settingsFault(findFault(settings)), random(settings.seed) {
    if (settingsFault) return;
    shortestAim = settings.classes.front().aim;
    for (const auto& c : settings.classes) shortestAim = std::min(shortestAim, c.aim);
    holders.resize(idx(settings.shards));
    roundDelays.resize(idx(settings.shards), -1);
    waitingParts.resize(idx(settings.shards), 0);
    firstTryTimes.resize(settings.classes.size());
    for (const auto& c : settings.classes) maxDeadline = std::max(maxDeadline, c.deadline);
    for (const auto& c : settings.classes) minLateTime = std::max(minLateTime, c.minLateTime);
  }

  Settings settings;
  std::optional<std::string> settingsFault;
  std::mt19937_64 random;
  Nanos now = 0;
  std::int64_t turn = 0;
  Nanos shortestAim = 0;  // over all classes
  Nanos maxDeadline = 0;  // over all classes
  Nanos minLateTime = 0;  // longest QueryClass::minLateTime
  std::vector<Action> actions;

  Nanos lastPeerMessageAt = -1;           // below 0: never
  std::map<int, DecayingValue> zoneLags;  // by zone, ns
  double pace = 1;                        // of all servers: ratio of delays to what their queues explain
  std::vector<Server*> sentThisTurn;      // servers that parts were sent to, to be announced to peers
  std::vector<Server*> sentLastTurn;
  std::vector<Server*> foundUnresponsive;  // or very slow, to be announced to peers
  std::unordered_map<unsigned, Server*> serverByCode;
  std::map<ServerId, Server> servers;         // every server named by a list and not yet evicted
  std::vector<std::vector<Server*>> holders;  // by shard: the servers that are up and hold it
  std::vector<double> roundDelays;   // by shard: largest delay since the last pick, ns; below 0: none
  std::vector<double> waitingParts;  // by shard: parts of older queries that found no server in this turn
  Nanos listRequestAt = -1;          // next request for the server list; below 0: none scheduled
  double listRetryWait = 0;          // ns, grows with each failure

  std::map<QueryNo, Query> queries;                       // open ones
  std::unordered_map<RequestId, QueryNo> queryByRequest;  // by the id of the query or of a part
  std::deque<Nanos> acceptedAt;                           // queries and parts within the budget's window
  std::deque<Nanos> retriedAt;                            // further attempts within the budget's window
  std::vector<std::pair<Nanos, int>> firstTryTimes;       // by class: time given to a first try, and votes
  Nanos lastBreakageAt = -1;                              // a connection broke; below 0: never
  double immediateHedgeTokens = 1;
  double hedgeTokens = 1;
  double timeoutRetryTokens = 1;
  double probeTokens = 1;
  double rejectedRetryTokens = kMaxSavedTokens;

  std::deque<double> samples;  // delays of the latest delivered parts, ns
  double p10Delay = 0;         // percentiles of the samples, ns
  double medianDelay = 0;
  double p90Delay = 0;
  double unqueuedDelay = 0;  // ns, delay of a part that meets no queue
  double fullSetP10 = 0;     // the same, but the minimum over full sets of samples only
  double calmMedian = 0;     // ns, median delay in the calmest time
  Nanos lastSampleAt = 0;
  Nanos timerAt = -1;             // when the latest timer expires
  std::size_t refusals = 0;       // refusals sent
  std::size_t clientRetries = 0;  // retries received
  DecayingValue overload;    // how late the latest queries were: 0 all well in time, 1 all past their aim
  double admissionBias = 1;  // time taken over the time expected, not exceeded by kBiasQuantile of queries

  // Returns the value as it has decayed towards `usual` by now.
  double decayed(const DecayingValue& v, double usual, double aims = kObservationDecayAims) const {
    return usual + (v.value - usual) * std::exp(-num(now - v.at) / (aims * num(shortestAim)));
  }
  // Draws a random number from [0, 1).
  double uniform01() { return num(random() >> 11) * 0x1.0p-53; }
  void log(std::string text) { actions.push_back(Log{std::move(text)}); }

  // ---- server list ----

  void onEvent(const ServerListUpdate& update) {
    if (update.scope == ServerListUpdate::Scope::failed) {
      scheduleListRequest(true);
      return;
    }
    if (update.scope == ServerListUpdate::Scope::initial) scheduleListRequest(false);
    listRetryWait = 0;
    if (update.scope != ServerListUpdate::Scope::changes)  // servers that a full list omits have left
      for (auto& [id, server] : servers) server.state = ServerState::gone;
    for (const auto& entry : update.entries) applyEntry(entry);
    evictGoneServers();
    std::vector<std::vector<Server*>> cellMembers(idx(settings.cells));
    for (auto& [id, server] : servers)
      if (server.state == ServerState::up && server.cell >= 0 && server.cell < settings.cells)
        cellMembers[idx(server.cell)].push_back(&server);
    for (int s = 0; s < settings.shards; ++s) {
      auto& list = holders[idx(s)];
      list.clear();
      for (int j = 0; j < std::min(settings.reach, settings.cells); ++j)
        for (auto* server : cellMembers[idx((s + j) % settings.cells)]) list.push_back(server);
    }
  }

  // Evicts servers that have gone and that nothing refers to: servers are replaced every day, so their
  // records would otherwise fill the memory.
  void evictGoneServers() {
    std::set<const Server*> referenced(foundUnresponsive.begin(), foundUnresponsive.end());
    for (const auto* list : {&sentThisTurn, &sentLastTurn}) referenced.insert(list->begin(), list->end());
    for (const auto& [number, q] : queries) {
      referenced.insert(q.brokenServers.begin(), q.brokenServers.end());
      for (const auto& part : q.parts)
        for (const auto& a : part.attempts) referenced.insert(a.server);
    }
    std::erase_if(serverByCode,
                  [&](const auto& e) { return isGone(*e.second) && referenced.count(e.second) == 0; });
    std::erase_if(servers,
                  [&](const auto& e) { return isGone(e.second) && referenced.count(&e.second) == 0; });
  }
  static bool isGone(const Server& r) { return r.state == ServerState::gone; }

  void applyEntry(const ServerEntry& entry) {
    auto [at, isNew] = servers.try_emplace(entry.server);
    Server& server = at->second;
    // A start in the future is invalid and counts as a start now: that is the coldest it can be.
    const Nanos started = std::min(entry.startedAt, now);
    if (isNew) {
      server.id = entry.server;
      server.tieBreak = random();
      server.shardRecords.resize(idx(settings.shards));
      server.messageCode = static_cast<unsigned>((server.id * 0x9E3779B97F4A7C15ULL) >> 48);
      serverByCode[server.messageCode] = &server;
    } else if (started > server.startedAt) {  // a new process: what was learned of the old one is void
      for (auto& record : server.shardRecords) record.lastDelay = -1;
      static_cast<ServerHealth&>(server) = ServerHealth{};
    }
    server.zone = entry.zone;
    server.cell = entry.cell;
    server.state = entry.state;
    server.startedAt = std::max(server.startedAt, started);
  }

  // Schedules the next request for the server list: at once, or after a failure with exponential backoff
  // and jitter, since instances restarted together would otherwise overload discovery. The wait never
  // exceeds half of Settings::listRequestInterval (four shortest aims where that is unset), so that updates
  // still arrive in time.
  void scheduleListRequest(bool failed) {
    if (!settings.listOnRequest) return;
    listRequestAt = now;
    if (!failed) return;
    const double most =
        num(settings.listRequestInterval > 0 ? settings.listRequestInterval : shortestAim * 4) / 2;
    listRetryWait = std::min(most, listRetryWait > 0 ? listRetryWait * 2 : num(shortestAim) / 2);
    listRequestAt += nanos(listRetryWait * (0.5 + uniform01() / 2));
  }

  // ---- messages between aggregators ----

  // Announces to peers which servers this instance has sent parts to, where messages are allowed; otherwise
  // all aggregators would herd onto the same replicas without seeing each other. Sends are announced one turn
  // later and without those that failed at once, which are no work for any server. When no peer is heard any
  // more, the own parts in flight again stand for the peers' parts, see expectedDelay().
  void announceToPeers() {
    // Only peers of this zone use it: another zone may have a different path to the server.
    const char unresponsiveKind = static_cast<char>(kMessageUnresponsive + settings.zone);
    sendServersToPeers(sentLastTurn, kMessageSends);
    sendServersToPeers(foundUnresponsive, unresponsiveKind);
    sentLastTurn = std::exchange(sentThisTurn, {});
    foundUnresponsive.clear();
  }

  void sendServersToPeers(const std::vector<Server*>& list, char kind) {
    std::string bytes;
    for (const auto* r : list)
      bytes += {static_cast<char>(r->messageCode >> 8), static_cast<char>(r->messageCode & 255)};
    for (std::size_t i = 0; i < bytes.size() && settings.messages; i += 2 * kMaxServersPerMessage)
      actions.push_back(SendToPeers{bytes.substr(i, 2 * kMaxServersPerMessage) + kind, std::nullopt});
  }

  void onEvent(const PeerMessage& e) {
    if (e.bytes.size() % 2 != 1) return;
    lastPeerMessageAt = now;
    for (std::size_t i = 0; i + 1 < e.bytes.size(); i += 2) {
      const auto byte = [&](std::size_t k) { return static_cast<unsigned char>(e.bytes[k]); };
      const auto at = serverByCode.find(256U * byte(i) + byte(i + 1));
      if (at == serverByCode.end()) continue;
      Server& r = *at->second;
      if (e.bytes.back() == kMessageSends) addToQueue(r);
      if (e.bytes.back() == kMessageUnresponsive + settings.zone)
        r.suspicions = {decayed(r.suspicions, 0) + 1, now};
    }
  }

  // Whether several peers report the server as unresponsive or very slow and it has not answered here lately:
  // it is tried last. Without this each aggregator would find out on a query of its own. Own replies outrank
  // the reports, since a server may be unreachable for others only.
  bool isSuspected(const Server& r) const {
    return decayed(r.suspicions, 0) > kMinSuspicions && num(now - r.lastReplyAt) > num(shortestAim);
  }

  bool hearsPeers() const {
    return lastPeerMessageAt >= 0 && num(now - lastPeerMessageAt) < kPeerTimeoutAims * num(shortestAim);
  }

  // Parts known to be at a server: own ones in flight or, where peers are heard, the predicted queue from all
  // aggregators, which drains with time and is corrected by each own answer.
  double partsAt(const Server& r) const {
    return hearsPeers() ? num(std::max<Nanos>(0, r.busyUntil - now)) / (kKnownQueuePerPart * typicalDelay())
                        : r.inFlightCount() / settings.parallel;
  }
  // Delay of a part behind this many others, ns.
  double queuedDelay(double ahead) const { return (1 + kKnownQueuePerPart * ahead) * typicalDelay(); }
  // Delay of an attempt as its queue at the send predicts it, ns.
  double predictedDelay(const Attempt& a) const { return queuedDelay(a.partsAtSend) + zoneLag(*a.server); }

  // How much longer all servers of a zone take than those of the nearest zone, ns: a slow path, which is no
  // fault of a single server and adds to each part alike. Protects against slow links, partitions and distant
  // zones; less than the unqueued delay is chance. Where most servers of a zone fail it may blame the zone
  // for a while.
  double zoneLag(const Server& r) const {
    double own = 0;
    double least = kInfinity;
    for (const auto& [zone, lag] : zoneLags) {
      least = std::min(least, decayed(lag, 0));
      if (zone == r.zone) own = decayed(lag, 0);
    }
    return own - least > unqueued() ? own - least : 0;
  }
  // Moves the lag of the server's zone a fixed step towards an observed one, so that it follows the median.
  void updateZoneLag(const Server& r, double excess) {
    if (!hearsPeers()) return;
    const double lag = decayed(zoneLags[r.zone], 0);
    const double step = kZoneLagStep * std::max(unqueued(), lag);
    zoneLags[r.zone] = {std::max(0.0, lag + (excess > lag ? step : -step)), now};
  }
  // Corrects the predicted queue of the attempt's server by an observed delay.
  void correctQueue(const Attempt& a, double delay) {
    const double early = predictedDelay(a) - delay;  // answered sooner than predicted
    a.server->busyUntil = std::max(now, a.server->busyUntil - nanos(kQueueCorrection * early));
  }
  // Adds parts to the predicted queue of the server; a negative count removes them.
  void addToQueue(Server& r, int count = 1) {
    const Nanos work = nanos(count * kKnownQueuePerPart * typicalDelay() * decayed(r.slowness, 1));
    r.busyUntil = std::min(std::max(r.busyUntil, now) + work, now + nanos(kMaxQueueAims * num(shortestAim)));
  }

  // ---- delays and ranking ----

  // Adds the delay of a delivered part to the samples and updates percentiles and baselines.
  void addSample(double delay) {
    samples.push_back(delay);
    if (samples.size() > kMaxSamples) samples.pop_front();
    std::vector<double> sorted(samples.begin(), samples.end());
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&](std::size_t tenths) { return sorted[samples.size() * tenths / 10]; };
    p10Delay = at(1);
    medianDelay = at(5);
    p90Delay = at(9);
    if (!hasSamples()) return;
    const double drift = kBaselineDriftPerAim * num(now - lastSampleAt) / num(shortestAim);
    unqueuedDelay = unqueuedDelay > 0 ? std::min(p10Delay, unqueuedDelay * (1 + drift)) : p10Delay;
    calmMedian = calmMedian > 0 ? std::min(medianDelay, calmMedian * (1 + drift)) : medianDelay;
    // The lowest tenth of only a few samples is their minimum: a baseline based on it would stay too low.
    fullSetP10 = samples.size() == kMaxSamples && fullSetP10 > 0
                     ? std::min(p10Delay, fullSetP10 * (1 + drift))
                     : p10Delay;
    lastSampleAt = now;
  }

  // Share of the hedging budget that may be earned: 1 when delays show no queueing, 0 under overload.
  double hedgingShare() const {
    return hasSamples() ? std::clamp((kOverloadMedianRatio - medianDelay / calmMedian) /
                                         (kOverloadMedianRatio - kCalmMedianRatio),
                                     0.0, 1.0)
                        : 1;
  }

  bool hasSamples() const { return samples.size() >= kMinSamples; }
  // Delay of a part at a server without a queue, at the pace at which all servers have answered lately, ns.
  double typicalDelay() const {
    if (!hasSamples()) return kInitialWorkAims * num(shortestAim);
    return std::min(calmMedian, kMaxTypicalRatio * unqueuedDelay) * decayed({pace, lastSampleAt}, 1, 1);
  }
  // Unqueued delay of a part, or the assumed one while there are too few samples, ns.
  double unqueued() const { return hasSamples() ? unqueuedDelay : kInitialWorkAims * num(shortestAim); }

  // A part's own work in a delay that includes the overhead of a call: at least half of it.
  double partWork(double whole) const { return std::max(whole / 2, whole - num(settings.callOverhead)); }

  // Time after which an unanswered part of the class counts as late, ns.
  double lateAfter(const QueryClass& cls) const {
    const double most = kMaxLateClassAims * num(cls.aim);
    const double late =
        hasSamples() ? std::min(most, std::max(kLateP90Ratio * p90Delay, kLateMedianRatio * medianDelay))
                     : most;
    return std::max(late, num(cls.minLateTime));
  }

  // Share of its capacity that a server of this age has.
  double warmth(Nanos age) const {
    if (settings.warmUpTime <= 0 || age >= settings.warmUpTime) return 1;
    return settings.coldCapacityShare +
           (1 - settings.coldCapacityShare) * num(std::max<Nanos>(age, 0)) / num(settings.warmUpTime);
  }
  bool isCold(const Server& r) const { return r.startedAt > 0 && now - r.startedAt < settings.warmUpTime; }

  // Mean of the last delays of a shard's holders, ns; below 0: none is known.
  double meanShardDelay(int shard) const {
    double sum = 0;
    double n = 0;
    for (const auto* r : holders[idx(shard)]) {
      const auto& record = r->shardRecords[idx(shard)];
      if (record.lastDelay >= 0) {
        sum += record.lastDelay;
        n += 1;
      }
    }
    return n > 0 ? sum / n : -1;
  }

  // Expected delay of a part at a replica, ns, by which replicas are ranked and queries admitted. OPEN takes
  // the last delay of this shard at this replica, or the guess while a part is pending there. Added to that:
  // the last delay decays towards what the server shows in general, own parts in flight count as queue, and
  // the age of the oldest unanswered part is a lower bound.
  double expectedDelay(const Server& r, int shard, const QueryClass& cls, bool forAdmission = false) const {
    const auto& record = r.shardRecords[idx(shard)];
    const double aim = num(cls.aim);
    const double mean = meanShardDelay(shard);
    const double largest = roundDelays[idx(shard)];
    double general = mean >= 0 ? mean : aim / 2;
    if (r.lastReplyAt > 0 && hasSamples())
      general = (hearsPeers() ? typicalDelay() : medianDelay) * decayed(r.slowness, 1);
    general += zoneLag(r);
    double guess = general;
    double partsAtSend = 0;
    if (record.lastDelay >= 0) {
      const double keep = std::exp(-num(now - record.heardAt) / (kDelayDecayClassAims * aim));
      guess = keep * record.lastDelay + (1 - keep) * general;
      partsAtSend = keep * record.partsAtSend;
    }
    if (record.pending > 0)
      guess = std::max({guess, largest >= 0 ? largest + kPendingGuessNs : 0, num(now - record.pendingSince)});
    if (isCold(r) && record.lastDelay < 0) guess = std::max(guess, unqueued() / warmth(now - r.startedAt));
    // A cold server that received nothing for an aim gets one part: among quick replicas no query would
    // choose it for a long time.
    if (isCold(r) && r.lastReplyAt == 0 && r.inFlight.empty() && now - r.startedAt > shortestAim)
      guess = unqueued();
    // Without peer messages the ranking assumes that the other aggregators herd as this one does. Parts that
    // join a call of this turn cost only their own work.
    const double own = forAdmission
                           ? kAdmissionQueuePerPart
                           : std::max(kAdmissionQueuePerPart, kRankingQueuePerPart * settings.aggregators);
    const int joined = r.callTurn == turn ? r.callParts : 0;
    guess += (partsAt(r) - joined - partsAtSend) *
             (hearsPeers() ? kKnownQueuePerPart * typicalDelay() : own * unqueued());
    guess += joined * partWork(unqueued()) / 2;
    if (joined % settings.partsPerCall == 0) guess += kNewCallCost * num(settings.callOverhead);
    guess = std::max(guess, unqueued());
    if (!r.inFlight.empty() && r.lastReplyAt < *r.inFlight.begin())
      guess = std::max(guess, num(now - *r.inFlight.begin()));
    return guess * (r.zone == settings.zone ? 1 : 1 + kCrossZoneWeight * settings.crossZonePrice);
  }

  // Delay of a part as admission control expects it, ns. A replica with nothing in flight that has been idle
  // for longer than its expected delay has had time to drain, so it counts as free and the query tests it.
  // Otherwise admission control could refuse everything on evidence of its own that is never renewed.
  double admissionDelay(const Part& part, const Query& q) {
    const auto* r = pickReplica(part, *q.cls).server;
    const Nanos unblocked = unblockedAt(part);
    if (!r)
      return unblocked < q.dueAt ? num(unblocked - now) + unqueued() + waitAtLimit(part, *q.cls) : kInfinity;
    // That a server was never heard says nothing against it while the others answer: it counts as typical.
    const bool unheard = r->lastReplyAt == 0 && r->shardRecords[idx(part.shard)].lastDelay < 0;
    if (hearsPeers() && hasSamples() && unheard) return queuedDelay(partsAt(*r));
    const double delay = expectedDelay(*r, part.shard, *q.cls, true);
    return !hearsPeers() && r->inFlight.empty() && num(now - r->lastReplyAt) > delay ? 0 : delay;
  }

  // Wait for the holders of a shard that are at their limits, behind the parts that already wait for them,
  // ns; 0: none is at its limit.
  double waitAtLimit(const Part& part, const QueryClass& cls) const {
    double least = kInfinity;
    for (const auto* r : holders[idx(part.shard)])
      if (r->state == ServerState::up && r->atLimit())
        least = std::min(least, expectedDelay(*r, part.shard, cls, true) *
                                    (1 + waitingParts[idx(part.shard)] / std::max(1.0, r->window)));
    return least < kInfinity ? least : 0;
  }

  // OPEN's choice: the lowest expected delay among the replicas without a pending part; those with one when
  // no other is left. Added to that: also when every replica without a pending part looks slower by
  // kPendingReplicaRatio, since one part in flight at a sound server says less than the record of a failing
  // one. Ejected servers come last.
  Candidate pickReplica(const Part& part, const QueryClass& cls) {
    std::array<Candidate, 3> best;  // without pending part, with one, ejected or already tried
    for (auto* r : holders[idx(part.shard)]) {
      if (!mayReceive(*r, part)) continue;
      const bool pending = r->shardRecords[idx(part.shard)].pending > 0;
      const bool ejected = isEjected(*r) && (mayHedge(cls) || !mayProbe(*r));
      auto& slot = best[part.hasAttemptAt(*r, false) || ejected ? 2 : pending ? 1 : 0];
      const double delay = expectedDelay(*r, part.shard, cls);
      const bool tie = delay == slot.delay && slot.server;
      if (!slot.server || delay < slot.delay || (tie && r->tieBreak < slot.server->tieBreak))
        slot = {r, delay};
    }
    if (best[0].server && best[0].delay <= kPendingReplicaRatio * best[1].delay) return best[0];
    if (best[1].server) return best[1];
    return best[0].server ? best[0] : best[2];
  }

  // Picks a random healthy replica other than the first.
  Server* pickHedgeReplica(const Part& part, const Server& first) {
    std::vector<Server*> others;
    for (auto* r : holders[idx(part.shard)])
      if (r != &first && !isEjected(*r) && mayReceive(*r, part)) others.push_back(r);
    return others.empty() ? nullptr : others[random() % others.size()];
  }

  // ---- limits: every send must pass both of these checks ----

  // Whether the server may receive the part now.
  bool mayReceive(Server& r, const Part& part) {
    // Settings::drainGrace is not used: the update that announces the drain may be late itself.
    if (r.state != ServerState::up || now < r.blockedUntil || part.hasAttemptAt(r, true) || r.atLimit())
      return false;
    if (settings.overloadMultiple <= 0 || !isCold(r)) return true;
    // Slow start. A cold server gets at most this aggregator's fair share of the load that would overload it,
    // computed for the warmth at the start of the window and for a single core, since neither the cores nor
    // the traffic of others are known. Where the share is less than one part the window is stretched; each
    // instance's window starts at a different time, so the sum stays below the limit however many there are.
    // Among many instances each sends rarely and at random times, so that it may save up unused shares: their
    // sum is even. The fewer instances there are, the fewer windows may be saved up.
    const double windows =
        std::clamp(kSavedWindowsPerRoot * std::sqrt(settings.aggregators), 1.0, kMaxSavedWindows);
    // The fewer instances there are, the less their sum evens out an estimate of work that is too low by
    // chance, so that the estimate's minimum is higher.
    const double workPerPart = std::max(partWork(unqueued()), kMinWorkRatio / windows * partWork(fullSetP10));
    const double share = kFairShareUsed * settings.overloadMultiple *
                         warmth(now - r.startedAt - settings.overloadWindow) * num(settings.overloadWindow) /
                         settings.aggregators;
    const double window = num(settings.overloadWindow) * std::max(windows, workPerPart / share);
    const double phase = num(settings.number % settings.aggregators) / settings.aggregators;
    if (num(now - r.startedAt) < phase * (window - num(settings.overloadWindow))) return false;
    const auto recent = std::count_if(r.recentSends.begin(), r.recentSends.end(),
                                      [&](Nanos at) { return num(now - at) < window; });
    return num(recent + 1) * workPerPart <= std::max(windows * share, workPerPart);
  }

  // Whether the part may have an attempt, or another one, now.
  bool mayAttempt(const Query& q, const Part& part) {
    if (part.delivered || part.step != q.step || now >= q.dueAt) return false;
    if (part.attempts.empty()) return true;
    if (num(part.attempts.size()) >= maxAttemptsFor(settings, *q.cls)) return false;
    // Protects a fleet whose queues are full: if all aggregators retried rejected parts at all other holders
    // the queues would stay full.
    if (part.attempts.back().rejected && unseenShare() > 0 && rejectedRetryTokens < 1) return false;
    if (part.isInFlight() && !(settings.hedging && q.cls->copies)) return false;
    for (const auto& a : part.attempts) {
      if (!a.mayHaveRun) continue;
      if (q.cls->effect == Effect::unsafe) return false;
      if (q.cls->effect == Effect::keyed && now + settings.tick > a.sentAt + q.cls->keyedWindow) return false;
    }
    return withinRetryBudget(1);
  }

  // Share of the fleet's traffic that this aggregator must allow for but does not see: 0 in a small fleet.
  double unseenShare() const { return std::max(0.0, 1 - kSmallFleetAggregators / settings.aggregators); }

  // Whether another attempt fits into the given share of the retry budget.
  bool withinRetryBudget(double share) {
    if (!settings.budget) return true;
    const RetryBudget& budget = *settings.budget;
    while (!acceptedAt.empty() && acceptedAt.front() <= now - budget.window) acceptedAt.pop_front();
    while (!retriedAt.empty() && retriedAt.front() < now - budget.window) retriedAt.pop_front();
    return num(retriedAt.size() + 1) <=
           share * (budget.free + budget.attemptsPerAccepted * num(acceptedAt.size()));
  }

  // ---- sending ----

  // Sends the part to the server if both checks allow it, and accounts for it. Returns whether it was sent.
  bool send(Query& q, Part& part, Server& r) {
    if (!mayReceive(r, part) || !mayAttempt(q, part)) return false;
    if (!part.attempts.empty()) {
      retriedAt.push_back(now);
      if (part.attempts.back().rejected) rejectedRetryTokens = std::max(0.0, rejectedRetryTokens - 1);
    } else {
      const double width = num(q.parts.size());
      const auto earn = [&](double& tokens, double share) {  // what a wide query earns may be spent at once
        tokens = std::min(std::max({kMaxSavedTokens, tokens, share * width}), tokens + share);
      };
      const double ownWorkShare = std::max(0.0, unqueued() - num(settings.callOverhead)) / unqueued();
      earn(immediateHedgeTokens, kImmediateHedgeShare * ownWorkShare * hedgingShare());
      earn(hedgeTokens, kHedgeShare * ownWorkShare * hedgingShare());
      earn(timeoutRetryTokens, kTimeoutRetryShare);
      earn(probeTokens, kProbeShare);
      earn(rejectedRetryTokens, kRejectedRetryShare);
    }
    if (r.ejectionTime > 0) probeTokens = std::max(0.0, probeTokens - 1);
    part.wanted = true;
    const double partsAhead = partsAt(r);
    part.attempts.push_back(Attempt{&r, now, partsAhead});
    addToQueue(r);
    if (settings.messages) sentThisTurn.push_back(&r);
    if (r.callTurn != turn) {
      r.callTurn = turn;
      r.callParts = 0;
    }
    ++r.callParts;
    if (r.inFlight.empty()) r.waitingSince = now;
    r.inFlight.insert(now);
    r.recentSends.push_back(now);
    while (r.recentSends.front() <= now - std::max({settings.overloadWindow, settings.warmUpTime, Nanos{1}}))
      r.recentSends.pop_front();
    auto& record = r.shardRecords[idx(part.shard)];
    ++record.pending;
    record.pendingSince = now;
    actions.push_back(Send{part.id, r.id, 0});
    return true;
  }

  // Sends the part to the best replica, which starts a new round of its shard. Returns whether it was sent.
  bool sendToBest(Query& q, Part& part) {
    if (isCautious(q) && q.anyInFlight()) return false;
    const auto best = pickReplica(part, *q.cls);
    if (!best.server || !send(q, part, *best.server)) return false;
    roundDelays[idx(part.shard)] = -1;
    return true;
  }

  // Sends probes and hedges the part that is expected to take longest, since it decides when the query ends.
  void sendImmediateHedge(Query& q) {
    if (!mayHedge(*q.cls) || isCautious(q)) return;
    sendProbes(q);
    if (immediateHedgeTokens < 1 || hedgeTokens < 1 || !withinRetryBudget(kHedgeBudgetShare)) return;
    Part* slowest = nullptr;
    double slowestDelay = -1;
    for (auto& part : q.parts) {
      if (part.step != q.step || part.attempts.size() != 1 || !part.isInFlight()) continue;
      const double delay = expectedDelay(*part.attempts.front().server, part.shard, *q.cls);
      if (delay > slowestDelay) {
        slowest = &part;
        slowestDelay = delay;
      }
    }
    auto* other = slowest ? pickHedgeReplica(*slowest, *slowest->attempts.front().server) : nullptr;
    if (other && send(q, *slowest, *other)) {
      immediateHedgeTokens -= 1;
      hedgeTokens -= 1;
    }
  }

  bool mayHedge(const QueryClass& cls) const {
    return settings.hedging && cls.copies && cls.effect == Effect::safe;
  }

  // Probes ejected servers with hedged requests of parts that are in flight elsewhere, so that no query has
  // to find out that a server still fails: an aggregator that sends rarely would try it anew with every
  // query, and so would all aggregators.
  void sendProbes(Query& q) {
    for (auto& part : q.parts) {
      if (part.step != q.step || part.attempts.size() != 1 || !part.isInFlight()) continue;
      for (auto* r : holders[idx(part.shard)])
        if (mayProbe(*r) && withinRetryBudget(kHedgeBudgetShare) && send(q, part, *r)) break;
    }
  }

  // Gives up on an attempt, if it is still in flight, and learns from its age.
  void cancelAttempt(Part& part, std::size_t at) {
    auto& a = part.attempts[at];
    if (!a.inFlight) return;
    // An abandoned attempt is an observation too: its delay would have been longer than its age.
    auto& record = a.server->shardRecords[idx(part.shard)];
    const auto age = num(now - a.sentAt);
    if (age > predictedDelay(a)) {
      correctQueue(a, age);
      updateZoneLag(*a.server, age - predictedDelay(a) + zoneLag(*a.server));
    }
    if (age > std::max(record.lastDelay, medianDelay)) {
      record.lastDelay = age;
      record.heardAt = now;
      record.partsAtSend = a.partsAtSend;
    }
    settleAttempt(part, a);
    if (settings.cancelling) actions.push_back(Cancel{part.id, static_cast<int>(at)});
  }

  void cancelAll(Query& q) {
    for (auto& part : q.parts)
      for (std::size_t i = 0; i < part.attempts.size(); ++i) cancelAttempt(part, i);
  }

  // Marks the attempt as no longer in flight.
  void settleAttempt(const Part& part, Attempt& a) {
    a.inFlight = false;
    a.server->inFlight.erase(a.server->inFlight.find(a.sentAt));
    const Nanos waited = now - a.server->waitingSince;
    // A wait longer than answers take at present is remembered: the server may stay unresponsive over several
    // queries of which none waits long enough to find out.
    if (a.server->inFlight.empty() &&
        num(waited) > kLateMedianRatio * std::max(medianDelay, samples.empty() ? 0 : samples.back()))
      a.server->unansweredTime += waited;
    --a.server->shardRecords[idx(part.shard)].pending;
  }

  // ---- outlier ejection and outcomes ----

  bool isEjected(const Server& r) const { return isSuspected(r) || r.ejectionTime > 0; }
  // Whether the ejection time is over, so that single probes may find out whether the server has recovered.
  bool mayProbe(const Server& r) const {
    return r.ejectionTime > 0 && now >= r.ejectedUntil && r.inFlight.empty() && probeTokens >= 1 &&
           !isSuspected(r);
  }

  // Ejects the server, for twice as long as the last time. Returns false if it is ejected already.
  bool eject(Server& r, const char* why, bool longest = false) {
    if (r.ejectionTime > 0 && now < r.ejectedUntil) return false;
    const double most = kMaxEjectionAims * num(shortestAim);
    r.ejectionTime = longest ? most
                             : std::min(most, r.ejectionTime > 0 ? 2 * r.ejectionTime
                                                                 : kFirstEjectionAims * num(shortestAim));
    r.ejectedUntil = now + nanos(r.ejectionTime);
    log("server " + std::to_string(r.id) + " set aside: " + why);
    return true;
  }

  // Ejects and blocks a server that failed at once: a further part would fail too for a while and, where a
  // call costs work, would keep an overloaded server overloaded. Prevents storms of immediate failures,
  // whatever their cause. The block never lasts for the whole of a long ejection: the server may be the last
  // holder left, as during a release, and parts can wait for it.
  void block(Server& r, const char* why) {
    eject(r, why);
    r.blockedUntil = std::min(r.ejectedUntil, now + nanos(kMaxBlockAims * num(shortestAim)));
  }
  // Ejects an overloaded server and shrinks its concurrency window below the own parts that it held; the
  // window grows again with each answer. Protects the last holder of a shard: if it were blocked it would
  // run idle, and all parts waiting for it would then arrive at once and overload it again. Parts sent
  // before the last cut carry no new information. A server that held no own part is blocked: the parts of
  // others fill it.
  void reduceWindow(Server& r, Nanos sentAt) {
    eject(r, "full");
    if (r.inFlight.empty()) {
      block(r, "full");
      return;
    }
    if (r.windowCutAt >= 0 && sentAt <= r.windowCutAt) return;
    r.window =
        kWindowDecrease * (r.windowCutAt >= 0 ? std::min(r.window, r.inFlightCount()) : r.inFlightCount());
    r.windowCutAt = now;
  }
  // Returns when the first holder of the part's shard that is up may receive again; the maximum if none
  // is up.
  Nanos unblockedAt(const Part& part) const {
    Nanos first = std::numeric_limits<Nanos>::max();
    for (const auto* r : holders[idx(part.shard)])
      if (r->state == ServerState::up) first = std::min(first, std::max(now, r->blockedUntil));
    return first;
  }

  // Counts a failure. Returns true when there are too many in a row to be chance. A server is not ejected for
  // a single broken connection: where nodes close and reset connections now and then, the load of the ejected
  // servers would overwhelm the others.
  bool countFailure(Server& r) {
    if (r.failures == 0 || num(now - r.lastFailureAt) > kSameFailureRatio * unqueued()) {
      ++r.failures;
      r.lastFailureAt = now;
    }
    return r.failures >= kMinFailures;
  }

  void onEvent(const AttemptEnded& e) {
    const auto owner = queryByRequest.find(e.part);
    if (owner == queryByRequest.end()) return;
    auto& q = queries.at(owner->second);
    const auto sameId = [&](const Part& p) { return p.id == e.part; };
    const auto found = std::find_if(q.parts.begin(), q.parts.end(), sameId);
    if (found == q.parts.end() || e.attempt < 0 || idx(e.attempt) >= found->attempts.size()) return;
    Part& part = *found;
    Attempt& a = part.attempts[idx(e.attempt)];
    Server& r = *a.server;
    if (a.inFlight) settleAttempt(part, a);
    if (e.outcome == Outcome::delivered) {
      q.proven = true;
      onDelivered(part, a, num(std::max<Nanos>(e.delay, 0)));
      return;
    }
    const bool rejected = e.outcome == Outcome::rejected;
    const bool connectFailed = e.outcome == Outcome::connectFailed;
    if (!mayHaveRun(e.outcome)) a.mayHaveRun = false;
    if (rejected || e.outcome == Outcome::error) {  // a sign of life
      r.waitingSince = now;
      r.unansweredTime = 0;
    }
    if (e.outcome == Outcome::notSent || e.outcome == Outcome::cancelled) return;
    a.rejected = rejected;
    addToQueue(r, -1);
    if (const auto at = std::find(sentLastTurn.begin(), sentLastTurn.end(), &r); at != sentLastTurn.end())
      sentLastTurn.erase(at);
    penalize(part, r);  // a server that fails fast must not look like the quickest one
    if (rejected) {
      reduceWindow(r, a.sentAt);
      return;
    }
    // A connection attempt that takes long to fail: the machine does not even refuse connections.
    const bool unreachable = connectFailed && num(e.delay) > kSameFailureRatio * unqueued();
    const bool confirmed = countFailure(r) || unreachable;
    if (connectFailed && confirmed) eject(r, "no connection", true);
    if (e.outcome == Outcome::error && confirmed) block(r, "errors");
    if (e.outcome != Outcome::reset) return;
    if (num(e.delay) < kImmediateResetRatio * unqueued()) {
      if (confirmed) eject(r, "connection refused", true);
      return;
    }
    if (confirmed) block(r, "connection broke");
    lastBreakageAt = now;
    if (std::find(q.brokenServers.begin(), q.brokenServers.end(), &r) == q.brokenServers.end())
      q.brokenServers.push_back(&r);
  }

  // Learns from an answer and cancels the part's other attempts.
  void onDelivered(Part& part, Attempt& a, double delay) {
    Server& r = *a.server;
    auto& record = r.shardRecords[idx(part.shard)];
    record.lastDelay = delay;
    record.heardAt = now;
    record.partsAtSend = a.partsAtSend;
    correctQueue(a, delay);
    roundDelays[idx(part.shard)] = std::max(roundDelays[idx(part.shard)], delay);
    if (medianDelay > 0) {
      double usual = medianDelay + zoneLag(r);
      if (hearsPeers()) {
        usual = predictedDelay(a);
        pace = std::clamp(pace * (delay > usual ? 1 + kPaceStep : 1 - kPaceStep), kMinPace, kMaxPace);
      }
      updateZoneLag(r, delay - usual + zoneLag(r));
      r.slowness = {kSlownessKept * decayed(r.slowness, 1) + kSlownessAdded * delay / usual, now};
      if (hearsPeers() && r.slowness.value > kSlowServerRatio) foundUnresponsive.push_back(&r);
    }
    r.lastReplyAt = now;
    r.waitingSince = now;
    r.unansweredTime = 0;
    r.failures = 0;
    if (r.windowCutAt >= 0)
      r.window = std::max(1.0, r.window) + kWindowIncreaseParts / std::max(1.0, r.window);
    r.newestAnsweredSendAt = std::max(r.newestAnsweredSendAt, a.sentAt);
    // An answer as late as those that led to the ejection is no sign of recovery.
    const bool quick = delay <= std::max(lateAfter(settings.classes.front()), kLateP90Ratio * p90Delay);
    if (r.ejectionTime > 0 && now >= r.ejectedUntil && quick) {
      r.ejectionTime = 0;
      log("server " + std::to_string(r.id) + " is back");
    }
    addSample(delay);
    part.delivered = true;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) cancelAttempt(part, i);
  }

  // ---- queries that break servers ----

  // Whether the query is tried with one part at a time and without hedging. A query is to blame for broken
  // servers when every part of it that had any effect broke its connection. Until a server has survived one
  // of its parts, caution applies if a server broke under it, if it is a client retry while connections
  // break, or if it is wide and there is time. Protects against queries that bring servers down for whatever
  // reason, and costs a harmless query the time of one part.
  bool isCautious(const Query& q) const { return !q.proven && (q.suspect || !q.brokenServers.empty()); }

  // Chooses the part to be tried first at random: retries of the same query must not break all replicas of
  // one shard.
  void shuffleParts(Query& q) {
    if (isCautious(q) && !q.anyInFlight()) std::shuffle(q.parts.begin(), q.parts.end(), random);
  }

  // Raises the recorded delay after a failure, so that the shard's other replicas come first. It is no
  // measured delay and therefore bounded by the shortest aim.
  void penalize(const Part& part, Server& r) {
    auto& record = r.shardRecords[idx(part.shard)];
    const double least = std::max(record.lastDelay, 2 * std::max(meanShardDelay(part.shard), medianDelay));
    record.lastDelay = std::min(least, num(shortestAim));
    record.heardAt = now;
    record.partsAtSend = partsAt(r);
    const double usual = std::max({medianDelay, unqueued(), 1.0});  // answers may have taken no time at all
    r.slowness = {kSlownessKept * decayed(r.slowness, 1) + kSlownessAdded * num(shortestAim) / usual, now};
  }

  // Ejects servers that have answered nothing for long: a server that hangs, is cut off, stalls or is very
  // slow fails for all its shards. Not when most servers look like that at once: then all are slow, and
  // moving the load would only add to it.
  void ejectUnresponsive() {
    const double limit =
        kUnresponsiveLateTimes * std::max(lateAfter(settings.classes.front()), num(minLateTime));
    int waitedFor = 0;  // servers that parts wait for
    std::vector<Server*> unresponsive;
    for (auto& [id, r] : servers) {
      if (isGone(r)) continue;
      const Nanos waited = r.unresponsiveFor(now);
      waitedFor += waited > 0;
      if (num(waited) > limit) unresponsive.push_back(&r);
    }
    if (2 * unresponsive.size() > idx(waitedFor) && waitedFor > 2) return;
    for (auto* r : unresponsive) {
      if (!eject(*r, "silent")) continue;
      foundUnresponsive.push_back(r);
      r->unansweredTime = 0;
    }
  }

  // ---- course of a query ----

  void onEvent(const QueryArrived& e) {
    if (e.queryClass < 0 || idx(e.queryClass) >= settings.classes.size()) {
      actions.push_back(Refuse{e.id, 0});
      return;
    }
    if (queries.count(e.number) > 0 || !queryByRequest.try_emplace(e.id, e.number).second) return;
    clientRetries += e.repeat;
    Query q{.id = e.id, .arrivedAt = now, .dueAt = now + e.timeLeft, .isRetry = e.repeat};
    q.cls = &settings.classes[idx(e.queryClass)];
    q.aimAt = now + q.cls->aim - timeSpent(e, *q.cls);
    queries.try_emplace(e.number, std::move(q));
    if (settings.budget) acceptedAt.push_back(now);
  }

  // Estimates how much of its time a client has used up on earlier tries, ns. Each try is given the same time
  // or what is left of the deadline; only the latter reveals how much is gone. Where retries are not marked,
  // a try with less time than usual counts as a retry, unless its time is below kImpatientClientShare of the
  // aim: then the client may just be impatient.
  Nanos timeSpent(const QueryArrived& e, const QueryClass& cls) {
    auto& [usual, votes] = firstTryTimes[idx(e.queryClass)];
    const bool same = std::abs(e.timeLeft - usual) <= usual / 100;
    if (!e.repeat) votes = std::clamp(votes + (same ? 1 : -1), 0, kMaxTryTimeVotes);
    if (!e.repeat && votes == 0) usual = e.timeLeft;
    if (settings.retriesMarked ? !e.repeat : num(e.timeLeft) < kImpatientClientShare * num(cls.aim)) return 0;
    if (same || (!settings.retriesMarked && votes < kMaxTryTimeVotes / 2)) return 0;
    return std::clamp<Nanos>(cls.deadline - e.timeLeft, 0, cls.deadline);
  }

  void onEvent(const PartArrived& e) {
    const auto at = queries.find(e.query);
    const bool invalid = at == queries.end() || e.shard < 0 || e.shard >= settings.shards;
    if (invalid || !queryByRequest.try_emplace(e.id, e.query).second) return;
    at->second.parts.push_back(Part{e.id, e.shard, at->second.step, e.weight, false, false, {}});
    at->second.planned = false;
    if (settings.budget) acceptedAt.push_back(now);
  }

  // Weight of delivered parts that completes the query's present step.
  double neededWeight(const Query& q) const {
    return q.step == 1 ? std::min(q.targetWeight, q.cls->need) : 1.0;
  }

  // Estimated share of refusals that are followed by a client retry. The others relieve nobody: they are
  // lost queries.
  double clientRetryShare() const {
    return std::min(1.0, (kClientRetryPrior + num(clientRetries)) / (kClientRetryPrior + num(refusals)));
  }

  // Admission control and first sends of the query's present step. Sends as many parts as the class
  // needs, those with the lowest expected delay first; the rest are spares. Refuses the query when the
  // slowest of them is not expected within the aim, since the work would be wasted. Returns false if the
  // query was refused.
  bool planQuery(Query& q) {
    q.planned = true;
    std::vector<std::pair<double, Part*>> order;
    for (auto& part : q.parts)
      if (part.step == q.step) order.emplace_back(admissionDelay(part, q), &part);
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& x, const auto& y) { return x.first < y.first; });
    const Nanos end = q.aimAt <= now && q.cls->lateWorth > 0 ? q.dueAt : std::min(q.aimAt, q.dueAt);
    const double aim = num(end - now) - (q.step == 1 && q.cls->secondStepParts > 0 ? medianDelay : 0);
    // The limit is also strict where most of the load comes from others: there nothing else keeps an overload
    // from sustaining itself.
    const double strictness = settings.retryAfter ? std::max(clientRetryShare(), unseenShare()) : 0;
    const double share = kAdmissionAims + (kAdmissionAimsWithRetry - kAdmissionAims) * strictness;
    const double limit = share * aim;
    double weight = 0;
    double slowest = 0;
    for (auto& [delay, part] : order) {
      // A partial answer omits the parts that would feed an overload: crowded servers are left to queries
      // that need every part.
      const bool optional = q.step == 1 && q.cls->floor < q.cls->need && weight >= q.cls->floor;
      const auto* r = optional ? pickReplica(*part, *q.cls).server : nullptr;
      const bool crowded = r ? hearsPeers() && num(r->busyUntil - now) > share * num(shortestAim)
                             : waitAtLimit(*part, *q.cls) > 0;
      if (optional && (admissionBias * delay > limit || crowded)) q.targetWeight = weight;
      if (weight >= neededWeight(q) - kWeightTolerance) break;
      weight += part->weight;
      slowest = delay;
      part->wanted = true;
    }
    if (q.step == 1) {
      const bool wide = q.parts.size() > 1 && kWideQueryShare * num(servers.size()) < num(q.parts.size());
      const bool breakages =
          lastBreakageAt >= 0 && now - lastBreakageAt < kBreakageMemoryDeadlines * maxDeadline;
      const bool hasTime = hedgingShare() > 0 && 2 * (medianDelay + 2 * p90Delay) < num(q.cls->aim);
      q.suspect = (breakages && q.isRetry) || ((breakages || wide) && hasSamples() && hasTime);
      q.held = q.suspect;
    }
    // Own samples older than the aim refuse nothing: with every query refused there would be no new ones.
    const bool stale = hearsPeers() && num(now - lastSampleAt) > num(shortestAim);
    if (q.step == 1 && admissionBias * slowest > limit && ((hasSamples() && !stale) || slowest == kInfinity))
      return !refuse(q, nanos(slowest < kInfinity ? slowest / 2 : unqueued()));
    // One aggregator of many gets too few answers to notice that the fleet is overloaded: it would admit each
    // query as a test, as would all others. To keep such an overload from sustaining itself each aggregator
    // sheds a share of its queries that follows how late its latest ones were.
    const double shed = kMaxShedShare * unseenShare() * decayed(overload, 0);
    if (q.step == 1 && shed > 0 && uniform01() < shed)
      return !refuse(q, nanos((0.5 + uniform01()) * kMaxBlockAims * num(shortestAim)));
    q.expectedDelay = slowest;
    shuffleParts(q);
    sendPlanned(q);
    return true;
  }

  // Sends all wanted parts of the present step that have not been sent yet.
  void sendPlanned(Query& q) {
    for (auto& part : q.parts)
      if (part.wanted && part.step == q.step && part.attempts.empty()) sendToBest(q, part);
    sendImmediateHedge(q);
  }

  // Advances the parts of a query: those that could not be sent, that failed or that are late.
  void advanceParts(Query& q) {
    const double late = lateAfter(*q.cls);
    shuffleParts(q);
    if (q.held && !isCautious(q)) {
      q.held = false;
      sendPlanned(q);
    }
    for (auto& part : q.parts) {
      if (!part.wanted || part.delivered || part.step != q.step) continue;
      if (!part.isInFlight()) {
        if (sendToBest(q, part)) continue;
        waitingParts[idx(part.shard)] += 1;
        if (!isCautious(q)) sendSpare(q);
        continue;
      }
      if (isCautious(q)) {
        // A server that neither answers nor breaks in time proves nothing: the query goes on without caution.
        if (q.brokenServers.empty() && num(now - part.attempts.back().sentAt) > medianDelay)
          q.suspect = false;
        continue;
      }
      retryTimedOutAttempts(q, part, late);
      if (num(now - part.attempts.back().sentAt) < late || sendSpare(q)) continue;
      if (part.inFlightCount() > 1 || hedgeTokens < 1 || !withinRetryBudget(kHedgeBudgetShare)) continue;
      const auto other = pickReplica(part, *q.cls);
      if (!other.server || isEjected(*other.server) || now + nanos(other.delay) > q.dueAt) continue;
      if (send(q, part, *other.server)) hedgeTokens -= 1;
    }
  }

  // Gives up early on late attempts and retries them elsewhere, if their server is ejected or has since
  // answered a part that was sent well after this one. For servers that hang, vanish or drop single parts. An
  // overload causes few of these retries, since queued parts are not overtaken.
  void retryTimedOutAttempts(Query& q, Part& part, double late) {
    for (std::size_t i = 0; i < part.attempts.size() && timeoutRetryTokens >= 1; ++i) {
      const Attempt& a = part.attempts[i];
      const bool overtaken = num(a.server->newestAnsweredSendAt - a.sentAt) > medianDelay;
      if (!a.inFlight || num(now - a.sentAt) <= late) continue;
      if (!overtaken && now >= a.server->ejectedUntil) continue;
      const auto other = pickReplica(part, *q.cls);
      if (!other.server || isEjected(*other.server) || !send(q, part, *other.server)) continue;
      cancelAttempt(part, i);
      timeoutRetryTokens -= 1;
    }
  }

  // Sends a spare in place of a late part, unless the parts on time suffice; one at a time. The first send of
  // a spare is not a further attempt and uses no retry budget. Returns whether the query has what it needs.
  bool sendSpare(Query& q) {
    double onTime = 0;
    for (const auto& part : q.parts)
      if (part.step == q.step && part.wanted && !part.delivered && part.isInFlight() &&
          num(now - part.attempts.back().sentAt) < lateAfter(*q.cls))
        onTime += part.weight;
    if (q.deliveredWeight(q.step) + onTime >= neededWeight(q) - kWeightTolerance) return true;
    for (auto& part : q.parts)
      if (part.step == q.step && !part.wanted && sendToBest(q, part)) return true;
    return false;
  }

  // Ends the query when it is answered or can no longer be. Returns true when it has ended.
  bool tryConclude(Query& q) {
    const double delivered = q.deliveredWeight(q.step);
    const auto missing = [&](const Part& p) { return p.step == q.step && !p.delivered; };
    const bool complete = delivered >= neededWeight(q) - kWeightTolerance &&
                          (q.step == 1 || std::none_of(q.parts.begin(), q.parts.end(), missing));
    if (q.planned && complete && delivered >= q.cls->floor - kWeightTolerance)
      return answer(q, q.step == 1 ? delivered >= q.cls->need - kWeightTolerance : q.firstStepWhole);
    const double floor = q.step == 2 || q.cls->floor < q.cls->need ? q.cls->floor : kInfinity;
    const bool mayAnswer = delivered > 0 && delivered >= floor - kWeightTolerance;
    // Just before the aim, while an answer still arrives in time, a partial answer is given if a complete one
    // is worth no more after the aim.
    const double partialWorth =
        mayAnswer ? q.cls->partialWorth * delivered / std::max(q.cls->need, kWeightTolerance) : 0;
    const bool worthless =
        now + kAnswerLeadTicks * settings.tick >= q.aimAt && partialWorth >= q.cls->lateWorth;
    if (!q.proven && !q.anyInFlight() &&
        q.brokenServers.size() >= (q.suspect && q.isRetry ? 1 : kMinFailures)) {
      log("query blamed for " + std::to_string(q.brokenServers.size()) + " broken servers");
      return refuse(q, settings.maxRetryAfter);
    }
    if (now < q.dueAt - 2 * settings.tick && !worthless && canComplete(q)) return false;
    if (mayAnswer) return answer(q, false);
    if (q.planned) updateAdmissionBias(q);
    if (q.hasAttempts()) updateOverload(1);
    // Where only this aggregator cannot go on another one may: its client is advised to retry soon.
    return refuse(q, worthless ? settings.maxRetryAfter : nanos(unqueued()));
  }

  // Whether the parts that are delivered, in flight or can still be sent suffice for an answer.
  bool canComplete(const Query& q) {
    double sum = q.deliveredWeight(q.step);
    const Nanos end = q.cls->lateWorth > 0 ? q.dueAt : std::min(q.dueAt, q.aimAt);
    for (const auto& part : q.parts)
      if (part.step == q.step && !part.delivered &&
          (part.isInFlight() || (mayAttempt(q, part) && unblockedAt(part) < end)))
        sum += part.weight;
    return sum >= std::min(neededWeight(q), q.cls->floor) - kWeightTolerance;
  }

  // Learns from an admitted query how far the expected delays of admission control can be trusted. The closer
  // the query was to the limit, the larger the step.
  void updateAdmissionBias(const Query& q) {
    const double evidence = std::min(1.0, q.expectedDelay / num(q.cls->aim));
    if (q.step != 1 || q.suspect || !q.brokenServers.empty() || evidence < kMinBiasEvidenceShare ||
        q.expectedDelay >= kInfinity)
      return;
    const bool above = num(now - q.arrivedAt) > admissionBias * q.expectedDelay;
    admissionBias =
        std::clamp(admissionBias + kBiasStep * evidence * (above ? kBiasQuantile : kBiasQuantile - 1),
                   kMinBias, kMaxBias);
  }

  // Moves the overload estimate towards the latest query: 0 well in time, 1 past its aim.
  void updateOverload(double late) {
    overload = {decayed(overload, 0) + kOverloadStep * (late - decayed(overload, 0)), now};
  }

  // Answers the present step. Returns true when that ends the query.
  bool answer(Query& q, bool whole) {
    updateAdmissionBias(q);
    updateOverload(std::clamp(
        (num(now - q.arrivedAt) / num(q.cls->aim) - kAdmissionAimsWithRetry) / (1 - kAdmissionAimsWithRetry),
        0.0, 1.0));
    actions.push_back(Answer{q.id, whole});
    cancelAll(q);
    if (q.step == 1 && q.cls->secondStepParts > 0) {  // the second step's parts arrive in the next turn
      q.step = 2;
      q.firstStepWhole = whole;
      q.planned = true;
      return false;
    }
    forgetRequestIds(q);
    return true;
  }

  // Ends the query without an answer; always returns true. A refusal promises that a retry is safe. Where a
  // part of a non-idempotent query may have run it fails instead.
  bool refuse(Query& q, Nanos retryAfter) {
    const auto ran = [](const Attempt& a) { return a.mayHaveRun; };
    const bool retryIsSafe =
        q.cls->effect == Effect::safe || std::none_of(q.parts.begin(), q.parts.end(), [&](const Part& p) {
          return std::any_of(p.attempts.begin(), p.attempts.end(), ran);
        });
    const Nanos advice = settings.retryAfter ? std::min(retryAfter, settings.maxRetryAfter) : 0;
    refusals += retryIsSafe;
    if (retryIsSafe) {
      actions.push_back(Refuse{q.id, advice});
    } else {
      actions.push_back(Fail{q.id});
    }
    cancelAll(q);
    forgetRequestIds(q);
    return true;
  }

  void forgetRequestIds(const Query& q) {
    for (const auto& part : q.parts) queryByRequest.erase(part.id);
    queryByRequest.erase(q.id);
  }

  void onEvent(const QueryExpired& e) {
    const auto owner = queryByRequest.find(e.query);
    const auto at = owner == queryByRequest.end() ? queries.end() : queries.find(owner->second);
    if (at == queries.end() || at->second.id != e.query) return;
    cancelAll(at->second);
    forgetRequestIds(at->second);
    queries.erase(at);
  }

  void onEvent(const TimerFired&) {}  // the turn itself does the work
  void onEvent(const FleetChanged& e) {
    settings.aggregators = std::max(1, e.aggregators);
    settings.number = std::max(0, e.number);
  }
  void onEvent(const SentElsewhere& e) {
    if (const auto at = servers.find(e.server); at != servers.end()) at->second.recentSends.push_back(e.at);
  }

  // Advances everything after the events of a turn: servers, queries, server list, peers, timer.
  void runTurn() {
    ejectUnresponsive();
    std::fill(waitingParts.begin(), waitingParts.end(), 0);
    for (auto at = queries.begin(); at != queries.end();) {
      Query& q = at->second;
      bool ended = tryConclude(q);
      if (!ended && !q.planned) ended = !planQuery(q);
      if (!ended) advanceParts(q);
      at = ended ? queries.erase(at) : std::next(at);
    }
    if (listRequestAt >= 0 && now >= listRequestAt) {
      actions.push_back(Subscribe{true});
      listRequestAt = -1;
    }
    announceToPeers();
    scheduleTimer();
  }

  // Requests the next turn, unless an earlier timer is still running or there is nothing to wait for.
  void scheduleTimer() {
    const bool busy = !queries.empty();
    Nanos wait = std::max<Nanos>(
        1, busy ? std::max<Nanos>(2 * settings.tick, shortestAim / 100) : listRequestAt - now);
    for (const auto& [number, q] : queries)  // the last chances to answer must not fall between two turns
      for (const Nanos at : {q.aimAt - kAnswerLeadTicks * settings.tick, q.dueAt - 2 * settings.tick})
        if (at > now) wait = std::min(wait, at - now);
    if ((!busy && listRequestAt < 0) || (timerAt > now && timerAt <= now + wait)) return;
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
  if (i.settingsFault) return {};
  i.now = std::max(now, i.now);
  ++i.turn;
  for (const auto& event : events) std::visit([&](const auto& e) { i.onEvent(e); }, event);
  i.runTurn();
  return std::move(i.actions);
}

}  // namespace topazweir
