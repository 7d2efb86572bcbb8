// A platform query: from its head and body to the broker's request, and from the final answer to a response.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "broker/contract.hpp"
#include "broker/ports.hpp"
#include "http/message.hpp"

namespace topazweir::platform {

// A request, or what is wrong with it.
std::variant<broker::Request, http::Fault> readQuery(const http::Head& head, std::string_view body,
                                                     const broker::Terms& terms);
http::Response writeAnswer(const broker::FinalAnswer& answer);

}  // namespace topazweir::platform
