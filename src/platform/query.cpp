#include "platform/query.hpp"

#include <simdjson.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "telemetry/json_string.hpp"

namespace topazweir::platform {

namespace {

using simdjson::SUCCESS;

constexpr double kMaxDeadlineSeconds = 86400;

// Reads a positive number of seconds up to kMaxDeadlineSeconds.
std::optional<Nanos> readSeconds(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  if (!std::isfinite(value) || value <= 0 || value > kMaxDeadlineSeconds) return std::nullopt;
  return static_cast<Nanos>(value * 1e9);
}

}  // namespace

std::variant<broker::Request, http::Fault> readQuery(const http::Head& head, std::string_view body,
                                                     const broker::Terms& terms) {
  broker::Request request;
  const auto id = head.field("Req-Id");
  const auto kind = head.field("Req-Kind");
  const auto owner = head.field("Req-Owner");
  const auto deadline = head.field("Req-Deadline");
  if (!id || id->empty()) return http::Fault{400, "Req-Id is missing"};
  if (!deadline) return http::Fault{400, "Req-Deadline is missing"};
  request.id = *id;
  const auto path = head.target.substr(0, head.target.find('?'));
  const auto className = path.substr(1, path.find('/', 1) - 1);
  const auto& classes = terms.settings.classes;
  const auto queryClass =
      std::find_if(classes.begin(), classes.end(), [&](const QueryClass& c) { return c.name == className; });
  if (queryClass == classes.end()) return http::Fault{404, "unknown class"};
  if (kind && *kind != className) return http::Fault{400, "Req-Kind differs from the path"};
  request.queryClass = static_cast<int>(queryClass - classes.begin());
  if (!terms.contracts.empty()) {
    const auto tenant = std::find_if(terms.contracts.begin(), terms.contracts.end(),
                                     [&](const broker::Contract& c) { return owner && c.tenant == *owner; });
    if (tenant == terms.contracts.end()) return http::Fault{400, "Req-Owner is missing or unknown"};
    request.tenant = static_cast<int>(tenant - terms.contracts.begin());
  }
  const auto timeLeft = readSeconds(*deadline);
  if (!timeLeft) return http::Fault{400, "Req-Deadline is out of range"};
  request.timeLeft = *timeLeft;
  request.repeat = head.field("Req-Retry").value_or("") == "1";

  simdjson::dom::parser parser;
  simdjson::dom::object root;
  simdjson::dom::array targets;
  std::string_view query;
  if (parser.parse(simdjson::padded_string(body)).get(root) != SUCCESS)
    return http::Fault{400, "the body is not a JSON object"};
  if (root["query"].get(query) != SUCCESS) return http::Fault{400, "query is missing or not a text"};
  if (root["targets"].get(targets) != SUCCESS) return http::Fault{400, "targets is missing or not a list"};
  request.query = query;
  for (const auto item : targets) {
    std::int64_t shard = 0;
    broker::PartRequest part;
    if (item["partition"].get(shard) != SUCCESS || shard < 0 || shard >= terms.settings.shards)
      return http::Fault{400, "a partition is missing or unknown"};
    if (item["share"].get(part.weight) != SUCCESS) return http::Fault{400, "a share is missing or no number"};
    part.shard = static_cast<int>(shard);
    request.parts.push_back(part);
  }
  return request;
}

http::Response writeAnswer(const broker::FinalAnswer& answer) {
  http::Response response;
  switch (answer.verdict) {
    case broker::Verdict::answered:
      response.contentType = "application/json";
      response.body = std::string(R"({"whole":)") + (answer.whole ? "true" : "false") + R"(,"results":[)";
      for (std::size_t i = 0; i < answer.results.size(); ++i) {
        if (i > 0) response.body += ',';
        response.body += R"({"partition":)" + std::to_string(answer.results[i].shard) + R"(,"value":)";
        response.body += telemetry::quoteJson(answer.results[i].value) + '}';
      }
      response.body += "]}";
      return response;
    case broker::Verdict::refused:
      response.status = 503;
      if (answer.retryAfter > 0)
        response.fields.emplace_back("Retry-After", http::seconds(answer.retryAfter));
      break;
    case broker::Verdict::failed:
      response.status = answer.timedOut ? 504 : 502;
      break;
  }
  response.contentType = "text/plain";
  response.body = std::string(http::reason(response.status)) + "\n";
  return response;
}

}  // namespace topazweir::platform
