// The size that the fleet is going to, as docs/CAPACITY.md has it, and what it asks of connections: computed
// from a slow, uniform model, to stand beside what runs show.
#pragma once

#include <algorithm>
#include <cmath>

#include "platform/descriptor_shares.hpp"

namespace topazweir::lab::scale {

inline constexpr int kAggregators = 2000, kLeafs = 9900, kParts = 94, kZones = 6;
inline constexpr double kQueries = 240'000, kQueriesEach = kQueries / kAggregators;  // a second
inline constexpr double kPartsEach = kQueriesEach * kParts;                          // a second
inline constexpr double kPartTime = 0.020;                                           // s, assumed

// Uniform access, parts that come one by one, one part at a time on a connection, idle ones given up after
// 24 s (four fifths of connIdleNs); what is dialled anew is a part that finds no idle connection to its leaf.
struct ConnectionModel {
  static constexpr double kIdle = 24;

  ConnectionModel(int leafCount, std::size_t descriptors)
      : leafs(leafCount),
        slots(static_cast<double>(
            platform::DescriptorShares::of(descriptors, static_cast<std::size_t>(leafCount)).nodes)),
        touched(leafs * (1 - std::exp(-kPartsEach / leafs * kIdle))),
        hit(std::clamp((slots - busy) / touched, 0.0, 1.0)),
        standing(std::min(slots, wanted(touched))) {}

  // To `held` leafs one each, and a further one where a second part meets a busy one.
  double wanted(double held) const {
    const double each = busy / held;
    return held + held * (each - 1 + std::exp(-each));
  }
  double dialsAPart() const { return 1 - hit; }
  // Leafs of each cell that a subset may have so that its connections all stand.
  int subsetOfCell() const {
    int kept = 0;
    while ((kept + 1) * kParts <= leafs && wanted((kept + 1.0) * kParts) <= slots) ++kept;
    return kept;
  }

  double leafs, slots;
  double busy = kPartsEach * kPartTime;  // at once
  double touched, hit, standing;
};

}  // namespace topazweir::lab::scale
