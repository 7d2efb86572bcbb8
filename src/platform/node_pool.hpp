// The broker's backend on the platform: sends attempts as frames over pooled connections to the nodes.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "broker/log.hpp"
#include "broker/ports.hpp"
#include "net/connection.hpp"
#include "platform/directory.hpp"

namespace topazweir::platform {

class NodePool : public broker::Backend {
 public:
  using OnAttemptEnd = std::function<void(const broker::AttemptId&, Outcome, std::string value)>;
  struct Options {
    std::size_t streamsPerConnection = 1;  // attempts that one connection carries at once
    Nanos idleTimeout =
        0;  // after which, at the latest, the node's machine closes an idle connection; 0: never
    Nanos connectTimeout = 0;
    std::size_t maxConnections = 256;
  };

  // `directory` must outlive this. `onAttemptEnd` is called once for each attempt that is not cancelled,
  // possibly from within start().
  NodePool(net::Loop& loop, broker::Log& log, const Directory& directory, Options options,
           OnAttemptEnd onAttemptEnd);
  ~NodePool() override;

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  // To be called after the directory has changed. Connections to processes that no longer exist are closed.
  // Attempts for nodes that no longer serve end as notSent if nothing of them has been written: they cannot
  // have run.
  void onDirectoryChanged();
  // Replaces the options; applies from now on.
  void limit(Options options) { options_ = options; }
  // Opens a connection to each serving node that has none, within the limit, so that a process that takes
  // over from another one has connections for its first queries. At most once for each node: a node that
  // refuses is not dialled again at every call.
  void connectAll();
  bool settled() const;  // no connection is still being established
  std::size_t connections() const { return links_.size(); }
  std::uint64_t opened() const { return opened_; }  // connections since the start

 private:
  struct Link;
  struct PendingAttempt {
    broker::AttemptOrder order;
    std::shared_ptr<Link> link;
    // Offset of the end of its frame in the connection's output; 0: nothing of it has been written. Unwritten
    // frames wait in the Link, not in the connection's buffer, so that they can be withdrawn.
    std::uint64_t frameEnd = 0;
    Nanos frameWrittenAt = 0;
    net::Loop::TimerId timeout;
  };

  Link* chooseConnection(const Directory::Node& node, std::string_view partId);
  Link* openLink(const Directory::Node& node);
  bool evictIdleLink();
  bool nodeRestarted(const Link& link) const;
  bool nodeServes(const Link& link) const;
  bool obsolete(const Link& link) const;
  bool closedByPeer(Link& link);
  void writeFrame(PendingAttempt& attempt);
  void writeUnsent(Link& link);
  void finish(const broker::AttemptId& id, Outcome outcome, std::string value);
  void release(const PendingAttempt& attempt);
  void abandon(const broker::AttemptId& id);
  void updateFrameTimer(Link& link);
  void onUp(Link& link);
  void onData(Link& link);
  void onEnd(Link& link, net::ConnectionEnd end);
  void onAttemptTimeout(const broker::AttemptId& id);
  void closeUnused();
  void closeUnresponsive();
  Nanos unresponsiveTimeout() const;

  net::Loop& loop_;
  broker::Log& log_;
  const Directory& directory_;
  Options options_;
  OnAttemptEnd onAttemptEnd_;
  std::map<Link*, std::shared_ptr<Link>> links_;
  std::set<ServerId>
      connectedAhead_;  // nodes that connectAll() has dialled; bounded by the nodes at the start
  std::map<broker::AttemptId, PendingAttempt> pending_;
  net::Loop::TimerId unusedTimer_;
  net::Loop::TimerId unresponsiveTimer_;
  std::uint64_t opened_ = 0;
  int answerCount_ = 0;       // up to kMinAnswersForMean
  double meanAnswerNs_ = 0;   // moving average of response times
  double timeoutFactor_ = 1;  // of the unresponsive time-out: grows where nodes prove slow, not dead
};

}  // namespace topazweir::platform
