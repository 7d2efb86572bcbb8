#include "broker/log.hpp"

namespace topazweir::broker {

namespace {
constexpr Nanos kWindowNs = 1'000'000'000;  // window of Log::kMaxLinesPerSecond
}

void Log::line(std::string_view event, std::string_view text) {
  const Nanos now = now_();
  auto found = windows_.find(event);
  if (found == windows_.end()) found = windows_.try_emplace(std::string(event), Window{now, 0, 0}).first;
  Window& window = found->second;
  if (now - window.since >= kWindowNs) {
    if (window.suppressed > 0) sink_(event, "suppressed=" + std::to_string(window.suppressed));
    window = Window{now, 0, 0};
  }
  if (window.written >= kMaxLinesPerSecond) {
    ++window.suppressed;
    return;
  }
  ++window.written;
  // Text from outside must not start a log line of its own.
  std::string out(text);
  for (char& c : out)
    if (c == '\n' || c == '\r') c = ' ';
  sink_(event, out);
}

}  // namespace topazweir::broker
