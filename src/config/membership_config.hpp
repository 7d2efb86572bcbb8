// Configuration of membership among the aggregators of a fleet: the block `membership` of the operator file.
#pragma once

#include <string>
#include <vector>

#include "config/reader.hpp"

namespace topazweir::config {

struct Voter {
  std::string name;
  std::string address;  // address:port
};

// Settings of one member. Durations are nanoseconds.
struct MembershipConfig {
  std::string name;       // of this member; stays the same over restarts
  std::string fleet;      // messages from members of another fleet are ignored
  std::string listen;     // address:port, UDP and TCP
  std::string advertise;  // the address:port that is announced to the other members
  std::string zone;
  std::vector<std::string> seeds;  // addresses contacted to join; always include those of the voters
  std::vector<Voter> voters;       // the Raft group: an odd number of voters, or none
  std::string state;               // folder for the voter's persistent state; empty: it does not vote
  Nanos period = 0;                // between two probes
  Nanos probeTimeout = 0;          // timeout of a direct probe, before indirect probes are sent
  Nanos syncInterval = 0;          // interval of the full state exchange with one other member
  Nanos forgetTimeout = 0;         // failed and left members are removed after this time
  // Names of the members that relay the register. If none of them is alive, or the list is empty, all members
  // relay it.
  std::vector<std::string> relays;
  std::size_t fanOut = 5;                   // children of one member in the dissemination tree
  std::size_t changeBytesPerSecond = 2048;  // mean rate limit for sending register changes

  std::vector<std::string> voterNames() const;
  bool votes() const;  // whether this member is a voter with persistent state
  bool operator==(const MembershipConfig&) const;
};

// Reads the block `membership`. `name`: the default for the member's name. Throws ConfigError.
MembershipConfig readMembership(const Reader& reader, const std::string& name);

}  // namespace topazweir::config
