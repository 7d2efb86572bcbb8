// Formats log lines and writes them to standard error through spdlog. Lines have already passed the rate
// limit of `broker::Log`.
//
// Format `text`: "EVENT words key=value ...", with the events of docs/oncall.md, preceded by the time and the
// level if LogOptions::time is set. Format `json`: one object per line with "ts" (RFC 3339, UTC), "level" and
// "event", each key=value pair as a member of its own, and the remaining words under "text".
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
  Level level = Level::info;  // events below this level are not written
  bool time = false;          // format text: time and level precede each line
  bool operator==(const LogOptions&) const = default;
};

// The level of a log event.
Level levelOf(std::string_view event);
// Formats a log line, without the line break.
std::string format(const LogOptions& options, std::string_view event, std::string_view words,
                   std::int64_t unixNanos);

class LogWriter {
 public:
  explicit LogWriter(LogOptions options);
  // Replaces the options for the following lines.
  void use(const LogOptions& options) { options_ = options; }
  void write(std::string_view event, std::string_view words);

 private:
  LogOptions options_;
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace topazweir::telemetry
