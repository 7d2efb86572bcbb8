// Stage 1, intake: validates a request and registers it as open.
#pragma once

#include <optional>
#include <string>

#include "broker/contract.hpp"
#include "broker/open_requests.hpp"

namespace topazweir::broker {

class Intake {
 public:
  // What open requests hold counts against `buffers`; null: nothing.
  Intake(const Terms& terms, OpenRequests& open, memory::Budget* buffers)
      : terms_(terms), open_(open), buffers_(buffers) {}
  // Why the request is invalid, as an error message for its client; nullopt if it is valid.
  std::optional<std::string> validate(const Request& request, Nanos now) const;
  // Registers a valid request. It is due at its own deadline or at `latestDue`, whichever comes first.
  RequestNo take(Request request, Front& front, Nanos now, Nanos latestDue);

 private:
  const Terms& terms_;
  OpenRequests& open_;
  memory::Budget* buffers_;
  RequestNo lastNo_ = 0;
};

}  // namespace topazweir::broker
