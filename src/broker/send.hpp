// Stage 4, send: starts and cancels attempts at the backend, within the budget of attempts for a part.
#pragma once

#include <optional>

#include "broker/contract.hpp"
#include "broker/counters.hpp"
#include "broker/open.hpp"

namespace topazweir::broker {

class SendOut {
 public:
  SendOut(const Terms& terms, OpenRequests& open, Backend& backend, Counters& counters)
      : terms_(terms), open_(open), backend_(backend), counters_(counters) {}
  // The attempt's id when it was not made, since its time is over or the part's attempts are used up; it is
  // numbered all the same, as the module has numbered it.
  std::optional<AttemptId> send(const AttemptId& part, const Send& order, Nanos now);
  void cancel(const AttemptId& attempt);
  void cancelAll(RequestNo no, OpenRequest& open);
  void cancelOthers(RequestNo no, OpenRequest& open);  // all but the one that the request belongs to

 private:
  Nanos writeBy(const OpenRequest& open, const OpenPart& part) const;

  const Terms& terms_;
  OpenRequests& open_;
  Backend& backend_;
  Counters& counters_;
};

}  // namespace topazweir::broker
