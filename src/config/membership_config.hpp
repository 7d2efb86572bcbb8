// The operator file's block `membership`: how this aggregator knows the others. Values.
#pragma once

#include <string>
#include <vector>

#include "config/reader.hpp"

namespace topazweir::config {

struct Voter {
  std::string name, address;
};

struct Membership {
  std::string name;               // of this member, the same after a restart
  std::string fleet;              // members of another fleet are not listened to
  std::string listen, advertise;  // where it hears, UDP and TCP; what the others are told of it
  std::string zone;
  std::vector<std::string> seeds;  // addresses that are asked at the start; the voters' belong to them
  std::vector<Voter> voters;       // none, or an odd number: who decides where a fleet is cut
  std::string state;               // folder of a voter's word; empty: it takes no part in agreement
  Nanos period = 0, answerTime = 0, syncEvery = 0, forgetAfter = 0;
  std::vector<std::string> relays;  // names: these alone hand the register on while any is there; none: all
  std::size_t fanOut = 5;           // members that one hands it on to
  std::size_t changeBytesPerS = 2048;  // sent for that, in the mean

  std::vector<std::string> voterNames() const;
  bool votes() const;  // this member is a voter that keeps its word
  bool operator==(const Membership&) const;
};

// `name`: the default, of the platform's part. Throws ConfigError.
Membership readMembership(const Reader& reader, const std::string& name);

}  // namespace topazweir::config
