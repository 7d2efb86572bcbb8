#include "broker/history.hpp"

#include <algorithm>
#include <array>

#include "broker/counters.hpp"

namespace topazweir::broker {

std::string history(const OpenRequest& open, const Settings& settings, Nanos now) {
  std::array<int, kOutcomeNames.size()> outcomes{};
  std::size_t attempts = 0;
  for (const auto& part : open.parts) {
    attempts += part.attempts.size();
    for (const auto& attempt : part.attempts)
      if (attempt.outcome) ++outcomes[static_cast<std::size_t>(*attempt.outcome)];
  }
  const auto in =
      std::count_if(open.parts.begin(), open.parts.end(), [](const auto& p) { return p.delivered; });
  std::string out = "id=" + open.request.id +
                    " class=" + settings.classes[static_cast<std::size_t>(open.request.queryClass)].name +
                    " after_ms=" + std::to_string((now - open.takenAt) / 1'000'000) +
                    " in=" + std::to_string(in) + '/' + std::to_string(open.parts.size()) +
                    " attempts=" + std::to_string(attempts);
  for (std::size_t i = 0; i < outcomes.size(); ++i)
    if (outcomes[i] > 0) out += std::string(" ") + kOutcomeNames[i] + '=' + std::to_string(outcomes[i]);
  return out;
}

}  // namespace topazweir::broker
