#include "operation/command.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace topazweir::operation {

namespace {

struct Command {
  std::string_view text;
  CommandKind kind;
  bool takesInstance;  // an instance id follows
};
constexpr std::array<Command, 5> kCommands{{{"ready", CommandKind::ready, false},
                                            {"disable-server", CommandKind::disableServer, true},
                                            {"enable-server", CommandKind::enableServer, true},
                                            {"drain", CommandKind::drain, false},
                                            {"resume", CommandKind::resume, false}}};

std::vector<std::string_view> splitWords(std::string_view line) {
  std::vector<std::string_view> out;
  for (std::size_t at = 0; (at = line.find_first_not_of(" \t\r", at)) != std::string_view::npos;) {
    const auto end = std::min(line.find_first_of(" \t\r", at), line.size());
    out.push_back(line.substr(at, end - at));
    at = end;
  }
  return out;
}

}  // namespace

std::variant<Call, std::string> parseCommand(std::string_view line) {
  const auto printable = [](char c) { return (c >= ' ' && c <= '~') || c == '\t' || c == '\r'; };
  if (!std::all_of(line.begin(), line.end(), printable)) return "the line holds unprintable characters";
  const auto arguments = splitWords(line);
  if (arguments.empty()) return "the line is empty";
  const auto known = std::find_if(kCommands.begin(), kCommands.end(),
                                  [&](const Command& w) { return w.text == arguments.front(); });
  if (known == kCommands.end())
    return "unknown call; known are ready, disable-server ID, enable-server ID, drain, resume";
  const std::string name(known->text);
  if (arguments.size() > (known->takesInstance ? 2U : 1U)) return name + ": too many words";
  if (!known->takesInstance) return Call{known->kind, {}};
  if (arguments.size() < 2) return name + ": the server's id is missing";
  if (arguments[1].size() > kMaxInstanceChars) return name + ": the server's id is too long";
  return Call{known->kind, std::string(arguments[1])};
}

}  // namespace topazweir::operation
