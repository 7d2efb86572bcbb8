// Rank-based relay selection and rendezvous hashing of candidates.
#include "dissemination/tree.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace topazweir::dissemination {

namespace {

struct Ranked {
  std::uint64_t hash;
  const std::string* name;
  bool operator<(const Ranked& other) const {
    return hash != other.hash ? hash < other.hash : *name < *other.name;
  }
};

std::uint64_t hashOf(std::string_view name, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

bool contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Appends at most `limit` of the names, without `self` and duplicates, ordered by rendezvous hashing with
// `self`.
void rendezvous(std::string_view self, std::vector<const std::string*> names, std::size_t limit,
                std::vector<std::string>& out) {
  std::vector<Ranked> ranked;
  const auto seed = hashOf(self, 1);
  for (const auto* name : names)
    if (*name != self) ranked.push_back({hashOf(*name, seed), name});
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(limit, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end());
  for (auto at = ranked.begin(); at != end; ++at)
    if (!contains(out, *at->name)) out.push_back(*at->name);
}

struct Zone {
  std::vector<Ranked> members;     // sorted by rank
  std::vector<std::size_t> sizes;  // members at each level or above; sizes[0]: all of them
  std::size_t top() const { return sizes.size() - 1; }
  std::size_t levelOf(std::size_t rank) const {
    std::size_t level = 0;
    while (level + 1 < sizes.size() && rank < sizes[level + 1]) ++level;
    return level;
  }
  // The half-open range of ranks at exactly this level.
  std::pair<std::size_t, std::size_t> ranks(std::size_t level) const {
    return {level == top() ? 0 : sizes[level + 1], sizes[level]};
  }
};

std::size_t ceilingOfQuotient(std::size_t dividend, std::size_t divisor) {
  return (dividend + divisor - 1) / std::max<std::size_t>(divisor, 1);
}

}  // namespace

bool Tree::planned(std::string_view child) const {
  return std::binary_search(children.begin(), children.end(), hashOf(child));
}

Tree Tree::of(const Settings& settings, std::vector<Peer> view) {
  Tree out;
  const bool votes = settings.votes || contains(settings.voters, settings.self);
  const std::size_t fanOut = std::max<std::size_t>(settings.fanOut, 2);
  const std::size_t voters = std::max<std::size_t>(settings.voters.size(), 1);
  if (std::none_of(view.begin(), view.end(), [&](const Peer& p) { return p.name == settings.self; }))
    view.push_back({settings.self, settings.zone, true});
  std::vector<const std::string*> liveVoters, deadVoters, configuredRelays, zoneRelays;
  std::map<std::string_view, Zone> zones;
  std::vector<Ranked> all;
  for (const auto& voter : settings.voters) {
    const auto at = std::find_if(view.begin(), view.end(), [&](const Peer& p) { return p.name == voter; });
    (at != view.end() && !at->alive ? deadVoters : liveVoters).push_back(&voter);
  }
  for (const auto& peer : view) {
    if (!peer.alive && peer.name != settings.self) continue;
    if (peer.name != settings.self && contains(settings.relays, peer.name)) {
      configuredRelays.push_back(&peer.name);
      if (peer.zone == settings.zone) zoneRelays.push_back(&peer.name);
    }
    if (contains(settings.voters, peer.name)) continue;
    zones[peer.zone].members.push_back({hashOf(peer.name), &peer.name});
    all.push_back({hashOf(peer.name), &peer.name});
  }
  const bool isRelay = contains(settings.relays, settings.self);
  const auto addVoters = [&] {
    out.relays = out.candidates.size();
    rendezvous(settings.self, liveVoters, liveVoters.size(), out.candidates);
    rendezvous(settings.self, deadVoters, deadVoters.size(), out.candidates);
  };
  const auto addChildren = [&](const std::vector<Ranked>& of, std::size_t from, std::size_t to) {
    for (; from < to; ++from) out.children.push_back(of[from].hash);
  };

  auto& zone = zones[settings.zone];
  std::sort(zone.members.begin(), zone.members.end());
  std::vector<const std::string*> zoneMembers;
  for (const auto& member : zone.members) zoneMembers.push_back(member.name);
  rendezvous(settings.self, zoneMembers, kMaxSources, out.sources);

  if (!configuredRelays.empty() || isRelay) {
    out.relaysNamed = true;
    out.top = 1;
    out.level = isRelay ? 1 : 0;
    const std::size_t relays = configuredRelays.size() + (isRelay ? 1 : 0);
    if (isRelay) out.share = ceilingOfQuotient(all.size(), relays);
    if (votes && !isRelay) out.share = ceilingOfQuotient(relays, voters);
    for (const auto& member : all)
      if (contains(settings.relays, *member.name) ? votes : isRelay) out.children.push_back(member.hash);
    if (!votes && !isRelay) {
      rendezvous(settings.self, zoneRelays, kMaxPreferred, out.candidates);
      if (zoneRelays.empty()) rendezvous(settings.self, configuredRelays, kMaxPreferred, out.candidates);
      out.preferred = out.candidates.size();
      rendezvous(settings.self, configuredRelays, kMaxSecond, out.candidates);
    }
    if (!votes) addVoters();
    if (isRelay) out.preferred = out.candidates.size();
    std::sort(out.children.begin(), out.children.end());
    return out;
  }

  for (auto& [name, z] : zones) z.sizes = {z.members.size()};
  const auto topRelays = [&] {
    std::size_t sum = 0;
    for (const auto& [name, z] : zones) sum += z.sizes.back();
    return sum;
  };
  // Adds a level in the zones with the most uppermost relays, until the voters have room for all of these.
  while (topRelays() > voters * fanOut) {
    std::size_t largest = 0;
    for (const auto& [name, z] : zones) largest = std::max(largest, z.sizes.back());
    if (largest <= 1) break;
    for (auto& [name, z] : zones)
      if (z.sizes.back() == largest) z.sizes.push_back(ceilingOfQuotient(largest, fanOut));
  }

  if (votes) {
    out.level = 0;
    out.share = ceilingOfQuotient(topRelays(), voters);
    for (auto& [name, z] : zones) {
      std::sort(z.members.begin(), z.members.end());
      addChildren(z.members, 0, z.sizes.back());
    }
  } else {
    std::size_t rank = 0;
    while (*zone.members[rank].name != settings.self) ++rank;
    out.top = zone.top();
    out.level = zone.levelOf(rank);
    const auto levelNames = [&](std::size_t level) {
      std::vector<const std::string*> names;
      for (auto [i, end] = zone.ranks(level); i < end; ++i) names.push_back(zone.members[i].name);
      return names;
    };
    if (out.level < out.top)
      rendezvous(settings.self, levelNames(out.level + 1), kMaxPreferred, out.candidates);
    out.preferred = out.candidates.size();
    if (out.level + 1 < out.top)
      rendezvous(settings.self, levelNames(out.level + 2), kMaxSecond, out.candidates);
    addVoters();
    if (out.level == out.top) out.preferred = out.candidates.size();
    if (out.level > 0) {
      const auto [from, to] = zone.ranks(out.level - 1);
      const auto [ownFrom, ownTo] = zone.ranks(out.level);
      out.share = ceilingOfQuotient(to - from, ownTo - ownFrom);
      addChildren(zone.members, from, to);
    }
    // More zones than the voters have room for: relays of zones with a single uppermost relay take each other
    // as parents as a last resort.
    if (out.level == out.top && topRelays() > 2 * voters * fanOut) {
      std::vector<const std::string*> others;
      for (const auto& [name, z] : zones)
        if (z.sizes.back() == 1 && name != settings.zone)
          others.push_back(std::min_element(z.members.begin(), z.members.end())->name);
      rendezvous(settings.self, others, kMaxSecond, out.candidates);
    }
  }
  std::sort(out.children.begin(), out.children.end());
  return out;
}

}  // namespace topazweir::dissemination
