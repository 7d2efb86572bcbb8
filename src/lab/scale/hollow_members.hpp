// Hollow members: the production control plane of fleet members on real sockets, without request serving,
// many members per process. A process of hollow members reads commands, one per line, from its standard
// input and writes one answer line for each; it exits at the end of input.
#pragma once

#include <cstdint>
#include <string>

#include "topazweir/aggregator.hpp"

namespace topazweir::lab::scale {

struct HollowOptions {
  int firstMember = 0;           // index of this process's first member
  int memberCount = 1;           // members of this process
  int stride = 1;                // difference between the indices of two successive members of this process
  int fleetSize = 1;             // members of the whole fleet, including those that are not running
  int voters = 3;                // the members with the lowest indices are voters
  int relays = 0;                // this many members after the voters relay the register; 0: all members may
  int keys = 0;                  // of the initial register
  int port = 17'000;             // the same for all; each member has its own address in 127.0.0.0/8
  Nanos period = 1'000'000'000;  // between two probes of a member
  std::size_t changeBytesPerSecond = 0;  // send limit of a relay; 0: the production default
  std::string stateDirectory;            // for the voters' persistent state
  std::uint64_t seed = 0;                // of the members' random numbers
  bool votersAsSeeds = false;            // members are configured with the voters' addresses as seeds
  bool announced = true;  // members are sent the full list; else they discover each other by the seeds
};

inline constexpr const char* kHollowFleetName = "hollow";
std::string memberAddress(int member, int port);
int memberOfAddress(std::uint32_t address);          // index of the member with this IPv4 address; -1: none
int runHollowMembers(const HollowOptions& options);  // returns at the end of standard input

}  // namespace topazweir::lab::scale
