#include "broker/log.hpp"

namespace topazweir::broker {

void Log::line(std::string_view event, std::string_view text) {
  const Nanos now = now_();
  auto found = windows_.find(event);
  if (found == windows_.end()) found = windows_.try_emplace(std::string(event), Window{now, 0, 0}).first;
  Window& window = found->second;
  std::string out;
  if (now - window.since >= 1'000'000'000) {
    if (window.suppressed > 0)
      out += std::string(event) + " suppressed=" + std::to_string(window.suppressed) + "\n";
    window = Window{now, 0, 0};
  }
  if (window.written >= kMostPerSecond) {
    ++window.suppressed;
    return;
  }
  ++window.written;
  out += event;
  if (!text.empty()) out += ' ';
  for (const char c : text) out += c == '\n' || c == '\r' ? ' ' : c;
  out += '\n';
  sink_(out);
}

}  // namespace topazweir::broker
