// grpc-timeout: PROTOCOL-HTTP2.md, "Requests": TimeoutValue of 1 to 8 digits, then one unit of H M S m u n.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::calls {

// Nanoseconds, capped at the largest moment that can be reckoned with (about 100 years); none: malformed.
std::optional<Nanos> readTimeout(std::string_view text);
// The shortest text that is no longer than `left`: a deadline must not grow on its way. `left` below 1: "1n".
std::string writeTimeout(Nanos left);

// How long a call has from now: the client's time, bounded by the route's, whichever ends first; without a
// client's time the route's.
inline Nanos timeFor(std::optional<Nanos> asked, Nanos routeDeadline) {
  return asked && *asked < routeDeadline ? *asked : routeDeadline;
}

}  // namespace topazweir::calls
