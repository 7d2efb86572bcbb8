// The leafs that operators have taken out of service. Processes that have received different commands
// converge once they have merged each other's state, in any order. Does no input or output.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::operation {

// The times of the latest commands for one leaf. Both only grow, so merging takes the larger of each.
struct Hold {
  Nanos outAt = 0;   // of disable-server, Unix time; 0: never
  Nanos backAt = 0;  // of enable-server, Unix time; 0: never
  bool out() const { return outAt > backAt; }
  bool operator==(const Hold&) const = default;
};

// The holds of all leafs, by instance id.
class Holds {
 public:
  using ByInstance = std::map<std::string, Hold, std::less<>>;

  // Records a command at `now`. It takes precedence over every earlier one, even if the clock has not
  // advanced. Returns false if the leaf cannot be taken out because the table is full.
  bool set(std::string_view instance, bool out, Nanos now);
  // Merges another process's state and returns the leafs whose state has changed by it.
  std::vector<std::string> merge(const ByInstance& theirs);
  // Removes leafs that have been back in service for longer than kRetentionNs: by then every process knows
  // it.
  void forget(Nanos now);

  bool known(std::string_view instance) const { return all_.find(instance) != all_.end(); }
  bool out(std::string_view instance) const;
  std::size_t countOut() const;
  // The start time to assume for a leaf whose announced start time is `told` (0: long ago). Operators restart
  // leafs while they are out, and server lists arrive seconds late. So a leaf that is back in service and has
  // no announced start since it was taken out counts as started, and cold, from the time it was put back.
  Nanos startedAt(std::string_view instance, Nanos told) const;
  const ByInstance& all() const { return all_; }

  static constexpr std::size_t kMost = 4096;              // leafs in the table, out or back in service
  static constexpr Nanos kRetentionNs = 600'000'000'000;  // nanoseconds after the leaf was put back

 private:
  ByInstance all_;
};

}  // namespace topazweir::operation
