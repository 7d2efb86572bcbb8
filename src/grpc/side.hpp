// All that the block "grpc" of the operator file switches on, wired together: the front, and the cores behind
// it.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "grpc/core.hpp"
#include "grpc/front.hpp"

namespace topazweir::grpc {

class Side {
 public:
  Side(net::Loop& loop, broker::Log& log, config::Grpc config);
  ~Side();
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  // Calls that come from now on go by the fresh configuration; those that are open keep theirs. The keys that
  // only a restart applies are returned, and keep their old values.
  std::vector<std::string> reload(config::Grpc fresh);

  const config::Grpc& config() const { return plan_->config; }
  Front& front() { return front_; }
  const Front& front() const { return front_; }
  const Core& core() const { return *cores_.front(); }
  // Open calls of all cores.
  std::size_t open() const;
  std::size_t cores() const { return cores_.size(); }
  // Counters as "name value" lines.
  std::string print(const std::string& prefix) const;
  // What the broker's own counters are over all cores, the ended ones included.
  broker::Counters counters() const;

 private:
  void useCores();
  void retire();

  net::Loop& loop_;
  broker::Log& log_;
  std::shared_ptr<const Plan> plan_;
  std::map<std::string, Core*, std::less<>> current_;  // by pool
  std::vector<std::unique_ptr<Core>> cores_;  // the current ones, and those that only finish what they hold
  broker::Counters past_;                     // of the cores that have ended
  BackendCounters pastBackend_;
  Front front_;
  net::Loop::TimerId retireTimer_{};
};

}  // namespace topazweir::grpc
