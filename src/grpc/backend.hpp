// The core's backend on gRPC servers: an attempt is a stream on a pooled HTTP/2 connection (plaintext with
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
#include "calls/links.hpp"
#include "grpc/exchange.hpp"

namespace topazweir::grpc {

struct BackendCounters {
  std::uint64_t connectionsOpened = 0, goaways = 0, resets = 0, refusedStreams = 0, cutStreams = 0;
};

class Backend : public broker::Backend, public Upstream, private http2::Session::Handler {
 public:
  // What the backend asks of the core.
  struct Core {
    std::function<void(const broker::AttemptId&, Outcome)> ended;
    std::function<bool(const broker::AttemptId&, bool heard)> began;
    std::function<void(const broker::AttemptId&, Outcome, broker::Verdict)> settle;
  };
  Backend(net::Loop& loop, broker::Log& log, const Exchanges& exchanges, const config::Grpc& config,
          Core core);
  ~Backend() override;

  // The servers as the module is to know them; a server's number stays the same for an address and shard.
  ListNews servers(const config::GrpcPool& pool, ListNews::Scope scope);

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  void requestMore(Exchange& exchange) override;
  void responseTaken(Exchange& exchange, std::size_t bytes) override;
  void keep(Exchange& exchange) override;

  std::size_t connections() const { return links_.size(); }
  std::size_t streams() const { return streams_.size(); }
  const BackendCounters& counters() const { return counters_; }

 private:
  struct Server {
    std::string address;
    std::size_t connections = 0, streams = 0, queue = 0;
  };
  struct Link {
    std::unique_ptr<http2::Session> session;
    std::string address;
    std::map<http2::StreamId, broker::AttemptId> streams;
    bool goaway = false;
    http2::StreamId lastServed = 0;  // of the GOAWAY
    Nanos idleSince = 0;
  };
  struct Stream {
    std::shared_ptr<Exchange> exchange;
    broker::AttemptId id;
    ServerId server = 0;
    Link* link = nullptr;  // none: it waits for a stream to become free
    http2::StreamId stream = 0;
    std::uint64_t taken = 0;  // offset of the request behind what has been sent
    bool headSeen = false, sentEnd = false;
    net::Loop::TimerId timer{};
    bool underWay() const { return link && link->session->up(); }
  };

  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  void onGoaway(http2::Session& session, http2::StreamId last, std::uint32_t code) override;
  http2::Pulled onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;

  Link* linkFor(const Server& server);
  bool open(Stream& stream, const Server& server);  // false: no stream is free
  void pump(const std::string& address);            // streams may have become free
  Stream* find(http2::Session& session, http2::StreamId id);
  // The id by value: it mostly comes from the stream that goes here.
  void end(broker::AttemptId id, const calls::Ended& how, calls::Fields trailers = {});
  void report(const broker::AttemptId& id, const calls::Next& next);
  void drop(Stream& stream, std::uint32_t code);
  void keepSoon(const broker::AttemptId& id);
  void soon(std::function<void()> what);  // from the loop, unless this one has gone by then
  void remove(http2::Session& session);
  void sweep();

  net::Loop& loop_;
  broker::Log& log_;
  const Exchanges& exchanges_;
  http2::Limits limits_;
  Nanos connectTimeout_, idle_;
  Core core_;
  std::map<std::pair<std::string, int>, ServerId> ids_;  // by address and shard
  ServerId lastId_ = 0;
  std::map<ServerId, Server> servers_;
  std::unordered_map<http2::Session*, std::unique_ptr<Link>> links_;
  std::map<std::string, std::vector<Link*>, std::less<>> byAddress_;
  std::map<broker::AttemptId, Stream> streams_;
  std::map<std::string, std::deque<broker::AttemptId>, std::less<>>
      waiting_;                         // by address; bounded by `queue`
  std::set<net::Loop::TimerId> waits_;  // until a backend's pushback is over
  net::Loop::TimerId sweepTimer_;
  BackendCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace topazweir::grpc
