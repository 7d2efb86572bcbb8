// Fault injection between the members of a fleet. Each member is reached through a relay of its own, which
// decodes the sender and kind of messages and drops, delays or duplicates them, for each direction
// separately.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <random>

#include "fleet/codec.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"
#include "net/udp_socket.hpp"

namespace topazweir::test {

// Faults on the path from one member to another.
struct Path {
  bool cut = false;                 // all messages are dropped
  bool noDissemination = false;     // dissemination messages are dropped, as by versions without it
  bool noRegisterRequests = false;  // requests for the whole register are dropped
  double lossRate = 0;              // share of datagrams that are dropped
  double duplicateRate = 0;         // share of datagrams that are sent twice
  Nanos maxDelay = 0;               // datagrams get a random delay up to this, so that they are reordered
};

class Relay : net::Connection::Owner {
 public:
  using Paths = std::function<Path(const std::string& from)>;  // to this relay's member

  // `fleet`: name of the fleet whose messages are decoded. The sender of all others is "".
  Relay(net::Loop& loop, const std::string& address, const std::string& member, std::string fleet,
        Paths paths, std::uint64_t seed)
      : loop_(loop),
        member_(member),
        fleet_(std::move(fleet)),
        paths_(std::move(paths)),
        random_(seed),
        datagrams_(loop, Poco::Net::SocketAddress(address),
                   [this](auto bytes, const auto&) { forward(bytes); }),
        listener_(loop, Poco::Net::SocketAddress(address), kBacklog, [this] { accept(); }) {}
  ~Relay() override {
    for (auto& stream : streams_) {
      stream.incoming->close();
      if (stream.outgoing) stream.outgoing->close();
    }
  }

 private:
  static constexpr int kBacklog = 64;
  static constexpr Nanos kConnectTimeoutNs = 1'000'000'000;
  struct Stream {
    std::shared_ptr<net::Connection> incoming;
    std::shared_ptr<net::Connection> outgoing;  // null until the first message has been decoded
    std::string input;
  };
  // The faults that apply to a message.
  Path pathOf(std::string_view bytes) const {
    const auto read = fleet::decode(bytes, fleet_);
    const auto* message = std::get_if<membership::Message>(&read);
    auto path = paths_(message ? message->sender : std::string());
    if (!message) return path;
    path.cut = path.cut || (path.noDissemination && message->kind == membership::Kind::dissemination) ||
               (path.noRegisterRequests && message->kind == membership::Kind::follow);
    return path;
  }
  bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  void forward(std::string_view bytes) {
    const auto path = pathOf(bytes);
    if (path.cut || chance(path.lossRate)) return;
    for (int copies = chance(path.duplicateRate) ? 2 : 1; copies > 0; --copies)
      loop_.after(std::uniform_int_distribution<Nanos>(0, path.maxDelay)(random_),
                  [this, message = std::string(bytes)] { datagrams_.send(message, member_); });
  }
  void accept() {
    while (auto socket = listener_.accept())
      streams_.push_back({net::Connection::adopt(loop_, *socket, *this), nullptr, {}});
  }
  std::list<Stream>::iterator find(const net::Connection& c) {
    return std::find_if(streams_.begin(), streams_.end(),
                        [&](const Stream& s) { return s.incoming.get() == &c || s.outgoing.get() == &c; });
  }
  void onData(net::Connection& c) override {
    const auto at = find(c);
    if (at == streams_.end()) return;
    const auto bytes = std::exchange(c.input(), {});
    c.resume();
    if (at->outgoing.get() == &c) return at->incoming->write(bytes);
    at->input += bytes;
    const auto length = fleet::messageLength(at->input);
    if (at->outgoing || length == std::string_view::npos || at->input.size() < fleet::kFrameHead + length)
      return;
    if (pathOf(std::string_view(at->input).substr(fleet::kFrameHead, length)).cut)
      return;  // unresponsive: the sender runs into its timeout
    at->outgoing = net::Connection::connect(loop_, member_, kConnectTimeoutNs, *this);
  }
  void onUp(net::Connection& c) override {
    if (const auto at = find(c); at != streams_.end()) c.write(at->input);
  }
  void onEnd(net::Connection& c, net::ConnectionEnd) override {
    const auto at = find(c);
    if (at == streams_.end()) return;
    const auto stream = *at;
    streams_.erase(at);
    if (stream.incoming.get() != &c) return stream.incoming->closeGracefully();
    if (stream.outgoing) stream.outgoing->close();
  }

  net::Loop& loop_;
  Poco::Net::SocketAddress member_;
  std::string fleet_;
  Paths paths_;
  std::mt19937_64 random_;
  net::UdpSocket datagrams_;
  net::Listener listener_;
  std::list<Stream> streams_;
};

}  // namespace topazweir::test
