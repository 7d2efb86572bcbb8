#include "dissemination/children.hpp"

#include <algorithm>

namespace topazweir::dissemination {

namespace {
// Where members have each other as parents for a moment, counts go round: no subtree is said to have more.
constexpr std::uint64_t kMostCounted = 1 << 16;
}  // namespace

Counts Counts::of(const Report& r, Nanos now) {
  Counts out;
  out.at = {r.generation, r.number};
  out.members = std::clamp<std::uint64_t>(r.members, 1, kMostCounted);
  out.level = std::min(std::max<std::uint64_t>(r.level, 1), out.members);
  out.low = std::min(out.at, Position{r.lowGeneration, r.lowNumber});
  for (const auto& [name, generation, number] : r.slowest)
    out.slowest.push_back({name, {generation, number}});
  out.reportedAt = now;
  return out;
}

std::size_t Children::hard(const Tree& tree, std::size_t fanOut) {
  return 2 * std::max(fanOut, tree.relaysNamed ? tree.share : 0);
}

std::size_t Children::soft(const Tree& tree, std::size_t fanOut) {
  const std::size_t most = std::max(fanOut, tree.share);
  return std::min(hard(tree, fanOut), most + std::max<std::size_t>(1, most / 3));
}

bool Children::hasRoom(const Tree& tree, std::size_t fanOut) const {
  return all_.size() < soft(tree, fanOut);
}

Children::Admission Children::admit(const std::string& name, bool urgent, const Tree& tree,
                                    std::size_t fanOut, std::string& turnedAway) {
  if (all_.size() < (urgent ? hard(tree, fanOut) : soft(tree, fanOut))) {
    all_[name];
    return Admission::taken;
  }
  if (!tree.planned(name)) return Admission::refused;
  for (const auto& [other, child] : all_)
    if (!tree.planned(other)) {
      turnedAway = other;
      all_.erase(turnedAway);
      all_[name];
      return Admission::instead;
    }
  return Admission::refused;
}

Child* Children::find(const std::string& name) {
  const auto at = all_.find(name);
  return at == all_.end() ? nullptr : &at->second;
}

bool Children::forget(Nanos now) {
  return std::erase_if(all_, [&](const auto& c) { return now - c.second.counts.reportedAt > kForgotten; }) >
         0;
}

void Children::stoodStill(Nanos time) {
  for (auto& [name, child] : all_) child.counts.reportedAt += time;
}

InForce sum(const Position& own, const Children& children, const std::map<std::string, Counts>& others) {
  InForce out;
  out.members = 1, out.level = 1, out.low = own;
  const auto add = [&](const std::string& name, const Counts& c) {
    out.members = std::min(kMostCounted, out.members + c.members);
    if (c.at == own) out.level = std::min(kMostCounted, out.level + c.level);
    out.low = std::min(out.low, c.low);
    if (c.at < own) out.slowest.push_back({name, c.at});
    for (const auto& s : c.slowest)
      if (s.at < own) out.slowest.push_back(s);
  };
  for (const auto& [name, child] : children.all()) add(name, child.counts);
  for (const auto& [name, counts] : others) add(name, counts);
  std::stable_sort(out.slowest.begin(), out.slowest.end(),
                   [](const Slowest& a, const Slowest& b) { return a.at < b.at; });
  if (out.slowest.size() > kSlowest) out.slowest.resize(kSlowest);
  return out;
}

}  // namespace topazweir::dissemination
