// The gRPC front: HTTP/2 connections of clients, each call handed to the core, its one final status written.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <array>
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
  std::uint64_t calls = 0;      // that came, health checks included
  std::uint64_t malformed = 0;  // refused for what they are: no gRPC, no such path, a bad timeout
  std::uint64_t unrouted = 0;   // no route matches
  std::uint64_t shed = 0;       // refused since the buffers were full
  std::uint64_t cancelled = 0;  // by their clients
  std::uint64_t floods = 0;     // connections ended with ENHANCE_YOUR_CALM
  std::uint64_t health = 0;
  std::uint64_t cutAtDrain = 0;                         // still open when the drain's time was up
  std::array<std::uint64_t, calls::kCodes> statuses{};  // final ones, by code
};

// One reading of the configuration, with what is made of it. Calls keep theirs until they end.
struct Plan {
  config::Grpc config;
  calls::Routes routes;
};

class Front : public Downstream, private http2::Session::Handler {
 public:
  Front(net::Loop& loop, broker::Log& log, std::shared_ptr<const Plan> plan);
  ~Front() override;

  // For the calls that come from now on.
  void use(std::shared_ptr<const Plan> plan, std::vector<Core*> cores);
  void drain();                                    // health says NOT_SERVING
  void stopAccepting();                            // no new connections; GOAWAY to those there are
  bool quiet() const { return clients_.empty(); }  // after stopAccepting: all is answered and written
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  const FrontCounters& counters() const { return counters_; }
  const calls::Pressure& pressure() const { return pressure_; }
  std::size_t connections() const { return clients_.size(); }
  std::size_t streams() const;

  void requestTaken(Exchange& exchange, std::size_t bytes) override;
  void responseHead(Exchange& exchange) override;
  void responseMore(Exchange& exchange) override;
  void finished(Exchange& exchange, const broker::FinalAnswer& answer);  // the core has booked the end

 private:
  struct Client {
    std::unique_ptr<http2::Session> session;
    std::map<http2::StreamId, std::shared_ptr<Exchange>> streams;
    Nanos progressAt = 0;  // bytes went out, or none waited
  };
  struct Watch {  // of a health check: a stream that gets each change
    std::shared_ptr<Exchange> exchange;
    std::string service;
    Serving told = Serving::unknown;
  };

  void onAccept(Poco::Net::ReadableNotification* event);
  void listen(bool on);
  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  http2::Pulled onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  void onFlood(http2::Session& session, std::string_view what) override;

  std::shared_ptr<Exchange> find(http2::Session& session, http2::StreamId id) const;
  void take(http2::Session& session, http2::StreamId id, calls::Fields head, bool end);
  void refuse(http2::Session& session, http2::StreamId id, int http, calls::Code code, std::string_view words,
              std::optional<Nanos> comeBack = std::nullopt);
  void fail(Exchange& exchange, calls::Code code, std::string_view words);
  void end(Exchange& exchange, calls::Final final);  // writes the one final status
  void answerHealth(Exchange& exchange);
  Serving servingOf(const std::string& service) const;
  void tellWatches();
  void leave(Exchange& exchange);
  void report(const Exchange& exchange, const calls::Final& final);
  void sweep();
  std::string nextId(const calls::Fields& head);

  net::Loop& loop_;
  broker::Log& log_;
  std::shared_ptr<const Plan> plan_;
  std::vector<Core*> cores_;  // by pool
  calls::Pressure pressure_;
  Poco::Net::ServerSocket listener_;
  std::unordered_map<http2::Session*, std::unique_ptr<Client>> clients_;
  std::map<Exchange*, Watch> watches_;             // of health, by their streams
  std::set<std::pair<Nanos, Exchange*>> unended_;  // open calls whose requests are not yet whole, by age
  net::Loop::TimerId sweepTimer_{};
  FrontCounters counters_;
  std::uint64_t lastId_ = 0;
  bool listening_ = false, draining_ = false, closing_ = false;
  Nanos cutAt_ = 0;
};

}  // namespace topazweir::grpc
