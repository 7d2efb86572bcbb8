// A configuration file as a tree of values, whatever its syntax was: the one form that `Reader` reads from.
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

struct Mark {  // where a value stands in its file, counted from 1; 0: the syntax gives no places
  std::size_t line = 0, column = 0;
};

struct Member;

struct Node {
  using List = std::vector<Node>;
  using Object = std::vector<Member>;  // in the order of the file; each key once
  std::variant<std::monostate, bool, std::int64_t, double, std::string, List, Object> value;
  Mark mark;

  const Node* member(std::string_view key) const;  // none: no object, or no such key
  bool isObject() const { return std::holds_alternative<Object>(value); }
};

struct Member {
  std::string key;
  Mark mark;
  Node value;
};

inline const Node* Node::member(std::string_view key) const {
  const auto* object = std::get_if<Object>(&value);
  if (!object) return nullptr;
  for (const auto& m : *object)
    if (m.key == key && !std::holds_alternative<std::monostate>(m.value.value)) return &m.value;
  return nullptr;
}

// The root is an object. Both throw ConfigError for what can't be read.
Node readJson(std::string_view text);
// One member of a JSON object as text, without blanks; empty where there is none.
std::string jsonMember(std::string_view text, std::string_view key);
// HCL native syntax, literals only: attributes, labelled blocks, lists, objects, comments of the three forms
// and escapes (https://github.com/hashicorp/hcl, "HCL Native Syntax Specification"); no templates, heredocs
// or expressions. A block becomes an object in the list under its type; its label becomes the member "name".
// `file` is what errors name: "FILE:LINE:COLUMN: what".
Node readHcl(std::string_view text, const std::string& file);

}  // namespace topazweir::config
