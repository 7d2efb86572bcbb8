// The core's backend for gRPC servers: an attempt is a stream on a pooled HTTP/2 connection (plaintext with
// prior knowledge, RFC 9113 section 3.3).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "broker/log.hpp"
#include "calls/connection_choice.hpp"
#include "grpc/exchange.hpp"

namespace topazweir::grpc {

struct BackendCounters {
  std::uint64_t connectionsOpened = 0;
  std::uint64_t goaways = 0;         // GOAWAY frames received
  std::uint64_t resets = 0;          // streams closed by the server without a complete response
  std::uint64_t refusedStreams = 0;  // not processed: above a GOAWAY's last id, or REFUSED_STREAM
  std::uint64_t cutStreams = 0;      // responses that ended without a grpc-status
  std::uint64_t expired = 0;         // attempts not sent: the latest time to write them had passed
};

class Backend : public broker::Backend, public Upstream, private http2::Session::Handler {
 public:
  // How the backend reports to the core.
  struct Callbacks {
    // The attempt has ended; the core may make another.
    std::function<void(const broker::AttemptId&, Outcome)> ended;
    // The call is committed to the attempt. `heard`: because a response has begun. False: the attempt is no
    // longer wanted.
    std::function<bool(const broker::AttemptId&, bool heard)> began;
    // The attempt has ended, and the call with it.
    std::function<void(const broker::AttemptId&, Outcome, broker::Verdict)> settle;
  };
  Backend(net::Loop& loop, broker::Log& log, const Exchanges& exchanges, const config::GrpcConfig& config,
          Callbacks callbacks);
  ~Backend() override;

  // Replaces the known servers by the pool's, and returns the list for the decision module. A server keeps
  // its number as long as its address and shard are listed.
  ServerListUpdate servers(const config::GrpcPool& pool, ServerListUpdate::Scope scope);

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  void onRequestData(Exchange& exchange) override;
  void acknowledgeResponse(Exchange& exchange, std::size_t bytes) override;
  void commitToNewest(Exchange& exchange) override;

  std::size_t connections() const { return connections_.size(); }
  // Attempts, including those that wait for a stream.
  std::size_t streams() const { return streams_.size(); }
  // Bytes for the servers that their sockets have not taken yet.
  std::size_t unwrittenBytes() const;
  const BackendCounters& counters() const { return counters_; }

 private:
  struct Server {
    std::string address;
    std::size_t maxConnections = 0;
    std::size_t maxStreams = 0;  // on one connection
    std::size_t maxQueued = 0;   // attempts that may wait for a stream
  };
  struct PooledConnection {
    std::unique_ptr<http2::Session> session;
    std::string address;
    std::map<http2::StreamId, broker::AttemptId> streams;
    bool goaway = false;                // received
    http2::StreamId lastProcessed = 0;  // the last stream id of the GOAWAY
    Nanos idleSince = 0;
  };
  struct Stream {
    std::shared_ptr<Exchange> exchange;
    broker::AttemptId id;
    ServerId server = 0;
    PooledConnection* connection = nullptr;  // null: it waits for a free stream
    http2::StreamId stream = 0;
    std::uint64_t sentOffset = 0;  // end of what has been sent of the request
    bool headReceived = false;
    bool endSent = false;  // the whole request has been sent
    Nanos writeBy = 0;     // as in broker::AttemptOrder
    net::Loop::TimerId timer{};
    net::Loop::TimerId writeTimer{};  // fires at `writeBy`
    bool isConnected() const { return connection && connection->session->up(); }
  };

  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  void onGoaway(http2::Session& session, http2::StreamId last, std::uint32_t code) override;
  http2::BodyRead onReadBody(http2::Session& session, http2::StreamId id, char* to,
                             std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;

  // A connection with a free stream, opened if need be; null: the server is at its limits.
  PooledConnection* connectionFor(const Server& server);
  // False: no stream is free.
  bool openStream(Stream& stream, const Server& server);
  // Opens streams for queued attempts, as far as streams are free.
  void startQueued(const std::string& address);
  // Whether the latest time to write the attempt has passed.
  bool isPastWriteBy(const Stream& stream) const;
  // Ends the attempt if it has not been written: it waits for a stream, for its connection, or in the output
  // of one whose peer does not read.
  void onWriteByPassed(const broker::AttemptId& id);
  Stream* findStream(http2::Session& session, http2::StreamId id);
  // `id` by value: callers pass it from the stream that is erased here.
  void endAttempt(broker::AttemptId id, const calls::Ended& how, calls::Fields trailers = {});
  void reportEnd(const broker::AttemptId& id, const calls::AttemptDecision& next);
  // Erases a stream, open or queued; an open one is reset with `code` unless that is NO_ERROR.
  void releaseStream(Stream& stream, std::uint32_t code);
  // commitToNewest() in a later turn of the loop.
  void deferCommit(const broker::AttemptId& id);
  // Runs `work` in a later turn of the loop, unless this object has been destroyed by then.
  void defer(std::function<void()> work);
  // Forgets a connection now and destroys it in a later turn of the loop.
  void removeConnection(http2::Session& session);
  // Closes the connections without streams that have been idle for too long, lead to servers no longer
  // listed, or have received GOAWAY.
  void sweep();

  net::Loop& loop_;
  broker::Log& log_;
  const Exchanges& exchanges_;
  http2::Limits limits_;
  Nanos connectTimeout_;
  Nanos idleTimeout_;
  Callbacks callbacks_;
  std::map<std::pair<std::string, int>, ServerId> ids_;  // by address and shard
  ServerId lastId_ = 0;
  std::map<ServerId, Server> servers_;
  std::unordered_map<http2::Session*, std::unique_ptr<PooledConnection>> connections_;
  std::map<std::string, std::vector<PooledConnection*>, std::less<>> byAddress_;
  std::map<broker::AttemptId, Stream> streams_;
  // Attempts that wait for a stream, by address; at most Server::maxQueued each.
  std::map<std::string, std::deque<broker::AttemptId>, std::less<>> queued_;
  // Ends of attempts that are reported only after the server's grpc-retry-pushback-ms.
  std::set<net::Loop::TimerId> pushbackTimers_;
  net::Loop::TimerId sweepTimer_;
  BackendCounters counters_;
  // False once the backend has been destroyed: checked by deferred calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace topazweir::grpc
