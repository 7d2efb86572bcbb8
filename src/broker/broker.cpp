#include "broker/broker.hpp"

#include <algorithm>
#include <utility>

#include "broker/history.hpp"

namespace topazweir::broker {

Broker::Broker(Terms terms, Clock& clock, Backend& backend, Log& log, memory::Budget* buffers)
    : terms_(std::move(terms)),
      clock_(clock),
      log_(log),
      intake_(terms_, open_, buffers),
      admission_(terms_, open_, buffers),
      module_(terms_.settings),
      sender_(terms_, open_, backend, counters_),
      recorder_(open_, counters_),
      finisher_(open_, counters_, clock) {
  for (const auto& contract : terms_.contracts) counters_.tenants.push_back({.name = contract.tenant});
}

std::variant<RequestNo, Invalid> Broker::take(Request request, Front& front) {
  if (auto why = intake_.validate(request, clock_.now())) {
    ++counters_.invalid;
    return Invalid{std::move(*why)};
  }
  return intake_.take(std::move(request), front, clock_.now(), endBy_);
}

void Broker::begin(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  const Nanos now = clock_.now();
  const auto& request = open->request;
  const bool overQuota = admission_.beyondQuota(request, now);
  ++counters_.taken;
  if (!counters_.tenants.empty()) {
    auto& tenant = counters_.tenants[static_cast<std::size_t>(request.tenant)];
    ++tenant.taken;
    if (overQuota) ++tenant.overQuota;
  }
  if (now >= endBy_) return finisher_.refuse(no, terms_.settings.maxRetryAfter);
  if (const auto retryAfter = admission_.refusal()) {
    ++counters_.turnedAway;
    return finisher_.refuse(no, *retryAfter);
  }
  module_.addRequest(no, *open);
  runTurn();
}

void Broker::abandon(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  sender_.cancelAll(no, *open);
  log_.line("request.abandoned", history(*open, terms_.settings, clock_.now()));
  finisher_.abandon(no);
  reportEnd(no);
}

void Broker::reportEnd(RequestNo no) {
  module_.add(QueryExpired{ModuleDriver::queryId(no)});
  runTurn();
}

bool Broker::attemptStreaming(const AttemptId& id, bool heard) {
  auto* open = open_.find(id.request);
  if (!open || open->parts.size() != 1) return false;
  if (open->streaming) return open->streaming->attempt == id.attempt;
  auto& attempts = open->parts.front().attempts;
  const auto nth = static_cast<std::size_t>(id.attempt);
  if (id.part != 0 || nth >= attempts.size() || !attempts[nth].isOutstanding()) return false;
  open->streaming = Streaming{id.part, id.attempt};
  ++counters_.streamed;
  sender_.cancelOthers(id.request, *open);
  // Reported to the module as delivered: it ranks servers by the time until the answer begins. Its
  // actions for this query are not carried out any more, since the answer is already on its way.
  if (heard)
    module_.add(AttemptEnded{ModuleDriver::partId(id.request, 0), id.attempt, attempts[nth].server,
                             Outcome::delivered, clock_.now() - attempts[nth].sentAt});
  reportEnd(id.request);
  return true;
}

void Broker::settle(const AttemptId& id, Outcome outcome, Verdict verdict) {
  auto* open = open_.find(id.request);
  if (!open) return;
  const bool streamed = open->streaming.has_value();
  if (streamed && open->streaming->attempt != id.attempt) return;
  auto event = recorder_.ended(id, outcome, {}, clock_.now());
  if (!event) return;
  sender_.cancelAll(id.request, *open);
  switch (verdict) {
    case Verdict::answered:
      finisher_.answer(id.request, true);
      break;
    case Verdict::refused:
      finisher_.refuse(id.request, 0);
      break;
    case Verdict::failed:
      // Not timed out: the server may have reported a time-out before the deadline.
      finisher_.fail(id.request, false);
      break;
  }
  if (streamed) return;  // attemptStreaming() has already reported the end to the module
  module_.add(std::move(*event));
  reportEnd(id.request);
}

void Broker::failRequest(RequestNo no) {
  auto* open = open_.find(no);
  if (!open) return;
  sender_.cancelAll(no, *open);
  finisher_.fail(no, false);
  reportEnd(no);
}

void Broker::attemptEnded(const AttemptId& id, Outcome outcome, std::string value) {
  auto event = recorder_.ended(id, outcome, std::move(value), clock_.now());
  if (!event) return;
  module_.add(std::move(*event));
  runTurn();
}

void Broker::updateServers(ServerListUpdate news) {
  module_.add(std::move(news));
  runTurn();
}

void Broker::recordSendByOtherProcess(ServerId server, Nanos at) { module_.add(SentElsewhere{server, at}); }

void Broker::agree(const Terms& terms) {
  terms_.contracts = terms.contracts;
  terms_.overShareWorth = terms.overShareWorth;
  terms_.maxOpen = terms.maxOpen;
}

void Broker::wake() {
  const Nanos now = clock_.now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    module_.add(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  // A wake-up for another reason leaves the scheduled one in place; otherwise wake-ups would multiply.
  if (now >= nextWake_) nextWake_ = std::numeric_limits<Nanos>::max();
  runTurnNow();
  endOverdue(now);
  scheduleWake();
}

void Broker::setShutdownDeadline(Nanos at) {
  endBy_ = std::min(endBy_, at);
  open_.capDue(endBy_);
  scheduleWake();
}

// The module ends each query before its deadline. This enforces the rule of one final answer should it not: a
// request that is still open when due fails. If it is cut short by the end of a graceful shutdown, before the
// client's deadline, it is refused instead where a retry elsewhere is safe.
void Broker::endOverdue(Nanos now) {
  if (!open_.overdue(now)) return;
  while (const auto no = open_.overdue(now)) {
    auto* open = open_.find(*no);
    const bool early = now < open->clientDue();
    const auto effect = terms_.settings.classes[static_cast<std::size_t>(open->request.queryClass)].effect;
    const bool refused = early && !open->streaming && (effect == Effect::safe || !open->mayHaveRun());
    if (!open->streaming)
      log_.line(early ? "request.cut_at_end" : "request.overdue",
                "request=" + std::to_string(*no) + " id=" + open->request.id);
    sender_.cancelAll(*no, *open);
    if (refused) {
      finisher_.refuse(*no, terms_.settings.maxRetryAfter);
    } else {
      finisher_.fail(*no, !early);
    }
    module_.add(QueryExpired{ModuleDriver::queryId(*no)});
  }
  runTurnNow();
}

// Requests a wake-up for the earliest due time unless an earlier one is already scheduled.
void Broker::scheduleWake() {
  Nanos next = open_.firstDue().value_or(std::numeric_limits<Nanos>::max());
  if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
  if (next >= nextWake_) return;
  nextWake_ = next;
  clock_.wakeAt(next);
}

void Broker::runTurn() {
  const bool batched = terms_.batchTurnsFrom > 0 && open_.count() >= terms_.batchTurnsFrom;
  if (!batched && !clock_.gathering()) return runTurnNow();
  if (std::exchange(turnPending_, true)) return;
  clock_.wakeAt(clock_.now());
}

void Broker::runTurnNow() {
  turnPending_ = false;
  module_.run(clock_.now(), [this](const Action& action) { carryOut(action); });
  scheduleWake();
}

// Attempts are cancelled before the final answer, because the request's attempt ids are gone after it.
RequestNo Broker::prepareEnd(const std::string& query, bool answered) {
  const auto no = ModuleDriver::parse(query).request;
  auto* open = open_.find(no);
  if (!open || open->streaming) return 0;
  sender_.cancelAll(no, *open);
  if (!answered) log_.line("request.unserved", history(*open, terms_.settings, clock_.now()));
  return no;
}

void Broker::carryOut(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    const auto part = ModuleDriver::parse(send->part);
    if (const auto notSent = sender_.send(part, *send, clock_.now())) {
      const auto* open = open_.find(part.request);
      log_.line("attempt.not_sent",
                "request=" + std::to_string(part.request) + (open ? " id=" + open->request.id : ""));
      attemptEnded(*notSent, Outcome::notSent);
    }
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    auto id = ModuleDriver::parse(cancel->part);
    id.attempt = cancel->attempt;
    if (const auto* open = open_.find(id.request); open && !open->streaming) sender_.cancel(id);
  } else if (const auto* answer = std::get_if<Answer>(&action)) {
    const auto no = prepareEnd(answer->query, true);
    finisher_.answer(no, answer->whole);
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const auto no = prepareEnd(refuse->query, false);
    finisher_.refuse(no, refuse->retryAfter);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    const auto no = prepareEnd(fail->query, false);
    finisher_.fail(no, false);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    const Nanos at = clock_.now() + timer->wait;
    timers_.emplace(at, timer->token);
  } else if (const auto* text = std::get_if<topazweir::Log>(&action)) {
    log_.line("module", terms_.name.empty() ? text->text : "pool=" + terms_.name + " " + text->text);
  }
}

}  // namespace topazweir::broker
