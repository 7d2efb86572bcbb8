// Stage 3, route: the only place that talks to the decision module. Events in, actions out, one turn at a
// time: an action whose carrying out brings an event at once must not start a turn within a turn.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "broker/open.hpp"

namespace topazweir::broker {

class Route {
 public:
  explicit Route(const Settings& settings) : aggregator_(settings) {}
  template <class Happening>
  void add(Happening&& event) {
    pending_.emplace_back(std::forward<Happening>(event));
  }
  void addRequest(RequestNo no, const OpenRequest& open);

  // Hands the waiting events to the module and its actions to `carryOut`, until no events wait.
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

  // The module's ids are the request's number, and for a part its position after a dot.
  static std::string queryId(RequestNo no) { return std::to_string(no); }
  static std::string partId(RequestNo no, std::size_t part) {
    return std::to_string(no) + '.' + std::to_string(part);
  }
  static AttemptId parse(const std::string& id);

 private:
  Aggregator aggregator_;
  std::vector<Event> pending_;
  bool running_ = false;
};

}  // namespace topazweir::broker
