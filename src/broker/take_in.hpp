// Stage 1, take in: is this a request that can be served here at all?
#pragma once

#include <optional>
#include <string>

#include "broker/contract.hpp"
#include "broker/open.hpp"

namespace topazweir::broker {

class TakeIn {
 public:
  TakeIn(const Terms& terms, OpenRequests& open) : terms_(terms), open_(open) {}
  // What is wrong with the request, in words for its client; none: it is taken.
  std::optional<std::string> fault(const Request& request) const;
  // `end`: no final answer is given after that.
  RequestNo take(Request request, Front& front, Nanos now, Nanos end);

 private:
  const Terms& terms_;
  OpenRequests& open_;
  RequestNo last_ = 0;
};

}  // namespace topazweir::broker
