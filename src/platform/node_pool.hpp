// The broker's backend on the platform: attempts as frames on pooled connections to the nodes.
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
  using Ended = std::function<void(const broker::AttemptId&, Outcome, std::string value)>;
  struct Options {
    std::size_t streams = 1;  // attempts that one connection carries at once
    Nanos idle = 0;           // the node's machine closes an idle connection then, at the latest; 0: never
    Nanos connectTime = 0;
    std::size_t mostConnections = 256;
  };

  NodePool(net::Loop& loop, broker::Log& log, const Directory& directory, Options options, Ended ended);
  ~NodePool() override;

  void start(broker::AttemptOrder order) override;
  void cancel(const broker::AttemptId& id) override;
  // After the directory has changed: what leads to a process that is no more ends, and what has not left for
  // a node that serves no more is called back; it cannot have run.
  void listChanged();
  void limit(Options options) { options_ = options; }  // holds from now on
  // Opens a connection to each node that serves and has none, as far as there is room: a process that follows
  // another one must not meet its first queries without any. Once for each node: one that refuses is not
  // asked anew at every call.
  void connectAll();
  bool settled() const;  // no connection is still coming up
  std::size_t connections() const { return links_.size(); }
  std::uint64_t opened() const { return opened_; }

 private:
  struct Link;
  struct Out {  // an attempt that is out
    broker::AttemptOrder order;
    std::shared_ptr<Link> link;
    // Offset behind its frame among the bytes written; 0: none of it has left. Frames wait here and not with
    // the connection, so that they can be called back.
    std::uint64_t frameEnd = 0;
    Nanos queuedAt = 0;  // its frame
    net::Loop::TimerId timer;
  };

  Link* linkFor(const Directory::Node& node, std::string_view partId);
  Link* open(const Directory::Node& node);
  bool makeRoom();
  bool replaced(const Link& link) const;
  bool serves(const Link& link) const;
  bool useless(const Link& link) const;
  bool closedMeanwhile(Link& link);
  void write(Out& out);
  void writeWaiting(Link& link);
  void finish(const broker::AttemptId& id, Outcome outcome, std::string value);
  void release(const Out& out);
  void giveUp(const broker::AttemptId& id);
  void watchFrame(Link& link);
  void onUp(Link& link);
  void onData(Link& link);
  void onEnd(Link& link, net::ConnectionEnd end);
  void timedOut(const broker::AttemptId& id);
  void sweep();
  void endSilent();
  Nanos silentLimit() const;

  net::Loop& loop_;
  broker::Log& log_;
  const Directory& directory_;
  Options options_;
  Ended ended_;
  std::map<Link*, std::shared_ptr<Link>> links_;
  std::set<ServerId> connectedAhead_;  // by connectAll(); as many as there are nodes at the start
  std::map<broker::AttemptId, Out> outs_;
  net::Loop::TimerId sweepTimer_, lookTimer_;
  std::uint64_t opened_ = 0;
  int answers_ = 0;        // counted up to a few
  double meanAnswer_ = 0;  // ns, of late
  double patience_ = 1;    // with silent connections: grows where nodes are slow
};

}  // namespace topazweir::platform
