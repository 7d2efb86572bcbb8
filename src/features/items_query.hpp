// The parameters of an items request: read, checked, and written out again for links and feature servers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace topazweir::features {

struct ItemsQuery {
  std::string bbox, datetime;  // as given, checked; empty: not given
  std::size_t limit = kDefaultLimit;
  std::size_t offset = 0;

  static constexpr std::size_t kDefaultLimit = 10, kMostLimit = 10'000, kMostOffset = 10'000'000;
};

// The query, or what is wrong with it in words for the client. `text`: what follows the '?'.
std::variant<ItemsQuery, std::string> readItemsQuery(std::string_view text);

// The parameters that choose features: the same for every page and for every server.
std::string filters(const ItemsQuery& query);

// Percent-decoding of a path segment or a parameter; none when it is malformed.
std::optional<std::string> decode(std::string_view text);
std::string encode(std::string_view text);

}  // namespace topazweir::features
