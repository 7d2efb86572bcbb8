// The broker's backend on feature servers: an attempt is a GET and the pages that its `next` links lead to.
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
  using Ended = std::function<void(const broker::AttemptId&, Outcome, std::string value)>;
  Backend(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config, Ended ended);
  ~Backend() override;

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  // The servers as the module is to know them. A server's number stays the same for a group and an address.
  ListNews servers(const std::vector<config::BranchGroup>& groups, ListNews::Scope scope);

 private:
  struct Link;
  struct Out {
    broker::AttemptOrder order;
    std::string target;             // of the page asked for
    std::set<std::string> visited;  // targets asked for so far
    std::vector<std::string> features;
    std::size_t bytes = 0;
    std::uint64_t requestEnd = 0;  // offset behind the request among the bytes written; 0: not queued yet
    std::shared_ptr<Link> link;
    net::Loop::TimerId timer;
  };
  struct Server {
    std::string address;
  };

  void ask(Out& out);
  void write(Link& link);
  void onData(Link& link);
  void onEnd(Link& link, net::ConnectionEnd end);
  void takeResponse(const broker::AttemptId& id, int status, std::string_view body);
  void takePage(const broker::AttemptId& id, std::string_view body);
  void finish(const broker::AttemptId& id, Outcome outcome, std::string value, std::string_view why);
  void drop(Link& link);

  net::Loop& loop_;
  broker::Log& log_;
  std::size_t mostLinks_;
  Nanos connectTimeout_;
  Ended ended_;
  std::map<std::pair<int, std::string>, ServerId> ids_;  // by group and address
  std::map<ServerId, Server> servers_;
  std::map<Link*, std::shared_ptr<Link>> links_;
  std::map<broker::AttemptId, Out> outs_;
};

// The target that a `next` link leads to at the same server; none for another host or another scheme.
std::optional<std::string> resolveNext(std::string_view href, std::string_view base, std::string_view host);

}  // namespace topazweir::features
