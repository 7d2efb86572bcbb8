#include "fleet/council.hpp"

#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <iterator>

#include "dissemination/disseminator.hpp"

namespace topazweir::fleet {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kElectionPeriods = 2;  // without word of a leader; drawn up to twice that
constexpr int kHeartbeatsAPeriod = 2;
constexpr std::size_t kMark = 8;  // bytes before each message

std::vector<std::string> sorted(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  return names;
}

std::string markOf(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& name : names) all += name + '\n';
  const std::uint64_t sum = XXH3_64bits(all.data(), all.size());
  std::string out;
  for (std::size_t i = 0; i < kMark; ++i) out += static_cast<char>(sum >> (8 * i) & 255);
  return out;
}

std::string fileIn(const std::string& folder, const std::string& fleet, const std::string& name) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);  // what fails is told by the store
  return (std::filesystem::path(folder) / ("voter." + fleet + "." + name)).string();
}

}  // namespace

Council::Council(const config::Membership& config, std::uint64_t seed, Nanos now)
    : self_(config.name),
      names_(sorted(config.voterNames())),
      mark_(markOf(names_)),
      store_(fileIn(config.state, config.fleet, config.name)) {
  agreement::VoterOptions options;
  for (std::size_t i = 0; i < names_.size(); ++i) {
    options.voters.push_back(i + 1);
    if (names_[i] == self_) options.self = i + 1;
  }
  options.electionTime = kElectionPeriods * config.period;
  options.heartbeat = config.period / kHeartbeatsAPeriod;
  options.seed = seed;
  voter_ = std::make_unique<agreement::Voter>(options, store_, now);
}

std::string Council::leader() const {
  const auto id = voter_->leader();
  return id > 0 && id <= names_.size() ? names_[id - 1] : std::string();
}

std::vector<Council::Out> Council::carry(agreement::Voter::Step step) {
  for (const auto& outcome : step.outcomes) claiming_ = claiming_ && outcome.token != claims_;
  std::move(step.applied.begin(), step.applied.end(), std::back_inserter(applied_));
  std::vector<Out> out;
  for (auto& message : step.out) out.push_back({names_[message.to - 1], mark_ + message.bytes});
  return out;
}

// The generation first, so that what follows has its place in it. A leader that finds another one's name in
// the role takes it over, and says so under a higher fence.
std::optional<agreement::Command> Council::due(Nanos now) const {
  if (!held().find(dissemination::kGenerationKey))
    return agreement::Command{dissemination::kGenerationKey, std::to_string(now / kMs), 0};
  const auto* role = held().find(kCoordinator);
  if (role && role->value == self_) return std::nullopt;
  return agreement::Command{kCoordinator, self_, role ? role->fence : 0};
}

void Council::claim(Nanos now, std::vector<Out>& out) {
  if (!voter_->leads()) claiming_ = false;
  if (claiming_ || !voter_->leads()) return;
  const auto command = due(now);
  if (!command) return;
  auto step = voter_->propose(*command, ++claims_, now);
  if (!step) return;
  claiming_ = true;
  for (auto& message : carry(std::move(*step))) out.push_back(std::move(message));
}

bool Council::propose(const agreement::Command& command, Nanos now, std::vector<Out>& out) {
  constexpr std::uint64_t kNoClaim = 0;
  auto step = voter_->leads() ? voter_->propose(command, kNoClaim, now) : std::nullopt;
  if (!step) return false;
  out = carry(std::move(*step));
  return true;
}

std::vector<Council::Out> Council::tick(Nanos now) {
  auto out = carry(voter_->tick(now));
  claim(now, out);
  return out;
}

bool Council::received(const std::string& from, std::string_view bytes, Nanos now, std::vector<Out>& out) {
  const auto at = std::find(names_.begin(), names_.end(), from);
  if (at == names_.end() || !bytes.starts_with(mark_)) return false;
  const auto id = static_cast<agreement::VoterId>(at - names_.begin()) + 1;
  out = carry(voter_->received(id, bytes.substr(kMark), now));
  claim(now, out);
  return true;
}

}  // namespace topazweir::fleet
