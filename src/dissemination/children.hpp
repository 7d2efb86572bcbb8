// Who has its news from this member, how far each is, and what all of them below have, as counts.
// At most `hard` of them; one that has not reported for kForgotten is dropped, and its counts with it.
#pragma once

#include <map>
#include <string>

#include "dissemination/messages.hpp"
#include "dissemination/tree.hpp"

namespace topazweir::dissemination {

// What a subtree has, its root included.
struct Counts {
  Position at;  // of its root; `level` counts those that have the same
  std::uint64_t members = 1, level = 1;
  Position low;
  std::vector<Slowest> slowest;  // below `at`, the farthest behind first
  Nanos reportedAt = 0;

  static Counts of(const Report& report, Nanos now);
};

struct Child {
  Counts counts;
  std::uint64_t digest = 0;  // of the content at counts.at
  bool onLog = false;        // it has what this one had at `sent`, and gets what follows
  std::uint64_t sent = 0;    // as far as it has been sent changes
  Nanos sentAt = 0, offeredAt = 0;
  bool waits = false;  // for the budget
};

class Children {
 public:
  enum class Admission { taken, refused, instead };  // instead: of another one, which is to be turned away
  // Those that are not urgent leave room for who finds none elsewhere.
  Admission admit(const std::string& name, bool urgent, const Tree& tree, std::size_t fanOut,
                  std::string& turnedAway);
  bool hasRoom(const Tree& tree, std::size_t fanOut) const;
  Child* find(const std::string& name);
  void remove(const std::string& name) { all_.erase(name); }
  bool forget(Nanos now);  // true: somebody
  void stoodStill(Nanos time);
  std::map<std::string, Child>& all() { return all_; }
  const std::map<std::string, Child>& all() const { return all_; }

  static constexpr Nanos kRenew = 2'000'000'000;  // of a subscription
  static constexpr Nanos kForgotten = 7 * kRenew / 2;

 private:
  static std::size_t soft(const Tree& tree, std::size_t fanOut);
  static std::size_t hard(const Tree& tree, std::size_t fanOut);

  std::map<std::string, Child> all_;
};

// Of this member at `own`, its children and whoever else reports to it.
InForce sum(const Position& own, const Children& children, const std::map<std::string, Counts>& others);

}  // namespace topazweir::dissemination
