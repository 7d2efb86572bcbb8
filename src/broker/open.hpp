// The open requests: what has been taken and not yet got its final answer.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

#include "broker/ports.hpp"

namespace topazweir::broker {

struct Attempt {
  ServerId server = 0;
  Nanos sentAt = 0;
  std::optional<Outcome> end{};  // how it ended
  bool out() const { return !end; }
  bool mayHaveRun() const { return !end || topazweir::mayHaveRun(*end); }
};

// Its answer has begun: the request belongs to this attempt, and only its end or the client's time ends it.
struct Streaming {
  int part = 0, attempt = 0;
};

struct OpenPart {
  int shard = 0;
  std::vector<Attempt> attempts;
  bool delivered = false;
  std::string value;
};

struct OpenRequest {
  Request request;
  Front* front = nullptr;
  Nanos takenAt = 0;
  Nanos due = 0;  // its final answer: the client's time is up, or the program's
  std::shared_ptr<const std::string> query;
  std::vector<OpenPart> parts;
  std::optional<Streaming> streaming;
  Nanos clientDue() const { return takenAt + request.timeLeft; }
  bool mayHaveRun() const {
    return std::any_of(parts.begin(), parts.end(), [](const OpenPart& part) {
      return std::any_of(part.attempts.begin(), part.attempts.end(),
                         [](const Attempt& attempt) { return attempt.mayHaveRun(); });
    });
  }
};

class OpenRequests {
 public:
  OpenRequest* find(RequestNo no) {
    const auto at = byNo_.find(no);
    return at == byNo_.end() ? nullptr : &at->second;
  }
  bool hasId(const std::string& id) const { return ids_.count(id) > 0; }
  OpenRequest& add(RequestNo no, OpenRequest request) {
    held_ += 1 + request.parts.size();
    ids_.insert(request.request.id);
    byDue_.emplace(request.due, no);
    return byNo_.try_emplace(no, std::move(request)).first->second;
  }
  void remove(RequestNo no) {
    const auto at = byNo_.find(no);
    if (at == byNo_.end()) return;
    held_ -= 1 + at->second.parts.size();
    ids_.erase(at->second.request.id);
    byDue_.erase({at->second.due, no});
    byNo_.erase(at);
  }
  // All that would be due later is due then.
  void shorten(Nanos due) {
    for (auto at = byDue_.upper_bound({due, std::numeric_limits<RequestNo>::max()}); at != byDue_.end();
         at = byDue_.erase(at)) {
      byNo_.at(at->second).due = due;
      byDue_.emplace(due, at->second);  // before `at`: not met again
    }
  }
  std::size_t held() const { return held_; }  // queries and parts
  std::size_t count() const { return byNo_.size(); }
  // The first whose time is up; none: none is.
  std::optional<RequestNo> overdue(Nanos now) const {
    if (byDue_.empty() || byDue_.begin()->first > now) return std::nullopt;
    return byDue_.begin()->second;
  }
  std::optional<Nanos> firstDue() const {
    return byDue_.empty() ? std::nullopt : std::optional(byDue_.begin()->first);
  }

 private:
  std::map<RequestNo, OpenRequest> byNo_;
  std::unordered_set<std::string> ids_;
  std::set<std::pair<Nanos, RequestNo>> byDue_;  // an entry for each open request
  std::size_t held_ = 0;
};

}  // namespace topazweir::broker
