#include "agreement/store.hpp"

#include <algorithm>

namespace topazweir::agreement {

bool MemoryStore::put(const Snapshot& snapshot, std::uint64_t trailing) {
  state_.snapshot = snapshot;
  const std::uint64_t firstKept = snapshot.index >= trailing ? snapshot.index - trailing + 1 : 1;
  if (trailing == 0 || snapshot.index > state_.lastIndex()) {
    state_.entries.clear();
    state_.firstIndex = snapshot.index + 1;
  } else if (firstKept > state_.firstIndex) {
    state_.entries.erase(state_.entries.begin(),
                         state_.entries.begin() + static_cast<std::ptrdiff_t>(firstKept - state_.firstIndex));
    state_.firstIndex = firstKept;
  }
  return true;
}

}  // namespace topazweir::agreement
