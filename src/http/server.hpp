// The listening side of HTTP/1.1 for every front: connections, one exchange at a time on each, clear 4xx to
// what is malformed, and an orderly end.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "broker/log.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace topazweir::http {

class Server : private net::Connection::Owner {
 public:
  using ExchangeNo = std::uint64_t;

  class Handler {
   public:
    virtual ~Handler() = default;
    // To be answered by respond(), at once or later.
    virtual void onRequest(ExchangeNo exchange, const Head& head, std::string_view body) = 0;
    virtual void onGone(ExchangeNo exchange) = 0;  // the client has left; respond() is no longer of use
  };

  struct Options {
    std::string name;  // for the log
    Poco::Net::SocketAddress address;
    std::size_t mostConnections = 256;
    // A request must have come in within this time of its first byte, the first one of a connection of its
    // being accepted.
    Nanos requestTime = 2'200'000'000;
    Nanos idleTime = 2'000'000'000;  // an idle connection may be closed after this, when room is needed
    std::optional<int> inherited{};  // the descriptor of a listening socket, used in place of a new one
    bool accepts = true;             // from the start; else startAccepting() is waited for
  };

  Server(net::Loop& loop, broker::Log& log, Options options, Handler& handler);
  ~Server() override;

  void respond(ExchangeNo exchange, const Response& response);
  void limit(std::size_t mostConnections) { options_.mostConnections = mostConnections; }  // from now on
  void startAccepting();
  // Whether connections end: each with its next answer; and, from the next sweep on, those that are idle, or
  // young and have not asked. The listener stays.
  void endWithAnswers(bool on) { endWithAnswers_ = on; }
  void endIdle(bool on) { endIdle_ = on; }
  // Closes the listener. What waits there is accepted first, unless another process shares it and accepts.
  void stopListening(bool shared = false);
  // Closes the listener, and each connection as soon as nothing is open on it.
  void stopAccepting();
  // After stopAccepting: what has not come in whole is turned down, and what is idle ends.
  void endUnfinished();
  // After stopAccepting: all has been answered, written whole and read by its clients, as far as they read.
  bool quiet() const;
  std::size_t connections() const { return clients_.size(); }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

 private:
  struct Client {
    std::shared_ptr<net::Connection> connection;
    Parser parser{Side::request};
    ExchangeNo exchange = 0;  // open one; 0: none
    bool close = false;       // after the open exchange
    bool asked = false;       // a request has come in whole
    bool begun = false;       // the next one has begun to
    Nanos since = 0;          // it is idle, or its next request has begun
    bool idle() const { return exchange == 0 && connection->input().empty() && connection->flushed(); }
  };

  void onAccept(Poco::Net::ReadableNotification* event);
  void accept();
  void listen(bool on);
  void onData(net::Connection& connection) override;
  void onLeft(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void serve(Client& client);
  void reject(Client& client, const Fault& fault);
  void drop(net::Connection& connection);
  // False: nothing has come in on it; else what has is served or turned down.
  bool hurry(net::Connection& connection);
  void endGently(net::Connection& connection);
  void sweep();
  bool makeRoom();
  bool closeIdle(Nanos longerThan, bool unasked);
  void endIdle();
  std::size_t open() const;

  net::Loop& loop_;
  broker::Log& log_;
  Options options_;
  Handler& handler_;
  Poco::Net::ServerSocket listener_;
  net::Loop::TimerId sweepTimer_;
  std::map<net::Connection*, Client> clients_;
  std::map<ExchangeNo, net::Connection*> exchanges_;
  std::vector<std::weak_ptr<net::Connection>> closing_;  // answered, and not read to the end by their clients
  ExchangeNo last_ = 0;
  bool listening_ = false, open_ = true, accepts_ = true;
  bool endWithAnswers_ = false, endIdle_ = false;
};

}  // namespace topazweir::http
