// JSON string literals.
#pragma once

#include <string>
#include <string_view>

namespace topazweir::telemetry {

// Returns the text as a JSON string literal, including the quotes. Bytes from 0x80 on are copied unchanged.
std::string quoteJson(std::string_view text);

}  // namespace topazweir::telemetry
