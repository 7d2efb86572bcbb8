// The whole interface of topazweir: settings, events, actions and the class Aggregator.
//
// An Aggregator is handed queries, each divided into parts, one for a shard. It decides which replica of the
// shard each part goes to, when a further attempt is made and when the query gets its final answer. It does
// no input or output and reads no clock: the caller feeds events with the time at which they happened and
// carries out the actions that come back. All times are nanoseconds of one clock that only moves forward.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace topazweir {

using Nanos = std::int64_t;      // a duration, or a moment on the caller's clock
using ServerId = std::uint64_t;  // one server process; opaque
using QueryNo = std::int64_t;    // one query at this aggregator; never reused
using RequestId = std::string;   // the caller's id of a query or of a part; opaque, never reused

// ---- settings ----

enum class Effect {
  safe,   // any part may be repeated
  keyed,  // a repeat is dropped by the servers for `keyedWindow`
  unsafe  // a part may be repeated only when no earlier attempt can have run
};

struct QueryClass {
  std::string name;
  Nanos aim = 0;         // an answer within this time has the full worth
  Nanos deadline = 0;    // what a client waits at most, over all its tries
  double worth = 1;      // worth of a whole answer
  double lateWorth = 0;  // share of the worth that an answer keeps between aim and deadline
  Effect effect = Effect::safe;
  Nanos keyedWindow = 0;    // keyed classes: counted from the first attempt that may have run
  double need = 1;          // weight of the parts that makes a whole answer
  double floor = 1;         // weight below which no answer may be given
  double partialWorth = 0;  // an answer below `need` earns this x weight / need
  Nanos leastLate = 0;  // no part is late, nor its server silent, before so long; for quick, uneven services
  int maxAttempts = 0;  // for one part; 0: as the settings say, which are never exceeded
  bool copies = true;   // a part may have two attempts out, where the settings allow it at all
  int secondStepParts = 0;  // parts of a second step that follows the first answer; 0: there is none
  bool operator==(const QueryClass&) const = default;
};

struct AttemptBudget {  // attempts beyond each part's first, in any window of this length
  Nanos window = 0;
  double free = 0;      // allowed regardless of traffic
  double perTaken = 0;  // and this many for each query and part taken within the window
  bool operator==(const AttemptBudget&) const = default;
};

struct Settings {
  std::uint64_t seed = 0;
  int zone = 0;         // where this aggregator stands
  int aggregators = 1;  // how many aggregators send to the same servers
  int number = 0;       // which of them this one is, from 0: together they take turns
  Nanos tick = 0;       // the shortest time between two calls of handle()
  std::vector<QueryClass> classes;
  int shards = 0;  // shard s is held by the servers of cell (s + j) % cells for j in [0, reach)
  int cells = 1;
  int reach = 1;
  int partsPerCall = 1;       // sends to one server in one turn share a call, up to this many
  double parallel = 1;        // parts that one server works on at once, as far as is known
  Nanos callOverhead = 0;     // work that a call costs its server beside that of its parts
  int maxAttempts = 1;        // for one part
  bool secondCopies = false;  // a part may have two attempts out at a time
  bool cancelling = false;    // Cancel is permitted
  bool messages = false;      // Tell is permitted
  bool repeatsMarked = true;  // clients mark their repeats (QueryArrived::repeat)
  bool retryAfter = false;    // clients receive the advice of Refuse
  Nanos maxRetryAfter = 0;
  Nanos answerSlack = 0;       // a final answer is still in time this long after the client's time
  bool listOnRequest = false;  // the list of servers comes only after Subscribe or FetchList
  Nanos askWithin = 0;         // without a subscription: ask at least this often
  double coldFrom = 1;         // a server starts at this share of its capacity or more
  Nanos coldFor = 0;           // and is warm after this time at the latest
  double tipMultiple = 0;      // a cold server sent more than this multiple of its present capacity ...
  Nanos tipWindow = 0;         // ... for this long falls over; 0: no such rule
  Nanos drainGrace = 0;        // sends to a draining server end within this time of the news
  double wastePrice = 0;       // points for server work that served no answer, by share of the work offered
  double lateFailPrice = 0;    // points for worth left unserved after its aim
  double crossZonePrice = 0;   // points for an attempt into another zone, by part
  std::optional<AttemptBudget> budget;
  bool operator==(const Settings&) const = default;
};

// Attempts that one part of the class may have.
inline int limitOf(const Settings& s, const QueryClass& c) {
  return c.maxAttempts > 0 && c.maxAttempts < s.maxAttempts ? c.maxAttempts : s.maxAttempts;
}

// What makes the settings senseless, if anything does. An Aggregator given such settings takes no action.
std::optional<std::string> findFault(const Settings& settings);

// ---- events ----

enum class ServerState { up, draining, gone };

struct ServerEntry {
  ServerId server = 0;
  int zone = 0;
  int cell = 0;
  ServerState state = ServerState::up;
  double capacity = 1;
  Nanos startedAt = 0;  // latest start; 0: long ago
};

struct ListNews {
  enum class Scope { changes, full, initial, failed } scope = Scope::full;
  std::vector<ServerEntry> entries;
};

struct QueryArrived {
  RequestId id;
  QueryNo number = 0;
  int queryClass = 0;
  Nanos timeLeft = 0;   // until the client abandons this try
  int parts = 0;        // how many parts the first step has
  bool repeat = false;  // a client's repeat, where clients say so
};

struct PartArrived {
  RequestId id;
  QueryNo query = 0;
  int shard = 0;
  double weight = 0;
};

enum class Outcome {
  delivered,
  error,          // answered with an error; may have run
  rejected,       // turned away unseen; did not run
  timedOut,       // may have run
  connectFailed,  // did not run
  reset,          // may have run
  cancelled,      // may have run
  notSent         // did not run
};

constexpr bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::connectFailed && outcome != Outcome::notSent;
}

struct AttemptEnded {
  RequestId part;
  int attempt = 0;  // counted from 0 in the order of Send
  ServerId server = 0;
  Outcome outcome = Outcome::delivered;
  Nanos delay = 0;  // since the send
};

struct QueryExpired {
  RequestId query;
};

struct TimerFired {
  std::int64_t token = 0;
};

struct PeerMessage {  // what another aggregator has told; may be late, lost or stale
  int from = 0;       // its Settings::number
  std::string bytes;
};

// A send that is not this instance's and counts with its own against a cold server's ceiling: that of the
// process whose place this one takes.
struct SentElsewhere {
  ServerId server = 0;
  Nanos at = 0;
};

// Settings::aggregators and Settings::number as they are from now on: another aggregator has come or gone.
struct FleetChanged {
  int aggregators = 1;
  int number = 0;
};

using Event = std::variant<ListNews, QueryArrived, PartArrived, AttemptEnded, QueryExpired, TimerFired,
                           PeerMessage, SentElsewhere, FleetChanged>;

// ---- actions ----

struct Send {
  RequestId part;
  ServerId server = 0;
  Nanos timeout = 0;  // 0: as long as the client waits
};

struct Cancel {
  RequestId part;
  int attempt = 0;
};

struct Answer {  // the final answer, or the end of the first step in a class that has two
  RequestId query;
  bool whole = false;
};

struct Refuse {  // final; assures the client that a retry is safe
  RequestId query;
  Nanos retryAfter = 0;  // 0: no advice
};

struct Fail {  // final; promises nothing
  RequestId query;
};

struct SetTimer {
  std::int64_t token = 0;
  Nanos wait = 0;
};

struct Tell {               // to the other aggregators
  std::string bytes;        // 256 at most
  std::optional<int> peer;  // only to this one; none: to all
};

struct Subscribe {
  bool on = true;
};

struct FetchList {};

struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, Tell, Subscribe, FetchList, Log>;

// ---- the aggregator ----

class Aggregator {
 public:
  explicit Aggregator(Settings settings);
  ~Aggregator();
  Aggregator(Aggregator&&) noexcept;
  Aggregator& operator=(Aggregator&&) noexcept;

  // Takes the events of one turn, in their order, and returns what to do, in order. A query's parts follow it
  // in the same turn. `now` never goes back. Events that name unknown or ended ids are ignored.
  std::vector<Action> handle(Nanos now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace topazweir
