// All that the features file switches on: a front, a broker with the same rules, a backend, wired together.
#pragma once

#include "features/backend.hpp"
#include "features/front.hpp"
#include "net/loop_clock.hpp"

namespace topazweir::features {

class Side {
 public:
  Side(net::Loop& loop, broker::Log& log, config::FeaturesConfig config)
      : config_(std::move(config)),
        clock_(loop, [this] { broker_.wake(); }),
        backend_(loop, log, config_,
                 [this](const auto& id, auto outcome, auto value) {
                   broker_.attemptEnded(id, outcome, std::move(value));
                 }),
        broker_(config_.terms, clock_, backend_, log),
        front_(loop, log, config_, broker_) {
    told(config_.groups);
  }
  // The servers of the same groups as they are now: drains and removals take effect at once.
  void told(const std::vector<config::BranchGroup>& groups) {
    broker_.told(backend_.servers(groups, ListNews::Scope::full));
  }
  const config::FeaturesConfig& config() const { return config_; }
  const broker::Broker& broker() const { return broker_; }
  http::Server& server() { return front_.server(); }

 private:
  config::FeaturesConfig config_;
  net::LoopClock clock_;
  Backend backend_;
  broker::Broker broker_;
  Front front_;
};

}  // namespace topazweir::features
