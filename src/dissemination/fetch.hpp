// A snapshot on its way to this member: asked for in runs of pieces of several members at once that have the
// same one, so that no one's budget is all that there is. Whole or nothing.
// Bounded by mostSnapshot (bytes come in as they are named, piece by piece), kAtOnce runs and kMostSources;
// it is given up when nothing comes for kGivenUp.
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
  struct Question {
    std::string to;
    Ask ask;
  };
  using Questions = std::vector<Question>;

  Fetch(const Offer& offer, std::size_t pieceBytes, const std::vector<std::string>& sources, Nanos now);

  const Offer& offer() const { return offer_; }
  void hasIt(const std::string& source);  // goes first
  void mayHaveIt(const std::vector<std::string>& sources);
  Questions tick(Nanos now);
  // False: known already, or not of this snapshot.
  bool take(const std::string& from, Piece piece, Nanos now);
  void nothing(const std::string& from, bool busy, Nanos now);
  void stoodStill(Nanos time, Nanos now) { progressAt_ = std::min(now, progressAt_ + time); }
  bool whole() const { return have_ == pieces_.size(); }
  bool answeredBy(const std::string& source);  // it has handed on a piece, or said that it will
  bool givenUp(Nanos now) const { return now - progressAt_ > kGivenUp; }
  bool stuck(Nanos now) const { return now - progressAt_ > kStuck; }
  std::string bytes() const;

  static constexpr Nanos kMs = 1'000'000;
  static constexpr Nanos kAnswerWithin = 500 * kMs;  // a piece asked for, else it is asked for again
  static constexpr Nanos kBusy = 1000 * kMs;  // a source without bytes to spend is left alone, and longer
  static constexpr Nanos kMostBusy = 8'000 * kMs;  // each time
  static constexpr Nanos kWithout = 2000 * kMs;    // one that has not got it
  static constexpr Nanos kStuck = 2000 * kMs, kGivenUp = 30'000 * kMs;
  static constexpr std::size_t kAtOnce = 4, kMostSources = 48;

 private:
  struct Source {
    std::string name;
    Nanos askedAt = 0, notBefore = 0, wait = kBusy;
    std::uint32_t open = 0, got = 0;  // pieces asked of it that are still to come, and that have
    bool answered = false;
  };
  static void leaveAlone(Source& source, Nanos now);
  bool askOf(Source& source, Nanos now, Questions& out);
  Source* find(const std::string& name);

  Offer offer_;
  std::size_t pieceBytes_;
  std::vector<std::string> pieces_;
  std::vector<Nanos> askedAt_;
  std::size_t have_ = 0, low_ = 0;
  std::vector<Source> sources_;
  std::size_t next_ = 0;
  Nanos progressAt_;
};

}  // namespace topazweir::dissemination
