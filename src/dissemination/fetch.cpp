#include "dissemination/fetch.hpp"

#include <algorithm>

namespace topazweir::dissemination {

Fetch::Fetch(const Offer& offer, std::size_t pieceBytes, const std::vector<std::string>& sources, Nanos now)
    : offer_(offer), pieceBytes_(pieceBytes), progressAt_(now) {
  const std::size_t count = (offer.size + pieceBytes - 1) / pieceBytes;
  pieces_.resize(count);
  askedAt_.resize(count, 0);
  mayHaveIt(sources);
}

void Fetch::mayHaveIt(const std::vector<std::string>& sources) {
  for (const auto& name : sources) {
    if (sources_.size() >= kMostSources) break;
    if (!find(name)) sources_.push_back({name});
  }
}

Fetch::Source* Fetch::find(const std::string& name) {
  const auto at =
      std::find_if(sources_.begin(), sources_.end(), [&](const Source& s) { return s.name == name; });
  return at == sources_.end() ? nullptr : &*at;
}

void Fetch::hasIt(const std::string& name) {
  if (find(name)) return;
  if (sources_.size() >= kMostSources) sources_.pop_back();
  sources_.insert(sources_.begin(), {name});
}

void Fetch::leaveAlone(Source& source, Nanos now) {
  source.open = 0;
  source.notBefore = now + source.wait;
  source.wait = std::min(kMostBusy, 2 * source.wait);
}

bool Fetch::askOf(Source& source, Nanos now, Questions& out) {
  while (low_ < pieces_.size() && !pieces_[low_].empty()) ++low_;
  const auto free = [&](std::size_t i) {
    return pieces_[i].empty() && (askedAt_[i] == 0 || now - askedAt_[i] >= kAnswerWithin);
  };
  std::size_t first = low_;
  while (first < pieces_.size() && !free(first)) ++first;
  if (first == pieces_.size()) return false;
  std::uint32_t count = 0;
  while (first + count < pieces_.size() && count < Ask::kMostCount && free(first + count))
    askedAt_[first + count++] = now;
  source.askedAt = now, source.open = count, source.got = 0;
  out.push_back({source.name,
                 {offer_.number, offer_.hash, static_cast<std::uint32_t>(pieceBytes_),
                  static_cast<std::uint32_t>(first), count}});
  return true;
}

Fetch::Questions Fetch::tick(Nanos now) {
  Questions out;
  std::size_t open = 0;
  for (auto& s : sources_) {
    if (s.open > 0 && now - s.askedAt >= kAnswerWithin) {
      if (s.got == 0) leaveAlone(s, now);
      s.open = 0;  // a piece was lost
    }
    open += s.open > 0;
  }
  for (std::size_t i = 0; i < sources_.size() && open < kAtOnce; ++i) {
    auto& s = sources_[next_++ % sources_.size()];
    if (s.open > 0 || now < s.notBefore) continue;
    if (!askOf(s, now, out)) break;
    ++open;
  }
  return out;
}

bool Fetch::take(const std::string& from, Piece piece, Nanos now) {
  if (piece.hash != offer_.hash || piece.number != offer_.number || piece.index >= pieces_.size())
    return false;
  auto& place = pieces_[piece.index];
  const bool last = piece.index + 1 == pieces_.size();
  const std::size_t size = last ? offer_.size - piece.index * pieceBytes_ : pieceBytes_;
  if (!place.empty() || piece.bytes.size() != size) return false;
  place = std::move(piece.bytes);
  ++have_;
  progressAt_ = now;
  auto* source = find(from);
  if (source) {
    source->wait = kBusy, source->answered = true;
    ++source->got;
    if (source->open > 0) --source->open;
  }
  return true;
}

void Fetch::nothing(const std::string& from, bool busy, Nanos now) {
  auto* source = find(from);
  if (!source) return;
  source->answered = source->answered || busy;
  if (!busy) source->wait = std::max(source->wait, kWithout);  // it may have it later
  leaveAlone(*source, now);
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
