// A snapshot that this member is downloading. Runs of pieces are requested in parallel from several members
// that have the same snapshot, so that the download is not limited by one sender's budget. The snapshot is
// installed as a whole or not at all. Bounded by maxSnapshotBytes (memory grows piece by piece),
// kMaxParallelRuns and kMaxSources; abandoned when no piece arrives for kAbandonTimeoutNs.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dissemination/messages.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::dissemination {

class Fetch {
 public:
  struct OutgoingRequest {
    std::string to;
    PieceRequest request;
  };
  using OutgoingRequests = std::vector<OutgoingRequest>;

  Fetch(const Offer& offer, std::size_t pieceBytes, const std::vector<std::string>& sources, Nanos now);

  const Offer& offer() const { return offer_; }
  void addFirstSource(const std::string& source);  // known to have the snapshot: is asked first
  void addSources(const std::vector<std::string>& sources);
  OutgoingRequests tick(Nanos now);
  // Stores a piece; false: a duplicate, or not of this snapshot.
  bool addPiece(const std::string& from, Piece piece, Nanos now);
  // `busy`: the source has the snapshot but no budget now; otherwise it does not have the snapshot.
  void onUnavailable(const std::string& from, bool busy, Nanos now);
  void onStall(Nanos duration, Nanos now) { progressAt_ = std::min(now, progressAt_ + duration); }
  bool complete() const { return received_ == pieces_.size(); }
  bool answeredBy(const std::string& source);  // has sent a piece, or an answer that it has the snapshot
  bool abandoned(Nanos now) const { return now - progressAt_ > kAbandonTimeoutNs; }
  bool stuck(Nanos now) const { return now - progressAt_ > kStuckTimeoutNs; }
  std::string bytes() const;

  static constexpr Nanos kMs = 1'000'000;
  static constexpr Nanos kPieceTimeoutNs = 500 * kMs;  // after which a piece is requested again
  // A source without budget is not asked for kBusyBackoffNs, doubled each time up to kMaxBusyBackoffNs.
  static constexpr Nanos kBusyBackoffNs = 1000 * kMs;
  static constexpr Nanos kMaxBusyBackoffNs = 8'000 * kMs;
  static constexpr Nanos kMissingBackoffNs = 2000 * kMs;  // for a source without the snapshot
  static constexpr Nanos kStuckTimeoutNs = 2000 * kMs;    // without progress: another offer may replace it
  static constexpr Nanos kAbandonTimeoutNs = 30'000 * kMs;
  static constexpr std::size_t kMaxParallelRuns = 4;
  static constexpr std::size_t kMaxSources = 48;

 private:
  struct Source {
    std::string name;
    Nanos requestedAt = 0, notBefore = 0;
    Nanos backoff = kBusyBackoffNs;
    std::uint32_t outstanding = 0;  // requested pieces that have not arrived
    std::uint32_t received = 0;     // pieces of the current run that have arrived
    bool answered = false;
  };
  static void backOff(Source& source, Nanos now);
  bool requestRun(Source& source, Nanos now, OutgoingRequests& out);
  Source* find(const std::string& name);

  Offer offer_;
  std::size_t pieceBytes_;
  std::vector<std::string> pieces_;  // empty: not received yet
  std::vector<Nanos> requestedAt_;   // by piece; 0: never
  std::size_t received_ = 0;
  std::size_t firstMissing_ = 0;  // all pieces before it have arrived
  std::vector<Source> sources_;
  std::size_t nextSource_ = 0;
  Nanos progressAt_;
};

}  // namespace topazweir::dissemination
