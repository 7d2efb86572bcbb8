// The parameters of an items request: parsed, validated, and encoded again for links and feature servers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace topazweir::features {

struct ItemsQuery {
  static constexpr std::size_t kDefaultLimit = 10;
  static constexpr std::size_t kMaxLimit = 10'000;  // a higher limit is lowered to this
  static constexpr std::size_t kMaxOffset = 10'000'000;

  std::string bbox;      // as given by the client, validated; empty: not given
  std::string datetime;  // the same
  std::size_t limit = kDefaultLimit;
  std::size_t offset = 0;
};

// Parses a query string (without the '?'). Returns the query, or a description of the error for the client.
std::variant<ItemsQuery, std::string> readItemsQuery(std::string_view text);

// Encodes the parameters that select features, each followed by '&'. They are the same for every page and
// every server.
std::string filters(const ItemsQuery& query);

// Percent-decodes a path segment or a parameter; none if it is malformed.
std::optional<std::string> decode(std::string_view text);
// Percent-encodes a path segment or a parameter.
std::string encode(std::string_view text);

}  // namespace topazweir::features
