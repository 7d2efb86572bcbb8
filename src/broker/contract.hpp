// The limits of a broker core: the tenants' contracts and how much this aggregator may hold.
#pragma once

#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

// What was agreed with one tenant.
struct Contract {
  std::string tenant;
  double share = 0;      // share of the service's capacity, 0 to 1
  double quotaPerS = 0;  // requests per second over all aggregators; 0: no quota
};

// Configuration of one core.
struct Terms {
  std::string name;   // name of the core for log lines, where a process runs several; else empty
  Settings settings;  // settings of the decision module
  // From this number of open requests on, events are batched until the next wake-up and reach the module in
  // one turn, because each turn scans every open request. 0: one turn per event.
  std::size_t batchTurnsFrom = 0;
  std::vector<Contract> contracts;
  double overShareWorth = 1;  // factor on the worth of a request beyond its tenant's share
  std::size_t maxOpen = 0;    // queries and parts held at once; 0: unlimited
  Nanos maxDeadline = 0;      // requests with a longer deadline are invalid
};

}  // namespace topazweir::broker
