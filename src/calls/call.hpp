// State machine of one call: which attempt it is committed to, whether it can still be retried, and its one
// final status. Events in, decisions out; it reads no clock and does no input or output.
//
// A call is committed to an attempt once that attempt has begun to answer (response headers that are not
// trailers-only), once the request has outgrown the replay buffer, or once the request has stayed open for so
// long that a missing answer is no evidence against the server. A committed call is not retried (gRFC A6,
// "When Retries are Valid").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "calls/byte_queue.hpp"
#include "calls/metadata.hpp"
#include "calls/status.hpp"

namespace topazweir::calls {

// The settings of a route for its calls.
struct CallPolicy {
  std::uint32_t retryOn = 1U << static_cast<unsigned>(Code::unavailable);  // bit set of status codes to retry
  Nanos attemptTimeout = 0;        // time for an attempt to begin its answer; 0: until the call's deadline
  std::size_t replay = 64 * 1024;  // replay buffer: bytes of the request kept for a retry
  std::size_t message = 4 * 1024 * 1024;  // largest message in bytes, in either direction
  bool retries(Code code) const { return retryOn >> static_cast<unsigned>(code) & 1U; }
};

// The final status of a call.
struct CallStatus {
  CallResult counted = CallResult::failed;
  Code code = Code::unknown;
  Fields trailers;
  bool fromBackend = false;  // passed on unchanged from the backend
};

// What follows from the end of an attempt.
struct AttemptDecision {
  bool final = false;                       // the call ends with this attempt's status
  Outcome outcome = Outcome::error;         // reported to the decision module
  CallResult counted = CallResult::failed;  // how the call is counted, if final
  Nanos wait = 0;                           // pushback: how long the backend asks to wait before a retry
};

class Call {
 public:
  // What the call buffers counts against `budget`, which must outlive this.
  Call(const CallPolicy& policy, memory::Budget& budget)
      : policy_(policy), budget_(&budget), request_(budget) {}

  // ---- the request ----

  // Appends bytes of the request. Returns true if they may be acknowledged to the client at once because the
  // replay buffer holds them; false if only once an attempt has taken them.
  bool requestData(std::string_view bytes);
  void requestEnd() { requestEnded_ = true; }
  bool requestEnded() const { return requestEnded_; }
  bool requestTooLarge() const { return tooLarge_; }
  const Body& request() const { return request_; }
  // Frees what is kept of the request: the call has its final status.
  void dropRequest() { request_.release(request_.end()); }
  // The attempt to commit to, the newest outstanding one, if the request has outgrown its replay buffer or
  // the buffer limit of all calls is reached. nullopt: neither, already committed, or no attempt is
  // outstanding.
  std::optional<int> outgrown() const;
  // The committed attempt has taken the request's bytes up to `offset`. Returns how many further bytes may be
  // acknowledged to the client; 0 for a call that is not committed.
  std::size_t requestConsumed(std::uint64_t offset);

  // ---- attempts ----

  void started(int attempt) { outstanding_.push_back(attempt); }
  void dropped(int attempt);  // it was cancelled
  bool isOut(int attempt) const;
  std::optional<int> committed() const { return committed_; }
  // Commits the call to the attempt. Returns false if it has finished or is committed to another attempt.
  bool commit(int attempt);
  // An attempt's stream has ended. `trailers`: the backend's, if it sent a status. `timeLeft`: until the
  // call's deadline.
  AttemptDecision ended(int attempt, const Ended& ended, Fields trailers, Nanos timeLeft);

  // ---- the end ----

  // The final status, given how the core has counted the call. `overdue`: its deadline has passed.
  // `retryAfter`: advice to the client of a refused call; 0: none.
  CallStatus finish(CallResult counted, bool overdue, Nanos retryAfter);
  bool finished() const { return finished_; }

 private:
  // Whether the request no longer fits the replay buffer or the shared buffer limit.
  bool exceedsReplay() const {
    return request_.kept() > policy_.replay || (budget_->full() && request_.kept() > 0);
  }
  void remember(const Verdict& verdict, const Ended& ended, Fields trailers);

  CallPolicy policy_;
  memory::Budget* budget_;
  Body request_;
  MessageMeter meter_;
  std::vector<int> outstanding_;  // attempts, oldest first
  std::optional<int> committed_;
  std::uint64_t acknowledged_ = 0;  // bytes of the request acknowledged to the client
  bool requestEnded_ = false;
  bool tooLarge_ = false;
  bool finished_ = false;
  bool decided_ = false;            // the end of an attempt was final for the call
  std::optional<CallStatus> last_;  // the status that the client gets if no further attempt ends
};

}  // namespace topazweir::calls
