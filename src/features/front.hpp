// HTTP front for OGC API - Features, Part 1: Core. Turns requests for features into broker requests and
// merges the results; all other resources are answered from the configuration.
#pragma once

#include <map>
#include <optional>

#include "broker/broker.hpp"
#include "config/features_config.hpp"
#include "features/items_query.hpp"
#include "http/server.hpp"

namespace topazweir::features {

class Front : public broker::Front, private http::Server::Handler {
 public:
  // All arguments must outlive the front.
  Front(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config, broker::Broker& broker);
  http::Server& server() { return server_; }
  const http::Server& server() const { return server_; }

 private:
  struct OpenRequest {
    http::Server::ExchangeId exchange = 0;
    std::string collection;
    std::optional<ItemsQuery> items;  // none: the request is for a single feature
    std::string baseUrl;              // prefix of links
  };

  void onRequest(http::Server::ExchangeId exchange, const http::Head& head, std::string_view body) override;
  void onGone(http::Server::ExchangeId exchange) override;
  void finish(broker::RequestNo request, broker::FinalAnswer answer) override;

  // A resource that needs no features: landing page, API definition, conformance, collections.
  http::Response document(std::string_view path, const std::string& baseUrl) const;
  std::string collectionJson(const config::FeatureCollection& collection, const std::string& baseUrl) const;
  std::string apiJson() const;
  // Submits a request with one part for each group. `target` is requested from the feature servers.
  void submit(OpenRequest open, int queryClass, std::string target);
  http::Response itemsResponse(const OpenRequest& request, const broker::FinalAnswer& answer) const;
  http::Response itemResponse(const broker::FinalAnswer& answer) const;

  const config::FeaturesConfig& config_;
  net::Loop& loop_;
  broker::Broker& broker_;
  std::map<broker::RequestNo, OpenRequest> openRequests_;
  std::map<http::Server::ExchangeId, broker::RequestNo> requestNos_;  // of the open requests
  std::uint64_t lastId_ = 0;
  http::Server server_;
};

}  // namespace topazweir::features
