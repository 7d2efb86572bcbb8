// The core of an aggregator, independent of any wire protocol. A request passes the stages intake, admission
// control, route, send, relay and finish. The core owns the open requests, their deadlines, the tenants'
// contracts, the limits on attempts and the counters.
#pragma once

#include <limits>
#include <optional>
#include <variant>

#include "broker/admit.hpp"
#include "broker/contract.hpp"
#include "broker/counters.hpp"
#include "broker/finish.hpp"
#include "broker/log.hpp"
#include "broker/ports.hpp"
#include "broker/relay.hpp"
#include "broker/route.hpp"
#include "broker/send.hpp"
#include "broker/take_in.hpp"

namespace topazweir::broker {

// Why a request was not taken, as an error message for its client.
struct Invalid {
  std::string why;
};

class Broker {
 public:
  // `buffers`: what open requests hold counts against it, and new ones are refused while it is full; null: no
  // such limit.
  Broker(Terms terms, Clock& clock, Backend& backend, Log& log, memory::Budget* buffers = nullptr);

  // Validates the request and registers it if it is valid. Its processing starts with begin(), so that the
  // front can store the number before the final answer arrives.
  std::variant<RequestNo, Invalid> take(Request request, Front& front);
  void begin(RequestNo no);
  // The client has disconnected: cancels the request's attempts; it gets no final answer.
  void abandon(RequestNo no);
  void attemptEnded(const AttemptId& id, Outcome outcome, std::string value = {});
  // Commits a request of one part to this attempt, whose answer has begun to stream and will end with
  // settle(). `heard`: the server has begun to respond. Otherwise the request is committed because it is too
  // long or too slow to be retried, which is no evidence about the server. Returns false if the request has
  // ended or is committed to another attempt.
  bool attemptStreaming(const AttemptId& id, bool heard);
  // The attempt has ended and the request ends with it; the module is not asked for a retry.
  void settle(const AttemptId& id, Outcome outcome, Verdict verdict);
  // The front cannot continue with the request: cancels its attempts and fails it.
  void failRequest(RequestNo no);
  // An update of the server list from discovery.
  void updateServers(ServerListUpdate news);
  // Another process that shares this one's slow-start limits has sent to the server.
  void recordSendByOtherProcess(ServerId server, Nanos at);
  // Sets the number of aggregators that send to the same nodes and this one's index among them.
  void fleet(int aggregators, int number) { module_.add(FleetChanged{aggregators, number}); }
  // Graceful shutdown: every request that is open or taken later has its final answer by `at`.
  void setShutdownDeadline(Nanos at);
  // Applies changed limits and quotas. The module's settings and the tenants' names must not change.
  void agree(const Terms& terms);
  // Runs due timers and fails overdue requests; called by the clock.
  void wake();

  const Counters& counters() const { return counters_; }
  const Terms& terms() const { return terms_; }
  std::size_t open() const { return open_.count(); }  // requests
  std::size_t held() const { return open_.held(); }   // queries and parts
  // The tenant's requests within the last second.
  std::size_t rate(std::size_t tenant) const { return admission_.rate(tenant, clock_.now()); }

 private:
  // Runs a turn of the module now, or batches it with later events (Terms::batchTurnsFrom, gathering()).
  void runTurn();
  // Runs a turn of the module at once.
  void runTurnNow();
  void carryOut(const Action& action);
  // Cancels what is outstanding before a final answer. Returns the request's number, or 0 if it has ended or
  // its answer is already streaming to the client.
  RequestNo prepareEnd(const std::string& query, bool answered);
  void endOverdue(Nanos now);
  void scheduleWake();
  // Reports the request's end to the module and runs a turn.
  void reportEnd(RequestNo no);

  Terms terms_;
  Clock& clock_;
  Log& log_;
  Counters counters_;
  OpenRequests open_;
  Intake intake_;
  AdmissionControl admission_;
  ModuleDriver module_;
  AttemptSender sender_;
  OutcomeRecorder recorder_;
  Finisher finisher_;
  std::multimap<Nanos, std::int64_t> timers_;           // the module's timer tokens by due time
  bool turnPending_ = false;                            // a batched turn awaits its wake-up
  Nanos endBy_ = std::numeric_limits<Nanos>::max();     // end of the graceful shutdown; max: none
  Nanos nextWake_ = std::numeric_limits<Nanos>::max();  // earliest wake-up requested; max: none
};

}  // namespace topazweir::broker
