// Keeps the recent maximum of the member count with a monotonic queue.
#include "membership/limit_sharing.hpp"

#include <algorithm>

namespace topazweir::membership {

Share LimitSharing::now(const Detector& detector, Nanos now) {
  Share share{0, 0};
  for (const auto& [name, member] : detector.view()) {
    if (member.record.state == State::left && name != detector.self().name) continue;
    if (name == detector.self().name) share.number = share.count;
    ++share.count;
  }
  if (observations_.empty()) observations_.push_back({now, configuredCount_});
  while (!observations_.empty() && observations_.back().count <= share.count) observations_.pop_back();
  observations_.push_back({now, share.count});
  while (observations_.size() > 1 && now - observations_.front().lastAt >= settle_) observations_.pop_front();
  share.count = observations_.front().count;
  return share;
}

}  // namespace topazweir::membership
