// Stage 6, book: gives each request its one final answer and counts it.
#pragma once

#include "broker/counters.hpp"
#include "broker/open.hpp"

namespace topazweir::broker {

class Book {
 public:
  Book(OpenRequests& open, Counters& counters) : open_(open), counters_(counters) {}
  void answer(RequestNo no, bool whole);
  void refuse(RequestNo no, Nanos retryAfter);
  void fail(RequestNo no, bool timedOut);
  void abandoned(RequestNo no);  // its client has left: nobody is there to be answered

 private:
  void finish(RequestNo no, FinalAnswer answer);
  TenantCounters* tenant(const OpenRequest& open);
  OpenRequests& open_;
  Counters& counters_;
};

}  // namespace topazweir::broker
