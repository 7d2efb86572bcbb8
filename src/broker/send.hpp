// Stage 4, send: starts and cancels attempts at the backend, within the limit of attempts per part.
#pragma once

#include <optional>

#include "broker/contract.hpp"
#include "broker/counters.hpp"
#include "broker/open_requests.hpp"

namespace topazweir::broker {

class AttemptSender {
 public:
  AttemptSender(const Terms& terms, OpenRequests& open, Backend& backend, Counters& counters)
      : terms_(terms), open_(open), backend_(backend), counters_(counters) {}
  // Starts the attempt. Returns its id if it was not made because the request's deadline has passed, the
  // part's attempts are used up or the request's answer is already streaming. Such an attempt is numbered all
  // the same, since the module has numbered it. nullopt: sent, or the request or part is unknown.
  std::optional<AttemptId> send(const AttemptId& part, const Send& order, Nanos now);
  // Cancels the attempt if it is outstanding.
  void cancel(const AttemptId& attempt);
  void cancelAll(RequestNo no, OpenRequest& open);
  // Cancels all attempts but the one whose answer is streaming.
  void cancelOthers(RequestNo no, OpenRequest& open);

 private:
  Nanos writeBy(const OpenRequest& open, const OpenPart& part) const;

  const Terms& terms_;
  OpenRequests& open_;
  Backend& backend_;
  Counters& counters_;
};

}  // namespace topazweir::broker
