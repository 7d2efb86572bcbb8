#include "agreement/register.hpp"

#include <tuple>
#include <vector>

#include "agreement/packing.hpp"

namespace topazweir::agreement {

namespace {

// Key, whether there is a value, value, expected fence.
using CommandFields = std::tuple<std::string, bool, std::string, std::uint64_t>;
// Key, value, fence.
using HeldFields = std::tuple<std::string, std::string, std::uint64_t>;
// Number of commands, keys.
using RegisterFields = std::tuple<std::uint64_t, std::vector<HeldFields>>;

}  // namespace

Result Register::apply(const Command& command) {
  ++commands_;
  const auto at = all_.find(command.key);
  const std::uint64_t fence = at == all_.end() ? 0 : at->second.fence;
  const bool invalid = command.key.empty() || command.key.size() > kMaxKeyBytes ||
                       (command.value && command.value->size() > kMaxValueBytes);
  const bool full = at == all_.end() && command.value && all_.size() >= kMaxKeys;
  if (command.expected != fence || invalid || full) return {false, fence};
  if (!command.value) {
    if (at != all_.end()) all_.erase(at);
    return {true, 0};
  }
  all_[command.key] = {*command.value, commands_};
  return {true, commands_};
}

void Register::revert(const std::string& key, std::optional<Held> before) {
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
  for (const auto& [key, entry] : all_) held.emplace_back(key, entry.value, entry.fence);
  return pack(RegisterFields(commands_, std::move(held)));
}

std::optional<Register> Register::read(std::string_view bytes) {
  const auto fields = unpack<RegisterFields>(bytes, kMaxValueBytes);
  if (!fields) return std::nullopt;
  Register out;
  out.commands_ = std::get<0>(*fields);
  for (const auto& [key, value, fence] : std::get<1>(*fields)) out.all_[key] = {value, fence};
  return out;
}

std::string serializeCommand(const Command& command) {
  return pack(
      CommandFields(command.key, command.value.has_value(), command.value.value_or(""), command.expected));
}

std::optional<Command> deserializeCommand(std::string_view bytes) {
  const auto fields = unpack<CommandFields>(bytes, Register::kMaxValueBytes + 1);
  if (!fields) return std::nullopt;
  const auto& [key, hasValue, value, expected] = *fields;
  return Command{key, hasValue ? std::optional(value) : std::nullopt, expected};
}

}  // namespace topazweir::agreement
