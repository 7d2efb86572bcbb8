#include "fleet/raft_group.hpp"

#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

#include "dissemination/disseminator.hpp"

namespace topazweir::fleet {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kElectionTimeoutPeriods = 2;  // the voter randomises it up to twice as much
constexpr int kHeartbeatsPerPeriod = 2;
constexpr std::size_t kGroupTagBytes = 8;  // in front of each message

std::vector<std::string> sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  return names;
}

// Checksum of the names, little-endian. Voters with another list of voters have another tag.
std::string groupTagOf(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& name : names) all += name + '\n';
  const std::uint64_t sum = XXH3_64bits(all.data(), all.size());
  std::string out;
  for (std::size_t i = 0; i < kGroupTagBytes; ++i) out += static_cast<char>(sum >> (8 * i) & 255);
  return out;
}

std::string stateFile(const std::string& folder, const std::string& fleet, const std::string& name) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);  // the store reports the failure
  return (std::filesystem::path(folder) / ("voter." + fleet + "." + name)).string();
}

}  // namespace

RaftGroup::RaftGroup(const config::MembershipConfig& config, std::uint64_t seed, Nanos now)
    : self_(config.name),
      names_(sorted(config.voterNames())),
      groupTag_(groupTagOf(names_)),
      store_(stateFile(config.state, config.fleet, config.name)) {
  agreement::VoterOptions options;
  for (std::size_t i = 0; i < names_.size(); ++i) {
    options.voters.push_back(i + 1);
    if (names_[i] == self_) options.self = i + 1;
  }
  options.electionTimeout = kElectionTimeoutPeriods * config.period;
  options.heartbeatInterval = config.period / kHeartbeatsPerPeriod;
  options.seed = seed;
  voter_ = std::make_unique<agreement::Voter>(options, store_, now);
}

std::string RaftGroup::leader() const {
  const auto id = voter_->leader();
  return id > 0 && id <= names_.size() ? names_[id - 1] : std::string();
}

std::vector<RaftGroup::Out> RaftGroup::collect(agreement::Voter::Step step) {
  for (const auto& outcome : step.outcomes)
    proposalPending_ = proposalPending_ && outcome.token != lastToken_;
  std::move(step.applied.begin(), step.applied.end(), std::back_inserter(applied_));
  std::vector<Out> out;
  for (auto& message : step.out) out.push_back({names_[message.to - 1], groupTag_ + message.bytes});
  return out;
}

// The command that this voter should propose as the leader: the generation first, since all later commands
// belong to it, then itself as coordinator, with a higher fence, if the role names another member.
std::optional<agreement::Command> RaftGroup::dueCommand(Nanos now) const {
  if (!held().find(dissemination::kGenerationKey))
    return agreement::Command{dissemination::kGenerationKey, std::to_string(now / kMs), 0};
  const auto* role = held().find(kCoordinatorKey);
  if (role && role->value == self_) return std::nullopt;
  return agreement::Command{kCoordinatorKey, self_, role ? role->fence : 0};
}

void RaftGroup::proposeDueCommand(Nanos now, std::vector<Out>& out) {
  if (!voter_->leads()) proposalPending_ = false;
  if (proposalPending_ || !voter_->leads()) return;
  const auto command = dueCommand(now);
  if (!command) return;
  auto step = voter_->propose(*command, ++lastToken_, now);
  if (!step) return;
  proposalPending_ = true;
  for (auto& message : collect(std::move(*step))) out.push_back(std::move(message));
}

bool RaftGroup::propose(const agreement::Command& command, Nanos now, std::vector<Out>& out) {
  constexpr std::uint64_t kUntrackedToken = 0;  // proposals by dueCommand() have tokens from 1
  auto step = voter_->leads() ? voter_->propose(command, kUntrackedToken, now) : std::nullopt;
  if (!step) return false;
  out = collect(std::move(*step));
  return true;
}

std::vector<RaftGroup::Out> RaftGroup::tick(Nanos now) {
  auto out = collect(voter_->tick(now));
  proposeDueCommand(now, out);
  return out;
}

bool RaftGroup::received(const std::string& from, std::string_view bytes, Nanos now, std::vector<Out>& out) {
  const auto at = std::find(names_.begin(), names_.end(), from);
  if (at == names_.end() || !bytes.starts_with(groupTag_)) return false;
  const auto id = static_cast<agreement::VoterId>(at - names_.begin()) + 1;
  out = collect(voter_->received(id, bytes.substr(kGroupTagBytes), now));
  proposeDueCommand(now, out);
  return true;
}

}  // namespace topazweir::fleet
