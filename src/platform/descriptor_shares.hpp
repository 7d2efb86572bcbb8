// How the descriptors of the process are divided between connections to nodes and clients' connections. Pure.
#pragma once

#include <algorithm>
#include <cstddef>

namespace topazweir::platform {

// Connection limits of the two sides.
struct DescriptorShares {
  std::size_t nodes = 0;
  std::size_t clients = 0;

  // Divides `sockets` descriptors. Each side is guaranteed a quarter; 32 are kept free for the listeners,
  // discovery, signals and files. Of the rest, nodes get what they need: two connections for each listed
  // node, one in use and one that replaces it. Clients get what remains.
  // In a large fleet queries that touch all shards need connections to most nodes, while each of many
  // aggregators has only a few clients.
  // `reservedDescriptors`: descriptors reserved for operators' calls, which neither side may use.
  static DescriptorShares of(std::size_t sockets, std::size_t listedNodes,
                             std::size_t reservedDescriptors = 0) {
    constexpr std::size_t kOtherDescriptors = 32;
    sockets -= std::min(sockets, reservedDescriptors);
    const std::size_t quarter = sockets / 4;
    const std::size_t usable = sockets - std::min(sockets, kOtherDescriptors);
    const auto nodes =
        std::clamp(2 * listedNodes, quarter, std::max(quarter, usable - std::min(usable, quarter)));
    return {nodes, std::max(quarter, usable - std::min(usable, nodes))};
  }
};

}  // namespace topazweir::platform
