// The grpc-timeout header field: 1 to 8 digits and one of the units H M S m u n (PROTOCOL-HTTP2.md,
// "Requests").
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::calls {

// Parses the time-out to nanoseconds, capped at 100 years to avoid overflow in later arithmetic; nullopt if
// it is malformed.
std::optional<Nanos> parseTimeout(std::string_view text);
// Formats `left` in the finest unit that fits into 8 digits, rounded down, so that a deadline never grows
// from hop to hop. Values below 1 ns give "1n".
std::string formatTimeout(Nanos left);

// The time until the deadline of a call: the client's time-out, limited by the route's; the route's if the
// client gave none.
inline Nanos effectiveTimeout(std::optional<Nanos> asked, Nanos routeDeadline) {
  return asked && *asked < routeDeadline ? *asked : routeDeadline;
}

}  // namespace topazweir::calls
