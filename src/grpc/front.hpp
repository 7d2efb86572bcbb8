// The gRPC front: accepts HTTP/2 connections of clients, submits each call to the core of its pool, and
// writes the response with its one final status. Serves grpc.health.v1 itself.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "grpc/core.hpp"
#include "grpc/health.hpp"

namespace topazweir::grpc {

struct FrontCounters {
  std::uint64_t calls = 0;       // received, health checks included
  std::uint64_t malformed = 0;   // refused as invalid: not gRPC, a bad path or timeout, no shard key
  std::uint64_t unrouted = 0;    // no route matches
  std::uint64_t shed = 0;        // refused because the buffers were full
  std::uint64_t cancelled = 0;   // by their clients
  std::uint64_t floods = 0;      // connections ended with ENHANCE_YOUR_CALM
  std::uint64_t health = 0;      // health checks
  std::uint64_t cutAtDrain = 0;  // ended because the time to drain was over
  std::array<std::uint64_t, calls::kStatusCodeCount> statuses{};  // final statuses, by code
};

// One reading of the configuration, with its compiled routes. A call keeps the one under which it was
// accepted.
struct Plan {
  config::GrpcConfig config;
  calls::Routes routes;
};

class Front : public Downstream, private http2::Session::Handler {
 public:
  // Listens at once. Throws Poco::Exception if the address is in use.
  Front(net::Loop& loop, broker::Log& log, std::shared_ptr<const Plan> plan);
  ~Front() override;

  // Applies a configuration to the calls that arrive from now on. `cores`: by pool.
  void updatePlan(std::shared_ptr<const Plan> plan, std::vector<Core*> cores);
  // Health checks answer NOT_SERVING from now on.
  void drain();
  // Starts the graceful shutdown: no new connections, GOAWAY to the open ones; calls still open after the
  // drain time end with UNAVAILABLE.
  void stopAccepting();
  // Calls still open at `at` end with UNAVAILABLE, also if the drain time is longer.
  void setShutdownDeadline(Nanos at) { drainDeadline_ = std::min(drainDeadline_, at); }
  // After stopAccepting(): all calls are answered and all connections closed.
  bool quiet() const { return clients_.empty(); }
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  const FrontCounters& counters() const { return counters_; }
  const memory::Budget& buffers() const { return buffers_; }
  std::size_t connections() const { return clients_.size(); }
  std::size_t streams() const;

  void acknowledgeRequest(Exchange& exchange, std::size_t bytes) override;
  void onResponseHead(Exchange& exchange) override;
  void onResponseData(Exchange& exchange) override;
  // The core has finished the call: writes its final status.
  void onCallFinished(Exchange& exchange, const broker::FinalAnswer& answer);

 private:
  struct Client {
    std::unique_ptr<http2::Session> session;
    std::map<http2::StreamId, std::shared_ptr<Exchange>> streams;
    Nanos lastProgressAt = 0;  // when it last took bytes of a response
  };
  // An open Health/Watch call, which gets a message at each change.
  struct Watch {
    std::shared_ptr<Exchange> exchange;
    std::string service;
    Serving lastSent = Serving::unknown;
  };

  void onAccept(Poco::Net::ReadableNotification* event);
  void setListening(bool on);
  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  http2::BodyRead onReadBody(http2::Session& session, http2::StreamId id, char* to,
                             std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  void onFlood(http2::Session& session, std::string_view what) override;

  std::shared_ptr<Exchange> findExchange(http2::Session& session, http2::StreamId id) const;
  // Validates and routes a call, and submits it to its core or answers it as a health check.
  void acceptCall(http2::Session& session, http2::StreamId id, calls::Fields head, bool end);
  // Answers a call that was not accepted.
  void refuse(http2::Session& session, http2::StreamId id, int httpStatus, calls::Code code,
              std::string_view message, std::optional<Nanos> retryAfter = std::nullopt);
  // Ends an accepted call with an error of the broker's own.
  void fail(Exchange& exchange, calls::Code code, std::string_view message);
  // Writes the final status.
  void sendFinal(Exchange& exchange, calls::CallStatus final);
  void answerHealth(Exchange& exchange);
  Serving servingOf(const std::string& service) const;
  void notifyWatches();
  // The client's stream, or its connection, has closed.
  void onClientLeft(Exchange& exchange);
  void logCall(const Exchange& exchange, const calls::CallStatus& final);
  // Checks regularly for long-open requests, the end of the drain and full buffers.
  void sweep();
  void commitLongOpenRequests();
  // The time to drain is over: ends all open calls with UNAVAILABLE.
  void endOpenCalls();
  // Ends the connection of the client that holds buffered responses and has made no progress for longest.
  void endStalledClient();
  // While the buffers are full, ends the calls whose unfinished requests hold most.
  void endLargestRequests();
  std::shared_ptr<Exchange> largestUnfinishedRequest() const;
  std::string nextId(const calls::Fields& head);

  net::Loop& loop_;
  broker::Log& log_;
  std::shared_ptr<const Plan> plan_;
  std::vector<Core*> cores_;  // by pool
  memory::Budget buffers_;    // of all calls; counts against Loop::buffers(), too
  Poco::Net::ServerSocket listener_;
  std::unordered_map<http2::Session*, std::unique_ptr<Client>> clients_;
  std::map<Exchange*, Watch> watches_;
  // Open calls whose requests have not ended, oldest first.
  std::set<std::pair<Nanos, Exchange*>> incompleteRequests_;
  net::Loop::TimerId sweepTimer_{};
  FrontCounters counters_;
  std::uint64_t lastId_ = 0;
  bool listening_ = false;
  bool draining_ = false;  // health checks answer NOT_SERVING
  bool closing_ = false;   // stopAccepting() was called
  // When open calls are ended; max: no shutdown has begun.
  Nanos drainDeadline_ = std::numeric_limits<Nanos>::max();
};

}  // namespace topazweir::grpc
