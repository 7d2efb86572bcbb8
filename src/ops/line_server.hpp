// Server for operator commands: each connection carries one line and gets one line back. Every complete line
// is answered in the event-loop iteration that reads it, however other callers behave.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "broker/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace topazweir::ops {

// Counters of a line server.
struct LineCounters {
  std::uint64_t lines = 0;    // complete lines, answered
  std::uint64_t dropped = 0;  // callers dropped without a complete line: too late, too long or disconnected
};

class LineServer : private net::Connection::Owner {
 public:
  // Gets the line without its line end; returns the reply with one.
  using Answer = std::function<std::string(std::string_view line)>;

  // Throws Poco::Exception if it cannot listen on the address. `places`: limit on concurrent connections, at
  // least 1.
  LineServer(net::Loop& loop, broker::Log& log, const Poco::Net::SocketAddress& address, std::size_t places,
             Answer answer);
  ~LineServer() override;
  LineServer(const LineServer&) = delete;
  LineServer& operator=(const LineServer&) = delete;

  const LineCounters& counters() const { return counters_; }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

  // Time for a caller to send its line.
  static constexpr Nanos kLineTimeoutNs = 5'000'000'000;
  // A caller that has taken longer is dropped when others wait for a connection.
  static constexpr Nanos kLineTimeoutUnderLoadNs = 100'000'000;

 private:
  struct Caller {
    std::shared_ptr<net::Connection> connection;
    Nanos since = 0;
  };
  void accept();
  bool makeRoom();
  void onData(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void answer(Caller& caller, std::string_view line);
  void refuse(Caller& caller, const char* why);
  std::size_t inUse();
  void sweep();

  net::Loop& loop_;
  broker::Log& log_;
  std::size_t places_;
  Answer answer_;
  net::Listener listener_;
  net::Loop::TimerId sweepTimer_;
  std::map<net::Connection*, Caller> callers_;
  std::vector<std::weak_ptr<net::Connection>> closing_;  // answered but not yet closed by their callers
  LineCounters counters_;
};

}  // namespace topazweir::ops
