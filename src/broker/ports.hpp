// Interfaces between the core and its surroundings, and the values passed across them. All are independent of
// the wire protocol: a front submits a request and receives its one final answer; a backend runs attempts and
// reports the outcome of each.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

using RequestNo = QueryNo;

// One part of a request: the shard it needs and its weight in the answer.
struct PartRequest {
  int shard = 0;
  double weight = 0;  // 0 to 1; the weights of a request add up to 1
};

// A client's request as a front has read it.
struct Request {
  std::string id;       // the client's id, unique among the open requests
  int queryClass = 0;   // index into Settings::classes
  int tenant = 0;       // index into Terms::contracts
  Nanos timeLeft = 0;   // until the client's deadline
  bool repeat = false;  // marked by the client as a retry
  std::vector<PartRequest> parts;
  std::string query;  // sent unchanged with every part
};

// The value delivered for one part.
struct PartResult {
  int shard = 0;
  std::string value;  // as the backend returned it
};

// How a request ended.
enum class Verdict { answered, refused, failed };

// The one final answer of a request.
struct FinalAnswer {
  Verdict verdict = Verdict::failed;
  bool whole = false;               // answered: enough parts were delivered for a whole answer
  bool timedOut = false;            // failed: the client's deadline passed
  Nanos retryAfter = 0;             // refused: advice when to retry; 0: none
  std::vector<PartResult> results;  // answered: the parts that were delivered
};

// Receives the final answers of the requests it has submitted.
class Front {
 public:
  virtual ~Front() = default;
  // Called exactly once for each taken request that was not abandoned.
  virtual void finish(RequestNo request, FinalAnswer answer) = 0;
};

// Identifies one attempt of one part of a request.
struct AttemptId {
  RequestNo request = 0;
  int part = 0;     // position among the request's parts
  int attempt = 0;  // counted from 0
  auto operator<=>(const AttemptId&) const = default;
};

// An attempt that the backend is to make.
struct AttemptOrder {
  AttemptId id;
  ServerId server = 0;
  std::string partId;  // the client's id, a dot, the shard
  int shard = 0;
  std::shared_ptr<const std::string> query;
  Nanos wait = 0;  // timeout of the attempt
  // Latest time to write the attempt to the wire: after it, the servers may no longer recognise a retry as a
  // duplicate. 0: any time.
  Nanos writeBy = 0;
};

// Runs attempts against servers.
class Backend {
 public:
  virtual ~Backend() = default;
  // Reports the attempt's outcome exactly once, unless it is cancelled first.
  virtual void start(AttemptOrder order) = 0;
  // No outcome is reported after this call.
  virtual void cancel(const AttemptId& id) = 0;
};

// Time source and wake-up timer of the core.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Nanos now() const = 0;
  // True while a batch of client events is being delivered one by one. The core then postpones the module's
  // turn until the batch is complete; otherwise the turn for the first client that has disconnected would
  // still start work for other clients that have disconnected too.
  virtual bool gathering() const { return false; }
  // Calls Broker::wake at that time. A later call adds a wake-up and cancels none.
  virtual void wakeAt(Nanos at) = 0;
};

}  // namespace topazweir::broker
