// Where the program's log goes and in what form: spdlog behind `broker::Log`'s rate limit.
//
// text: "EVENT words key=value ..." as docs/oncall.md lists them, with the level and the time before it where
// asked for. json: one object a line: "ts" (RFC 3339, UTC), "level", "event", each key=value as a member of
// its own, the other words under "text".
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace topazweir::telemetry {

enum class Format { text, json };
enum class Level { debug, info, warning, error };

struct LogOptions {
  Format format = Format::text;
  Level level = Level::info;  // what is below is not written
  bool time = false;          // text: with the time before each line
  bool operator==(const LogOptions&) const = default;
};

// How much an event of docs/oncall.md matters.
Level levelOf(std::string_view event);
// One line of either form, without its end.
std::string format(const LogOptions& options, std::string_view event, std::string_view words,
                   std::int64_t unixNanos);

class LogWriter {
 public:
  explicit LogWriter(LogOptions options);  // to standard error
  void use(const LogOptions& options) { options_ = options; }
  void write(std::string_view event, std::string_view words);

 private:
  LogOptions options_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace topazweir::telemetry
