#include "platform/front.hpp"

#include "platform/query.hpp"

namespace topazweir::platform {

PlatformFront::PlatformFront(net::Loop& loop, broker::Log& log, http::Server::Options options,
                             broker::Broker& broker, std::function<std::string()> counters)
    : broker_(broker), counters_(std::move(counters)), server_(loop, log, std::move(options), *this) {}

void PlatformFront::respondText(http::Server::ExchangeId exchange, int status, std::string text) {
  server_.respond(exchange, {status, "text/plain", std::move(text), {}});
}

void PlatformFront::onRequest(http::Server::ExchangeId exchange, const http::Head& head,
                              std::string_view body) {
  const auto path = head.target.substr(0, head.target.find('?'));
  const bool isPage = path == "/up" || path == "/counters";
  if (isPage && head.method != "GET") return respondText(exchange, 405, "only GET here\n");
  if (path == "/up")
    return up_ ? respondText(exchange, 200, "up\n") : respondText(exchange, 503, "draining\n");
  if (path == "/counters") return respondText(exchange, 200, counters_());
  if (head.method != "POST") return respondText(exchange, 405, "queries are sent as POST\n");
  handleQuery(exchange, head, body);
}

void PlatformFront::handleQuery(http::Server::ExchangeId exchange, const http::Head& head,
                                std::string_view body) {
  auto read = readQuery(head, body, broker_.terms());
  if (const auto* fault = std::get_if<http::Fault>(&read))
    return respondText(exchange, fault->status, std::string(fault->why) + "\n");
  const auto taken = broker_.take(std::get<broker::Request>(std::move(read)), *this);
  if (const auto* invalid = std::get_if<broker::Invalid>(&taken))
    return respondText(exchange, 400, invalid->why + "\n");
  const auto request = std::get<broker::RequestNo>(taken);
  exchanges_[request] = exchange;
  requests_[exchange] = request;
  broker_.begin(request);
}

void PlatformFront::onGone(http::Server::ExchangeId exchange) {
  const auto at = requests_.find(exchange);
  if (at == requests_.end()) return;
  const auto request = at->second;
  requests_.erase(at);
  exchanges_.erase(request);
  broker_.abandon(request);
}

void PlatformFront::finish(broker::RequestNo request, broker::FinalAnswer answer) {
  const auto at = exchanges_.find(request);
  if (at == exchanges_.end()) return;
  const auto exchange = at->second;
  exchanges_.erase(at);
  requests_.erase(exchange);
  server_.respond(exchange, writeAnswer(answer));
}

}  // namespace topazweir::platform
