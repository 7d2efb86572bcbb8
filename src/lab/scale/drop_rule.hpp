// Simulates a network partition that isolates one region. What this process sends to members on the other
// side is dropped before it reaches a socket: a datagram is lost silently, a connection attempt fails with
// ENETUNREACH. Every process of the fleet applies the same rule and holds members of one side only, so no
// traffic crosses the partition.
#pragma once

namespace topazweir::lab::scale {

inline constexpr int kRegions = 3;
int regionOf(int member);  // two zones per region, consistent with zoneOf()

class DropRule {
 public:
  // Isolates `region`. `ownMember`: any member of this process, which tells on which side the process is.
  // Members with an index of `fleetSize` or above are reachable from both sides.
  static void isolate(int region, int ownMember, int fleetSize);
  static void heal();
};

}  // namespace topazweir::lab::scale
