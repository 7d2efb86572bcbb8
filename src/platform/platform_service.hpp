// The platform service: wires together discovery, the connections to nodes, the broker and the HTTP front.
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

// Hooks and limits that day-to-day operation adds to the service. By default there are none.
struct OperationHooks {
  const operation::Holds* holds = nullptr;  // leafs out of service; must outlive the service
  // Called with each attempt: the leaf, and when its process started.
  std::function<void(const std::string& instance, Nanos startedAt)> sent;
  std::optional<int> listener;          // inherited descriptor of the clients' listening socket
  bool accepts = true;                  // whether clients are accepted from the start
  std::size_t reservedDescriptors = 0;  // descriptors reserved for operators' calls
};

class PlatformService {
 public:
  // `counters`: the body of GET /counters, for the whole program. Throws config::ConfigError if the list
  // under the key `known` cannot be read.
  PlatformService(net::Loop& loop, broker::Log& log, config::PlatformConfig config,
                  std::function<std::string()> counters, OperationHooks operated = {});

  // Applies what can change at run time; returns the keys that need a restart.
  std::vector<std::string> reload(config::PlatformConfig fresh);

  const config::PlatformConfig& config() const { return config_; }
  PlatformFront& front() { return *front_; }
  const PlatformFront& front() const { return *front_; }
  const broker::Broker& broker() const { return broker_; }
  const Directory& directory() const { return directory_; }
  const NodePool& pool() const { return pool_; }
  NodePool& pool() { return pool_; }
  // To be called after operators have taken leafs out of service or put them back.
  void moved(const std::vector<std::string>& instances);
  // Another process of this aggregator has sent to a leaf; counts against the slow-start limit that both
  // processes share.
  void recordSendByOtherProcess(const std::string& instance, Nanos at);
  // Sets how many aggregators send to the same nodes, and this one's index among them.
  void fleet(int aggregators, int number) { broker_.fleet(aggregators, number); }
  // The process shuts down: all open requests have their final answer by then.
  void setShutdownDeadline(Nanos at) { broker_.setShutdownDeadline(at); }
  // Whether another process of this aggregator runs beside this one: each then keeps to half of the
  // descriptors.
  void share(bool shared);
  // Shards that no node serves, whether by discovery's list or because operators took the last holder out.
  const std::vector<int>& unserved() const { return unserved_; }
  bool listTold() const { return listReceived_; }  // discovery has sent a list
  // The current list of nodes in discovery's format.
  std::string list() const { return directory_.text(generation_, config_.zones); }
  // No request is open, and all answers have been written whole and read by clients that still read.
  bool quiet() const { return broker_.open() == 0 && front_->server().quiet(); }

 private:
  DescriptorShares descriptorShares() const;
  NodePool::Options poolOptions() const;
  void applyLimits();
  void applyKnownList();
  void applyList(const NodeList& list, ServerListUpdate::Scope scope);
  void publish(ServerListUpdate update);
  void updateShardsWithoutHolder();

  // Passes attempts on to the pool, and reports each one to the hook `OperationHooks::sent`.
  class ReportingBackend : public broker::Backend {
   public:
    explicit ReportingBackend(PlatformService& side) : side_(side) {}
    void start(broker::AttemptOrder order) override;
    void cancel(const broker::AttemptId& id) override { side_.pool_.cancel(id); }

   private:
    PlatformService& side_;
  };

  broker::Log& log_;
  config::PlatformConfig config_;
  OperationHooks operated_;
  bool listReceived_ = false;
  bool shared_ = false;  // declared before pool_, whose options depend on it
  net::LoopClock clock_;
  Directory directory_;
  NodePool pool_;
  ReportingBackend reportingBackend_{*this};
  broker::Broker broker_;
  std::optional<Discovery> discovery_;
  std::optional<PlatformFront> front_;
  std::int64_t generation_ = 0;
  std::vector<int> unserved_;
};

}  // namespace topazweir::platform
