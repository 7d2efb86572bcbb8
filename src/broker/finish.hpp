// Stage 6, finish: gives each request its one final answer, counts it and removes it from the open requests.
#pragma once

#include "broker/counters.hpp"
#include "broker/open_requests.hpp"

namespace topazweir::broker {

// All functions ignore requests that are no longer open, except that abandon() counts them.
class Finisher {
 public:
  Finisher(OpenRequests& open, Counters& counters, const Clock& clock)
      : open_(open), counters_(counters), clock_(clock) {}
  // Answers with the parts that have been delivered. `whole`: they suffice for a whole answer.
  void answer(RequestNo no, bool whole);
  // `retryAfter`: advice to the client in nanoseconds; 0: none.
  void refuse(RequestNo no, Nanos retryAfter);
  void fail(RequestNo no, bool timedOut);
  // The client has disconnected: counts and removes the request without an answer.
  void abandon(RequestNo no);

 private:
  void finish(RequestNo no, FinalAnswer answer);
  TenantCounters* tenantCounters(const OpenRequest& open);
  OpenRequests& open_;
  Counters& counters_;
  const Clock& clock_;
};

}  // namespace topazweir::broker
