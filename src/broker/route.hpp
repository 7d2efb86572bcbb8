// Stage 3, route: the only caller of the decision module. It batches events into turns and carries out the
// actions of each turn. Turns do not nest: an event that an action causes at once waits for the next turn.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "broker/open_requests.hpp"

namespace topazweir::broker {

class ModuleDriver {
 public:
  explicit ModuleDriver(const Settings& settings) : aggregator_(settings) {}
  // Queues an event for the next turn.
  template <class ModuleEvent>
  void add(ModuleEvent&& event) {
    pending_.emplace_back(std::forward<ModuleEvent>(event));
  }
  // Queues the arrival of a request and of its parts.
  void addRequest(RequestNo no, const OpenRequest& open);

  // Passes the queued events to the module and its actions to `carryOut`, until the queue is empty. Does
  // nothing when called from within `carryOut`.
  template <class CarryOut>
  void run(Nanos now, CarryOut&& carryOut) {
    if (running_) return;
    running_ = true;
    while (!pending_.empty()) {
      const auto events = std::move(pending_);
      pending_.clear();
      for (const auto& action : aggregator_.handle(now, events)) carryOut(action);
    }
    running_ = false;
  }

  // The module's ids: a query's is the request's number, a part's adds a dot and the part's position.
  static std::string queryId(RequestNo no) { return std::to_string(no); }
  static std::string partId(RequestNo no, std::size_t part) {
    return std::to_string(no) + '.' + std::to_string(part);
  }
  // Reads either kind of id; `part` stays 0 for a query's, `attempt` always.
  static AttemptId parse(const std::string& id);

 private:
  Aggregator aggregator_;
  std::vector<Event> pending_;
  bool running_ = false;
};

}  // namespace topazweir::broker
