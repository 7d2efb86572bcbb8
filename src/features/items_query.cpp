// Parsing and validation of items requests.
#include "features/items_query.hpp"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <vector>

namespace topazweir::features {

namespace {

std::optional<std::size_t> parseUnsigned(std::string_view text) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Four or six numbers: west, south, [minimum height,] east, north[, maximum height]. West may exceed east in
// a box across the antimeridian.
bool isBoundingBox(std::string_view text) {
  std::vector<double> numbers;
  while (true) {
    const auto comma = std::min(text.find(','), text.size());
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + comma, value);
    if (comma == 0 || error != std::errc{} || end != text.data() + comma || !std::isfinite(value))
      return false;
    numbers.push_back(value);
    if (comma == text.size()) break;
    text.remove_prefix(comma + 1);
  }
  if (numbers.size() != 4 && numbers.size() != 6) return false;
  const auto half = numbers.size() / 2;
  const auto degrees = [](double value, double max) { return std::abs(value) <= max; };
  return degrees(numbers[0], 180) && degrees(numbers[half], 180) && degrees(numbers[1], 90) &&
         degrees(numbers[half + 1], 90) && numbers[1] <= numbers[half + 1] &&
         (half == 2 || numbers[2] <= numbers[5]);
}

// A date or date-time of RFC 3339; with `mayBeOpen` also an open end of an interval, which is ".." or empty.
// Only the shape is checked.
bool isInstant(std::string_view text, bool mayBeOpen) {
  if (text.empty() || text == "..") return mayBeOpen;
  constexpr std::string_view kDateTimeShape = "0000-00-00T00:00:00";
  if (text.size() != 10 && text.size() < kDateTimeShape.size() + 1) return false;
  for (std::size_t i = 0; i < std::min(text.size(), kDateTimeShape.size()); ++i)
    if (kDateTimeShape[i] == '0' ? text[i] < '0' || text[i] > '9' : text[i] != kDateTimeShape[i])
      return false;
  return text.size() == 10 ||
         text.find_first_not_of("0123456789.+-:Z", kDateTimeShape.size()) == std::string_view::npos;
}

// One instant, or an interval "FROM/TO" of which at most one end is open.
bool isDatetime(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return isInstant(text, false);
  const auto from = text.substr(0, slash), to = text.substr(slash + 1);
  const bool open = (from.empty() || from == "..") && (to.empty() || to == "..");
  return !open && isInstant(from, true) && isInstant(to, true);
}

}  // namespace

std::optional<std::string> decode(std::string_view text) {
  std::string out;
  try {
    Poco::URI::decode(std::string(text), out);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
  return out;
}

std::string encode(std::string_view text) {
  std::string out;
  Poco::URI::encode(std::string(text), "!?#/'\",;:$&()[]*+=@%", out);
  return out;
}

std::variant<ItemsQuery, std::string> readItemsQuery(std::string_view text) {
  ItemsQuery query;
  std::set<std::string> seen;
  while (!text.empty()) {
    const auto pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
    if (pair.empty()) continue;
    const auto equals = std::min(pair.find('='), pair.size());
    const auto name = decode(pair.substr(0, equals));
    const auto value = decode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) return "the query is malformed";
    if (!seen.insert(*name).second) return "parameter " + *name + " is given twice";
    if (*name == "bbox") {
      if (!isBoundingBox(*value)) return "bbox is not four or six numbers within the range of degrees";
      query.bbox = *value;
    } else if (*name == "datetime") {
      if (!isDatetime(*value)) return "datetime is neither a date-time nor an interval of two";
      query.datetime = *value;
    } else if (*name == "limit") {
      const auto limit = parseUnsigned(*value);
      if (!limit || *limit == 0) return "limit is not a whole number above 0";
      query.limit = std::min(*limit, ItemsQuery::kMaxLimit);
    } else if (*name == "offset") {
      const auto offset = parseUnsigned(*value);
      if (!offset || *offset > ItemsQuery::kMaxOffset) return "offset is out of range";
      query.offset = *offset;
    } else {
      return "unknown parameter " + *name;
    }
  }
  return query;
}

std::string filters(const ItemsQuery& query) {
  std::string out;
  if (!query.bbox.empty()) out += "bbox=" + encode(query.bbox) + '&';
  if (!query.datetime.empty()) out += "datetime=" + encode(query.datetime) + '&';
  return out;
}

}  // namespace topazweir::features
