// The public interface of topazweir: settings, events, actions and the class Aggregator.
//
// An Aggregator receives queries, each divided into parts, one for each shard that the query touches. It
// decides which replica of a shard a part is sent to, when another attempt is made, and when the query gets
// its final answer. It performs no I/O and reads no clock: the caller passes in events together with the
// current time and carries out the returned actions. All times are nanoseconds on one monotonic clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace topazweir {

using Nanos = std::int64_t;      // a duration, or a point in time on the caller's clock, in nanoseconds
using ServerId = std::uint64_t;  // identifies one server process; opaque
using QueryNo = std::int64_t;    // identifies one query at this aggregator; never reused
using RequestId = std::string;   // the caller's id of a query or of a part; opaque, never reused

// ---- settings ----

// How the parts of a class may be repeated.
enum class Effect {
  safe,   // idempotent: any part may be repeated
  keyed,  // servers drop duplicates of a part for `keyedWindow` after its first attempt
  unsafe  // non-idempotent: a part may be repeated only when no earlier attempt can have run
};

// Service level and repeat rules of one class of queries. Shares and weights are fractions of 1; worth is in
// points.
struct QueryClass {
  std::string name;
  Nanos aim = 0;         // response time within which an answer earns its full worth
  Nanos deadline = 0;    // longest time that a client waits, over all its tries
  double worth = 1;      // points for a complete answer
  double lateWorth = 0;  // share of the worth that an answer keeps between aim and deadline
  Effect effect = Effect::safe;
  Nanos keyedWindow = 0;    // keyed classes: counted from the first attempt that may have run
  double need = 1;          // weight of delivered parts that makes an answer complete
  double floor = 1;         // weight below which no answer may be given
  double partialWorth = 0;  // an answer below `need` earns this times weight / need
  Nanos minLateTime = 0;    // a part is never late, nor its server unresponsive, before this time has passed;
                            // for services whose delays are short but vary widely
  int maxAttempts = 0;  // attempts for one part; 0: Settings::maxAttempts, which is always the upper limit
  bool copies = true;   // a part may have a hedged request, where Settings::hedging allows them
  int secondStepParts = 0;  // parts of a second step that follows the first answer; 0: no second step
  bool operator==(const QueryClass&) const = default;
};

// Retry budget: the attempts beyond each part's first that are allowed in any window of the given length.
struct RetryBudget {
  Nanos window = 0;
  double free = 0;  // allowed regardless of traffic
  double attemptsPerAccepted =
      0;  // allowed in addition for each query and each part accepted within the window
  bool operator==(const RetryBudget&) const = default;
};

// Everything an Aggregator is told about itself, its fleet, its servers and its limits.
struct Settings {
  std::uint64_t seed = 0;  // of the random generator
  int zone = 0;            // the zone that this aggregator runs in
  int aggregators = 1;     // number of aggregators that send to the same servers
  int number = 0;          // index of this aggregator among them, from 0
  Nanos tick = 0;          // shortest time between two calls of Aggregator::handle()
  std::vector<QueryClass> classes;
  int shards = 0;  // shard s is held by the servers of the cells (s + j) % cells for j in [0, reach)
  int cells = 1;
  int reach = 1;
  int partsPerCall = 1;        // parts sent to one server in one turn share a call, up to this many
  double parallel = 1;         // parts that one server works on concurrently, as far as is known; at least 1
  Nanos callOverhead = 0;      // server work that a call costs in addition to the work of its parts
  int maxAttempts = 1;         // for one part, including the first
  bool hedging = false;        // hedging: a part may have two attempts in flight at a time
  bool cancelling = false;     // Cancel actions are permitted
  bool messages = false;       // Tell actions are permitted
  bool retriesMarked = true;   // clients mark their retries (QueryArrived::repeat)
  bool retryAfter = false;     // clients receive Refuse::retryAfter
  Nanos maxRetryAfter = 0;     // upper limit of Refuse::retryAfter
  Nanos answerSlack = 0;       // a final answer still arrives in time this long after the client's time is up
  bool listOnRequest = false;  // the server list is delivered only after Subscribe or FetchList
  Nanos listRequestInterval = 0;  // without a subscription, the list must be fetched at least this often
  double coldCapacityShare = 1;   // share of its capacity at which a server starts at the least, in (0, 1]
  Nanos warmUpTime = 0;           // a server is warm this long after its start at the latest
  double overloadMultiple = 0;  // a cold server fails when it is sent more than this multiple of its present
  Nanos overloadWindow = 0;     // capacity for this long; 0: no such rule
  Nanos drainGrace = 0;         // sends to a draining server must end within this time of the update
  double wastePrice = 0;        // points for server work that served no answer, by share of the work offered
  double lateFailPrice = 0;     // points for worth left unserved after its aim
  double crossZonePrice = 0;    // points for an attempt into another zone, per part
  std::optional<RetryBudget> budget;  // none: retries are not limited by a budget
  bool operator==(const Settings&) const = default;
};

// Returns the number of attempts that one part of the class may have.
inline int maxAttemptsFor(const Settings& s, const QueryClass& c) {
  return c.maxAttempts > 0 && c.maxAttempts < s.maxAttempts ? c.maxAttempts : s.maxAttempts;
}

// Validates the settings. Returns a description of the first fault, or nothing if there is none. An
// Aggregator built from invalid settings never returns an action.
std::optional<std::string> findFault(const Settings& settings);

// ---- events ----

enum class ServerState { up, draining, gone };

// One server as the server list describes it.
struct ServerEntry {
  ServerId server = 0;
  int zone = 0;
  int cell = 0;  // decides which shards the server holds, see Settings::shards
  ServerState state = ServerState::up;
  double capacity = 1;
  Nanos startedAt = 0;  // latest start of its process; 0: long ago
};

// An update of the server list, or the failure to get one. `changes` names only the servers that changed;
// `full` and `initial` name all: any server that they omit is gone. `initial` is the first list after a
// subscription, `failed` has no entries.
struct ServerListUpdate {
  enum class Scope { changes, full, initial, failed } scope = Scope::full;
  std::vector<ServerEntry> entries;
};

// A new query. Its first step's parts follow as PartArrived events of the same turn.
struct QueryArrived {
  RequestId id;
  QueryNo number = 0;
  int queryClass = 0;   // index into Settings::classes
  Nanos timeLeft = 0;   // until the client abandons this try
  int parts = 0;        // number of parts in the first step
  bool repeat = false;  // a client's retry, where clients mark them (Settings::retriesMarked)
};

// One part of an open query.
struct PartArrived {
  RequestId id;
  QueryNo query = 0;
  int shard = 0;
  double weight = 0;  // share of the query's answer that this part contributes
};

// How an attempt ended.
enum class Outcome {
  delivered,
  error,          // answered with an error; may have run
  rejected,       // turned away before any work was done; did not run
  timedOut,       // may have run
  connectFailed,  // did not run
  reset,          // connection broke; may have run
  cancelled,      // may have run
  notSent         // did not run
};

// Returns whether the server may have executed an attempt that ended this way.
constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::connectFailed && outcome != Outcome::notSent;
}

// The end of an attempt that a Send started.
struct AttemptEnded {
  RequestId part;
  int attempt = 0;  // index of the attempt within its part, from 0, in the order of the Send actions
  ServerId server = 0;
  Outcome outcome = Outcome::delivered;
  Nanos delay = 0;  // time since the send
};

// The client of a query has left or has stopped waiting.
struct QueryExpired {
  RequestId query;
};

// A timer requested by SetTimer has expired.
struct TimerFired {
  std::int64_t token = 0;
};

// Bytes that another aggregator sent with Tell. Delivery may be delayed, lost or out of date.
struct PeerMessage {
  int from = 0;  // Settings::number of the sender
  std::string bytes;
};

// A send made by another instance that counts towards this instance's slow-start limit of a cold server: the
// process that this one replaces made it.
struct SentElsewhere {
  ServerId server = 0;
  Nanos at = 0;
};

// Another aggregator has joined or left: new values of Settings::aggregators and Settings::number.
struct FleetChanged {
  int aggregators = 1;
  int number = 0;
};

using Event = std::variant<ServerListUpdate, QueryArrived, PartArrived, AttemptEnded, QueryExpired,
                           TimerFired, PeerMessage, SentElsewhere, FleetChanged>;

// ---- actions ----

// Starts an attempt of a part at a server.
struct Send {
  RequestId part;
  ServerId server = 0;
  Nanos timeout = 0;  // 0: as long as the client waits
};

// Cancels an attempt whose outcome is no longer needed.
struct Cancel {
  RequestId part;
  int attempt = 0;  // index of the attempt within its part, from 0
};

// The final answer, or the end of the first step in a class that has two steps.
struct Answer {
  RequestId query;
  bool whole = false;  // the delivered parts reach QueryClass::need
};

// Final: the query is rejected. Assures the client that a retry is safe.
struct Refuse {
  RequestId query;
  Nanos retryAfter = 0;  // time to wait before a retry; 0: no advice
};

// Final: the query failed. Does not say whether a retry is safe.
struct Fail {
  RequestId query;
};

// Requests a TimerFired event with this token after the given time.
struct SetTimer {
  std::int64_t token = 0;
  Nanos wait = 0;
};

// Sends a message to other aggregators.
struct SendToPeers {
  std::string bytes;        // at most 256
  std::optional<int> peer;  // index of the only recipient; none: all peers
};

// Subscribes to updates of the server list, or ends the subscription.
struct Subscribe {
  bool on = true;
};

// Requests the server list once.
struct FetchList {};

// Writes a line to the caller's log.
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, SendToPeers, Subscribe, FetchList, Log>;

// ---- the aggregator ----

// The decision module: a deterministic state machine from events to actions. Not thread-safe.
class Aggregator {
 public:
  explicit Aggregator(Settings settings);
  ~Aggregator();
  Aggregator(Aggregator&&) noexcept;
  Aggregator& operator=(Aggregator&&) noexcept;

  // Processes the events of one turn in order and returns the actions to carry out, in order. The parts of a
  // query arrive in the same turn as the query. `now` must not decrease between calls. Events that name
  // unknown or ended ids are ignored.
  std::vector<Action> handle(Nanos now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace topazweir
