// What was agreed with the tenants and what this aggregator may hold.
#pragma once

#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

struct Contract {
  std::string tenant;
  double share = 0;      // of the service
  double quotaPerS = 0;  // requests a second over all aggregators; 0: none agreed
};

struct Terms {
  std::string name;   // of the core, where a program has several: said in the log
  Settings settings;  // of the decision module
  // With more than so many requests open, events wait for the next wake and reach the module together: each
  // of its turns looks at every open request. 0: each event is a turn.
  std::size_t turnsTogetherFrom = 0;
  std::vector<Contract> contracts;
  double overShareWorth = 1;  // what a request beyond its tenant's share is still worth
  std::size_t maxOpen = 0;    // queries and parts held at once; 0: no limit
  Nanos longestDeadline = 0;  // a longer one is absurd
};

}  // namespace topazweir::broker
