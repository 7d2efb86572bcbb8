// Hollow members: the program's own control parts on real sockets, without the serving part, many in a
// process. A process is told what to do by lines on its standard input and answers each with a line; it ends
// with it.
#pragma once

#include <cstdint>
#include <string>

#include "topazweir/aggregator.hpp"

namespace topazweir::lab::scale {

struct HollowOptions {
  int first = 0, count = 1;  // members of this process
  int stride = 1;            // from one of them to the next
  int members = 1;           // of the fleet, those not running included
  int voters = 3;            // the first so many are voters
  int relays = 0;            // the next so many alone hand the register on; 0: all do
  int keys = 0;              // of the register at the start
  int port = 17'000;         // of all; each has its own address of 127.0.0.0/8
  Nanos period = 1'000'000'000;
  std::size_t changeBytesPerS = 0;  // of a relay; 0: as the program has it
  std::string state;                // folder of the voters' word
  std::uint64_t seed = 0;           // of the members' draws
  bool seeded = false;              // they know the voters' addresses
  bool told = true;                 // they are told of each other; else they meet by those addresses
};

inline constexpr const char* kFleet = "hollow";
std::string addressOf(int member, int port);
int memberAt(std::uint32_t address);          // whose IPv4 address this is; -1: nobody's
int runHollow(const HollowOptions& options);  // until the end of standard input

}  // namespace topazweir::lab::scale
