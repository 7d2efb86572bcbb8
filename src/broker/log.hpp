// Event log: one line per event, "event key=value ...", rate-limited per event name so that an error storm
// cannot flood the log.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

class Log {
 public:
  // Receives each event's name and its text, which is a single line.
  using Sink = std::function<void(std::string_view event, std::string_view text)>;
  using Now = std::function<Nanos()>;
  Log(Sink sink, Now now) : sink_(std::move(sink)), now_(std::move(now)) {}

  // Writes "event text". Beyond kMaxLinesPerSecond lines of one event within a second, lines are counted
  // instead, and the count is written ("suppressed=N") with the event's first line after that second.
  void line(std::string_view event, std::string_view text);

  static constexpr int kMaxLinesPerSecond = 5;

 private:
  struct Window {
    Nanos since = 0;
    int written = 0;
    long suppressed = 0;
  };
  Sink sink_;
  Now now_;
  std::map<std::string, Window, std::less<>> windows_;  // by event name
};

}  // namespace topazweir::broker
