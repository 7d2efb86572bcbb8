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

bool among(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// At most `most` of the names in the order of rendezvous with `self`.
void rendezvous(std::string_view self, std::vector<const std::string*> names, std::size_t most,
                std::vector<std::string>& out) {
  std::vector<Ranked> ranked;
  const auto seed = hashOf(self, 1);
  for (const auto* name : names)
    if (*name != self) ranked.push_back({hashOf(*name, seed), name});
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(most, ranked.size()));
  std::partial_sort(ranked.begin(), end, ranked.end());
  for (auto at = ranked.begin(); at != end; ++at)
    if (!among(out, *at->name)) out.push_back(*at->name);
}

// A zone's members by rank and how many of them relay at each level or above: sizes[0] is all of them.
struct Zone {
  std::vector<Ranked> members;
  std::vector<std::size_t> sizes;
  std::size_t top() const { return sizes.size() - 1; }
  std::size_t levelOf(std::size_t rank) const {
    std::size_t level = 0;
    while (level + 1 < sizes.size() && rank < sizes[level + 1]) ++level;
    return level;
  }
  // Those of exactly this level; of the top one: all that are left.
  std::pair<std::size_t, std::size_t> ranks(std::size_t level) const {
    return {level == top() ? 0 : sizes[level + 1], sizes[level]};
  }
};

std::size_t ceilOf(std::size_t a, std::size_t b) { return (a + b - 1) / std::max<std::size_t>(b, 1); }

}  // namespace

bool Tree::planned(std::string_view child) const {
  return std::binary_search(children.begin(), children.end(), hashOf(child));
}

Tree Tree::of(const Settings& s, std::vector<Peer> view) {
  Tree out;
  const bool votes = s.votes || among(s.voters, s.self);
  const std::size_t fanOut = std::max<std::size_t>(s.fanOut, 2);
  const std::size_t voters = std::max<std::size_t>(s.voters.size(), 1);
  if (std::none_of(view.begin(), view.end(), [&](const Peer& p) { return p.name == s.self; }))
    view.push_back({s.self, s.zone, true});
  std::vector<const std::string*> voterNames, deadVoters, named, namedHere;
  std::map<std::string_view, Zone> zones;
  std::vector<Ranked> all;
  for (const auto& voter : s.voters) {
    const auto at = std::find_if(view.begin(), view.end(), [&](const Peer& p) { return p.name == voter; });
    (at != view.end() && !at->alive ? deadVoters : voterNames).push_back(&voter);
  }
  for (const auto& peer : view) {
    if (!peer.alive && peer.name != s.self) continue;
    if (peer.name != s.self && among(s.relays, peer.name)) {
      named.push_back(&peer.name);
      if (peer.zone == s.zone) namedHere.push_back(&peer.name);
    }
    if (among(s.voters, peer.name)) continue;
    zones[peer.zone].members.push_back({hashOf(peer.name), &peer.name});
    all.push_back({hashOf(peer.name), &peer.name});
  }
  const bool relaySelf = among(s.relays, s.self);
  const auto votersToo = [&] {
    out.relays = out.candidates.size();
    rendezvous(s.self, voterNames, voterNames.size(), out.candidates);
    rendezvous(s.self, deadVoters, deadVoters.size(), out.candidates);
  };
  const auto mayBeChildren = [&](const std::vector<Ranked>& of, std::size_t from, std::size_t to) {
    for (; from < to; ++from) out.children.push_back(of[from].hash);
  };

  auto& zone = zones[s.zone];
  std::sort(zone.members.begin(), zone.members.end());
  std::vector<const std::string*> neighbours;
  for (const auto& member : zone.members) neighbours.push_back(member.name);
  rendezvous(s.self, neighbours, kMostSources, out.sources);

  if (!named.empty() || relaySelf) {
    out.relaysNamed = true;
    out.top = 1;
    out.level = relaySelf ? 1 : 0;
    const std::size_t relays = named.size() + (relaySelf ? 1 : 0);
    if (relaySelf) out.share = ceilOf(all.size(), relays);
    if (votes && !relaySelf) out.share = ceilOf(relays, voters);
    for (const auto& member : all)
      if (among(s.relays, *member.name) ? votes : relaySelf) out.children.push_back(member.hash);
    if (!votes && !relaySelf) {
      rendezvous(s.self, namedHere, kMostPreferred, out.candidates);
      if (namedHere.empty()) rendezvous(s.self, named, kMostPreferred, out.candidates);
      out.preferred = out.candidates.size();
      rendezvous(s.self, named, kMostSecond, out.candidates);
    }
    if (!votes) votersToo();
    if (relaySelf) out.preferred = out.candidates.size();
    std::sort(out.children.begin(), out.children.end());
    return out;
  }

  for (auto& [name, z] : zones) z.sizes = {z.members.size()};
  const auto uppermost = [&] {
    std::size_t sum = 0;
    for (const auto& [name, z] : zones) sum += z.sizes.back();
    return sum;
  };
  // A level more in the zones where the uppermost are the most, until the voters have room.
  while (uppermost() > voters * fanOut) {
    std::size_t most = 0;
    for (const auto& [name, z] : zones) most = std::max(most, z.sizes.back());
    if (most <= 1) break;
    for (auto& [name, z] : zones)
      if (z.sizes.back() == most) z.sizes.push_back(ceilOf(most, fanOut));
  }

  if (votes) {
    out.level = 0, out.share = ceilOf(uppermost(), voters);
    for (auto& [name, z] : zones) {
      std::sort(z.members.begin(), z.members.end());
      mayBeChildren(z.members, 0, z.sizes.back());
    }
  } else {
    std::size_t rank = 0;
    while (*zone.members[rank].name != s.self) ++rank;
    out.top = zone.top();
    out.level = zone.levelOf(rank);
    const auto levelNames = [&](std::size_t level) {
      std::vector<const std::string*> names;
      for (auto [i, end] = zone.ranks(level); i < end; ++i) names.push_back(zone.members[i].name);
      return names;
    };
    if (out.level < out.top) rendezvous(s.self, levelNames(out.level + 1), kMostPreferred, out.candidates);
    out.preferred = out.candidates.size();
    if (out.level + 1 < out.top) rendezvous(s.self, levelNames(out.level + 2), kMostSecond, out.candidates);
    votersToo();
    if (out.level == out.top) out.preferred = out.candidates.size();
    if (out.level > 0) {
      const auto [from, to] = zone.ranks(out.level - 1);
      const auto [mineFrom, mineTo] = zone.ranks(out.level);
      out.share = ceilOf(to - from, mineTo - mineFrom);
      mayBeChildren(zone.members, from, to);
    }
    // More zones than the voters have room for: their only relays take each other as a last resort.
    if (out.level == out.top && uppermost() > 2 * voters * fanOut) {
      std::vector<const std::string*> others;
      for (const auto& [name, z] : zones)
        if (z.sizes.back() == 1 && name != s.zone)
          others.push_back(std::min_element(z.members.begin(), z.members.end())->name);
      rendezvous(s.self, others, kMostSecond, out.candidates);
    }
  }
  std::sort(out.children.begin(), out.children.end());
  return out;
}

}  // namespace topazweir::dissemination
