// The broker's backend for feature servers (HTTP/1.1). An attempt is a GET request and those for the further
// pages that its `next` links lead to.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "broker/counters.hpp"
#include "broker/log.hpp"
#include "broker/ports.hpp"
#include "config/features_config.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace topazweir::features {

class Backend : public broker::Backend {
 public:
  // Called once for each attempt that was not cancelled; `value` holds the joined features if it was
  // delivered.
  using OnAttemptEnded = std::function<void(const broker::AttemptId&, Outcome, std::string value)>;
  Backend(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config,
          OnAttemptEnded onAttemptEnded);
  ~Backend() override;

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  // Registers the servers and returns the server list update for the broker. A group and an address always
  // get the same server id.
  ServerListUpdate listUpdate(const std::vector<config::BranchGroup>& groups, ServerListUpdate::Scope scope);

 private:
  struct PooledConnection;
  struct Attempt {
    broker::AttemptOrder order;
    std::string target;             // request target of the current page
    std::set<std::string> visited;  // request targets so far
    std::vector<std::string> features;
    std::size_t bytes = 0;         // of `features`, with separators
    std::uint64_t requestEnd = 0;  // stream offset of the end of the request; 0: not queued yet
    std::shared_ptr<PooledConnection> connection;
    net::Loop::TimerId timeout;
  };
  struct Server {
    std::string address;
  };

  void sendRequest(Attempt& attempt);
  void writeRequest(PooledConnection& pooled);
  void onData(PooledConnection& pooled);
  void onEnd(PooledConnection& pooled, net::ConnectionEnd end);
  void onResponse(const broker::AttemptId& id, int status, std::string_view body);
  void onPage(const broker::AttemptId& id, std::string_view body);
  void finish(const broker::AttemptId& id, Outcome outcome, std::string value, std::string_view why);
  void close(PooledConnection& pooled);

  net::Loop& loop_;
  broker::Log& log_;
  std::size_t maxConnections_;
  Nanos connectTimeout_;
  OnAttemptEnded onAttemptEnded_;
  std::map<std::pair<int, std::string>, ServerId> ids_;  // by group and address
  std::map<ServerId, Server> servers_;
  std::map<PooledConnection*, std::shared_ptr<PooledConnection>> connections_;
  std::map<broker::AttemptId, Attempt> attempts_;
};

// Resolves the target of a `next` link against the request target `base` at `host`; none if it leads to
// another host or scheme, or is malformed.
std::optional<std::string> resolveNext(std::string_view href, std::string_view base, std::string_view host);

}  // namespace topazweir::features
