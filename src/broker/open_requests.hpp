// The open requests: those taken that have not yet received their final answer.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

#include "broker/finished_ids.hpp"
#include "broker/ports.hpp"
#include "memory/budget.hpp"

namespace topazweir::broker {

// One attempt of a part at one server.
struct Attempt {
  ServerId server = 0;
  Nanos sentAt = 0;
  std::optional<Outcome> outcome{};  // empty while the attempt is outstanding
  bool isOutstanding() const { return !outcome; }
  bool mayHaveRun() const { return !outcome || topazweir::mayHaveRun(*outcome); }
};

// The attempt whose answer has begun to stream. The request is committed to it: from then on only the end of
// this attempt or the request's deadline ends the request.
struct Streaming {
  int part = 0;
  int attempt = 0;
};

// One part of an open request and its attempts.
struct OpenPart {
  int shard = 0;
  std::vector<Attempt> attempts;
  bool delivered = false;
  std::string value;
};

// A request between intake and its final answer.
struct OpenRequest {
  Request request;
  Front* front = nullptr;
  Nanos takenAt = 0;
  // When the final answer is due: the client's deadline or the end of the graceful shutdown, the earlier.
  Nanos due = 0;
  std::shared_ptr<const std::string> query;
  std::vector<OpenPart> parts;
  std::optional<Streaming> streaming;
  memory::Charge charge;  // for what the request holds
  // The client's deadline.
  Nanos clientDue() const { return takenAt + request.timeLeft; }
  // Whether any attempt may have been executed by its server.
  bool mayHaveRun() const {
    return std::any_of(parts.begin(), parts.end(), [](const OpenPart& part) {
      return std::any_of(part.attempts.begin(), part.attempts.end(),
                         [](const Attempt& attempt) { return attempt.mayHaveRun(); });
    });
  }
};

// Index of the open requests by number, by client id and by due time.
class OpenRequests {
 public:
  // nullptr if the request is not open.
  OpenRequest* find(RequestNo no) {
    const auto at = byNo_.find(no);
    return at == byNo_.end() ? nullptr : &at->second;
  }
  bool hasId(const std::string& id) const { return ids_.count(id) > 0; }
  // Whether a request with this id has ended lately that may have run.
  bool mayHaveRun(const std::string& id, Nanos now) { return finished_.has(id, now); }
  OpenRequest& add(RequestNo no, OpenRequest request) {
    held_ += 1 + request.parts.size();
    ids_.insert(request.request.id);
    byDue_.emplace(request.due, no);
    return byNo_.try_emplace(no, std::move(request)).first->second;
  }
  void remove(RequestNo no, Nanos now) {
    const auto at = byNo_.find(no);
    if (at == byNo_.end()) return;
    if (at->second.mayHaveRun()) finished_.add(at->second.request.id, now);
    held_ -= 1 + at->second.parts.size();
    ids_.erase(at->second.request.id);
    byDue_.erase({at->second.due, no});
    byNo_.erase(at);
  }
  // Reduces every due time later than `due` to `due`.
  void capDue(Nanos due) {
    for (auto at = byDue_.upper_bound({due, std::numeric_limits<RequestNo>::max()}); at != byDue_.end();
         at = byDue_.erase(at)) {
      byNo_.at(at->second).due = due;
      byDue_.emplace(due, at->second);  // sorts before `at`, so the loop does not visit it again
    }
  }
  // Queries and parts held in memory: each request counts 1 plus its parts.
  std::size_t held() const { return held_; }
  std::size_t count() const { return byNo_.size(); }
  // The overdue request with the earliest due time; nullopt if none is overdue.
  std::optional<RequestNo> overdue(Nanos now) const {
    if (byDue_.empty() || byDue_.begin()->first > now) return std::nullopt;
    return byDue_.begin()->second;
  }
  // The earliest due time; nullopt if nothing is open.
  std::optional<Nanos> firstDue() const {
    return byDue_.empty() ? std::nullopt : std::optional(byDue_.begin()->first);
  }

 private:
  std::map<RequestNo, OpenRequest> byNo_;
  std::unordered_set<std::string> ids_;
  FinishedIds finished_;
  std::set<std::pair<Nanos, RequestNo>> byDue_;  // one entry per open request
  std::size_t held_ = 0;
};

}  // namespace topazweir::broker
