#include "calls/call.hpp"

#include <algorithm>

namespace topazweir::calls {

bool Call::requestData(std::string_view bytes) {
  if (!meter_.take(bytes, policy_.message)) tooLarge_ = true;
  request_.append(bytes);
  if (committed_ || exceedsReplay()) return false;
  acknowledged_ = request_.end();
  return true;
}

std::optional<int> Call::outgrown() const {
  if (committed_ || !exceedsReplay() || outstanding_.empty()) return std::nullopt;
  return outstanding_.back();
}

std::size_t Call::requestConsumed(std::uint64_t offset) {
  if (!committed_) return 0;
  request_.release(offset);
  const auto more = offset > acknowledged_ ? offset - acknowledged_ : 0;
  acknowledged_ = std::max(acknowledged_, offset);
  return static_cast<std::size_t>(more);
}

void Call::dropped(int attempt) { std::erase(outstanding_, attempt); }

bool Call::isOut(int attempt) const {
  return std::find(outstanding_.begin(), outstanding_.end(), attempt) != outstanding_.end();
}

bool Call::commit(int attempt) {
  if (committed_ || finished_) return committed_ == attempt && !finished_;
  committed_ = attempt;
  return true;
}

AttemptDecision Call::ended(int attempt, const Ended& e, Fields trailers, Nanos timeLeft) {
  dropped(attempt);
  if (finished_ || (committed_ && committed_ != attempt))
    return {false, Outcome::cancelled, CallResult::failed, 0};
  const Verdict verdict = verdictOf(e);
  const auto pushback = parsePushback(trailers);
  remember(verdict, e, std::move(trailers));
  AttemptDecision next{committed_.has_value(), verdict.outcome, last_->counted, 0};
  if (next.final) {
    // The call was committed to this attempt, so its end is the call's end.
  } else if (e.ending == Ending::trailers) {
    // A status from the service ends the call, unless the route retries this status, the pushback allows it
    // and leaves time for it.
    const bool retry = policy_.retries(verdict.code) && !pushback.stop && pushback.wait < timeLeft;
    next.final = !retry;
    next.wait = retry ? pushback.wait : 0;
    if (next.final && last_->counted == CallResult::answered) next.outcome = Outcome::delivered;
    if (retry && next.outcome == Outcome::delivered) next.outcome = Outcome::error;
  } else {
    next.final = e.ending == Ending::tooLarge;  // a retry would exceed the limit again
  }
  decided_ = next.final;
  return next;
}

// Stores the status for the client: the backend's own unchanged, else one generated here.
void Call::remember(const Verdict& verdict, const Ended& e, Fields trailers) {
  CallStatus last;
  last.code = verdict.code;
  last.fromBackend = e.ending == Ending::trailers;
  if (last.fromBackend) {
    last.counted = interpretStatus(verdict.code).counted;
    last.trailers = toClient(trailers);
  } else {
    last.counted = CallResult::failed;
    last.trailers = makeStatusTrailers(verdict.code, verdict.words, std::nullopt);
  }
  // A generated status of a later attempt, such as a refused hedge, must not hide a status that the service
  // itself gave to an earlier one. A retry that expired must not hide how the attempt before it ended, which
  // may have run.
  const bool better = !last_ || last.fromBackend || (!last_->fromBackend && e.ending != Ending::expired);
  if (better) last_ = std::move(last);
}

CallStatus Call::finish(CallResult counted, bool overdue, Nanos retryAfter) {
  finished_ = true;
  CallStatus out;
  out.counted = counted;
  if (overdue && !decided_) {
    out.code = Code::deadlineExceeded;
    out.trailers = makeStatusTrailers(out.code, "the time for the call has run out", std::nullopt);
  } else if (last_ && (committed_ || counted != CallResult::refused || last_->fromBackend)) {
    out = *last_;
    out.counted = counted;
    // The broker's retry advice is added only where the backend gave none.
    if (counted == CallResult::refused && retryAfter > 0 && !parsePushback(out.trailers).given)
      out.trailers.push_back(writePushback(retryAfter));
  } else if (counted == CallResult::refused) {
    out.code = Code::unavailable;
    out.trailers = makeStatusTrailers(out.code, "no server can take the call now; asking again is harmless",
                                      retryAfter > 0 ? std::optional(retryAfter) : std::nullopt);
  } else {
    out.code = Code::unknown;
    out.trailers = makeStatusTrailers(out.code, "the call has failed and may have run", std::nullopt);
  }
  return out;
}

}  // namespace topazweir::calls
