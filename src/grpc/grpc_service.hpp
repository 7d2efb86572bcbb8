// The gRPC service, enabled by the block "grpc" of the operator file: the front and the cores behind it.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "grpc/core.hpp"
#include "grpc/front.hpp"

namespace topazweir::grpc {

class GrpcService {
 public:
  GrpcService(net::Loop& loop, broker::Log& log, config::GrpcConfig config);
  ~GrpcService();
  GrpcService(const GrpcService&) = delete;
  GrpcService& operator=(const GrpcService&) = delete;

  // Applies a configuration to the calls that arrive from now on; open calls keep theirs. Returns the changed
  // keys that take effect only after a restart and keep their old values until then.
  std::vector<std::string> reload(config::GrpcConfig newConfig);

  // The process shuts down: all open calls, and those accepted later, have their final status by then, also
  // if the drain time is longer.
  void setShutdownDeadline(Nanos at);

  const config::GrpcConfig& config() const { return plan_->config; }
  Front& front() { return front_; }
  const Front& front() const { return front_; }
  // The oldest core.
  const Core& core() const { return *cores_.front(); }
  // Open calls in all cores.
  std::size_t open() const;
  // Cores, including those that only finish their open calls.
  std::size_t cores() const { return cores_.size(); }
  // All counters, as lines of "name value", each name with the prefix.
  std::string print(const std::string& prefix) const;
  // The broker's counters, summed over all cores, including those already destroyed.
  broker::Counters counters() const;

 private:
  // Keeps the core of each pool whose settings fit, so that what it has learned of its servers is kept, and
  // creates the others.
  void updateCores();
  // Destroys the cores that no longer belong to a pool and have no open calls, with their connections.
  void destroyIdleCores();

  net::Loop& loop_;
  broker::Log& log_;
  std::shared_ptr<const Plan> plan_;
  std::map<std::string, Core*, std::less<>> currentCores_;  // by pool
  // The current cores, and those that only finish their open calls.
  std::vector<std::unique_ptr<Core>> cores_;
  // Counters of the cores already destroyed.
  broker::Counters destroyedCounters_;
  BackendCounters destroyedBackendCounters_;
  Front front_;
  Nanos shutdownDeadline_ = std::numeric_limits<Nanos>::max();  // max: none
  net::Loop::TimerId destroyTimer_{};
};

}  // namespace topazweir::grpc
