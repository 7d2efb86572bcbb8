// The platform's part, wired together: discovery, the nodes, the core and the front.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "broker/broker.hpp"
#include "config/config.hpp"
#include "net/loop_clock.hpp"
#include "platform/descriptor_shares.hpp"
#include "platform/discovery.hpp"
#include "platform/front.hpp"
#include "platform/node_pool.hpp"

namespace topazweir::platform {

// What day-to-day operation lays over the platform's part. The defaults: nothing.
struct Operated {
  const operation::Holds* holds = nullptr;  // leafs out of service; must outlive the part
  // Called with each attempt: the leaf, and when it started.
  std::function<void(const std::string& instance, Nanos startedAt)> sent;
  std::optional<int> listener;  // descriptor of the clients' listening socket
  bool accepts = true;          // clients, from the start
  std::size_t setApart = 0;     // descriptors for operators' calls
};

class Side {
 public:
  // `counters`: what GET /counters shows, of the whole program.
  Side(net::Loop& loop, broker::Log& log, config::Config config, std::function<std::string()> counters,
       Operated operated = {});

  // What can change while it serves is applied; returned are the keys that wait for a restart.
  std::vector<std::string> reload(config::Config fresh);

  const config::Config& config() const { return config_; }
  PlatformFront& front() { return *front_; }
  const broker::Broker& broker() const { return broker_; }
  const Directory& directory() const { return directory_; }
  const NodePool& pool() const { return pool_; }
  NodePool& pool() { return pool_; }
  // After operators have taken leafs out or back.
  void moved(const std::vector<std::string>& instances);
  // Another process of this aggregator has sent to a leaf, under the ceiling that this one stands under.
  void sentElsewhere(const std::string& instance, Nanos at);
  // So many aggregators send to the same nodes.
  void fleet(int aggregators, int number) { broker_.fleet(aggregators, number); }
  // The process ends: all that is open then has its final answer by that time.
  void endBy(Nanos at) { broker_.endBy(at); }
  // Another process of this aggregator is there: each keeps to half of the descriptors.
  void share(bool shared);
  // Shards that no node serves, whoever has taken the last one out.
  const std::vector<int>& unserved() const { return unserved_; }
  bool listTold() const { return listTold_; }  // by discovery
  std::string list() const { return directory_.text(generation_, config_.zones); }
  bool quiet() const { return broker_.open() == 0 && front_->server().quiet(); }

 private:
  DescriptorShares shares() const;
  NodePool::Options poolOptions() const;
  void applyLimits();
  void learnKnown();
  void tell(const NodeList& list, ListNews::Scope scope);
  void tell(ListNews news);
  void lookForHolders();

  // The pool, and a note of what is sent.
  class Noting : public broker::Backend {
   public:
    explicit Noting(Side& side) : side_(side) {}
    void start(broker::AttemptOrder order) override;
    void cancel(const broker::AttemptId& id) override { side_.pool_.cancel(id); }

   private:
    Side& side_;
  };

  broker::Log& log_;
  config::Config config_;
  Operated operated_;
  bool listTold_ = false, shared_ = false;  // before the pool, whose limits they are asked for
  net::LoopClock clock_;
  Directory directory_;
  NodePool pool_;
  Noting noting_{*this};
  broker::Broker broker_;
  std::optional<Discovery> discovery_;
  std::optional<PlatformFront> front_;
  std::int64_t generation_ = 0;
  std::vector<int> unserved_;
};

}  // namespace topazweir::platform
