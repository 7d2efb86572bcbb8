// A parsed configuration file as a tree of values, independent of its syntax (JSON or HCL).
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace topazweir::config {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The position of a value in its file, counted from 1; 0 where the parser reports no positions (JSON).
struct Position {
  std::size_t line = 0;
  std::size_t column = 0;
};

struct Member;

// A value of any type; std::monostate is null.
struct Node {
  using List = std::vector<Node>;
  using Object = std::vector<Member>;  // in the order of the file, with unique keys
  std::variant<std::monostate, bool, std::int64_t, double, std::string, List, Object> value;
  Position position;

  // Returns the value of `key`; null if this is not an object, or if the key is absent or set to null.
  const Node* member(std::string_view key) const;
  bool isObject() const { return std::holds_alternative<Object>(value); }
};

struct Member {
  std::string key;
  Position position;
  Node value;
};

inline const Node* Node::member(std::string_view key) const {
  const auto* object = std::get_if<Object>(&value);
  if (!object) return nullptr;
  for (const auto& m : *object)
    if (m.key == key && !std::holds_alternative<std::monostate>(m.value.value)) return &m.value;
  return nullptr;
}

// Parses a JSON object. Throws ConfigError if the text is not one.
Node readJson(std::string_view text);
// Returns one member of a JSON object as minified JSON; empty if it is absent, null, or the text is
// malformed.
std::string jsonMember(std::string_view text, std::string_view key);
// Parses HCL native syntax, literals only: attributes, labelled blocks, lists, objects, comments of the three
// forms and escapes (https://github.com/hashicorp/hcl, "HCL Native Syntax Specification"). Templates,
// heredocs and expressions are not supported. A block becomes an object in the list under its type; its label
// becomes the member "name". Throws ConfigError with "FILE:LINE:COLUMN: what", where FILE is `file`.
Node readHcl(std::string_view text, const std::string& file);

}  // namespace topazweir::config
