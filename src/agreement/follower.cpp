#include "agreement/follower.hpp"

#include <tuple>

#include "agreement/packing.hpp"

namespace topazweir::agreement {

namespace {
// Whether the voter knows of a leader; the register, empty if it is not newer.
using Fields = std::tuple<bool, std::string>;
constexpr std::size_t kMaxStringBytes = 64 * 1024 * 1024;  // of the serialised register
}  // namespace

std::string encodeFollowerReply(const Register& held, bool led, std::uint64_t known) {
  return pack(Fields(led, held.commands() > known ? held.write() : std::string()));
}

std::optional<std::string> Follower::tick(Nanos now) {
  if (voters_.empty() || now < nextRequestAt_) return std::nullopt;
  nextRequestAt_ = now + interval_;
  return voters_[next_++ % voters_.size()];
}

bool Follower::take(std::string_view answer, Nanos now) {
  const auto fields = unpack<Fields>(answer, kMaxStringBytes);
  if (!fields) return false;
  const auto& [led, bytes] = *fields;
  if (!bytes.empty()) {
    auto read = Register::read(bytes);
    if (!read) return false;
    if (read->commands() > held_.commands()) held_ = std::move(*read);
  }
  if (led) lastLedAnswerAt_ = now;
  return true;
}

}  // namespace topazweir::agreement
