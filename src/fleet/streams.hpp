// Messages between aggregators that are sent by TCP, such as full exchanges: each connection carries one
// request and at most one reply.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/codec.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace topazweir::fleet {

class StreamExchanges : private net::Connection::Owner {
 public:
  // Returns the reply to a received request; empty: the connection is closed without a reply.
  using RequestHandler = std::function<std::string(std::string_view message)>;
  using ReplyHandler = std::function<void(std::string_view reply)>;

  // Throws Poco::Exception if it cannot listen on the address.
  StreamExchanges(net::Loop& loop, const Poco::Net::SocketAddress& address, RequestHandler onRequest,
                  ReplyHandler onReply);
  ~StreamExchanges() override;

  // Sends a request. It is dropped and counted if kMaxOutgoingConnections outgoing connections are open; the
  // protocols that use this repeat their exchanges.
  void ask(const Poco::Net::SocketAddress& to, std::string_view message);
  // Sends a message without waiting for a reply; dropped like a request.
  void tell(const Poco::Net::SocketAddress& to, std::string_view message);
  std::uint64_t broken() const {
    return broken_;
  }  // established connections that ended before their message was complete
  struct Counters {
    std::uint64_t connected = 0;  // outgoing connections, failed ones included
    std::uint64_t accepted = 0;   // incoming connections
    std::uint64_t leftOut = 0;    // messages dropped since kMaxOutgoingConnections connections were open
    std::uint64_t sentBytes = 0;  // including the length in front of each message
    std::uint64_t receivedBytes = 0;
  };
  const Counters& counters() const { return counters_; }

  static constexpr std::size_t kMaxOutgoingConnections = 16;  // outgoing connections at a time
  static constexpr std::size_t kMaxIncomingConnections = 32;  // incoming connections at a time
  static constexpr Nanos kExchangeTimeoutNs = 5'000'000'000;  // from the connection attempt to the reply

 private:
  struct Exchange {
    std::shared_ptr<net::Connection> connection;
    bool outgoing = false;
    bool oneWay = false;  // outgoing, and no reply is expected
    Nanos since = 0;
    std::string input;
    std::string request;  // framed, until it has been written
  };
  void accept();
  Exchange& add(std::shared_ptr<net::Connection> connection, bool outgoing);
  std::size_t count(bool outgoing) const;
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void sweep();

  net::Loop& loop_;
  RequestHandler onRequest_;
  ReplyHandler onReply_;
  net::Listener listener_;
  std::map<net::Connection*, Exchange> exchanges_;
  std::uint64_t broken_ = 0;
  Counters counters_;
  net::Loop::TimerId sweepTimer_{};
};

}  // namespace topazweir::fleet
