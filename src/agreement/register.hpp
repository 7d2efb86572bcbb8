// The replicated state machine of the fleet: a key-value register of its decisions, such as who has which
// role and which permits are granted. No I/O: voters apply the commands of the Raft log in order, and the
// same commands give the same register everywhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace topazweir::agreement {

// Compare-and-set: sets the key, or erases it if there is no value, provided that the key's fence is the
// expected one. Of two members that both believe they may change a key, only one can succeed.
struct Command {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t expected = 0;  // fence of the key; 0: the key does not exist
};

struct Result {
  bool done = false;        // whether the command took effect
  std::uint64_t fence = 0;  // current fence of the key; 0: the key does not exist
};

class Register {
 public:
  struct Held {
    std::string value;
    // Fencing token: the number of the command that set the value. A later holder's is always higher.
    std::uint64_t fence = 0;
    bool operator==(const Held&) const = default;
  };
  // Applies a command. It has no effect if the fence does not match, the key is empty or longer than
  // kMaxKeyBytes, the value is longer than kMaxValueBytes, or it would add a key beyond kMaxKeys.
  Result apply(const Command& command);
  // Reverts the latest command, which was for this key; `before` is the key's previous value. Used to roll
  // back a batch that turns out to be invalid, from its last command to its first.
  void revert(const std::string& key, std::optional<Held> before);

  const Held* find(std::string_view key) const;  // null: the key does not exist
  const std::map<std::string, Held, std::less<>>& all() const { return all_; }
  std::uint64_t commands() const { return commands_; }  // number ever applied, those without effect included
  bool operator==(const Register&) const = default;

  std::string write() const;
  static std::optional<Register> read(std::string_view bytes);  // none: malformed

  static constexpr std::size_t kMaxKeyBytes = 128;
  static constexpr std::size_t kMaxValueBytes = 4096;
  static constexpr std::size_t kMaxKeys = 16'384;

 private:
  std::map<std::string, Held, std::less<>> all_;
  std::uint64_t commands_ = 0;
};

std::string serializeCommand(const Command& command);
std::optional<Command> deserializeCommand(std::string_view bytes);  // none: malformed

}  // namespace topazweir::agreement
