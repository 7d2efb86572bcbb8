// Computes this member's place in the dissemination tree from the membership view alone: the same view gives
// the same tree at every member, without communication. The voters are the root; in each zone, relays are
// chosen by the rank of their names' hashes, with as many levels as it takes until the voters have room for
// the uppermost relays; all other members are leaves. A zone of n members has n / fanOut relays at the lowest
// level, a fanOut-th of these above, and so on. Holds some names and hashes, bounded by the constants below
// and the zone's members; computed in time proportional to the members.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

struct Tree {
  std::vector<std::string> candidates;  // possible parents of this member, in order of preference
  std::size_t preferred = 0;            // candidates of the level above; the others are a last resort
  std::size_t relays = 0;               // candidates before the voters
  std::vector<std::string> sources;     // members of the zone that may have a snapshot
  std::size_t level = 0;                // of this member; 0: plans no children
  std::size_t top = 0;                  // level of the uppermost relays of the zone
  std::size_t share = 0;                // planned children, as a mean
  bool relaysNamed = false;             // dedicated relays are configured, and one of them is alive
  std::vector<std::uint64_t> children;  // sorted hashes of the names of possible children

  bool planned(std::string_view child) const;

  static Tree of(const Settings& settings, std::vector<Peer> view);

  static constexpr std::size_t kMaxPreferred = 12;  // candidates of the level above
  static constexpr std::size_t kMaxSecond = 6;      // candidates of the level above that
  static constexpr std::size_t kMaxSources = 24;
};

}  // namespace topazweir::dissemination
