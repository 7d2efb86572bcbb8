// The ports of the core and the plain values that cross them. Nothing here knows a wire: a front hands in a
// request and gets its one final answer, a backend runs attempts and reports how each ended.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

using RequestNo = QueryNo;

struct PartRequest {
  int shard = 0;
  double weight = 0;
};

struct Request {
  std::string id;  // the client's id, unique among the open requests
  int queryClass = 0;
  int tenant = 0;
  Nanos timeLeft = 0;  // until the client gives up
  bool repeat = false;
  std::vector<PartRequest> parts;
  std::string query;  // what every part carries, as the client wrote it
};

struct PartResult {
  int shard = 0;
  std::string value;  // as the backend gave it
};

enum class Verdict { answered, refused, failed };

struct FinalAnswer {
  Verdict verdict = Verdict::failed;
  bool whole = false;               // answered: the parts that make it whole are in
  bool timedOut = false;            // failed: the client's time ran out
  Nanos retryAfter = 0;             // refused: when to come back; 0: no advice
  std::vector<PartResult> results;  // answered: the parts that are in
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void finish(RequestNo request, FinalAnswer answer) = 0;  // exactly once for each taken request
};

struct AttemptId {
  RequestNo request = 0;
  int part = 0;     // position among the request's parts
  int attempt = 0;  // counted from 0
  auto operator<=>(const AttemptId&) const = default;
};

struct AttemptOrder {
  AttemptId id;
  ServerId server = 0;
  std::string partId;  // the client's id, a dot, the shard
  int shard = 0;
  std::shared_ptr<const std::string> query;
  Nanos wait = 0;     // how long the answer is waited for
  Nanos writeBy = 0;  // it must not leave later: a repeat would be one too many then; 0: whenever
};

class Backend {
 public:
  virtual ~Backend() = default;
  virtual void start(AttemptOrder order) = 0;    // its end is reported once, unless it is cancelled
  virtual void cancel(const AttemptId& id) = 0;  // no end is reported after this
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Nanos now() const = 0;
  // News of several clients comes one by one, and what it leads to waits until all of it is in: else a turn
  // for the first that has left would go on for the others that have.
  virtual bool gathering() const { return false; }
  virtual void wakeAt(Nanos at) = 0;  // Broker::wake is called then; a later call may only add wakes
};

}  // namespace topazweir::broker
