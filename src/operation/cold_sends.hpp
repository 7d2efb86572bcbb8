// Recent sends to leafs in slow start. The processes of one aggregator exchange them during an upgrade,
// because together they stay under the same slow-start limit. Does no input or output.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::operation {

// Times are Unix time in nanoseconds.
class ColdSends {
 public:
  using ByInstance = std::map<std::string, std::deque<Nanos>>;  // send times by instance id, oldest first

  // `warmUpTime`: how long a leaf is cold after its start.
  explicit ColdSends(Nanos warmUpTime) : coldFor_(warmUpTime) {}

  // Records a send to a leaf if the leaf is cold; `startedAt` 0: started long ago.
  void note(const std::string& instance, Nanos startedAt, Nanos now);
  // This process's sends within the last `warmUpTime`.
  const ByInstance& recent(Nanos now);

  // One send by another process.
  struct Send {
    std::string instance;
    Nanos at = 0;
  };
  // Returns those of another process's sends that earlier calls have not returned.
  std::vector<Send> fresh(const ByInstance& theirs);

  // Sends kept per leaf, the latest ones; far more than the slow-start limit admits while a leaf is cold.
  static constexpr std::size_t kMost = 256;

 private:
  Nanos coldFor_;
  ByInstance own_;
  std::map<std::string, Nanos> lastFromPeers_;  // by instance: the latest send received from other processes
};

}  // namespace topazweir::operation
