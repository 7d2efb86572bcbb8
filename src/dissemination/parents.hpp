// Whom this member has its news from: one parent of the tree's candidates, left for the next one when it is
// silent, turns this one away, is slow, or has stale news while another has fresher. Pure: words and `now`
// in, words to be sent out. Bounded by the candidates; who did not answer is avoided for a while, then
// forgotten. Where nobody has anything fresher, the tries wait longer and longer, with jitter, up to
// kMostWait.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dissemination/tree.hpp"

namespace topazweir::dissemination {

inline constexpr Nanos kNeverVouched = INT64_MAX / 4;  // an age

class Parents {
 public:
  struct Word {
    enum class Kind { subscribe, urgent, ask, look, bye } kind;
    std::string to;
  };
  using Words = std::vector<Word>;

  Parents(Nanos silentAfter, Nanos staleAfter, std::uint64_t seed)
      : silentAfter_(silentAfter), staleAfter_(staleAfter), random_(seed) {}

  void plan(const Tree& tree, Nanos now);
  Words tick(Nanos now);
  // Anything that a parent says to a child. False: of nobody whose words count.
  bool heard(const std::string& from, Nanos now, Words& words);
  // A beat, of the parent or of one that was looked at. `age` of its news, or kNeverVouched; `every`: until
  // its next. True: it is of the parent.
  bool beat(const std::string& from, Nanos age, Nanos every, Nanos now, Words& words);
  void refused(const std::string& from, Nanos now, Words& words);
  void leave(Nanos now, Words& words, Nanos avoid);  // the parent is silent, gone or slow
  void stoodStill(Nanos time, Nanos now);            // this process did: what was silence is none

  const std::string& parent() const { return parent_; }
  bool lookedAt(const std::string& name) const { return looked_.contains(name); }
  std::uint64_t left() const { return left_; }

  static constexpr Nanos kMs = 1'000'000, kSec = 1000 * kMs;
  static constexpr Nanos kAnswerWithin = 250 * kMs;  // a subscription or a look
  static constexpr std::size_t kRefusals = 3;        // from then on it takes what room there is
  static constexpr Nanos kMostWait = 3 * kSec;       // between tries
  static constexpr Nanos kAvoided = 10 * kSec;       // one that did not answer
  static constexpr Nanos kFresher = 500 * kMs;       // news worth a change of the parent
  static constexpr Nanos kPatience = 300 * kMs;      // a level: those above look first
  static constexpr std::size_t kLooks = 3;           // at a time
  static constexpr std::size_t kVotersLook =
      4;  // of so many looks one goes to voters, where relays are there

 private:
  Nanos parentAge(Nanos now) const;
  std::string next(Nanos now, bool preferredOnly);
  bool avoids(const std::string& name, Nanos now) const;
  void tryNext(Nanos now, Words& words);
  void look(Nanos now, Words& words);
  Nanos jitter(Nanos wait);
  bool preferred(const std::string& name) const;

  Nanos silentAfter_, staleAfter_;
  std::mt19937_64 random_;
  std::vector<std::string> candidates_;
  std::size_t preferred_ = 0, relays_ = 0, below_ = 0;
  std::string parent_, trying_;
  Nanos heardAt_ = 0, askedAt_ = 0, every_ = 0;
  Nanos age_ = kNeverVouched, ageAt_ = 0;  // of the parent's news, and when it said so
  Nanos triedAt_ = 0, tryAt_ = 0, wait_ = 0;
  bool urgent_ = false;
  Nanos staleSince_ = 0, lookAt_ = 0, lookWait_ = 0, homeAt_ = 0;
  std::size_t lookNext_ = 0, looks_ = 0;
  std::map<std::string, Nanos> avoided_;  // did not answer, or were silent; until
  std::map<std::string, Nanos> refused_;  // until
  std::map<std::string, Nanos> looked_;   // when; only answers to these count
  std::uint64_t left_ = 0;
};

}  // namespace topazweir::dissemination
