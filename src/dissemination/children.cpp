// Admission of children and aggregation of their counts.
#include "dissemination/children.hpp"

#include <algorithm>

namespace topazweir::dissemination {

namespace {
// Upper bound of a subtree's reported members: while members temporarily have each other as parents, their
// counts feed back and would grow without limit.
constexpr std::uint64_t kMaxCountedMembers = 1 << 16;
}  // namespace

Counts Counts::of(const Report& r, Nanos now) {
  Counts out;
  out.at = {r.generation, r.number};
  out.members = std::clamp<std::uint64_t>(r.members, 1, kMaxCountedMembers);
  out.level = std::min(std::max<std::uint64_t>(r.level, 1), out.members);
  out.low = std::min(out.at, Position{r.lowGeneration, r.lowNumber});
  for (const auto& [name, generation, number] : r.slowest)
    out.slowest.push_back({name, {generation, number}});
  out.reportedAt = now;
  return out;
}

std::size_t Children::hardLimit(const Tree& tree, std::size_t fanOut) {
  return 2 * std::max(fanOut, tree.relaysNamed ? tree.share : 0);
}

std::size_t Children::softLimit(const Tree& tree, std::size_t fanOut) {
  const std::size_t planned = std::max(fanOut, tree.share);
  return std::min(hardLimit(tree, fanOut), planned + std::max<std::size_t>(1, planned / 3));
}

bool Children::hasRoom(const Tree& tree, std::size_t fanOut) const {
  return children_.size() < softLimit(tree, fanOut);
}

Children::Admission Children::admit(const std::string& name, bool urgent, const Tree& tree,
                                    std::size_t fanOut, std::string& replacedChild) {
  if (children_.size() < (urgent ? hardLimit(tree, fanOut) : softLimit(tree, fanOut))) {
    children_[name];
    return Admission::admitted;
  }
  if (!tree.planned(name)) return Admission::refused;
  for (const auto& [other, child] : children_)
    if (!tree.planned(other)) {
      replacedChild = other;
      children_.erase(replacedChild);
      children_[name];
      return Admission::replaced;
    }
  return Admission::refused;
}

Child* Children::find(const std::string& name) {
  const auto at = children_.find(name);
  return at == children_.end() ? nullptr : &at->second;
}

bool Children::removeExpired(Nanos now) {
  return std::erase_if(children_, [&](const auto& c) {
           return now - c.second.counts.reportedAt > kSubscriptionExpiryNs;
         }) > 0;
}

void Children::onStall(Nanos duration) {
  for (auto& [name, child] : children_) child.counts.reportedAt += duration;
}

FleetProgress sum(const Position& own, const Children& children,
                  const std::map<std::string, Counts>& others) {
  FleetProgress out;
  out.members = 1;
  out.level = 1;
  out.low = own;
  const auto add = [&](const std::string& name, const Counts& c) {
    out.members = std::min(kMaxCountedMembers, out.members + c.members);
    if (c.at == own) out.level = std::min(kMaxCountedMembers, out.level + c.level);
    out.low = std::min(out.low, c.low);
    if (c.at < own) out.slowest.push_back({name, c.at});
    for (const auto& s : c.slowest)
      if (s.at < own) out.slowest.push_back(s);
  };
  for (const auto& [name, child] : children.all()) add(name, child.counts);
  for (const auto& [name, counts] : others) add(name, counts);
  std::stable_sort(out.slowest.begin(), out.slowest.end(),
                   [](const Slowest& a, const Slowest& b) { return a.at < b.at; });
  if (out.slowest.size() > kMaxSlowest) out.slowest.resize(kMaxSlowest);
  return out;
}

}  // namespace topazweir::dissemination
