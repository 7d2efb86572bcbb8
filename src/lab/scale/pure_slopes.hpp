// Slopes of what needs no sockets: bytes are those that the wire would carry, times are of this thread.
#pragma once

#include <string>
#include <vector>

#include "agreement/register.hpp"
#include "membership/record.hpp"

namespace topazweir::lab::scale {

// What a fleet of the target's kind holds: names, addresses, zones and versions as they are given there.
std::string memberName(int member);
std::string zoneOf(int member);  // 3 regions with 2 zones each
membership::Record memberRecord(int member, const std::string& address);
std::string keyOf(int key);
std::string valueOf(int key, int revision);  // with its key about 100 bytes
agreement::Register registerOf(int keys);

void registerSlopes();  // by keys: an answer to a follower, a snapshot, a change at a voter
void exchangeSlopes();  // by members: a full exchange
void detectorCosts();   // by members: a tick and what the side looks through at each

}  // namespace topazweir::lab::scale
