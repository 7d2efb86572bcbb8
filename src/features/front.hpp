// OGC API - Features, Part 1: Core, before the broker.
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
  Front(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config, broker::Broker& broker);
  http::Server& server() { return server_; }

 private:
  struct Open {
    http::Server::ExchangeNo exchange = 0;
    std::string collection;
    std::optional<ItemsQuery> items;  // none: a single feature is asked for
    std::string base;                 // what links begin with
  };

  void onRequest(http::Server::ExchangeNo exchange, const http::Head& head, std::string_view body) override;
  void onGone(http::Server::ExchangeNo exchange) override;
  void finish(broker::RequestNo request, broker::FinalAnswer answer) override;

  http::Response document(std::string_view path, const std::string& base) const;
  std::string collectionJson(const config::FeatureCollection& collection, const std::string& base) const;
  std::string apiJson() const;
  void ask(Open open, int queryClass, std::string query);
  http::Response writeItems(const Open& open, const broker::FinalAnswer& answer) const;
  http::Response writeItem(const Open& open, const broker::FinalAnswer& answer) const;

  const config::FeaturesConfig& config_;
  net::Loop& loop_;
  broker::Broker& broker_;
  std::map<broker::RequestNo, Open> open_;
  std::map<http::Server::ExchangeNo, broker::RequestNo> requests_;
  std::uint64_t lastId_ = 0;
  http::Server server_;
};

}  // namespace topazweir::features
