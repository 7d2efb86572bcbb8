// One line a happening, "event key=value ...", rate-limited by event so that a storm cannot fill the log.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::broker {

class Log {
 public:
  // Gets each event and what belongs to it, one line of words.
  using Sink = std::function<void(std::string_view event, std::string_view text)>;
  using Now = std::function<Nanos()>;
  Log(Sink sink, Now now) : sink_(std::move(sink)), now_(std::move(now)) {}

  // Writes "event text"; beyond kMostPerSecond of one event in a second lines are counted, not written.
  void line(std::string_view event, std::string_view text);

  static constexpr int kMostPerSecond = 5;

 private:
  struct Window {
    Nanos since = 0;
    int written = 0;
    long suppressed = 0;
  };
  Sink sink_;
  Now now_;
  std::map<std::string, Window, std::less<>> windows_;
};

}  // namespace topazweir::broker
