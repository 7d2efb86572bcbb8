// The core: requests pass take_in, admit, route, send, relay and book. It owns the open requests, their
// deadlines, the contracts, the budgets of attempts and the counters, and knows no wire.
#pragma once

#include <limits>
#include <optional>
#include <variant>

#include "broker/admit.hpp"
#include "broker/book.hpp"
#include "broker/contract.hpp"
#include "broker/counters.hpp"
#include "broker/log.hpp"
#include "broker/ports.hpp"
#include "broker/relay.hpp"
#include "broker/route.hpp"
#include "broker/send.hpp"
#include "broker/take_in.hpp"

namespace topazweir::broker {

struct Invalid {
  std::string why;
};

class Broker {
 public:
  Broker(Terms terms, Clock& clock, Backend& backend, Log& log);

  // Checks the request. A valid one is taken: its one final answer comes through the front, after this call
  // has returned (`begin` starts it), so that the front can note the number first.
  std::variant<RequestNo, Invalid> take(Request request, Front& front);
  void begin(RequestNo no);
  void abandon(RequestNo no);  // the client has left
  void attemptEnded(const AttemptId& id, Outcome outcome, std::string value = {});
  // A request of one part: the attempt has begun its answer, which ends with settle(). `heard`: it was the
  // server that spoke; else the request itself is too long or too slow for a further attempt, which says
  // nothing of the server. False: the request is over, or another attempt's.
  bool attemptBegan(const AttemptId& id, bool heard);
  // The attempt has ended, and the request ends with it, whatever the module would do next.
  void settle(const AttemptId& id, Outcome outcome, Verdict verdict);
  // The front can't go on with the request: it has failed, and what is out for it is called off.
  void giveUp(RequestNo no);
  void told(ListNews news);
  // Another process that stands under the same ceilings has sent to a server.
  void sentElsewhere(ServerId server, Nanos at);
  // So many aggregators send to the same nodes from now on, and this is that one of them.
  void fleet(int aggregators, int number) { route_.add(FleetChanged{aggregators, number}); }
  // The program ends: what is open then has its final answer by that time, and so has what comes after.
  void endBy(Nanos at);
  // New limits and quotas from now on; the module's settings and the tenants' names stay as they are.
  void agree(const Terms& terms);
  void wake();

  const Counters& counters() const { return counters_; }
  const Terms& terms() const { return terms_; }
  std::size_t open() const { return open_.count(); }
  std::size_t held() const { return open_.held(); }
  std::size_t rate(std::size_t tenant) const { return admit_.rate(tenant, clock_.now()); }

 private:
  void run();   // a turn of the module, now or together with what else comes
  void turn();  // now
  void carryOut(const Action& action);
  RequestNo end(const std::string& query, bool answered);  // 0: it is over, or the client's already
  void expire(Nanos now);
  void arm();
  void over(RequestNo no);  // tells the module so and goes on

  Terms terms_;
  Clock& clock_;
  Log& log_;
  Counters counters_;
  OpenRequests open_;
  TakeIn takeIn_;
  Admit admit_;
  Route route_;
  SendOut send_;
  Relay relay_;
  Book book_;
  std::multimap<Nanos, std::int64_t> timers_;  // the module's
  bool turnAwaited_ = false;
  Nanos endBy_ = std::numeric_limits<Nanos>::max();
  Nanos armedFor_ = std::numeric_limits<Nanos>::max();
};

}  // namespace topazweir::broker
