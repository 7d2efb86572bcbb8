// Reads values of one JSON document by the path of their keys, "limits.sockets"; errors name that path.
#pragma once

#include <simdjson.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"

namespace topazweir::config {

class Json {
 public:
  explicit Json(simdjson::dom::element root, std::string prefix = {})
      : root_(root), prefix_(std::move(prefix)) {}

  [[noreturn]] void fail(std::string_view path, std::string_view what) const {
    throw ConfigError("key " + prefix_ + std::string(path) + ": " + std::string(what));
  }
  std::optional<simdjson::dom::element> find(std::string_view path) const {
    simdjson::dom::element at = root_;
    while (true) {
      const auto dot = path.find('.');
      simdjson::dom::element next;
      if (at[path.substr(0, dot)].get(next) != simdjson::SUCCESS || next.is_null()) return std::nullopt;
      if (dot == std::string_view::npos) return next;
      at = next;
      path.remove_prefix(dot + 1);
    }
  }
  template <class Value>
  std::optional<Value> get(std::string_view path, std::string_view kind) const {
    const auto found = find(path);
    Value value;
    if (!found) return std::nullopt;
    if (found->get(value) != simdjson::SUCCESS) fail(path, "not " + std::string(kind));
    return value;
  }
  std::string text(std::string_view path, std::optional<std::string_view> absent = {}) const {
    return std::string(must(path, get<std::string_view>(path, "a text"), absent));
  }
  bool flag(std::string_view path, std::optional<bool> absent = {}) const {
    return must(path, get<bool>(path, "true or false"), absent);
  }
  std::int64_t integer(std::string_view path, std::int64_t least, std::int64_t most,
                       std::optional<std::int64_t> absent = {}) const {
    const auto value = must(path, get<std::int64_t>(path, "a whole number"), absent);
    if (value < least || value > most)
      fail(path, "not within " + std::to_string(least) + " to " + std::to_string(most));
    return value;
  }
  double number(std::string_view path, double least, double most, std::optional<double> absent = {}) const {
    const auto value = must(path, get<double>(path, "a number"), absent);
    if (!(value >= least && value <= most)) fail(path, "out of range");
    return value;
  }
  std::vector<Json> objects(std::string_view path) const {
    std::vector<Json> out;
    const auto list = get<simdjson::dom::array>(path, "a list");
    if (!list) return out;
    for (const auto item : *list) {
      const auto name = std::string(path) + "." + std::to_string(out.size());
      if (!item.is_object()) fail(name, "not an object");
      out.emplace_back(item, prefix_ + name + ".");
    }
    return out;
  }
  std::vector<std::string> texts(std::string_view path) const {
    std::vector<std::string> out;
    const auto list = get<simdjson::dom::array>(path, "a list");
    if (!list) return out;
    for (const auto item : *list) {
      std::string_view text;
      if (item.get(text) != simdjson::SUCCESS) fail(path, "holds what is not a text");
      out.emplace_back(text);
    }
    return out;
  }
  // The number at a position of a list of numbers.
  double listed(std::string_view path, std::size_t at, double absent) const {
    const auto list = get<simdjson::dom::array>(path, "a list");
    double value = absent;
    if (list && at < list->size() && list->at(at).get(value) != simdjson::SUCCESS)
      fail(path, "holds no numbers");
    return value;
  }

 private:
  template <class Value>
  Value must(std::string_view path, std::optional<Value> value, std::optional<Value> absent) const {
    if (!value && !absent) fail(path, "missing");
    return value ? *value : *absent;
  }
  simdjson::dom::element root_;
  std::string prefix_;
};

// Holds the document that `Json` reads from.
struct Document {
  explicit Document(std::string_view text) {
    if (parser.parse(simdjson::padded_string(text)).get(root) != simdjson::SUCCESS || !root.is_object())
      throw ConfigError("the configuration is not a JSON object");
  }
  simdjson::dom::parser parser;
  simdjson::dom::element root;
};

// "1.2.3.4:80", as it stands. Names are not looked up: that would block.
std::string address(const Json& json, std::string_view path, std::optional<std::string_view> absent = {});

}  // namespace topazweir::config
