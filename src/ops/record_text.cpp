#include "ops/record_text.hpp"

#include <fmt/format.h>
#include <simdjson.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "telemetry/json_string.hpp"

namespace topazweir::ops {

namespace {

using operation::Record;
using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

constexpr std::string_view kFormat = "topazweir-state";
constexpr int kVersion = 1;

// Reads the fields of a JSON object. A field that is missing or of the wrong type makes the record invalid.
class Fields {
 public:
  explicit Fields(const element& from) : good_(from.get(root_) == simdjson::SUCCESS) {}
  template <class Value>
  Value get(std::string_view key) {
    Value out{};
    if (!good_ || root_[key].get(out) != simdjson::SUCCESS) good_ = false;
    return out;
  }
  array list(std::string_view key) { return get<array>(key); }
  bool good() const { return good_; }
  void fail() { good_ = false; }

 private:
  object root_;
  bool good_;
};

bool readHolds(Fields& root, Record& out) {
  for (const auto item : root.list("holds")) {
    Fields f(item);
    const std::string id(f.get<std::string_view>("id"));
    const operation::Hold hold{f.get<std::int64_t>("outAt"), f.get<std::int64_t>("backAt")};
    if (!f.good() || out.holds.size() >= operation::Holds::kMost) return false;
    out.holds.emplace(id, hold);
  }
  return root.good();
}

bool readSends(Fields& root, Record& out) {
  for (const auto item : root.list("coldSends")) {
    Fields f(item);
    const std::string id(f.get<std::string_view>("id"));
    auto& sends = out.coldSends[id];
    for (const auto moment : f.list("at")) {
      std::int64_t at = 0;
      if (moment.get(at) != simdjson::SUCCESS || sends.size() >= operation::ColdSends::kMost) return false;
      sends.push_back(at);
    }
    if (!f.good()) return false;
  }
  return root.good();
}

std::variant<Record, std::string> readBody(std::string_view body) {
  simdjson::dom::parser parser;
  element whole;
  if (parser.parse(simdjson::padded_string(body)).get(whole) != simdjson::SUCCESS) return "not a JSON object";
  Fields root(whole);
  Record out;
  out.aggregator = root.get<std::string_view>("aggregator");
  out.process = {root.get<std::int64_t>("startedAt"), root.get<std::int64_t>("pid")};
  const auto phase = root.get<std::string_view>("phase");
  const auto at = std::find(std::begin(operation::kPhaseNames), std::end(operation::kPhaseNames), phase);
  if (at == std::end(operation::kPhaseNames)) return "key phase: unknown";
  out.phase = static_cast<operation::Phase>(at - std::begin(operation::kPhaseNames));
  out.writtenAt = root.get<std::int64_t>("writtenAt");
  out.drained = {root.get<bool>("drained"), root.get<std::int64_t>("drainedAt")};
  out.list = root.get<std::string_view>("list");
  if (!readHolds(root, out) || !readSends(root, out))
    return "a key is missing, of the wrong type or too long";
  return out;
}

}  // namespace

std::string writeRecord(const Record& r) {
  using telemetry::quoteJson;
  std::string body = fmt::format(
      R"({{"aggregator":{},"startedAt":{},"pid":{},"phase":"{}","writtenAt":{},"drained":{},"drainedAt":{},"holds":[)",
      quoteJson(r.aggregator), r.process.startedAt, r.process.pid,
      operation::kPhaseNames[static_cast<std::size_t>(r.phase)], r.writtenAt, r.drained.on, r.drained.at);
  const auto next = [&body, first = true]() mutable { body += std::exchange(first, false) ? "" : ","; };
  for (auto comma = next; const auto& [id, hold] : r.holds) {
    comma();
    body += fmt::format(R"({{"id":{},"outAt":{},"backAt":{}}})", quoteJson(id), hold.outAt, hold.backAt);
  }
  body += R"(],"coldSends":[)";
  for (auto comma = next; const auto& [id, sends] : r.coldSends) {
    comma();
    body += fmt::format(R"({{"id":{},"at":[{}]}})", quoteJson(id), fmt::join(sends, ","));
  }
  body += R"(],"list":)" + quoteJson(r.list) + "}";
  return fmt::format("{} {} {} {:016x}\n", kFormat, kVersion, body.size(),
                     XXH3_64bits(body.data(), body.size())) +
         body;
}

std::variant<Record, std::string> readRecord(std::string_view text) {
  const auto end = text.find('\n');
  if (end == std::string_view::npos || end > 100 || !text.starts_with(kFormat)) return "of another program";
  std::string_view head = text.substr(0, end);
  const std::string_view body = text.substr(end + 1);
  const auto word = [&head] {
    head.remove_prefix(std::min(head.size(), head.find(' ') + 1));
    return head.substr(0, head.find(' '));
  };
  const auto number = [](std::string_view digits, int base) {
    std::uint64_t out = 0;
    const auto [at, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out, base);
    return error == std::errc{} && at == digits.data() + digits.size() ? std::optional(out) : std::nullopt;
  };
  const auto version = number(word(), 10);
  const auto size = number(word(), 10);
  const auto checksum = number(word(), 16);
  if (!version || !size || !checksum) return "of another program";
  if (*version != kVersion) return "of version " + std::to_string(*version) + ", which is not supported";
  if (*size != body.size())
    return "torn: " + std::to_string(body.size()) + " of " + std::to_string(*size) + " bytes";
  if (*checksum != XXH3_64bits(body.data(), body.size())) return "altered: the checksum differs";
  return readBody(body);
}

}  // namespace topazweir::ops
