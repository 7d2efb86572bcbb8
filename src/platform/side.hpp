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

class Side {
 public:
  // `counters`: what GET /counters shows, of the whole program.
  Side(net::Loop& loop, broker::Log& log, config::Config config, std::function<std::string()> counters);

  // What can change while it serves is applied; returned are the keys that wait for a restart.
  std::vector<std::string> reload(config::Config fresh);

  const config::Config& config() const { return config_; }
  PlatformFront& front() { return *front_; }
  const broker::Broker& broker() const { return broker_; }
  const Directory& directory() const { return directory_; }
  const NodePool& pool() const { return pool_; }
  bool quiet() const { return broker_.open() == 0 && front_->server().quiet(); }

 private:
  DescriptorShares shares() const;
  NodePool::Options poolOptions() const;
  void applyLimits();
  void learnKnown();
  void tell(const NodeList& list, ListNews::Scope scope);

  broker::Log& log_;
  config::Config config_;
  net::LoopClock clock_;
  Directory directory_;
  NodePool pool_;
  broker::Broker broker_;
  std::optional<Discovery> discovery_;
  std::optional<PlatformFront> front_;
  std::int64_t generation_ = 0;
};

}  // namespace topazweir::platform
