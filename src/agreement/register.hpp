// The fleet's decisions as all voters hold them: who has which role, which permits are out. Pure: commands in
// the order that the voters agreed on, results out; the same commands give the same register everywhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace topazweir::agreement {

// Sets the key, or takes it away where there is no value, if its fence is still the expected one: two that
// both believe that they may change it can't both do so.
struct Command {
  std::string key;
  std::optional<std::string> value;
  std::uint64_t expected = 0;  // fence of the key; 0: it is not there
};

struct Result {
  bool done = false;
  std::uint64_t fence = 0;  // of the key now; 0: it is not there
};

class Register {
 public:
  struct Held {
    std::string value;
    std::uint64_t fence = 0;  // number of the command that set it: a later holder's is always higher
    bool operator==(const Held&) const = default;
  };
  // Texts over kMostKey or kMostValue, and keys over kMost, are not taken.
  Result apply(const Command& command);
  // Takes back the latest command, which was of this key: `before` is what stood there. A batch that turns
  // out to be broken is undone by this, its latest command first.
  void takeBack(const std::string& key, std::optional<Held> before);

  const Held* find(std::string_view key) const;
  const std::map<std::string, Held, std::less<>>& all() const { return all_; }
  std::uint64_t commands() const { return commands_; }  // ever applied
  bool operator==(const Register&) const = default;

  std::string write() const;
  static std::optional<Register> read(std::string_view bytes);  // none: broken

  static constexpr std::size_t kMostKey = 128, kMostValue = 4096, kMost = 16'384;

 private:
  std::map<std::string, Held, std::less<>> all_;
  std::uint64_t commands_ = 0;
};

std::string writeCommand(const Command& command);
std::optional<Command> readCommand(std::string_view bytes);

}  // namespace topazweir::agreement
