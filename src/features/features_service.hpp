// The OGC API - Features front with its own broker and backend, wired together.
#pragma once

#include "features/backend.hpp"
#include "features/front.hpp"
#include "net/loop_clock.hpp"

namespace topazweir::features {

class FeaturesService {
 public:
  FeaturesService(net::Loop& loop, broker::Log& log, config::FeaturesConfig config)
      : config_(std::move(config)),
        clock_(loop, [this] { broker_.wake(); }),
        backend_(loop, log, config_,
                 [this](const auto& id, auto outcome, auto value) {
                   broker_.attemptEnded(id, outcome, std::move(value));
                 }),
        broker_(config_.terms, clock_, backend_, log, &loop.buffers()),
        front_(loop, log, config_, broker_) {
    updateServers(config_.groups);
  }
  // Replaces the servers of the groups, which must be the same groups in the same order. Draining and removed
  // servers get no new attempts from now on.
  void updateServers(const std::vector<config::BranchGroup>& groups) {
    broker_.updateServers(backend_.listUpdate(groups, ServerListUpdate::Scope::full));
  }
  // The process shuts down: all open requests have their final answer by then.
  void setShutdownDeadline(Nanos at) { broker_.setShutdownDeadline(at); }
  // No request is open, and all answers have been written whole and read by clients that still read.
  bool quiet() const { return broker_.open() == 0 && front_.server().quiet(); }
  const config::FeaturesConfig& config() const { return config_; }
  const broker::Broker& broker() const { return broker_; }
  http::Server& server() { return front_.server(); }
  const http::Server& server() const { return front_.server(); }

 private:
  config::FeaturesConfig config_;
  net::LoopClock clock_;
  Backend backend_;
  broker::Broker broker_;
  Front front_;
};

}  // namespace topazweir::features
