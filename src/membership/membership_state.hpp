// Derives from the reachable voters whether this member is in the majority side of the fleet. Does no I/O and
// reads no clock.
#pragma once

#include <string>
#include <vector>

#include "membership/detector.hpp"

namespace topazweir::membership {

enum class MembershipState {
  majority,  // connected to a quorum of voters, so decisions of the Raft group reach this member
  minority,  // no quorum is reachable, or no voters are configured: capacity must not be taken away
  isolated   // no other member is alive in this member's view
};
inline constexpr const char* kMembershipStateNames[] = {"agreed", "minority", "alone"};

// A suspected voter does not count as reachable, since it may be partitioned. `led`: for a voter, whether it
// knows of a current leader; true for members that are not voters.
MembershipState standing(const Detector& detector, const std::vector<std::string>& voters, bool led);

}  // namespace topazweir::membership
