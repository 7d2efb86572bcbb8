// The platform's HTTP front: queries as POST, GET /up for the load balancer's health check, GET /counters for
// people.
#pragma once

#include <functional>
#include <map>

#include "broker/broker.hpp"
#include "http/server.hpp"

namespace topazweir::platform {

class PlatformFront : public broker::Front, private http::Server::Handler {
 public:
  // `counters`: the body of GET /counters.
  PlatformFront(net::Loop& loop, broker::Log& log, http::Server::Options options, broker::Broker& broker,
                std::function<std::string()> counters);

  // Sets what /up answers: 200 when clients are accepted, else 503.
  void up(bool takesClients) { up_ = takesClients; }
  http::Server& server() { return server_; }
  const http::Server& server() const { return server_; }

 private:
  void onRequest(http::Server::ExchangeId exchange, const http::Head& head, std::string_view body) override;
  void onGone(http::Server::ExchangeId exchange) override;
  void finish(broker::RequestNo request, broker::FinalAnswer answer) override;
  void handleQuery(http::Server::ExchangeId exchange, const http::Head& head, std::string_view body);
  void respondText(http::Server::ExchangeId exchange, int status, std::string text);

  broker::Broker& broker_;
  std::function<std::string()> counters_;
  bool up_ = true;
  std::map<broker::RequestNo, http::Server::ExchangeId> exchanges_;
  std::map<http::Server::ExchangeId, broker::RequestNo> requests_;
  http::Server server_;
};

}  // namespace topazweir::platform
