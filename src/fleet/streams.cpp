#include "fleet/streams.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <vector>

namespace topazweir::fleet {

namespace {
constexpr int kBacklog = 64;
constexpr Nanos kSweepIntervalNs = 500'000'000;
constexpr Nanos kConnectTimeoutNs = 2'000'000'000;
}  // namespace

StreamExchanges::StreamExchanges(net::Loop& loop, const Poco::Net::SocketAddress& address,
                                 RequestHandler onRequest, ReplyHandler onReply)
    : loop_(loop),
      onRequest_(std::move(onRequest)),
      onReply_(std::move(onReply)),
      listener_(loop, address, kBacklog, [this] { accept(); }) {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
}

StreamExchanges::~StreamExchanges() {
  loop_.cancel(sweepTimer_);
  for (auto& [key, exchange] : exchanges_) exchange.connection->close();
}

std::size_t StreamExchanges::count(bool outgoing) const {
  return static_cast<std::size_t>(std::count_if(exchanges_.begin(), exchanges_.end(), [&](const auto& entry) {
    return entry.second.outgoing == outgoing;
  }));
}

StreamExchanges::Exchange& StreamExchanges::add(std::shared_ptr<net::Connection> connection, bool outgoing) {
  auto& exchange = exchanges_[connection.get()];
  exchange.connection = std::move(connection);
  exchange.outgoing = outgoing;
  exchange.since = loop_.now();
  ++(outgoing ? counters_.connected : counters_.accepted);
  return exchange;
}

void StreamExchanges::accept() {
  try {
    while (true) {
      if (count(false) >= kMaxIncomingConnections) return listener_.watch(false);  // until the next sweep
      auto socket = listener_.accept();
      if (!socket) return;
      add(net::Connection::adopt(loop_, *socket, *this), false);
    }
  } catch (const Poco::Exception&) {  // out of file descriptors: accepting resumes at the next sweep
    listener_.watch(false);
  }
}

void StreamExchanges::ask(const Poco::Net::SocketAddress& to, std::string_view message) {
  if (count(true) >= kMaxOutgoingConnections) return void(++counters_.leftOut);
  add(net::Connection::connect(loop_, to, kConnectTimeoutNs, *this), true).request = framed(message);
}

void StreamExchanges::tell(const Poco::Net::SocketAddress& to, std::string_view message) {
  if (count(true) >= kMaxOutgoingConnections) return void(++counters_.leftOut);
  auto& exchange = add(net::Connection::connect(loop_, to, kConnectTimeoutNs, *this), true);
  exchange.oneWay = true;
  exchange.request = framed(message);
}

void StreamExchanges::onUp(net::Connection& connection) {
  const auto at = exchanges_.find(&connection);
  counters_.sentBytes += at->second.request.size();
  connection.write(std::move(at->second.request));
  if (!at->second.oneWay) return;
  connection.closeGracefully();  // the connection keeps itself alive until the peer has read everything
  exchanges_.erase(at);
}

void StreamExchanges::onData(net::Connection& connection) {
  const auto at = exchanges_.find(&connection);
  if (at == exchanges_.end()) return;
  auto& exchange = at->second;
  counters_.receivedBytes += connection.input().size();
  exchange.input += std::exchange(connection.input(), {});
  connection.resume();
  const auto length = messageLength(exchange.input);
  if (length == std::string_view::npos) return;
  if (length > kMaxStreamMessageBytes) return connection.end(net::ConnectionEnd::protocolError);
  if (exchange.input.size() < kFrameHead + length) return;
  const auto complete = std::move(exchange);
  exchanges_.erase(at);
  const auto message = std::string_view(complete.input).substr(kFrameHead, length);
  if (complete.outgoing) {
    complete.connection->close();
    return onReply_(message);
  }
  const auto reply = onRequest_(message);
  if (!reply.empty()) {
    counters_.sentBytes += kFrameHead + reply.size();
    complete.connection->write(framed(reply));
  }
  complete.connection->closeGracefully();
}

void StreamExchanges::onEnd(net::Connection& connection, net::ConnectionEnd end) {
  const auto at = exchanges_.find(&connection);
  if (at == exchanges_.end()) return;
  const bool neverConnected = end == net::ConnectionEnd::refused || end == net::ConnectionEnd::unreachable ||
                              end == net::ConnectionEnd::connectTimeout;
  if (!neverConnected) ++broken_;
  exchanges_.erase(at);
}

void StreamExchanges::sweep() {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
  std::vector<std::shared_ptr<net::Connection>> expired;
  for (const auto& [key, exchange] : exchanges_)
    if (loop_.now() - exchange.since > kExchangeTimeoutNs) expired.push_back(exchange.connection);
  for (const auto& connection : expired) connection->end(net::ConnectionEnd::silent);
  listener_.watch(true);
}

}  // namespace topazweir::fleet
