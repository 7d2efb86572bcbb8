// Scheduling of piece requests over the sources of a snapshot.
#include "dissemination/fetch.hpp"

#include <algorithm>

namespace topazweir::dissemination {

Fetch::Fetch(const Offer& offer, std::size_t pieceBytes, const std::vector<std::string>& sources, Nanos now)
    : offer_(offer), pieceBytes_(pieceBytes), progressAt_(now) {
  const std::size_t count = (offer.size + pieceBytes - 1) / pieceBytes;
  pieces_.resize(count);
  requestedAt_.resize(count, 0);
  addSources(sources);
}

void Fetch::addSources(const std::vector<std::string>& sources) {
  for (const auto& name : sources) {
    if (sources_.size() >= kMaxSources) break;
    if (!find(name)) sources_.push_back({name});
  }
}

Fetch::Source* Fetch::find(const std::string& name) {
  const auto at =
      std::find_if(sources_.begin(), sources_.end(), [&](const Source& s) { return s.name == name; });
  return at == sources_.end() ? nullptr : &*at;
}

void Fetch::addFirstSource(const std::string& name) {
  if (find(name)) return;
  if (sources_.size() >= kMaxSources) sources_.pop_back();
  sources_.insert(sources_.begin(), {name});
}

void Fetch::backOff(Source& source, Nanos now) {
  source.outstanding = 0;
  source.notBefore = now + source.backoff;
  source.backoff = std::min(kMaxBusyBackoffNs, 2 * source.backoff);
}

bool Fetch::requestRun(Source& source, Nanos now, OutgoingRequests& out) {
  while (firstMissing_ < pieces_.size() && !pieces_[firstMissing_].empty()) ++firstMissing_;
  const auto due = [&](std::size_t i) {
    return pieces_[i].empty() && (requestedAt_[i] == 0 || now - requestedAt_[i] >= kPieceTimeoutNs);
  };
  std::size_t first = firstMissing_;
  while (first < pieces_.size() && !due(first)) ++first;
  if (first == pieces_.size()) return false;
  std::uint32_t count = 0;
  while (first + count < pieces_.size() && count < PieceRequest::kMaxCount && due(first + count))
    requestedAt_[first + count++] = now;
  source.requestedAt = now;
  source.outstanding = count;
  source.received = 0;
  out.push_back({source.name,
                 {offer_.number, offer_.hash, static_cast<std::uint32_t>(pieceBytes_),
                  static_cast<std::uint32_t>(first), count}});
  return true;
}

Fetch::OutgoingRequests Fetch::tick(Nanos now) {
  OutgoingRequests out;
  std::size_t runs = 0;
  for (auto& s : sources_) {
    if (s.outstanding > 0 && now - s.requestedAt >= kPieceTimeoutNs) {
      if (s.received == 0) backOff(s, now);
      s.outstanding = 0;  // the rest of the run was lost
    }
    runs += s.outstanding > 0;
  }
  for (std::size_t i = 0; i < sources_.size() && runs < kMaxParallelRuns; ++i) {
    auto& s = sources_[nextSource_++ % sources_.size()];
    if (s.outstanding > 0 || now < s.notBefore) continue;
    if (!requestRun(s, now, out)) break;
    ++runs;
  }
  return out;
}

bool Fetch::addPiece(const std::string& from, Piece piece, Nanos now) {
  if (piece.hash != offer_.hash || piece.number != offer_.number || piece.index >= pieces_.size())
    return false;
  auto& place = pieces_[piece.index];
  const bool last = piece.index + 1 == pieces_.size();
  const std::size_t size = last ? offer_.size - piece.index * pieceBytes_ : pieceBytes_;
  if (!place.empty() || piece.bytes.size() != size) return false;
  place = std::move(piece.bytes);
  ++received_;
  progressAt_ = now;
  auto* source = find(from);
  if (source) {
    source->backoff = kBusyBackoffNs;
    source->answered = true;
    ++source->received;
    if (source->outstanding > 0) --source->outstanding;
  }
  return true;
}

void Fetch::onUnavailable(const std::string& from, bool busy, Nanos now) {
  auto* source = find(from);
  if (!source) return;
  source->answered = source->answered || busy;
  if (!busy) source->backoff = std::max(source->backoff, kMissingBackoffNs);  // it may get the snapshot later
  backOff(*source, now);
}

bool Fetch::answeredBy(const std::string& source) {
  const auto* found = find(source);
  return found && found->answered;
}

std::string Fetch::bytes() const {
  std::string out;
  out.reserve(offer_.size);
  for (const auto& piece : pieces_) out += piece;
  return out;
}

}  // namespace topazweir::dissemination
