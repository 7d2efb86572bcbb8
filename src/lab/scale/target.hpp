// The target size of the fleet, as in docs/CAPACITY.md, and the connections that it needs: computed from a
// steady-state, uniform model, for comparison with measurements.
#pragma once

#include <algorithm>
#include <cmath>

#include "platform/descriptor_shares.hpp"

namespace topazweir::lab::scale {

inline constexpr int kAggregators = 2000;
inline constexpr int kLeafs = 9900;
inline constexpr int kParts = 94;  // of a query, one per shard
inline constexpr int kZones = 6;
inline constexpr double kQueriesPerS = 240'000;  // of the whole fleet
inline constexpr double kQueriesPerAggregatorPerS = kQueriesPerS / kAggregators;
inline constexpr double kPartsPerAggregatorPerS = kQueriesPerAggregatorPerS * kParts;
inline constexpr double kPartSeconds = 0.020;  // mean response time of a part, assumed

// Assumes uniform access to all leafs, parts that arrive one by one, one part at a time on a connection, and
// idle connections closed after kIdleTimeoutSeconds. A part dials a new connection if it finds no idle one to
// its leaf.
struct ConnectionModel {
  static constexpr double kIdleTimeoutSeconds = 24;  // four fifths of connIdleNs

  ConnectionModel(int leafCount, std::size_t descriptors)
      : leafs(leafCount),
        connectionLimit(static_cast<double>(
            platform::DescriptorShares::of(descriptors, static_cast<std::size_t>(leafCount)).nodes)),
        activeLeafs(leafs * (1 - std::exp(-kPartsPerAggregatorPerS / leafs * kIdleTimeoutSeconds))),
        idleHitRate(std::clamp((connectionLimit - busyConnections) / activeLeafs, 0.0, 1.0)),
        steadyConnections(std::min(connectionLimit, connectionsFor(activeLeafs))) {}

  // Connections for `leafCount` leafs: one to each, and another one where a part meets a busy connection.
  double connectionsFor(double leafCount) const {
    const double busyPerLeaf = busyConnections / leafCount;
    return leafCount + leafCount * (busyPerLeaf - 1 + std::exp(-busyPerLeaf));
  }
  double dialsPerPart() const { return 1 - idleHitRate; }
  // The largest subset, in leafs of each cell, whose connections all fit into the limit.
  int maxSubsetPerCell() const {
    int leafsPerCell = 0;
    while ((leafsPerCell + 1) * kParts <= leafs &&
           connectionsFor((leafsPerCell + 1.0) * kParts) <= connectionLimit)
      ++leafsPerCell;
    return leafsPerCell;
  }

  double leafs;
  double connectionLimit;                                           // descriptors available for leafs
  double busyConnections = kPartsPerAggregatorPerS * kPartSeconds;  // in the mean
  double activeLeafs;                                               // used within the idle timeout
  double idleHitRate;        // share of parts that find an idle connection
  double steadyConnections;  // open in the steady state
};

}  // namespace topazweir::lab::scale
