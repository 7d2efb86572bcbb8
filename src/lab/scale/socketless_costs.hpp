// Scaling of work that needs no sockets. Bytes are counted as encoded for the wire; times are CPU times of
// the calling thread.
#pragma once

#include <string>
#include <vector>

#include "agreement/register.hpp"
#include "membership/record.hpp"

namespace topazweir::lab::scale {

// Synthetic members and register contents with names, addresses, zones and versions like the target's.
std::string memberName(int member);
std::string zoneOf(int member);  // 3 regions with 2 zones each
membership::Record memberRecord(int member, const std::string& address);
std::string keyOf(int key);
std::string valueOf(int key, int revision);  // about 100 bytes including its key
agreement::Register registerOf(int keys);

void measureRegister();       // by keys: an answer to a follower, a snapshot, a change at a voter
void measureFullExchange();   // by members: a full exchange
void measureDetectorCosts();  // by members: a detector tick and the evaluations that go with each tick

}  // namespace topazweir::lab::scale
