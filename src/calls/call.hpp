// The course of one call: which attempt it belongs to, whether a further one is still possible, and the one
// final status. Events in, decisions out; no clock, no wire.
//
// An attempt is committed once it has begun to answer (response headers that are not trailers-only), or once
// the request has outgrown what may be kept for a further attempt, or has stayed open for so long that its
// silence says nothing of the server. From then on the call belongs to that attempt (gRFC A6, "When Retries
// are Valid").
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "calls/body.hpp"
#include "calls/metadata.hpp"
#include "calls/status.hpp"

namespace topazweir::calls {

// What a route says of its calls.
struct Policy {
  std::uint32_t retryOn = 1U << static_cast<unsigned>(Code::unavailable);  // a bit for each code
  Nanos attemptTime = 0;           // an attempt that has not begun to answer ends then; 0: when the call does
  std::size_t replay = 64 * 1024;  // bytes of the request kept for a further attempt
  std::size_t message = 4 * 1024 * 1024;  // the largest message, either way
  bool retries(Code code) const { return retryOn >> static_cast<unsigned>(code) & 1U; }
};

// The one end of a call.
struct Final {
  Class counted = Class::failed;
  Code code = Code::unknown;
  Fields trailers;
  bool fromBackend = false;  // passed on as the backend gave it
};

// What to do with an attempt that has ended.
struct Next {
  bool final = false;                // the call ends with it: `Call::last` is what the client is told
  Outcome outcome = Outcome::error;  // for the module
  Class counted = Class::failed;     // where final
  Nanos wait = 0;                    // the backend asked for so long until a further attempt
};

class Call {
 public:
  Call(const Policy& policy, Pressure& pressure)
      : policy_(policy), pressure_(&pressure), request_(pressure) {}

  // ---- the request ----

  // Bytes have come. True: they may be acknowledged to the client at once, since they are kept for a further
  // attempt or already on their way; false: only when an attempt has taken them.
  bool requestData(std::string_view bytes);
  void requestEnd() { requestEnded_ = true; }
  bool requestEnded() const { return requestEnded_; }
  bool requestTooLarge() const { return tooLarge_; }
  const Body& request() const { return request_; }
  // Outgrown what may be kept of it, by itself or of all calls together: it is committed to `attempt`, the
  // newest one out, if there is one.
  std::optional<int> outgrown() const;
  // Of a committed call: bytes up to here have been taken; how many the client may be acknowledged for now.
  std::size_t requestTaken(std::uint64_t offset);

  // ---- attempts ----

  void started(int attempt) { out_.push_back(attempt); }
  void dropped(int attempt);  // cancelled
  bool isOut(int attempt) const;
  std::optional<int> committed() const { return committed_; }
  // The attempt has begun to answer, or is to be kept for another reason. False: the call belongs to another
  // one.
  bool commit(int attempt);
  // An attempt's stream has ended. `trailers`: of the backend, where it gave a status.
  Next ended(int attempt, const Ended& ended, Fields trailers, Nanos timeLeft);

  // ---- the end ----

  // The call's end as the core has booked it. `overdue`: its time is up. `comeBack`: where refused; 0: no
  // advice.
  Final finish(Class counted, bool overdue, Nanos comeBack);
  bool finished() const { return finished_; }

 private:
  bool tooLong() const {
    return request_.kept() > policy_.replay || (pressure_->full() && request_.kept() > 0);
  }
  void remember(const Verdict& verdict, const Ended& ended, Fields trailers);

  Policy policy_;
  Pressure* pressure_;
  Body request_;
  Meter meter_;
  std::vector<int> out_;  // attempts, oldest first
  std::optional<int> committed_;
  std::uint64_t acknowledged_ = 0;  // bytes of the request
  bool requestEnded_ = false, tooLarge_ = false, finished_ = false;
  bool decided_ = false;       // an attempt's end was the call's
  std::optional<Final> last_;  // what the last attempt that ended would tell the client
};

}  // namespace topazweir::calls
