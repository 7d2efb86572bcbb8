// GeoJSON parsing with simdjson.
#include "features/geojson.hpp"

#include <simdjson.h>

#include "telemetry/json_string.hpp"

namespace topazweir::features {

namespace {

using simdjson::SUCCESS;
using telemetry::quoteJson;

bool typeIs(const simdjson::dom::element& value, std::string_view type) {
  std::string_view found;
  return value.is_object() && value["type"].get(found) == SUCCESS && found == type;
}

// Returns the raw text of each object of an array, so that a feature's numbers keep the notation of the
// server. The on-demand parser does not validate everything: the document must have been validated before.
std::vector<std::string> rawObjects(simdjson::ondemand::array array) {
  std::vector<std::string> out;
  for (auto item : array) {
    simdjson::ondemand::object object;
    std::string_view text;
    if (item.get_object().get(object) != SUCCESS || object.raw_json().get(text) != SUCCESS) return {};
    out.emplace_back(text);
  }
  return out;
}

}  // namespace

std::optional<Page> readPage(std::string_view json) {
  const simdjson::padded_string text(json);
  simdjson::dom::parser checker;
  simdjson::dom::element root;
  simdjson::dom::array features, links;
  if (checker.parse(text).get(root) != SUCCESS || !typeIs(root, "FeatureCollection") ||
      root["features"].get(features) != SUCCESS)
    return std::nullopt;
  for (const auto feature : features)
    if (!typeIs(feature, "Feature")) return std::nullopt;
  Page page;
  if (root["links"].get(links) == SUCCESS) {
    for (const auto link : links) {
      std::string_view rel, href;
      if (link["rel"].get(rel) == SUCCESS && rel == "next" && link["href"].get(href) == SUCCESS)
        page.next = href;
    }
  }
  simdjson::ondemand::parser reader;
  simdjson::ondemand::document document;
  simdjson::ondemand::array array;
  if (reader.iterate(text).get(document) != SUCCESS || document["features"].get_array().get(array) != SUCCESS)
    return std::nullopt;
  page.features = rawObjects(array);
  if (page.features.size() != features.size()) return std::nullopt;
  return page;
}

bool isFeature(std::string_view json) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  return parser.parse(simdjson::padded_string(json)).get(root) == SUCCESS && typeIs(root, "Feature");
}

std::string join(const std::vector<std::string>& features) {
  std::string out;
  for (const auto& feature : features) {
    if (!out.empty()) out += ',';
    out += feature;
  }
  return out;
}

std::vector<std::string> split(std::string_view joined) {
  const simdjson::padded_string text(std::string("[").append(joined).append("]"));
  simdjson::ondemand::parser reader;
  simdjson::ondemand::document document;
  simdjson::ondemand::array array;
  if (reader.iterate(text).get(document) != SUCCESS || document.get_array().get(array) != SUCCESS) return {};
  return rawObjects(array);
}

std::string formatLinks(const std::vector<Link>& links) {
  std::string out = "[";
  for (const auto& link : links) {
    if (out.size() > 1) out += ',';
    out += R"({"href":)" + quoteJson(link.href) + R"(,"rel":)" + quoteJson(link.rel) + R"(,"type":)" +
           quoteJson(link.type);
    if (!link.title.empty()) out += R"(,"title":)" + quoteJson(link.title);
    out += '}';
  }
  return out += ']';
}

}  // namespace topazweir::features
