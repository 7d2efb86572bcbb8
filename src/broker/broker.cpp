#include "broker/broker.hpp"

#include <algorithm>
#include <utility>

#include "broker/history.hpp"

namespace topazweir::broker {

Broker::Broker(Terms terms, Clock& clock, Backend& backend, Log& log)
    : terms_(std::move(terms)),
      clock_(clock),
      log_(log),
      takeIn_(terms_, open_),
      admit_(terms_, open_),
      route_(terms_.settings),
      send_(terms_, open_, backend, counters_),
      relay_(open_, counters_),
      book_(open_, counters_) {
  for (const auto& c : terms_.contracts) counters_.tenants.push_back({.name = c.tenant});
}

std::variant<RequestNo, Invalid> Broker::take(Request request, Front& front) {
  if (auto why = takeIn_.fault(request)) {
    ++counters_.invalid;
    return Invalid{std::move(*why)};
  }
  return takeIn_.take(std::move(request), front, clock_.now(), endBy_);
}

void Broker::begin(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  const Nanos now = clock_.now();
  const auto& request = open->request;
  const bool beyond = admit_.beyondQuota(request, now);
  ++counters_.taken;
  if (!counters_.tenants.empty()) {
    auto& tenant = counters_.tenants[static_cast<std::size_t>(request.tenant)];
    ++tenant.taken;
    if (beyond) ++tenant.overQuota;
  }
  if (now >= endBy_) return book_.refuse(no, terms_.settings.maxRetryAfter);
  if (const auto comeBack = admit_.refusal()) {
    ++counters_.turnedAway;
    return book_.refuse(no, *comeBack);
  }
  route_.addRequest(no, *open);
  run();
}

void Broker::abandon(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  send_.cancelAll(no, *open);
  book_.abandoned(no);
  over(no);
}

void Broker::over(RequestNo no) {
  route_.add(QueryExpired{Route::queryId(no)});
  run();
}

bool Broker::attemptBegan(const AttemptId& id, bool heard) {
  auto* open = open_.find(id.request);
  if (!open || open->parts.size() != 1) return false;
  if (open->streaming) return open->streaming->attempt == id.attempt;
  auto& attempts = open->parts.front().attempts;
  const auto nth = static_cast<std::size_t>(id.attempt);
  if (id.part != 0 || nth >= attempts.size() || !attempts[nth].out()) return false;
  open->streaming = Streaming{id.part, id.attempt};
  ++counters_.streamed;
  send_.cancelOthers(id.request, *open);
  // For the module the part is in: how long the first of the answer took is what it ranks by. What it then
  // says of the query is not carried out, since that is the client's by now.
  if (heard)
    route_.add(AttemptEnded{Route::partId(id.request, 0), id.attempt, attempts[nth].server,
                            Outcome::delivered, clock_.now() - attempts[nth].sentAt});
  over(id.request);
  return true;
}

void Broker::settle(const AttemptId& id, Outcome outcome, Verdict verdict) {
  auto* open = open_.find(id.request);
  if (!open) return;
  const bool streamed = open->streaming.has_value();
  if (streamed && open->streaming->attempt != id.attempt) return;
  auto event = relay_.ended(id, outcome, {}, clock_.now());
  if (!event) return;
  send_.cancelAll(id.request, *open);
  switch (verdict) {
    case Verdict::answered:
      book_.answer(id.request, true);
      break;
    case Verdict::refused:
      book_.refuse(id.request, 0);
      break;
    case Verdict::failed:
      book_.fail(id.request, false);  // its time may not be up: the server may have said so
      break;
  }
  if (streamed) return;  // the module has had its end
  route_.add(std::move(*event));
  over(id.request);
}

void Broker::giveUp(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  send_.cancelAll(no, *open);
  book_.fail(no, false);
  over(no);
}

void Broker::attemptEnded(const AttemptId& id, Outcome outcome, std::string value) {
  auto event = relay_.ended(id, outcome, std::move(value), clock_.now());
  if (!event) return;
  route_.add(std::move(*event));
  run();
}

void Broker::told(ListNews news) {
  route_.add(std::move(news));
  run();
}

void Broker::sentElsewhere(ServerId server, Nanos at) { route_.add(SentElsewhere{server, at}); }

void Broker::agree(const Terms& terms) {
  terms_.contracts = terms.contracts;
  terms_.overShareWorth = terms.overShareWorth;
  terms_.maxOpen = terms.maxOpen;
}

void Broker::wake() {
  const Nanos now = clock_.now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    route_.add(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  // A wake for another reason leaves the one that is armed in place: else they would multiply.
  if (now >= armedFor_) armedFor_ = std::numeric_limits<Nanos>::max();
  turn();
  expire(now);
  arm();
}

void Broker::endBy(Nanos at) {
  endBy_ = std::min(endBy_, at);
  open_.shorten(endBy_);
  arm();
}

// The module ends each query before the client's time is up. Guards the rule on final answers should it not:
// whatever is still open then has failed, and its attempts have timed out. Where it is the program's time
// that is up, the client is told whether it may ask another one.
void Broker::expire(Nanos now) {
  if (!open_.overdue(now)) return;
  while (const auto no = open_.overdue(now)) {
    auto* open = open_.find(*no);
    const bool early = now < open->clientDue();
    const auto effect = terms_.settings.classes[static_cast<std::size_t>(open->request.queryClass)].effect;
    const bool refused = early && !open->streaming && (effect == Effect::safe || !open->mayHaveRun());
    if (!open->streaming)
      log_.line(early ? "request.cut_at_end" : "request.overdue",
                "request=" + std::to_string(*no) + " id=" + open->request.id);
    send_.cancelAll(*no, *open);
    if (refused) {
      book_.refuse(*no, terms_.settings.maxRetryAfter);
    } else {
      book_.fail(*no, !early);
    }
    route_.add(QueryExpired{Route::queryId(*no)});
  }
  turn();
}

// One wake at a time is asked for, the earliest that is needed.
void Broker::arm() {
  Nanos next = open_.firstDue().value_or(std::numeric_limits<Nanos>::max());
  if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
  if (next >= armedFor_) return;
  armedFor_ = next;
  clock_.wakeAt(next);
}

void Broker::run() {
  const bool together = terms_.turnsTogetherFrom > 0 && open_.count() >= terms_.turnsTogetherFrom;
  if (!together && !clock_.gathering()) return turn();
  if (std::exchange(turnAwaited_, true)) return;
  clock_.wakeAt(clock_.now());
}

void Broker::turn() {
  turnAwaited_ = false;
  route_.run(clock_.now(), [this](const Action& action) { carryOut(action); });
  arm();
}

// The request is about to get its final answer: what is still out for it is called off first, while the
// backend's attempts can still be named.
RequestNo Broker::end(const std::string& query, bool answered) {
  const auto no = Route::parse(query).request;
  auto* open = open_.find(no);
  if (!open || open->streaming) return 0;
  send_.cancelAll(no, *open);
  if (!answered) log_.line("request.unserved", history(*open, terms_.settings, clock_.now()));
  return no;
}

void Broker::carryOut(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    const auto part = Route::parse(send->part);
    if (const auto notSent = send_.send(part, *send, clock_.now())) {
      const auto* open = open_.find(part.request);
      log_.line("attempt.not_sent",
                "request=" + std::to_string(part.request) + (open ? " id=" + open->request.id : ""));
      attemptEnded(*notSent, Outcome::notSent);
    }
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    auto id = Route::parse(cancel->part);
    id.attempt = cancel->attempt;
    if (const auto* open = open_.find(id.request); open && !open->streaming) send_.cancel(id);
  } else if (const auto* answer = std::get_if<Answer>(&action)) {
    const auto no = end(answer->query, true);
    book_.answer(no, answer->whole);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const auto no = end(refuse->query, false);
    book_.refuse(no, refuse->retryAfter);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    const auto no = end(fail->query, false);
    book_.fail(no, false);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    const Nanos at = clock_.now() + timer->wait;
    timers_.emplace(at, timer->token);
  } else if (const auto* text = std::get_if<topazweir::Log>(&action)) {
    log_.line("module", terms_.name.empty() ? text->text : "pool=" + terms_.name + " " + text->text);
  }
}

}  // namespace topazweir::broker
