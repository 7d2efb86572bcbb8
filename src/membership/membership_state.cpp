#include "membership/membership_state.hpp"

#include <algorithm>

namespace topazweir::membership {

MembershipState standing(const Detector& detector, const std::vector<std::string>& voters, bool led) {
  const auto isAlive = [&](const std::string& name) {
    const auto at = detector.view().find(name);
    return at != detector.view().end() && at->second.record.state == State::alive;
  };
  const auto reachable = std::count_if(voters.begin(), voters.end(), isAlive);
  if (2 * static_cast<std::size_t>(reachable) > voters.size() && led) return MembershipState::majority;
  const auto& view = detector.view();
  const auto alive = std::count_if(
      view.begin(), view.end(), [](const auto& entry) { return entry.second.record.state == State::alive; });
  return alive > 1 ? MembershipState::minority : MembershipState::isolated;
}

}  // namespace topazweir::membership
