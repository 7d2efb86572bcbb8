#include "agreement/register.hpp"

#include <tuple>
#include <vector>

#include "agreement/packing.hpp"

namespace topazweir::agreement {

namespace {

using CommandFields = std::tuple<std::string, bool, std::string, std::uint64_t>;
using HeldFields = std::tuple<std::string, std::string, std::uint64_t>;
using RegisterFields = std::tuple<std::uint64_t, std::vector<HeldFields>>;

}  // namespace

Result Register::apply(const Command& command) {
  ++commands_;
  const auto at = all_.find(command.key);
  const std::uint64_t fence = at == all_.end() ? 0 : at->second.fence;
  const bool large = command.key.empty() || command.key.size() > kMostKey ||
                     (command.value && command.value->size() > kMostValue);
  const bool full = at == all_.end() && command.value && all_.size() >= kMost;
  if (command.expected != fence || large || full) return {false, fence};
  if (!command.value) {
    if (at != all_.end()) all_.erase(at);
    return {true, 0};
  }
  all_[command.key] = {*command.value, commands_};
  return {true, commands_};
}

void Register::takeBack(const std::string& key, std::optional<Held> before) {
  --commands_;
  if (before)
    all_[key] = std::move(*before);
  else
    all_.erase(key);
}

const Register::Held* Register::find(std::string_view key) const {
  const auto at = all_.find(key);
  return at == all_.end() ? nullptr : &at->second;
}

std::string Register::write() const {
  std::vector<HeldFields> held;
  for (const auto& [key, h] : all_) held.emplace_back(key, h.value, h.fence);
  return pack(RegisterFields(commands_, std::move(held)));
}

std::optional<Register> Register::read(std::string_view bytes) {
  const auto fields = unpack<RegisterFields>(bytes, kMostValue);
  if (!fields) return std::nullopt;
  Register out;
  out.commands_ = std::get<0>(*fields);
  for (const auto& [key, value, fence] : std::get<1>(*fields)) out.all_[key] = {value, fence};
  return out;
}

std::string writeCommand(const Command& c) {
  return pack(CommandFields(c.key, c.value.has_value(), c.value.value_or(""), c.expected));
}

std::optional<Command> readCommand(std::string_view bytes) {
  const auto fields = unpack<CommandFields>(bytes, Register::kMostValue + 1);
  if (!fields) return std::nullopt;
  const auto& [key, set, value, expected] = *fields;
  return Command{key, set ? std::optional(value) : std::nullopt, expected};
}

}  // namespace topazweir::agreement
