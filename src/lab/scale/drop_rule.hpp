// A region cut off: what this process sends to the other side of the cut is dropped before it reaches a
// socket, a datagram as if it had been lost on the way, a connection as if there were no route. Every process
// of the fleet has the same rule and holds members of one side only, so nothing gets across.
#pragma once

namespace topazweir::lab::scale {

inline constexpr int kRegions = 3;
int regionOf(int member);  // as zoneOf(): two zones each

class DropRule {
 public:
  // `own`: a member of this process. Members at or beyond `members` are on everybody's side.
  static void cut(int region, int own, int members);
  static void heal();
};

}  // namespace topazweir::lab::scale
