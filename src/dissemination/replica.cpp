// Applying changes, the log tail and the snapshots of a replica.
#include "dissemination/replica.hpp"

#include <xxhash.h>

#include <charconv>

namespace topazweir::dissemination {

namespace {

constexpr Nanos kSec = 1'000'000'000;
// The older snapshot is kept for so long after the last request, for members that are still downloading it.
constexpr Nanos kOldSnapshotRetentionNs = 30 * kSec;
constexpr std::size_t kChangeOverheadBytes = 64;  // memory of a tail entry besides its command

std::uint64_t hashOf(const std::string& key, const agreement::Register::Held& held) {
  const auto first = XXH3_64bits_withSeed(key.data(), key.size(), held.fence);
  return XXH3_64bits_withSeed(held.value.data(), held.value.size(), first);
}

std::uint64_t generationOf(const agreement::Register& held) {
  const auto* at = held.find(kGenerationKey);
  std::uint64_t out = 0;
  if (!at) return 0;
  const char* end = at->value.data() + at->value.size();
  const auto [stop, error] = std::from_chars(at->value.data(), end, out);
  return error == std::errc() && stop == end ? out : 0;
}

std::uint64_t digestOf(const agreement::Register& held) {
  std::uint64_t sum = 0;
  for (const auto& [key, h] : held.all()) sum += hashOf(key, h);
  return sum;
}

}  // namespace

Position positionOf(const agreement::Register& held) { return {generationOf(held), held.commands()}; }

std::uint64_t Replica::hashOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

void Replica::updatePosition() {
  position_ = positionOf(held_);
  const std::uint64_t words[] = {position_.generation, position_.number, digest_};
  mark_ = static_cast<std::uint32_t>(XXH3_64bits(words, sizeof words));
}

bool Replica::apply(const std::vector<agreement::Command>& commands, std::optional<std::uint64_t> digest) {
  std::vector<std::optional<agreement::Register::Held>> before;
  std::vector<Change> changes;
  std::optional<Snapshot> newSnapshot;
  const std::uint64_t digestBefore = digest_;
  for (const auto& command : commands) {
    const auto* was = held_.find(command.key);
    before.push_back(was ? std::optional(*was) : std::nullopt);
    if (held_.apply(command).done) {
      if (before.back()) digest_ -= dissemination::hashOf(command.key, *before.back());
      if (const auto* is = held_.find(command.key)) digest_ += dissemination::hashOf(command.key, *is);
    }
    changes.push_back({agreement::serializeCommand(command), digest_, 0});
    if (held_.commands() % limits_.snapshotEvery == 0) {
      updatePosition();
      newSnapshot = makeSnapshot();
    }
  }
  if (digest && digest_ != *digest) {
    for (std::size_t i = commands.size(); i-- > 0;) held_.revert(commands[i].key, std::move(before[i]));
    digest_ = digestBefore;
    updatePosition();
    return false;
  }
  for (auto& change : changes) {
    change.bytesBefore = bytes_;
    bytes_ += change.command.size() + kChangeOverheadBytes;
    tail_.push_back(std::move(change));
  }
  updatePosition();
  trim();
  if (newSnapshot) keep(std::move(*newSnapshot));
  return true;
}

void Replica::replace(agreement::Register whole) {
  held_ = std::move(whole);
  digest_ = digestOf(held_);
  updatePosition();
  tail_.clear();
  snapshots_.clear();
  base_ = position_.number;
  baseDigest_ = digest_;
}

bool Replica::restore(std::string bytes, const Position& at, std::uint64_t hash) {
  auto whole = agreement::Register::read(bytes);
  if (!whole || whole->commands() != at.number || generationOf(*whole) != at.generation) return false;
  replace(std::move(*whole));
  keep({position_, digest_, hash, std::move(bytes), 0});
  return true;
}

void Replica::trim() {
  while (!tail_.empty() &&
         (tail_.size() > limits_.tailChanges || bytes_ - tail_.front().bytesBefore > limits_.tailBytes)) {
    baseDigest_ = tail_.front().digest;
    ++base_;
    tail_.pop_front();
  }
}

bool Replica::onTail(std::uint64_t number, std::uint64_t digest) const {
  return number >= base_ && number <= position_.number && digestAt(number) == digest;
}

std::uint64_t Replica::digestAt(std::uint64_t number) const {
  return number == base_ ? baseDigest_ : tail_[number - base_ - 1].digest;
}

std::size_t Replica::tailBytesFrom(std::uint64_t number) const {
  return number >= position_.number || number < base_ ? 0 : bytes_ - tail_[number - base_].bytesBefore;
}

Replica::Snapshot Replica::makeSnapshot() const {
  Snapshot out{position_, digest_, 0, held_.write(), 0};
  out.hash = hashOf(out.bytes);
  return out;
}

void Replica::keep(Snapshot snapshot) {
  if (!snapshots_.empty() && snapshots_.back().at == snapshot.at && snapshots_.back().hash == snapshot.hash)
    return;
  snapshots_.push_back(std::move(snapshot));
  if (snapshots_.size() > 2) snapshots_.pop_front();
  if (snapshots_.size() == 2 && snapshots_.front().requestedAt == 0) snapshots_.pop_front();
}

const Replica::Snapshot* Replica::snapshotBeyond(const Position& from, Nanos now) {
  if (!snapshots_.empty() && snapshots_.back().at > from && snapshots_.back().at.number >= base_) {
    snapshots_.back().requestedAt = now;
    return &snapshots_.back();
  }
  if (snapshotMadeAt_ != 0 && now - snapshotMadeAt_ < kSec) return nullptr;
  snapshotMadeAt_ = now;
  keep(makeSnapshot());
  snapshots_.back().requestedAt = now;
  return &snapshots_.back();
}

const Replica::Snapshot* Replica::findSnapshot(std::uint64_t number, std::uint64_t hash, Nanos now) {
  if (snapshots_.size() == 2 && now - snapshots_.front().requestedAt > kOldSnapshotRetentionNs)
    snapshots_.pop_front();
  for (auto& snapshot : snapshots_)
    if (snapshot.at.number == number && snapshot.hash == hash) {
      snapshot.requestedAt = now;
      return &snapshot;
    }
  return nullptr;
}

}  // namespace topazweir::dissemination
