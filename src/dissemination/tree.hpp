// Who is whose parent, from the view alone: the same view gives the same tree everywhere, without talk.
// Voters at the root; in each zone relays by the rank of their names' hash, as many levels of them as it
// takes until the voters have room for the uppermost; members below. A zone of n has n / fanOut relays of the
// lowest level, a fanOut-th of these above, and so on. Holds some names and short hashes, bounded by the
// constants and by a zone's members; made anew from a view at a cost of its members.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

struct Tree {
  std::vector<std::string> candidates;  // to be this one's parent, the first one first
  std::size_t preferred = 0;         // so many of them are of the level above; the others are a last resort
  std::size_t relays = 0;            // so many come before the voters
  std::vector<std::string> sources;  // members of the zone that may have a snapshot to hand on
  std::size_t level = 0;             // 0: relays for nobody, by plan
  std::size_t top = 0;               // level of the uppermost relays of the zone
  std::size_t share = 0;             // children by plan, as a mean
  bool relaysNamed = false;          // by the operator, and one of them is there
  std::vector<std::uint64_t> children;  // hashes of the names that may be children by plan, sorted

  bool planned(std::string_view child) const;

  static Tree of(const Settings& settings, std::vector<Peer> view);

  static constexpr std::size_t kMostPreferred = 12, kMostSecond = 6, kMostSources = 24;
};

}  // namespace topazweir::dissemination
