// Resources of OGC API - Features and the merging of the groups' results.
#include "features/front.hpp"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>

#include <algorithm>

#include "features/geojson.hpp"
#include "telemetry/json_string.hpp"

namespace topazweir::features {

using telemetry::quoteJson;

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kGeoJson = "application/geo+json";
constexpr Nanos kSecond = 1'000'000'000;

// An OGC exception response.
http::Response errorResponse(int status, std::string_view description) {
  return {
      status,
      kJson,
      R"({"code":)" + quoteJson(std::to_string(status)) + R"(,"description":)" + quoteJson(description) + "}",
      {}};
}

std::vector<std::string_view> pathSegments(std::string_view path) {
  std::vector<std::string_view> out;
  while (!path.empty()) {
    path.remove_prefix(1);  // the slash
    const auto end = std::min(path.find('/'), path.size());
    if (end > 0 || end < path.size()) out.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return out;
}

}  // namespace

Front::Front(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config, broker::Broker& broker)
    : config_(config),
      loop_(loop),
      broker_(broker),
      server_(loop, log,
              {"features", Poco::Net::SocketAddress(config.listen),
               std::max<std::size_t>(8, config.maxSockets / 2)},
              *this) {}

void Front::onRequest(http::Server::ExchangeId exchange, const http::Head& head, std::string_view) {
  const auto queryStart = std::min(head.target.find('?'), head.target.size());
  const auto path = head.target.substr(0, queryStart);
  const auto query = head.target.substr(std::min(queryStart + 1, head.target.size()));
  const std::string baseUrl = "http://" + std::string(head.field("Host").value_or(config_.listen));
  const auto parts = pathSegments(path);
  const bool items =
      parts.size() >= 3 && parts.size() <= 4 && parts[0] == "collections" && parts[2] == "items";
  if (!items) {
    auto response = document(path, baseUrl);
    if (response.status == 200 && head.method != "GET") response = errorResponse(405, "only GET is allowed");
    if (response.status == 200 && !query.empty()) response = errorResponse(400, "unknown parameter");
    if (response.status == 405) response.fields.emplace_back("Allow", "GET");
    return server_.respond(exchange, response);
  }
  const auto known = std::any_of(config_.collections.begin(), config_.collections.end(),
                                 [&](const auto& c) { return c.id == parts[1]; });
  const bool single = parts.size() == 4;
  // A placeholder stands for the id of a request for items.
  const auto id = single ? decode(parts[3]) : std::string("-");
  if (!known || !id || id->empty()) return server_.respond(exchange, errorResponse(404, "no such resource"));
  if (head.method != "GET") {
    auto response = errorResponse(405, "only GET is allowed");
    response.fields.emplace_back("Allow", "GET");
    return server_.respond(exchange, response);
  }
  OpenRequest request{exchange, std::string(parts[1]), std::nullopt, baseUrl};
  const std::string target = "/collections/" + request.collection + "/items";
  if (single) {
    if (!query.empty()) return server_.respond(exchange, errorResponse(400, "unknown parameter"));
    return submit(std::move(request), config::FeaturesConfig::kLookupClass, target + "/" + encode(*id));
  }
  auto read = readItemsQuery(query);
  if (const auto* fault = std::get_if<std::string>(&read))
    return server_.respond(exchange, errorResponse(400, *fault));
  request.items = std::get<ItemsQuery>(read);
  // All matching features are fetched, whatever page the client wants: which features a page contains depends
  // on the results of all groups.
  const std::string all =
      target + "?" + filters(*request.items) + "limit=" + std::to_string(config_.pageLimit);
  submit(std::move(request), config::FeaturesConfig::kSearchClass, all);
}

void Front::submit(OpenRequest open, int queryClass, std::string target) {
  broker::Request request;
  request.id = "f" + std::to_string(++lastId_);
  request.queryClass = queryClass;
  request.timeLeft = config_.deadline;
  request.query = std::move(target);
  const auto groups = config_.groups.size();
  for (std::size_t g = 0; g < groups; ++g)
    request.parts.push_back({static_cast<int>(g), 1.0 / static_cast<double>(groups)});
  const auto submitted = broker_.take(std::move(request), *this);
  if (const auto* invalid = std::get_if<broker::Invalid>(&submitted))
    return server_.respond(open.exchange, errorResponse(400, invalid->why));
  const auto no = std::get<broker::RequestNo>(submitted);
  requestNos_[open.exchange] = no;
  openRequests_[no] = std::move(open);
  broker_.begin(no);
}

void Front::onGone(http::Server::ExchangeId exchange) {
  const auto at = requestNos_.find(exchange);
  if (at == requestNos_.end()) return;
  const auto request = at->second;
  requestNos_.erase(at);
  openRequests_.erase(request);
  broker_.abandon(request);
}

void Front::finish(broker::RequestNo request, broker::FinalAnswer answer) {
  const auto at = openRequests_.find(request);
  if (at == openRequests_.end()) return;
  const OpenRequest open = std::move(at->second);
  openRequests_.erase(at);
  requestNos_.erase(open.exchange);
  if (answer.verdict == broker::Verdict::answered)
    return server_.respond(open.exchange, open.items ? itemsResponse(open, answer) : itemResponse(answer));
  if (answer.verdict == broker::Verdict::refused) {
    auto response = errorResponse(503, "no answer can be had now; asking again is harmless");
    // In whole seconds, at least 1 even if the decision module gives no advice.
    response.fields.emplace_back(
        "Retry-After", std::to_string(std::max<Nanos>(1, (answer.retryAfter + kSecond - 1) / kSecond)));
    return server_.respond(open.exchange, response);
  }
  server_.respond(open.exchange, answer.timedOut ? errorResponse(504, "the time for the answer has run out")
                                                 : errorResponse(502, "the feature servers have failed"));
}

http::Response Front::itemsResponse(const OpenRequest& request, const broker::FinalAnswer& answer) const {
  const ItemsQuery& query = *request.items;
  auto results = answer.results;
  std::sort(results.begin(), results.end(), [](const auto& a, const auto& b) { return a.shard < b.shard; });
  std::vector<std::string> features;
  std::string missing;
  for (std::size_t g = 0; g < config_.groups.size(); ++g) {
    const auto result = std::find_if(results.begin(), results.end(),
                                     [&](const auto& r) { return r.shard == static_cast<int>(g); });
    if (result == results.end()) {
      missing.append(missing.empty() ? "" : ",").append(quoteJson(config_.groups[g].name));
    } else {
      for (auto& feature : split(result->value)) features.push_back(std::move(feature));
    }
  }
  const std::string path =
      request.baseUrl + "/collections/" + request.collection + "/items?" + filters(query);
  const auto page = [&](std::size_t offset) {
    return path + "limit=" + std::to_string(query.limit) + "&offset=" + std::to_string(offset);
  };
  std::vector<Link> links{{page(query.offset), "self", kGeoJson, "this page"}};
  const auto from = std::min(query.offset, features.size());
  const auto to = std::min(from + query.limit, features.size());
  if (to < features.size()) links.push_back({page(to), "next", kGeoJson, "next page"});
  const auto stamp = Poco::DateTimeFormatter::format(Poco::Timestamp(loop_.now() / 1000),
                                                     Poco::DateTimeFormat::ISO8601_FORMAT);
  http::Response response;
  response.contentType = kGeoJson;
  response.fields.emplace_back("Content-Crs", "<http://www.opengis.net/def/crs/OGC/1.3/CRS84>");
  auto& body = response.body;
  body = R"({"type":"FeatureCollection","timeStamp":)" + quoteJson(stamp);
  // The number of matches is known only if every group has answered.
  if (answer.whole) body += R"(,"numberMatched":)" + std::to_string(features.size());
  body += R"(,"numberReturned":)" + std::to_string(to - from);
  body += std::string(R"(,"partial":)") + (answer.whole ? "false" : "true");
  if (!answer.whole) body += R"(,"missingGroups":[)" + missing + "]";
  body += R"(,"links":)" + formatLinks(links) + R"(,"features":[)";
  body += join({features.begin() + static_cast<std::ptrdiff_t>(from),
                features.begin() + static_cast<std::ptrdiff_t>(to)});
  body += "]}";
  return response;
}

http::Response Front::itemResponse(const broker::FinalAnswer& answer) const {
  for (const auto& result : answer.results)
    if (!result.value.empty()) return {200, kGeoJson, result.value, {}};
  return errorResponse(404, "no such feature");
}

std::string Front::collectionJson(const config::FeatureCollection& c, const std::string& baseUrl) const {
  const std::string path = baseUrl + "/collections/" + c.id;
  return R"({"id":)" + quoteJson(c.id) + R"(,"title":)" + quoteJson(c.title) + R"(,"description":)" +
         quoteJson(c.description) +
         R"(,"itemType":"feature","crs":["http://www.opengis.net/def/crs/OGC/1.3/CRS84"])" + R"(,"links":)" +
         formatLinks({{path, "self", kJson, c.title}, {path + "/items", "items", kGeoJson, "the features"}}) +
         "}";
}

std::string Front::apiJson() const {
  std::string paths = R"("/":{"get":{"responses":{"200":{"description":"landing page"}}}})";
  const auto add = [&](const std::string& path, std::string_view what, std::string_view parameters) {
    paths.append(",").append(quoteJson(path));
    paths += R"(:{"get":{"parameters":[)" + std::string(parameters) +
             R"(],"responses":{"200":{"description":)" + quoteJson(what) + "}}}}";
  };
  add("/conformance", "conformance classes", "");
  add("/collections", "the collections", "");
  for (const auto& c : config_.collections) {
    const std::string path = "/collections/" + c.id;
    add(path, c.title, "");
    add(path + "/items", "features",
        R"({"name":"bbox","in":"query","schema":{"type":"string"}},)"
        R"({"name":"datetime","in":"query","schema":{"type":"string"}},)"
        R"({"name":"limit","in":"query","schema":{"type":"integer","minimum":1,"maximum":10000,"default":10}},)"
        R"({"name":"offset","in":"query","schema":{"type":"integer","minimum":0,"default":0}})");
    add(path + "/items/{featureId}", "a feature",
        R"({"name":"featureId","in":"path","required":true,"schema":{"type":"string"}})");
  }
  return R"({"openapi":"3.0.3","info":{"title":)" + quoteJson(config_.title) +
         R"(,"version":"1.0"},"paths":{)" + paths + "}}";
}

http::Response Front::document(std::string_view path, const std::string& baseUrl) const {
  constexpr const char* kApi = "application/vnd.oai.openapi+json;version=3.0";
  const std::string collections = baseUrl + "/collections";
  if (path == "/")
    return {200,
            kJson,
            R"({"title":)" + quoteJson(config_.title) +
                R"(,"description":"Features of all branch groups","links":)" +
                formatLinks({{baseUrl + "/", "self", kJson, "this document"},
                             {baseUrl + "/api", "service-desc", kApi, "the API definition"},
                             {baseUrl + "/conformance", "conformance", kJson, "conformance classes"},
                             {collections, "data", kJson, "the collections"}}) +
                "}",
            {}};
  if (path == "/api") return {200, kApi, apiJson(), {}};
  if (path == "/conformance")
    return {200,
            kJson,
            R"({"conformsTo":["http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",)"
            R"("http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson"]})",
            {}};
  if (path == "/collections") {
    std::string list;
    for (const auto& c : config_.collections)
      list.append(list.empty() ? "" : ",").append(collectionJson(c, baseUrl));
    return {200,
            kJson,
            R"({"links":)" + formatLinks({{collections, "self", kJson, "this document"}}) +
                R"(,"collections":[)" + list + "]}",
            {}};
  }
  for (const auto& c : config_.collections)
    if (path == "/collections/" + c.id) return {200, kJson, collectionJson(c, baseUrl), {}};
  return errorResponse(404, "no such resource");
}

}  // namespace topazweir::features
