// Stage 5, relay: takes the end of an attempt, keeps the value it brought and tells the module.
#pragma once

#include <optional>

#include "broker/counters.hpp"
#include "broker/open.hpp"

namespace topazweir::broker {

class Relay {
 public:
  Relay(OpenRequests& open, Counters& counters) : open_(open), counters_(counters) {}
  // The module's event; none when the attempt is not out (any more).
  std::optional<AttemptEnded> ended(const AttemptId& id, Outcome outcome, std::string value, Nanos now);

 private:
  OpenRequests& open_;
  Counters& counters_;
};

}  // namespace topazweir::broker
