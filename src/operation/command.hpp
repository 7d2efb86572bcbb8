// Parses operator commands, one line each, and formats the replies. Pure functions.
#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace topazweir::operation {

// The operator commands.
enum class CommandKind { ready, disableServer, enableServer, drain, resume };

// A parsed command.
struct Call {
  CommandKind kind = CommandKind::ready;
  std::string instance;  // id of a leaf, for disableServer and enableServer
};

// Longest command line in bytes, without its line end; the line server enforces it too.
inline constexpr std::size_t kMaxLineBytes = 256;
// Longest instance id in characters.
inline constexpr std::size_t kMaxInstanceChars = 128;

// Parses a line; returns an error message if it is not a command. Words are separated by blanks; a carriage
// return before the line's end is ignored.
std::variant<Call, std::string> parseCommand(std::string_view line);

// The reply to a command.
struct Reply {
  bool yes = false;  // acknowledged
  std::string why;
  // The reply line, "ACK ..." or "NAK ...".
  std::string text() const { return (yes ? "ACK " : "NAK ") + why + "\n"; }
};

}  // namespace topazweir::operation
