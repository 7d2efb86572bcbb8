// The children of this member in the dissemination tree: how far each of them is, and the aggregated counts
// of their subtrees. Their number is bounded by hardLimit(); a child that has not reported for
// kSubscriptionExpiryNs is removed together with its counts.
#pragma once

#include <map>
#include <string>

#include "dissemination/messages.hpp"
#include "dissemination/tree.hpp"

namespace topazweir::dissemination {

// Aggregated counts of a subtree, its root included.
struct Counts {
  Position at;                   // of the root
  std::uint64_t members = 1;     // in the subtree
  std::uint64_t level = 1;       // members of the subtree at the position `at`
  Position low;                  // low watermark of the subtree
  std::vector<Slowest> slowest;  // members below `at`, the farthest behind first
  Nanos reportedAt = 0;

  static Counts of(const Report& report, Nanos now);
};

struct Child {
  Counts counts;
  std::uint64_t digest = 0;  // of the content at counts.at
  bool onLog = false;      // its register is a prefix of this member's log, which it receives from `sent` on
  std::uint64_t sent = 0;  // number of the last change that was sent to it
  Nanos sentAt = 0;
  Nanos offeredAt = 0;  // of the last snapshot offer
  bool waitsForBudget = false;
};

class Children {
 public:
  enum class Admission {
    admitted,
    refused,
    replaced  // admitted in place of another child, which has to be told that it was refused
  };
  // Children that are not urgent leave some slots to members that find no other parent. `replacedChild` is
  // set with Admission::replaced.
  Admission admit(const std::string& name, bool urgent, const Tree& tree, std::size_t fanOut,
                  std::string& replacedChild);
  bool hasRoom(const Tree& tree, std::size_t fanOut) const;
  Child* find(const std::string& name);
  void remove(const std::string& name) { children_.erase(name); }
  bool removeExpired(Nanos now);  // whether any child was removed
  void onStall(Nanos duration);   // extends all subscriptions by the time that this process was stalled
  std::map<std::string, Child>& all() { return children_; }
  const std::map<std::string, Child>& all() const { return children_; }

  static constexpr Nanos kRenewalIntervalNs = 2'000'000'000;  // of a subscription
  static constexpr Nanos kSubscriptionExpiryNs = 7 * kRenewalIntervalNs / 2;

 private:
  static std::size_t softLimit(const Tree& tree, std::size_t fanOut);
  static std::size_t hardLimit(const Tree& tree, std::size_t fanOut);

  std::map<std::string, Child> children_;
};

// Aggregates this member at position `own`, its children and the other members that report to it (`others`).
FleetProgress sum(const Position& own, const Children& children, const std::map<std::string, Counts>& others);

}  // namespace topazweir::dissemination
