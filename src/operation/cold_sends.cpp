#include "operation/cold_sends.hpp"

namespace topazweir::operation {

void ColdSends::note(const std::string& instance, Nanos startedAt, Nanos now) {
  if (startedAt <= 0 || now - startedAt >= coldFor_) return;
  auto& sends = own_[instance];
  sends.push_back(now);
  if (sends.size() > kMost) sends.pop_front();
}

const ColdSends::ByInstance& ColdSends::recent(Nanos now) {
  for (auto& [instance, sends] : own_)
    while (!sends.empty() && now - sends.front() >= coldFor_) sends.pop_front();
  std::erase_if(own_, [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(lastFromPeers_, [&](const auto& entry) { return now - entry.second >= coldFor_; });
  return own_;
}

std::vector<ColdSends::Send> ColdSends::fresh(const ByInstance& theirs) {
  std::vector<Send> out;
  for (const auto& [instance, sends] : theirs) {
    Nanos& last = lastFromPeers_.try_emplace(instance, 0).first->second;
    for (const Nanos at : sends)
      if (at > last) {
        out.push_back({instance, at});
        last = at;
      }
  }
  return out;
}

}  // namespace topazweir::operation
