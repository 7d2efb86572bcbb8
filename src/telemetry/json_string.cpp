#include "telemetry/json_string.hpp"

namespace topazweir::telemetry {

std::string quoteJson(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20) {
      out += "\\u00";
      out += kHexDigits[byte >> 4];
      out += kHexDigits[byte & 15];
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out += '"';
}

}  // namespace topazweir::telemetry
