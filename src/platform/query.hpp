// Conversion of a platform query: from HTTP head and body to the broker's request, and from the final answer
// to an HTTP response.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "broker/contract.hpp"
#include "broker/ports.hpp"
#include "http/message.hpp"

namespace topazweir::platform {

// Returns the request, or a 400 or 404 that says what is wrong with it.
std::variant<broker::Request, http::Fault> readQuery(const http::Head& head, std::string_view body,
                                                     const broker::Terms& terms);
// 200 with the results as JSON; 503 when refused, with Retry-After where one is given; 504 when failed
// by a time-out, else 502.
http::Response writeAnswer(const broker::FinalAnswer& answer);

}  // namespace topazweir::platform
