// Reader, and the JSON parser behind it.
#include "config/reader.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <simdjson.h>

#include <algorithm>
#include <numeric>
#include <type_traits>

namespace topazweir::config {

namespace {

Node fromJson(simdjson::dom::element element) {
  using Type = simdjson::dom::element_type;
  switch (element.type()) {
    case Type::ARRAY: {
      Node::List list;
      const simdjson::dom::array items = element.get_array().value_unsafe();
      for (const auto item : items) list.push_back(fromJson(item));
      return {std::move(list), {}};
    }
    case Type::OBJECT: {
      Node::Object object;
      const simdjson::dom::object members = element.get_object().value_unsafe();
      for (const auto [key, value] : members) object.push_back({std::string(key), {}, fromJson(value)});
      return {std::move(object), {}};
    }
    case Type::INT64:
      return {element.get_int64().value_unsafe(), {}};
    case Type::UINT64:  // above the range of int64, which no key accepts
      return {static_cast<double>(element.get_uint64().value_unsafe()), {}};
    case Type::DOUBLE:
      return {element.get_double().value_unsafe(), {}};
    case Type::STRING:
      return {std::string(element.get_string().value_unsafe()), {}};
    case Type::BOOL:
      return {element.get_bool().value_unsafe(), {}};
    case Type::NULL_VALUE:
      break;
  }
  return {};
}

// Levenshtein distance, to suggest the nearest known key for a misspelt one.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0U);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

template <class Value>
std::string format(const Value& value) {
  if constexpr (std::is_convertible_v<Value, std::string_view>) {
    return fmt::format("\"{}\"", value);
  } else {
    return fmt::format("{}", value);
  }
}

}  // namespace

Node readJson(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  if (parser.parse(simdjson::padded_string(text)).get(root) != simdjson::SUCCESS || !root.is_object())
    throw ConfigError("the configuration is not a JSON object");
  return fromJson(root);
}

std::string jsonMember(std::string_view text, std::string_view key) {
  simdjson::dom::parser parser;
  simdjson::dom::element member;
  if (parser.parse(simdjson::padded_string(text))[key].get(member) != simdjson::SUCCESS || member.is_null())
    return {};
  return simdjson::minify(member);
}

Reader::Reader(const Node& node, std::string prefix, std::string file)
    : Reader(node, std::move(prefix), std::make_shared<Record>()) {
  record_->file = std::move(file);
}

Reader::Reader(const Node& node, std::string prefix, std::shared_ptr<Record> record)
    : root_(&node), prefix_(std::move(prefix)), record_(std::move(record)) {
  record_->paths.try_emplace(root_, prefix_);
}

std::string Reader::positionText(const Node& node) const {
  return node.position.line == 0
             ? ""
             : fmt::format("{}:{}:{}: ", record_->file, node.position.line, node.position.column);
}

void Reader::fail(std::string_view path, std::string_view what) const {
  const Node* node = find(path);
  throw ConfigError(fmt::format("{}key {}{}: {}", positionText(node ? *node : *root_), prefix_, path, what));
}

const Node* Reader::find(std::string_view path) const {
  const Node* node = root_;
  while (node) {
    const auto dot = path.find('.');
    const auto key = path.substr(0, dot);
    record_->requestedKeys[node].emplace(key);
    node = node->member(key);
    if (dot == std::string_view::npos) break;
    path.remove_prefix(dot + 1);
  }
  return node;
}

void Reader::addSetting(std::string_view path, std::string value, bool isExplicit) const {
  record_->settings.push_back({prefix_ + std::string(path), std::move(value), isExplicit});
}

template <class Value>
std::optional<Value> Reader::valueAt(std::string_view path, std::string_view typeName) const {
  const Node* found = find(path);
  if (!found) return std::nullopt;
  if constexpr (std::is_same_v<Value, double>)
    if (const auto* integer = std::get_if<std::int64_t>(&found->value)) return static_cast<double>(*integer);
  const auto* value = std::get_if<Value>(&found->value);
  if (!value) fail(path, "not " + std::string(typeName));
  return *value;
}

template <class Value>
Value Reader::valueOrDefault(std::string_view path, std::optional<Value> value,
                             std::optional<Value> defaultValue) const {
  if (!value && !defaultValue) fail(path, "missing");
  addSetting(path, format(value ? *value : *defaultValue), value.has_value());
  return value ? *value : *defaultValue;
}

std::string Reader::text(std::string_view path, std::optional<std::string_view> defaultValue) const {
  return valueOrDefault(path, valueAt<std::string>(path, "a text"),
                        defaultValue ? std::optional<std::string>(*defaultValue) : std::nullopt);
}

bool Reader::flag(std::string_view path, std::optional<bool> defaultValue) const {
  return valueOrDefault(path, valueAt<bool>(path, "true or false"), defaultValue);
}

std::int64_t Reader::integer(std::string_view path, std::int64_t min, std::int64_t max,
                             std::optional<std::int64_t> defaultValue) const {
  const auto value = valueOrDefault(path, valueAt<std::int64_t>(path, "a whole number"), defaultValue);
  if (value < min || value > max) fail(path, fmt::format("not within {} to {}", min, max));
  return value;
}

double Reader::number(std::string_view path, double min, double max,
                      std::optional<double> defaultValue) const {
  const auto value = valueOrDefault(path, valueAt<double>(path, "a number"), defaultValue);
  if (!(value >= min && value <= max)) fail(path, "out of range");
  return value;
}

std::size_t Reader::choice(std::string_view path, const std::vector<std::string_view>& words,
                           std::optional<std::size_t> defaultValue) const {
  const auto word = text(path, defaultValue ? std::optional(words[*defaultValue]) : std::nullopt);
  const auto found = std::find(words.begin(), words.end(), word);
  if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
  std::string allowed;
  for (std::size_t i = 0; i < words.size(); ++i)
    allowed += (i == 0 ? "" : i + 1 == words.size() ? " or " : ", ") + std::string(words[i]);
  fail(path, "not " + allowed);
}

const Node::List* Reader::findList(std::string_view path) const {
  const Node* found = find(path);
  if (!found) return nullptr;
  const auto* list = std::get_if<Node::List>(&found->value);
  if (!list) fail(path, "not a list");
  return list;
}

std::vector<Reader> Reader::objects(std::string_view path) const {
  std::vector<Reader> out;
  const auto* all = findList(path);
  if (!all) return out;
  for (const auto& item : *all) {
    const auto name = fmt::format("{}.{}", path, out.size());
    if (!item.isObject()) fail(name, "not an object");
    out.push_back(Reader(item, prefix_ + name + ".", record_));
  }
  return out;
}

std::optional<Reader> Reader::object(std::string_view path) const {
  const Node* found = find(path);
  if (!found) return std::nullopt;
  if (const auto* list = std::get_if<Node::List>(&found->value)) {
    if (list->size() != 1) fail(path, "given more than once");
    found = &list->front();
  }
  if (!found->isObject()) fail(path, "not an object or block");
  return Reader(*found, prefix_ + std::string(path) + ".", record_);
}

std::vector<std::string> Reader::texts(std::string_view path) const {
  std::vector<std::string> out;
  const auto* all = findList(path);
  if (!all) return out;
  for (const auto& item : *all) {
    const auto* text = std::get_if<std::string>(&item.value);
    if (!text) fail(path, "contains a value that is not a text");
    out.push_back(*text);
  }
  addSetting(path, fmt::format("[\"{}\"]", fmt::join(out, "\", \"")), true);
  return out;
}

std::vector<std::int64_t> Reader::integers(std::string_view path, std::int64_t min, std::int64_t max) const {
  std::vector<std::int64_t> out;
  const auto* all = findList(path);
  if (!all) return out;
  for (const auto& item : *all) {
    const auto* number = std::get_if<std::int64_t>(&item.value);
    if (!number || *number < min || *number > max)
      fail(path, fmt::format("contains a value that is not a whole number within {} to {}", min, max));
    out.push_back(*number);
  }
  addSetting(path, fmt::format("[{}]", fmt::join(out, ", ")), true);
  return out;
}

std::vector<std::pair<std::string, std::string>> Reader::pairs(std::string_view path) const {
  std::vector<std::pair<std::string, std::string>> out;
  const auto part = object(path);
  if (!part) return out;
  for (const auto& m : std::get<Node::Object>(part->root_->value)) out.emplace_back(m.key, part->text(m.key));
  return out;
}

double Reader::listed(std::string_view path, std::size_t index, double defaultValue) const {
  const auto* all = findList(path);
  if (!all || index >= all->size()) return defaultValue;
  const auto& value = (*all)[index].value;
  if (const auto* integer = std::get_if<std::int64_t>(&value)) return static_cast<double>(*integer);
  const auto* number = std::get_if<double>(&value);
  if (!number) fail(path, "contains a value that is not a number");
  return *number;
}

std::string Reader::address(std::string_view path, std::optional<std::string_view> defaultValue) const {
  const auto value = text(path, defaultValue);
  if (!isAddress(value)) fail(path, "not an address and port such as 127.0.0.1:8080");
  return value;
}

bool isAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  const std::string port(text.substr(std::min(text.size(), colon + 1)));
  const bool digits =
      !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
  in_addr host{};
  return colon != std::string::npos && digits && std::stoi(port) <= 65535 &&
         ::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &host) == 1;
}

void Reader::refuseUnknown() const { refuseUnknown(*root_); }

void Reader::refuseUnknown(const Node& node) const {
  if (const auto* all = std::get_if<Node::List>(&node.value))
    for (const auto& item : *all) refuseUnknown(item);
  const auto* object = std::get_if<Node::Object>(&node.value);
  if (!object) return;
  const auto requested = record_->requestedKeys.find(&node);
  if (requested == record_->requestedKeys.end()) return;  // read as a whole, not key by key
  for (const auto& m : *object) {
    if (requested->second.count(m.key) == 0) {
      const auto nearest = std::min_element(
          requested->second.begin(), requested->second.end(),
          [&](const auto& a, const auto& b) { return editDistance(a, m.key) < editDistance(b, m.key); });
      const auto path = record_->paths.find(&node);
      throw ConfigError(fmt::format("{}:{}:{}: key {}{}: unknown; the nearest known one is {}", record_->file,
                                    m.position.line, m.position.column,
                                    path == record_->paths.end() ? "" : path->second, m.key, *nearest));
    }
    refuseUnknown(m.value);
  }
}

}  // namespace topazweir::config
