// Hollow members: the program's own control parts on real sockets, without the serving part, many in a
// process. A process is told what to do by lines on its standard input and answers each with a line; it ends
// with it.
#pragma once

#include <string>

#include "topazweir/aggregator.hpp"

namespace topazweir::lab::scale {

struct HollowOptions {
  int first = 0, count = 1;  // members of this process
  int members = 1;           // of the fleet, those not running included
  int voters = 3;            // the first so many are voters
  int keys = 0;              // of the register at the start
  int port = 17'000;         // of all; each has its own address of 127.0.0.0/8
  Nanos period = 1'000'000'000;
  std::string state;    // folder of the voters' word
  bool seeded = false;  // they meet by the voters' addresses; else a command tells them of each other
};

inline constexpr const char* kFleet = "hollow";
std::string addressOf(int member, int port);
int runHollow(const HollowOptions& options);  // until the end of standard input

}  // namespace topazweir::lab::scale
