// HTTP/1.1 server used by every front. It handles one exchange at a time on each connection, answers
// malformed requests with a 4xx status and shuts down gracefully.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "broker/log.hpp"
#include "http/message.hpp"
#include "http/server_counters.hpp"
#include "net/connection.hpp"

namespace topazweir::http {

// Runs on the loop's thread; not thread-safe.
class Server : private net::Connection::Owner {
 public:
  // Identifies a request and its response; never 0.
  using ExchangeId = std::uint64_t;

  class Handler {
   public:
    virtual ~Handler() = default;
    // A request has arrived in full. It is answered by respond(), from within this call or later.
    virtual void onRequest(ExchangeId exchange, const Head& head, std::string_view body) = 0;
    // The client has disconnected before the response; respond() no longer has any effect.
    virtual void onGone(ExchangeId exchange) = 0;
  };

  struct Options {
    // Name of the front in log lines.
    std::string name;
    Poco::Net::SocketAddress address;
    std::size_t mostConnections = 256;
    // A request must arrive in full within this time of its first byte. For the first request of a connection
    // the time starts when the connection is accepted.
    Nanos requestTimeout = 2'200'000'000;
    // A connection that has been idle for this long may be closed when connections are needed.
    Nanos idleTimeout = 2'000'000'000;
    // Descriptor of an inherited listening socket, used instead of a new one.
    std::optional<int> inherited{};
    // Accept connections from the start; otherwise only after startAccepting().
    bool accepts = true;
  };

  // Binds and listens. Throws Poco::Exception if the address is not available.
  Server(net::Loop& loop, broker::Log& log, Options options, Handler& handler);
  ~Server() override;

  // Sends the response of an exchange; ignored if the client has disconnected.
  void respond(ExchangeId exchange, const Response& response);
  // Changes the maximum number of connections; no connection is closed by this call.
  void limit(std::size_t mostConnections) { options_.mostConnections = mostConnections; }
  void startAccepting();
  // Whether each connection is closed after its next response. The listener stays open.
  void setCloseAfterResponse(bool on) { closeAfterResponse_ = on; }
  // Whether each sweep closes the idle connections and those without a request that are past the grace period
  // of new ones. The listener stays open.
  void setCloseIdle(bool on) { closeIdle_ = on; }
  // Closes the listener. Pending connections are accepted first, unless another process shares the listener
  // and accepts them.
  void stopListening(bool shared = false);
  // Starts the graceful shutdown: closes the listener, and each connection once it has no open exchange.
  void stopAccepting();
  // After stopAccepting(): rejects requests that have not arrived in full and closes idle connections.
  void rejectUnfinished();
  // After stopAccepting(): true once every response has been written in full and read by its client, or the
  // linger timeout of its connection has expired.
  bool quiet() const;
  std::size_t connections() const { return clients_.size(); }
  // Connections that have had their last response and wait for their clients to read it and close.
  std::size_t lingering() const { return openConnections() - clients_.size(); }
  const ServerCounters& counters() const { return counters_; }
  Poco::Net::SocketAddress address() const { return listener_.address(); }

 private:
  struct Client {
    std::shared_ptr<net::Connection> connection;
    Parser parser{MessageKind::request};
    ExchangeId exchange = 0;        // the open exchange; 0: none
    bool close = false;             // close after the open exchange
    bool hasRequested = false;      // at least one request has arrived in full
    bool requestBegun = false;      // the first byte of the next request has arrived
    bool serveScheduled = false;    // its requests wait for their turn, see Loop::runInTurn()
    std::size_t refusals = 0;       // answers owed, in order, to requests sent too far ahead
    std::optional<Fault> fault;     // behind these: input is discarded, and the connection ends with it
    Nanos since = 0;                // when the connection became idle or its next request began
    std::uint64_t lastWritten = 0;  // bytes its client had taken at progressAt
    Nanos progressAt = 0;           // when its client was last seen to take bytes of its answers
    bool idle() const { return exchange == 0 && connection->input().empty() && connection->flushed(); }
    // No further request may begin: one is open, or earlier answers are still to be written.
    bool occupied() const { return exchange != 0 || refusals > 0 || fault || !connection->flushed(); }
  };

  void onAccept(Poco::Net::ReadableNotification* event);
  void accept();
  void watchListener(bool on);
  // Stops to accept, and tries again soon: connections become idle or overdue without an event.
  void pauseAccepting();
  void onData(net::Connection& connection) override;
  void onFlushed(net::Connection& connection) override;
  void onPeerClosedWhilePaused(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void serve(Client& client);
  void scheduleServe(Client& client);
  // As serve(), until `sliceEnd`.
  void serveUntil(Client& client, Nanos sliceEnd);
  // Hands a request that has arrived in full to the front.
  void begin(Client& client);
  // Refuses the requests that wait behind the open exchange. Their answers follow in order.
  void refuseAhead(Client& client, Nanos sliceEnd);
  // Gives up on reading the client's requests: after the answers that it is owed it gets the fault's, and its
  // connection ends.
  void giveUpReading(Client& client, const Fault& fault);
  void writeRefusals(Client& client);
  // The client's next request has begun and not arrived in full, and nothing else keeps it waiting.
  bool awaitsRest(Client& client);
  // Frees input of the clients that hold most while Loop::buffers() is full.
  void freeBuffers();
  // Frees what the client holds in its input; an open exchange goes on.
  void shed(Client& client);
  Client* largestHolder();
  bool closeStalledReader();
  bool shedOldestUnfinished();
  void reject(Client& client, const Fault& fault);
  // For log lines: the client's address, the bytes it holds and how long it has been idle or sending.
  std::string describe(const Client& client) const;
  void removeClient(net::Connection& connection);
  // Serves a request that has arrived in full and rejects one that has not. Returns false if nothing has
  // arrived.
  bool serveOrReject(net::Connection& connection);
  void closeGracefully(net::Connection& connection);
  void sweep();
  bool freeConnection();
  bool closeLongestIdle(Nanos minIdleTime, bool includeWithoutRequest);
  void closeIdleConnections();
  std::size_t openConnections() const;

  net::Loop& loop_;
  broker::Log& log_;
  Options options_;
  Handler& handler_;
  Poco::Net::ServerSocket listener_;
  net::Loop::TimerId sweepTimer_;
  net::Loop::TimerId acceptTimer_{};
  std::map<net::Connection*, Client> clients_;
  std::map<ExchangeId, net::Connection*> exchanges_;
  // Connections that have been answered and linger until their clients have read the answer.
  std::vector<std::weak_ptr<net::Connection>> closing_;
  // False once the server has been destroyed: checked by deferred calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  ServerCounters counters_;
  ExchangeId lastExchange_ = 0;
  bool watchingListener_ = false;  // registered with the loop for new connections
  bool listenerOpen_ = true;
  bool accepts_ = true;
  bool closeAfterResponse_ = false;
  bool closeIdle_ = false;
};

}  // namespace topazweir::http
