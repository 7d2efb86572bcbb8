#include "dissemination/parents.hpp"

#include <algorithm>

namespace topazweir::dissemination {

using Kind = Parents::Word::Kind;

void Parents::plan(const Tree& tree, Nanos now) {
  candidates_ = tree.candidates;
  preferred_ = tree.preferred;
  relays_ = tree.relays;
  below_ = tree.top - tree.level;
  // Not put off by each change of the view: in a roll of all they come faster than that.
  homeAt_ = std::min(homeAt_, now + jitter(2 * kSec));
  tryAt_ = std::min(tryAt_, now);
  std::erase_if(avoided_, [&](const auto& a) { return a.second <= now; });
  std::erase_if(refused_, [&](const auto& a) { return a.second <= now; });
}

bool Parents::avoids(const std::string& name, Nanos now) const {
  const auto until = [&](const std::map<std::string, Nanos>& of) {
    const auto at = of.find(name);
    return at != of.end() && at->second > now;
  };
  return until(avoided_) || until(refused_);
}

Nanos Parents::jitter(Nanos wait) {
  return wait * 3 / 4 + static_cast<Nanos>(random_() % static_cast<std::uint64_t>(wait / 2 + 1));
}

bool Parents::preferred(const std::string& name) const {
  const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(preferred_);
  return std::find(candidates_.begin(), end, name) != end;
}

Nanos Parents::parentAge(Nanos now) const {
  return age_ >= kNeverVouched ? kNeverVouched : age_ + (now - ageAt_);
}

// The first candidate that isn't avoided; empty: none is left.
std::string Parents::next(Nanos now, bool preferredOnly) {
  const std::size_t end = preferredOnly ? preferred_ : candidates_.size();
  for (std::size_t i = 0; i < end; ++i) {
    const auto& name = candidates_[i];
    if (name != parent_ && !avoids(name, now)) return name;
  }
  return {};
}

void Parents::tryNext(Nanos now, Words& words) {
  trying_ = next(now, false);
  if (!trying_.empty()) {
    triedAt_ = now;
    words.push_back({urgent_ ? Kind::urgent : Kind::subscribe, trying_});
    return;
  }
  // All have been tried: again from the first one, later each time.
  if (urgent_) avoided_.clear();
  refused_.clear();
  wait_ = urgent_ ? std::min(kMostWait, std::max(2 * wait_, 250 * kMs)) : 20 * kMs;
  urgent_ = true;
  tryAt_ = now + jitter(wait_);
}

void Parents::look(Nanos now, Words& words) {
  std::erase_if(looked_, [&](const auto& l) { return now - l.second > kSec; });
  // The voters are few, and those above look there first.
  const bool voters = relays_ == 0 || below_ <= 1 || looks_ % kVotersLook == kVotersLook - 1;
  ++looks_;
  const std::size_t end = voters ? candidates_.size() : relays_;
  std::size_t asked = 0;
  for (std::size_t i = 0; i < end && asked < kLooks; ++i) {
    const auto& name = candidates_[lookNext_++ % end];
    if (name == parent_) continue;
    looked_[name] = now;
    words.push_back({Kind::look, name});
    ++asked;
  }
}

Parents::Words Parents::tick(Nanos now) {
  Words words;
  if (!trying_.empty() && now - triedAt_ >= kAnswerWithin) {
    avoided_[trying_] = now + kAvoided;
    words.push_back({Kind::bye, trying_});
    trying_.clear();
    tryAt_ = now;
  }
  if (!parent_.empty()) {
    const Nanos silence = now - heardAt_;
    if (silence > std::max(silentAfter_, every_ + 400 * kMs)) {
      leave(now, words, kAvoided);
    } else if (silence > every_ + 80 * kMs && now - askedAt_ >= 150 * kMs) {
      askedAt_ = now;
      words.push_back({Kind::ask, parent_});
    }
  }
  if (parent_.empty() && trying_.empty() && now >= tryAt_) tryNext(now, words);
  if (parent_.empty()) return words;
  if (parentAge(now) > staleAfter_) {
    if (staleSince_ == 0) {
      staleSince_ = now, lookWait_ = 250 * kMs, lookNext_ = looks_ = 0;
      lookAt_ = now + static_cast<Nanos>(std::min<std::size_t>(below_, 3)) * kPatience;
    }
    if (now >= lookAt_) {
      look(now, words);
      lookAt_ = now + jitter(lookWait_);
      lookWait_ = std::min(kMostWait, 2 * lookWait_);
    }
    return words;
  }
  staleSince_ = 0;
  if (preferred_ > 0 && now >= homeAt_) {
    homeAt_ = now + jitter(6 * kSec);
    const auto home = preferred(parent_) ? std::string() : next(now, true);
    if (!home.empty()) {
      looked_[home] = now;
      words.push_back({Kind::look, home});
      refused_[home] = now + 5 * kSec;  // the next time another one, if this one does not answer
    }
  }
  return words;
}

bool Parents::heard(const std::string& from, Nanos now, Words& words) {
  if (from == parent_) {
    heardAt_ = now;
    return true;
  }
  if (from != trying_ || from.empty()) return false;
  if (!parent_.empty()) words.push_back({Kind::bye, parent_});
  parent_ = from;
  trying_.clear();
  heardAt_ = askedAt_ = now;
  every_ = silentAfter_ / 2;
  age_ = kNeverVouched, staleSince_ = 0;
  wait_ = 0, urgent_ = false;
  homeAt_ = now + jitter(8 * kSec);
  return true;
}

bool Parents::beat(const std::string& from, Nanos age, Nanos every, Nanos now, Words& words) {
  if (heard(from, now, words)) {
    age_ = age, ageAt_ = now;
    every_ = std::clamp<Nanos>(every, 50 * kMs, 10 * kSec);
    if (age <= staleAfter_) staleSince_ = 0;
    return true;
  }
  const auto at = looked_.find(from);
  if (at == looked_.end() || now - at->second > kSec) return false;
  looked_.erase(at);
  if (parent_.empty()) return false;
  const Nanos parents = parentAge(now);
  const bool fresher = parents > staleAfter_ && age < kNeverVouched && age + kFresher < parents;
  const bool home = preferred(from) && !preferred(parent_) && age <= staleAfter_;
  if (!fresher && !home) return false;
  words.push_back({Kind::bye, parent_});
  if (fresher) ++left_;
  parent_ = from;
  trying_.clear();
  words.push_back({Kind::subscribe, from});
  heardAt_ = askedAt_ = now;
  every_ = std::clamp<Nanos>(every, 50 * kMs, 10 * kSec);
  age_ = age, ageAt_ = now, staleSince_ = 0;
  return true;
}

void Parents::refused(const std::string& from, Nanos now, Words& words) {
  looked_.erase(from);
  if (from.empty() || (from != parent_ && from != trying_)) return;
  refused_[from] = now + kAvoided / 2;
  if (from == trying_) trying_.clear();
  // Those that keep some room for who finds none elsewhere are to take this one now.
  if (!urgent_ && refused_.size() >= kRefusals) {
    urgent_ = true;
    refused_.clear();
  }
  if (from == parent_) {
    parent_.clear();
    ++left_;
  }
  if (parent_.empty() && trying_.empty()) tryNext(now, words);
}

void Parents::leave(Nanos now, Words& words, Nanos avoid) {
  if (parent_.empty()) return;
  words.push_back({Kind::bye, parent_});
  avoided_[parent_] = now + avoid;
  parent_.clear();
  ++left_;
  tryAt_ = now;
  if (trying_.empty()) tryNext(now, words);
}

void Parents::stoodStill(Nanos time, Nanos now) {
  heardAt_ = std::min(now, heardAt_ + time);
  triedAt_ = std::min(now, triedAt_ + time);
}

}  // namespace topazweir::dissemination
