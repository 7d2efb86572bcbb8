#include "calls/call.hpp"

#include <algorithm>

namespace topazweir::calls {

bool Call::requestData(std::string_view bytes) {
  if (!meter_.take(bytes, policy_.message)) tooLarge_ = true;
  request_.append(bytes);
  if (committed_ || tooLong()) return false;
  acknowledged_ = request_.end();
  return true;
}

std::optional<int> Call::outgrown() const {
  if (committed_ || !tooLong() || out_.empty()) return std::nullopt;
  return out_.back();
}

std::size_t Call::requestTaken(std::uint64_t offset) {
  if (!committed_) return 0;
  request_.release(offset);
  const auto more = offset > acknowledged_ ? offset - acknowledged_ : 0;
  acknowledged_ = std::max(acknowledged_, offset);
  return static_cast<std::size_t>(more);
}

void Call::dropped(int attempt) { std::erase(out_, attempt); }

bool Call::isOut(int attempt) const { return std::find(out_.begin(), out_.end(), attempt) != out_.end(); }

bool Call::commit(int attempt) {
  if (committed_ || finished_) return committed_ == attempt && !finished_;
  committed_ = attempt;
  return true;
}

Next Call::ended(int attempt, const Ended& e, Fields trailers, Nanos timeLeft) {
  dropped(attempt);
  if (finished_ || (committed_ && committed_ != attempt))
    return {false, Outcome::cancelled, Class::failed, 0};
  const Verdict verdict = verdictOf(e);
  const auto pushback = readPushback(trailers);
  remember(verdict, e, std::move(trailers));
  Next next{committed_.has_value(), verdict.outcome, last_->counted, 0};
  if (next.final) {
    // It was committed: whatever became of it is what became of the call.
  } else if (e.ending == Ending::trailers) {
    // The service's own word ends the call, unless the route says that this word is worth another attempt,
    // there is time for one and the backend does not forbid it.
    const bool again = policy_.retries(verdict.code) && !pushback.stop && pushback.wait < timeLeft;
    next.final = !again;
    next.wait = again ? pushback.wait : 0;
    if (next.final && last_->counted == Class::answered) next.outcome = Outcome::delivered;
    if (again && next.outcome == Outcome::delivered) next.outcome = Outcome::error;
  } else {
    next.final = e.ending == Ending::tooLarge;  // it would be as large again
  }
  decided_ = next.final;
  return next;
}

// A status that the backend gave is passed on as it came; for all else words of our own.
void Call::remember(const Verdict& verdict, const Ended& e, Fields trailers) {
  Final last;
  last.code = verdict.code;
  last.fromBackend = e.ending == Ending::trailers;
  if (last.fromBackend) {
    last.counted = meaningOf(verdict.code).counted;
    last.trailers = toClient(trailers);
  } else {
    last.counted = Class::failed;
    last.trailers = writeStatus(verdict.code, verdict.words, std::nullopt);
  }
  // A refusal of a copy must not hide what an earlier attempt was told by a service that had run it.
  const bool better = !last_ || last.fromBackend || !last_->fromBackend;
  if (better) last_ = std::move(last);
}

Final Call::finish(Class counted, bool overdue, Nanos comeBack) {
  finished_ = true;
  Final out;
  out.counted = counted;
  if (overdue && !decided_) {
    out.code = Code::deadlineExceeded;
    out.trailers = writeStatus(out.code, "the time for the call has run out", std::nullopt);
  } else if (last_ && (committed_ || counted != Class::refused || last_->fromBackend)) {
    out = *last_;
    out.counted = counted;
    // When to come back is said where the backend has not said it itself.
    if (counted == Class::refused && comeBack > 0 && !readPushback(out.trailers).given)
      out.trailers.push_back(writePushback(comeBack));
  } else if (counted == Class::refused) {
    out.code = Code::unavailable;
    out.trailers = writeStatus(out.code, "no server can take the call now; asking again is harmless",
                               comeBack > 0 ? std::optional(comeBack) : std::nullopt);
  } else {
    out.code = Code::unknown;
    out.trailers = writeStatus(out.code, "the call has failed and may have run", std::nullopt);
  }
  return out;
}

}  // namespace topazweir::calls
