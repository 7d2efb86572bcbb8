#include "calls/timeout.hpp"

#include <algorithm>
#include <array>

namespace topazweir::calls {

namespace {

struct Unit {
  char letter;
  Nanos nanos;
};
// Finest unit first: the first whose value fits into eight digits loses the least precision.
constexpr std::array<Unit, 6> kUnits = {{{'n', 1},
                                         {'u', 1'000},
                                         {'m', 1'000'000},
                                         {'S', 1'000'000'000},
                                         {'M', 60'000'000'000},
                                         {'H', 3'600'000'000'000}}};
constexpr std::size_t kMaxDigits = 8;
constexpr Nanos kValueLimit = 100'000'000;  // first value with more than kMaxDigits digits
constexpr Nanos kMaxTimeoutNs = Nanos{100} * 365 * 24 * 3600 * 1'000'000'000;

}  // namespace

std::optional<Nanos> parseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > kMaxDigits + 1) return std::nullopt;
  Nanos value = 0;
  for (const char c : text.substr(0, text.size() - 1)) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  const auto unit =
      std::find_if(kUnits.begin(), kUnits.end(), [&](Unit u) { return u.letter == text.back(); });
  if (unit == kUnits.end()) return std::nullopt;
  return value > kMaxTimeoutNs / unit->nanos ? kMaxTimeoutNs : value * unit->nanos;
}

std::string formatTimeout(Nanos left) {
  left = std::max<Nanos>(1, left);
  for (const auto& unit : kUnits)
    if (left / unit.nanos < kValueLimit) return std::to_string(left / unit.nanos) + unit.letter;
  return std::to_string(kValueLimit - 1) + kUnits.back().letter;
}

}  // namespace topazweir::calls
