#include "grpc/front.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <fmt/format.h>

#include <algorithm>

#include "calls/shard.hpp"
#include "calls/timeout.hpp"

namespace topazweir::grpc {

namespace {

constexpr Nanos kSweep = 20'000'000;
constexpr Nanos kStalled =
    5'000'000'000;                    // a client that has taken nothing for so long, while buffers are short
constexpr Nanos kShed = 500'000'000;  // when to come back, where the buffers are full
constexpr Nanos kLastMoment = 5'000'000;
constexpr int kBacklog = 512;
constexpr std::size_t kHealthBody = 1024;

// Our own status as the head of a response that is nothing else ("Trailers-Only").
calls::Fields headOf(int http, const calls::Fields& trailers) {
  calls::Fields out{{":status", std::to_string(http)}, {"content-type", "application/grpc"}};
  out.insert(out.end(), trailers.begin(), trailers.end());
  return out;
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

Front::Front(net::Loop& loop, broker::Log& log, std::shared_ptr<const Plan> plan)
    : loop_(loop), log_(log), plan_(std::move(plan)) {
  pressure_.most = plan_->config.bufferBytes;
  // Not shared: a second process on the same address would get half of the connections, unseen.
  listener_.bind(Poco::Net::SocketAddress(plan_->config.listen), true, false);
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  listen(true);
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

Front::~Front() {
  loop_.cancel(sweepTimer_);
  listen(false);
  for (auto& [session, client] : clients_) session->close();
}

void Front::use(std::shared_ptr<const Plan> plan, std::vector<Core*> cores) {
  plan_ = std::move(plan);
  cores_ = std::move(cores);
  pressure_.most = plan_->config.bufferBytes;
  tellWatches();
}

void Front::listen(bool on) {
  if (listening_ == on) return;
  const Poco::Observer<Front, Poco::Net::ReadableNotification> observer(*this, &Front::onAccept);
  on ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  listening_ = on;
}

void Front::onAccept(Poco::Net::ReadableNotification* event) {
  event->release();
  while (!closing_) {
    // At the limit the backlog waits: it is looked at again as soon as a connection ends.
    if (clients_.size() >= plan_->config.connections) {
      log_.line("grpc.connection_limit", fmt::format("connections={}", clients_.size()));
      return listen(false);
    }
    try {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      const auto& c = plan_->config;
      http2::Limits limits;
      limits.headBytes = c.headBytes;
      limits.streams = static_cast<std::uint32_t>(c.streams);
      limits.window = c.window;
      limits.keepalive = c.keepalive;
      auto client = std::make_unique<Client>();
      client->session = http2::Session::accept(loop_, listener_.acceptConnection(), limits, *this);
      client->progressAt = loop_.now();
      clients_[client->session.get()] = std::move(client);
    } catch (const Poco::Exception& error) {  // the client left meanwhile, or no descriptor was left
      log_.line("grpc.accept_failed", error.displayText());
      return;
    }
  }
}

std::shared_ptr<Exchange> Front::find(http2::Session& session, http2::StreamId id) const {
  const auto client = clients_.find(&session);
  if (client == clients_.end()) return nullptr;
  const auto at = client->second->streams.find(id);
  return at == client->second->streams.end() ? nullptr : at->second;
}

// Words for a client whose call was not taken. What else it sends on the stream is thrown away.
void Front::refuse(http2::Session& session, http2::StreamId id, int http, calls::Code code,
                   std::string_view words, std::optional<Nanos> comeBack) {
  ++counters_.statuses[static_cast<std::size_t>(code)];
  session.respondOnly(id, headOf(http, calls::writeStatus(code, words, comeBack)));
}

void Front::onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  ++counters_.calls;
  if (head.empty()) {
    ++counters_.malformed;
    return refuse(session, id, 431, calls::Code::resourceExhausted,
                  fmt::format("the head is over headBytes, {}", plan_->config.headBytes));
  }
  if (const auto fault = calls::faultOf(head)) {
    ++counters_.malformed;
    return refuse(session, id, fault->http, fault->code, fault->words);
  }
  take(session, id, std::move(head), end);
}

std::string Front::nextId(const calls::Fields& head) {
  const auto given = calls::find(head, "x-request-id").value_or("");
  if (!given.empty() && given.size() <= 64 && printable(given)) {
    // Clients may repeat theirs: the number keeps it unique among the open calls.
    return fmt::format("{}-{}", given, ++lastId_);
  }
  return fmt::format("g{}", ++lastId_);
}

void Front::take(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  const auto& plan = *plan_;
  const auto path = *calls::readPath(*calls::find(head, ":path"));
  const bool health = path.service == kHealthService;
  static const calls::Policy kOwn;
  const auto route = health ? std::optional<std::size_t>(0) : plan.routes.find(head);
  if (!route) {
    ++counters_.unrouted;
    return refuse(session, id, 200, calls::Code::unimplemented,
                  fmt::format("no route for {}", *calls::find(head, ":path")));
  }
  const auto& chosen = plan.config.routes[*route];
  auto exchange = std::make_shared<Exchange>(health ? kOwn : chosen.policy, pressure_);
  exchange->id = nextId(head);
  exchange->plan = plan_;
  exchange->client = this;
  exchange->session = &session;
  exchange->stream = id;
  exchange->takenAt = loop_.now();
  auto& streams = clients_.at(&session)->streams;
  if (health) {
    ++counters_.health;
    exchange->head = std::move(head);
    streams[id] = exchange;
    if (end) exchange->call.requestEnd(), answerHealth(*exchange);
    return;
  }
  exchange->route = &chosen;
  if (pressure_.full()) {
    ++counters_.shed;
    return refuse(session, id, 200, calls::Code::resourceExhausted,
                  "the buffers are full; asking again is harmless", kShed);
  }
  const auto& pool = plan.config.pools[chosen.pool];
  int shard = 0;
  if (!pool.shardBy.empty()) {
    const auto key = calls::find(head, pool.shardBy);
    if (!key) {
      ++counters_.malformed;
      return refuse(session, id, 200, calls::Code::invalidArgument,
                    fmt::format("{} is missing: it says which shard", pool.shardBy));
    }
    shard = calls::shardOf(*key, pool.shards);
  }
  std::optional<Nanos> asked;
  if (const auto timeout = calls::find(head, "grpc-timeout")) asked = calls::readTimeout(*timeout);
  broker::Request request;
  request.id = exchange->id;
  request.queryClass = chosen.queryClass;
  request.timeLeft = calls::timeFor(asked, chosen.limits.deadline);
  request.repeat = calls::find(head, "grpc-previous-rpc-attempts").has_value();
  request.parts.push_back({shard, 1.0});
  if (request.timeLeft <= 0)
    return refuse(session, id, 200, calls::Code::deadlineExceeded, "the time for the call has run out");
  exchange->due = exchange->takenAt + request.timeLeft;
  exchange->head = std::move(head);
  Core& core = *cores_[chosen.pool];
  exchange->upstream = &core.backend();
  if (const auto why = core.take(std::move(request), exchange)) {
    ++counters_.malformed;
    return refuse(session, id, 200, calls::Code::invalidArgument, *why);
  }
  streams[id] = exchange;
  if (end) {
    exchange->call.requestEnd();
  } else {
    unended_.emplace(exchange->takenAt, exchange.get());
  }
  core.begin(*exchange);
}

void Front::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  const auto e = find(session, id);
  if (!e || e->trailers) return session.consume(id, bytes.size());  // answered already: thrown away
  const bool kept = e->call.requestData(bytes);
  if (kept) session.consume(id, bytes.size());
  if (e->call.requestTooLarge())
    return fail(*e, calls::Code::resourceExhausted, "a message is over messageBytes");
  if (!e->core) {
    if (e->call.request().end() > kHealthBody)
      fail(*e, calls::Code::invalidArgument, "no health check is so long");
    return;
  }
  e->upstream->requestMore(*e);
}

void Front::onEnd(http2::Session& session, http2::StreamId id, calls::Fields) {
  const auto e = find(session, id);
  if (!e || e->trailers) return;
  e->call.requestEnd();
  if (!e->core) return answerHealth(*e);
  unended_.erase({e->takenAt, e.get()});
  e->upstream->requestMore(*e);
}

void Front::fail(Exchange& e, calls::Code code, std::string_view words) {
  if (e.trailers) return;
  e.verdict = {calls::Class::failed, code, calls::writeStatus(code, words, std::nullopt), false};
  e.core ? e.core->giveUp(e) : end(e, *e.verdict);  // without a core: a health check
}

void Front::end(Exchange& e, calls::Final final) {
  ++counters_.statuses[static_cast<std::size_t>(final.code)];
  const bool whole = calls::find(final.trailers, ":status").has_value();  // it came as a head of its own
  e.trailers = std::move(final.trailers);
  if (!e.session) return;
  if (e.headSent) {
    if (whole) std::erase_if(*e.trailers, [](const auto& f) { return f.name.front() == ':'; });
    e.session->resume(e.stream);
  } else {
    e.session->respondOnly(e.stream, whole ? *e.trailers : headOf(200, *e.trailers));
  }
}

// The client's stream is over, in order or not.
void Front::onClosed(http2::Session& session, http2::StreamId id, std::uint32_t) {
  const auto client = clients_.find(&session);
  if (client == clients_.end()) return;
  const auto at = client->second->streams.find(id);
  if (at == client->second->streams.end()) return;
  const auto e = at->second;
  client->second->streams.erase(at);
  leave(*e);
}

void Front::leave(Exchange& e) {
  e.client = nullptr;
  e.session = nullptr;
  watches_.erase(&e);
  if (!e.core || e.trailers) return;  // it has had its status
  ++counters_.cancelled;
  unended_.erase({e.takenAt, &e});
  e.core->abandon(e);
}

http2::Pulled Front::onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) {
  const auto e = find(session, id);
  if (!e) return {0, http2::Pulled::Then::end, {}};
  http2::Pulled out;
  out.size = e->response.read(e->responseTaken, to, most);
  e->responseTaken += out.size;
  e->response.release(e->responseTaken);
  if (out.size > 0) clients_.at(&session)->progressAt = loop_.now();
  if (out.size > 0 && e->upstream) e->upstream->responseTaken(*e, out.size);
  if (e->responseTaken < e->response.end()) {
    out.then = http2::Pulled::Then::more;
  } else if (e->trailers) {
    out.then = http2::Pulled::Then::trailers;
    out.last = *e->trailers;
  } else {
    out.then = http2::Pulled::Then::wait;
  }
  return out;
}

void Front::requestTaken(Exchange& e, std::size_t bytes) {
  if (e.session) e.session->consume(e.stream, bytes);
}

void Front::responseHead(Exchange& e) {
  if (!e.session || e.headSent) return;
  e.headSent = true;
  e.session->respond(e.stream, e.responseHead);
}

void Front::responseMore(Exchange& e) {
  if (e.session && e.headSent) e.session->resume(e.stream);
}

void Front::finished(Exchange& exchange, const broker::FinalAnswer& answer) {
  auto* e = &exchange;
  unended_.erase({e->takenAt, e});
  const auto counted = answer.verdict == broker::Verdict::answered  ? calls::Class::answered
                       : answer.verdict == broker::Verdict::refused ? calls::Class::refused
                                                                    : calls::Class::failed;
  // The module gives a call up a moment before its time is up: that is the same thing for its client.
  const bool overdue =
      answer.timedOut || (counted != calls::Class::answered && loop_.now() + kLastMoment >= e->due);
  auto final = e->call.finish(counted, overdue, answer.retryAfter);
  if (e->verdict) final = *e->verdict;
  report(*e, final);
  end(*e, std::move(final));
}

void Front::report(const Exchange& e, const calls::Final& final) {
  const bool good = final.counted == calls::Class::answered;
  if (good && !plan_->config.logCalls) return;
  log_.line(
      good ? "grpc.call" : "grpc.call_failed",
      fmt::format("call={} route={} path={} status={} attempts={} ms={:.1f} backend={} from={}{}{}", e.id,
                  e.route->name, calls::find(e.head, ":path").value_or(""), calls::nameOf(final.code),
                  e.attempts, static_cast<double>(loop_.now() - e.takenAt) / 1e6,
                  e.lastBackend.empty() ? "-" : e.lastBackend, final.fromBackend ? "backend" : "broker",
                  e.lastWhy.empty() ? "" : " why=", e.lastWhy));
}

// ---- health ----

Serving Front::servingOf(const std::string& service) const {
  if (draining_) return Serving::notServing;
  if (service.empty()) return Serving::serving;
  const auto& config = plan_->config;
  bool known = false;
  for (const auto& route : config.routes) {
    if (route.match.service != service || route.match.kind < calls::Match::Kind::service) continue;
    known = true;
    const auto& pool = config.pools[route.pool];
    std::set<int> held;
    for (const auto& b : pool.backends)
      if (b.state == ServerState::up) held.insert(b.shards.begin(), b.shards.end());
    if (held.size() < static_cast<std::size_t>(pool.shards)) return Serving::notServing;
  }
  return known ? Serving::serving : Serving::serviceUnknown;
}

void Front::answerHealth(Exchange& e) {
  std::string body(e.call.request().kept(), '\0');
  e.call.request().read(0, body.data(), body.size());
  const auto service = readHealthRequest(body);
  if (!service) return fail(e, calls::Code::invalidArgument, "no HealthCheckRequest");
  const auto path = *calls::find(e.head, ":path");
  const bool watch = path.substr(path.rfind('/')) == "/Watch";
  if (!watch && path.substr(path.rfind('/')) != "/Check")
    return fail(e, calls::Code::unimplemented, "Check or Watch");
  const auto status = servingOf(*service);
  if (!watch && status == Serving::serviceUnknown) return fail(e, calls::Code::notFound, "unknown service");
  e.response.append(writeHealthResponse(status));
  e.headSent = true;
  if (watch) {
    watches_[&e] = {find(*e.session, e.stream), *service, status};
  } else {
    ++counters_.statuses[0];
    e.trailers = calls::writeStatus(calls::Code::ok, "", std::nullopt);
  }
  e.session->respond(e.stream, headOf(200, {}));
}

void Front::tellWatches() {
  for (auto& [e, watch] : watches_) {
    const auto status = servingOf(watch.service);
    if (status == watch.told) continue;
    watch.told = status;
    e->response.append(writeHealthResponse(status));
    if (e->session) e->session->resume(e->stream);
  }
}

// ---- the end of connections ----

void Front::onFlood(http2::Session&, std::string_view what) {
  ++counters_.floods;
  log_.line("grpc.flood", fmt::format("what=\"{}\"", what));
}

void Front::onGone(http2::Session& session, net::ConnectionEnd) {
  const auto at = clients_.find(&session);
  if (at == clients_.end()) return;
  const std::shared_ptr<Client> client = std::move(at->second);
  clients_.erase(at);
  for (const auto& [id, e] : std::exchange(client->streams, {})) leave(*e);
  loop_.soon([client] {});  // it is in the midst of a call to this
  if (!closing_) listen(true);
}

std::size_t Front::streams() const {
  std::size_t sum = 0;
  for (const auto& [session, client] : clients_) sum += client->streams.size();
  return sum;
}

void Front::drain() {
  draining_ = true;
  tellWatches();
}

void Front::stopAccepting() {
  if (closing_) return;
  closing_ = true;
  listen(false);
  listener_.close();
  cutAt_ = loop_.now() + plan_->config.drain;
  for (auto& [session, client] : clients_) session->shutdown();
}

void Front::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  const Nanos now = loop_.now();
  // A request that stays open for long is a stream: its server's silence says nothing, and it is not
  // repeated.
  while (!unended_.empty() && now - unended_.begin()->first > plan_->config.openAfter) {
    auto* e = unended_.begin()->second;
    unended_.erase(unended_.begin());
    e->slow = true;
    e->upstream->keep(*e);
  }
  if (closing_ && now >= cutAt_) {
    std::vector<std::shared_ptr<Exchange>> open;
    for (const auto& [session, client] : clients_)
      for (const auto& [id, e] : client->streams)
        if (!e->trailers) open.push_back(e);
    for (const auto& e : open) {
      ++counters_.cutAtDrain;
      fail(*e, calls::Code::unavailable, "the broker is going away");
    }
  }
  if (!pressure_.full()) return;
  // The buffers are full: who has taken nothing for longest holds them.
  http2::Session* worst = nullptr;
  for (const auto& [session, client] : clients_) {
    const bool holds = std::any_of(client->streams.begin(), client->streams.end(),
                                   [](const auto& s) { return s.second->response.kept() > 0; });
    if (!holds || now - client->progressAt < kStalled) continue;
    if (!worst || client->progressAt < clients_.at(worst)->progressAt) worst = session;
  }
  if (worst) worst->calm("reads nothing while the buffers are full");
}

}  // namespace topazweir::grpc
