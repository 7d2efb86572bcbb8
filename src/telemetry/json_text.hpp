// A text as a JSON string, quotes included.
#pragma once

#include <string>
#include <string_view>

namespace topazweir::telemetry {

std::string jsonText(std::string_view text);

}  // namespace topazweir::telemetry
