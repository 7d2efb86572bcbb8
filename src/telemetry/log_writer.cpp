#include "telemetry/log_writer.hpp"

#include <fmt/chrono.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <vector>

#include "telemetry/json_string.hpp"

namespace topazweir::telemetry {

namespace {

struct EventLevel {
  std::string_view event;
  Level level;
};

// Levels of log events. An event that is not listed here has level info.
constexpr std::array<EventLevel, 22> kLevels = {{
    {"attempt.not_sent", Level::error},
    {"request.overdue", Level::error},
    {"config.reread_failed", Level::error},
    {"operator.reread_failed", Level::error},
    {"features.reread_failed", Level::error},
    {"discovery.lost", Level::warning},
    {"config.needs_restart", Level::warning},
    {"operator.needs_restart", Level::warning},
    {"node.connection_limit", Level::warning},
    {"node.fault", Level::warning},
    {"http.connection_limit", Level::warning},
    {"http.accept_failed", Level::warning},
    {"http.bad_request", Level::warning},
    {"feature.attempt_failed", Level::warning},
    {"grpc.attempt_failed", Level::warning},
    {"grpc.call_failed", Level::warning},
    {"grpc.backend_gone", Level::warning},
    {"grpc.flood", Level::warning},
    {"grpc.connection_limit", Level::warning},
    {"grpc.accept_failed", Level::warning},
    {"grpc.call", Level::debug},
    {"node.connection_ended", Level::warning},
}};

// Names of the levels, in the order of Level.
constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

// Formats Unix time as RFC 3339 in UTC, with milliseconds.
std::string formatTime(std::int64_t unixNanos) {
  const auto seconds = std::chrono::sys_seconds(std::chrono::seconds(unixNanos / 1'000'000'000));
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", seconds, unixNanos / 1'000'000 % 1000);
}

// Keys consist of lower-case letters, digits and underscores.
bool isValidKey(std::string_view key) {
  return !key.empty() && std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
  });
}

// Splits "text key=value ..." into the free text and the key-value pairs. A quoted value may contain blanks;
// the value of "why=" is the whole rest of the line.
void splitPairs(std::string_view words, std::string& text,
                std::vector<std::pair<std::string, std::string>>& pairs) {
  while (!words.empty()) {
    auto end = std::min(words.find(' '), words.size());
    const auto equals = words.substr(0, end).find('=');
    if (equals != std::string_view::npos && isValidKey(words.substr(0, equals))) {
      const auto key = words.substr(0, equals);
      auto value = words.substr(equals + 1, end - equals - 1);
      if (key == "why") {
        end = words.size();
        value = words.substr(equals + 1);
      }
      if (!value.empty() && value.front() == '"' && key != "why") {
        const auto close = std::min(words.find('"', equals + 2), words.size());
        value = words.substr(equals + 2, close - equals - 2);
        end = std::min(close + 1, words.size());
      }
      pairs.emplace_back(key, value);
    } else if (end > 0) {
      text.append(text.empty() ? "" : " ").append(words.substr(0, end));
    }
    words.remove_prefix(std::min(end + 1, words.size()));
  }
}

}  // namespace

Level levelOf(std::string_view event) {
  const auto at =
      std::find_if(kLevels.begin(), kLevels.end(), [&](const EventLevel& r) { return r.event == event; });
  return at == kLevels.end() ? Level::info : at->level;
}

std::string format(const LogOptions& options, std::string_view event, std::string_view words,
                   std::int64_t now) {
  const auto level = kLevelNames[static_cast<std::size_t>(levelOf(event))];
  if (options.format == Format::text) {
    std::string out = options.time ? fmt::format("{} {} ", formatTime(now), level) : "";
    out += event;
    if (!words.empty()) out.append(" ").append(words);
    return out;
  }
  std::string text;
  std::vector<std::pair<std::string, std::string>> pairs;
  splitPairs(words, text, pairs);
  auto out = fmt::format(R"({{"ts":"{}","level":"{}","event":{})", formatTime(now), level, quoteJson(event));
  if (!text.empty()) out += R"(,"text":)" + quoteJson(text);
  for (const auto& [key, value] : pairs) out += "," + quoteJson(key) + ":" + quoteJson(value);
  return out + "}";
}

LogWriter::LogWriter(LogOptions options)
    : options_(options),
      logger_(
          std::make_shared<spdlog::logger>("topazweir", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_pattern("%v");
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::trace);
}

void LogWriter::write(std::string_view event, std::string_view words) {
  if (levelOf(event) < options_.level) return;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  logger_->info("{}", format(options_, event, words,
                             std::chrono::duration_cast<std::chrono::nanoseconds>(now).count()));
}

}  // namespace topazweir::telemetry
