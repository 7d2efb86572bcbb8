// Stage 5, relay: records the outcome of an attempt, stores the value it delivered and produces the event for
// the decision module.
#pragma once

#include <optional>

#include "broker/counters.hpp"
#include "broker/open_requests.hpp"

namespace topazweir::broker {

class OutcomeRecorder {
 public:
  OutcomeRecorder(OpenRequests& open, Counters& counters) : open_(open), counters_(counters) {}
  // The event for the module; nullopt if the attempt is unknown or has already ended.
  std::optional<AttemptEnded> ended(const AttemptId& id, Outcome outcome, std::string value, Nanos now);

 private:
  OpenRequests& open_;
  Counters& counters_;
};

}  // namespace topazweir::broker
