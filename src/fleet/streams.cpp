#include "fleet/streams.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <vector>

namespace topazweir::fleet {

namespace {
constexpr int kBacklog = 64;
constexpr Nanos kSweep = 500'000'000, kConnect = 2'000'000'000;
}  // namespace

Streams::Streams(net::Loop& loop, const Poco::Net::SocketAddress& address, Answer answer, Taken taken)
    : loop_(loop),
      answer_(std::move(answer)),
      taken_(std::move(taken)),
      listener_(loop, address, kBacklog, [this] { accept(); }) {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

Streams::~Streams() {
  loop_.cancel(sweepTimer_);
  for (auto& [key, exchange] : exchanges_) exchange.connection->close();
}

std::size_t Streams::count(bool asked) const {
  return static_cast<std::size_t>(std::count_if(
      exchanges_.begin(), exchanges_.end(), [&](const auto& entry) { return entry.second.asked == asked; }));
}

Streams::Exchange& Streams::keep(std::shared_ptr<net::Connection> connection, bool asked) {
  auto& exchange = exchanges_[connection.get()];
  exchange.connection = std::move(connection);
  exchange.asked = asked, exchange.since = loop_.now();
  ++(asked ? counters_.connected : counters_.accepted);
  return exchange;
}

void Streams::accept() {
  try {
    while (true) {
      if (count(false) >= kMostAsking) return listener_.watch(false);  // the rest wait for the next sweep
      auto socket = listener_.accept();
      if (!socket) return;
      keep(net::Connection::adopt(loop_, *socket, *this), false);
    }
  } catch (const Poco::Exception&) {  // no descriptor is left: whoever waits is taken later
    listener_.watch(false);
  }
}

void Streams::ask(const Poco::Net::SocketAddress& to, std::string_view message) {
  if (count(true) >= kMostAsked) return void(++counters_.leftOut);
  keep(net::Connection::connect(loop_, to, kConnect, *this), true).question = framed(message);
}

void Streams::tell(const Poco::Net::SocketAddress& to, std::string_view message) {
  if (count(true) >= kMostAsked) return void(++counters_.leftOut);
  auto& exchange = keep(net::Connection::connect(loop_, to, kConnect, *this), true);
  exchange.told = true, exchange.question = framed(message);
}

void Streams::onUp(net::Connection& connection) {
  const auto at = exchanges_.find(&connection);
  counters_.sentBytes += at->second.question.size();
  connection.write(std::move(at->second.question));
  if (!at->second.told) return;
  connection.closeGently();  // it keeps itself until the peer has read all
  exchanges_.erase(at);
}

void Streams::onData(net::Connection& connection) {
  const auto at = exchanges_.find(&connection);
  if (at == exchanges_.end()) return;
  auto& exchange = at->second;
  counters_.receivedBytes += connection.input().size();
  exchange.input += std::exchange(connection.input(), {});
  connection.resume();
  const auto length = lengthOf(exchange.input);
  if (length == std::string_view::npos) return;
  if (length > kMostStream) return connection.end(net::ConnectionEnd::badPeer);
  if (exchange.input.size() < kFrameHead + length) return;
  const auto whole = std::move(exchange);
  exchanges_.erase(at);
  const auto message = std::string_view(whole.input).substr(kFrameHead, length);
  if (whole.asked) {
    whole.connection->close();
    return taken_(message);
  }
  const auto reply = answer_(message);
  if (!reply.empty()) {
    counters_.sentBytes += kFrameHead + reply.size();
    whole.connection->write(framed(reply));
  }
  whole.connection->closeGently();
}

void Streams::onEnd(net::Connection& connection, net::ConnectionEnd end) {
  const auto at = exchanges_.find(&connection);
  if (at == exchanges_.end()) return;
  const bool neverUp = end == net::ConnectionEnd::refused || end == net::ConnectionEnd::unreachable ||
                       end == net::ConnectionEnd::connectTimeout;
  if (!neverUp) ++broken_;
  exchanges_.erase(at);
}

void Streams::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  std::vector<std::shared_ptr<net::Connection>> late;
  for (const auto& [key, exchange] : exchanges_)
    if (loop_.now() - exchange.since > kTime) late.push_back(exchange.connection);
  for (const auto& connection : late) connection->end(net::ConnectionEnd::silent);
  listener_.watch(true);
}

}  // namespace topazweir::fleet
