#include "grpc/front.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <fmt/format.h>

#include <algorithm>

#include "calls/shard.hpp"
#include "calls/timeout.hpp"

namespace topazweir::grpc {

namespace {

// How often long-open requests, the drain deadline and the buffers are checked.
constexpr Nanos kSweepIntervalNs = 20'000'000;
// While the buffers are full, a client that has taken no byte for this long loses its connection.
constexpr Nanos kStalledClientNs = 5'000'000'000;
// Retry advice to clients whose calls are shed because the buffers are full.
constexpr Nanos kShedRetryAfterNs = 500'000'000;
// A call that fails within this time of its deadline ends with DEADLINE_EXCEEDED: the decision module ends
// calls shortly before their deadline.
constexpr Nanos kDeadlineMarginNs = 5'000'000;
// Connections that may wait in the kernel to be accepted.
constexpr int kListenBacklog = 512;
// Longer bodies of health checks are refused.
constexpr std::size_t kMaxHealthRequestBytes = 1024;
// Status message of calls that are ended by the shutdown.
constexpr std::string_view kGoingAwayMessage = "the broker is going away";
// What an open call takes beside its header fields and the bytes of its messages.
constexpr std::size_t kCallBytes = 5 * 1024;
constexpr std::string_view kBuffersFullMessage = "the buffers are full; asking again is harmless";
// A longer x-request-id of a client is ignored.
constexpr std::size_t kMaxRequestIdBytes = 64;

// Header fields of a response of the broker's own; with the final status in `trailers`, it is the whole
// response (gRPC: Trailers-Only).
calls::Fields ownResponseHead(int httpStatus, const calls::Fields& trailers) {
  calls::Fields out{{":status", std::to_string(httpStatus)}, {"content-type", "application/grpc"}};
  out.insert(out.end(), trailers.begin(), trailers.end());
  return out;
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

Front::Front(net::Loop& loop, broker::Log& log, std::shared_ptr<const Plan> plan)
    : loop_(loop), log_(log), plan_(std::move(plan)), buffers_(plan_->config.bufferBytes, &loop.buffers()) {
  // Without SO_REUSEPORT: a second process on the same address would silently get half of the connections.
  listener_.bind(Poco::Net::SocketAddress(plan_->config.listen), true, false);
  listener_.listen(kListenBacklog);
  listener_.setBlocking(false);
  setListening(true);
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
}

Front::~Front() {
  loop_.cancel(sweepTimer_);
  setListening(false);
  for (auto& [session, client] : clients_) session->close();
}

void Front::updatePlan(std::shared_ptr<const Plan> plan, std::vector<Core*> cores) {
  plan_ = std::move(plan);
  cores_ = std::move(cores);
  buffers_.setLimit(plan_->config.bufferBytes);
  notifyWatches();
}

void Front::setListening(bool on) {
  if (listening_ == on) return;
  const Poco::Observer<Front, Poco::Net::ReadableNotification> observer(*this, &Front::onAccept);
  if (on) {
    loop_.addEventHandler(listener_, observer);
  } else {
    loop_.removeEventHandler(listener_, observer);
  }
  listening_ = on;
}

void Front::onAccept(Poco::Net::ReadableNotification* event) {
  event->release();
  while (!closing_) {
    // At the limit, new connections wait in the listen backlog until a connection ends.
    if (clients_.size() >= plan_->config.connections) {
      log_.line("grpc.connection_limit", fmt::format("connections={}", clients_.size()));
      return setListening(false);
    }
    try {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      const auto& config = plan_->config;
      http2::Limits limits;
      limits.headBytes = config.headBytes;
      limits.streams = static_cast<std::uint32_t>(config.streams);
      limits.window = config.window;
      limits.keepalive = config.keepalive;
      auto client = std::make_unique<Client>();
      client->session = http2::Session::accept(loop_, listener_.acceptConnection(), limits, *this);
      client->lastProgressAt = loop_.now();
      clients_[client->session.get()] = std::move(client);
    } catch (const Poco::Exception& error) {  // the client has left, or there is no free descriptor
      log_.line("grpc.accept_failed", error.displayText());
      return;
    }
  }
}

std::shared_ptr<Exchange> Front::findExchange(http2::Session& session, http2::StreamId id) const {
  const auto client = clients_.find(&session);
  if (client == clients_.end()) return nullptr;
  const auto at = client->second->streams.find(id);
  return at == client->second->streams.end() ? nullptr : at->second;
}

// Data that the client still sends on the stream is discarded in onData().
void Front::refuse(http2::Session& session, http2::StreamId id, int httpStatus, calls::Code code,
                   std::string_view message, std::optional<Nanos> retryAfter) {
  ++counters_.statuses[static_cast<std::size_t>(code)];
  session.respondHeadersOnly(
      id, ownResponseHead(httpStatus, calls::makeStatusTrailers(code, message, retryAfter)));
}

void Front::onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  ++counters_.calls;
  if (head.empty()) {
    ++counters_.malformed;
    return refuse(session, id, 431, calls::Code::resourceExhausted,
                  fmt::format("the head is over headBytes, {}", plan_->config.headBytes));
  }
  if (const auto fault = calls::validateRequest(head)) {
    ++counters_.malformed;
    return refuse(session, id, fault->http, fault->code, fault->words);
  }
  acceptCall(session, id, std::move(head), end);
}

std::string Front::nextId(const calls::Fields& head) {
  const auto given = calls::find(head, "x-request-id").value_or("");
  if (!given.empty() && given.size() <= kMaxRequestIdBytes && printable(given)) {
    // Clients may send the same id again: the number keeps it unique among the open calls.
    return fmt::format("{}-{}", given, ++lastId_);
  }
  return fmt::format("g{}", ++lastId_);
}

void Front::acceptCall(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  const auto& plan = *plan_;
  const auto path = *calls::parsePath(*calls::find(head, ":path"));
  const bool health = path.service == kHealthService;
  static const calls::CallPolicy kHealthPolicy;
  const auto route = health ? std::optional<std::size_t>(0) : plan.routes.find(head);
  if (!route) {
    ++counters_.unrouted;
    return refuse(session, id, 200, calls::Code::unimplemented,
                  fmt::format("no route for {}", *calls::find(head, ":path")));
  }
  const auto& chosen = plan.config.routes[*route];
  auto exchange = std::make_shared<Exchange>(health ? kHealthPolicy : chosen.policy, buffers_);
  exchange->id = nextId(head);
  exchange->plan = plan_;
  exchange->downstream = this;
  exchange->session = &session;
  exchange->stream = id;
  exchange->acceptedAt = loop_.now();
  auto& streams = clients_.at(&session)->streams;
  if (health) {
    ++counters_.health;
    exchange->head = std::move(head);
    streams[id] = exchange;
    if (end) {
      exchange->call.requestEnd();
      answerHealth(*exchange);
    }
    return;
  }
  exchange->route = &chosen;
  endLargestRequests();
  if (buffers_.full()) {
    ++counters_.shed;
    return refuse(session, id, 200, calls::Code::resourceExhausted, kBuffersFullMessage, kShedRetryAfterNs);
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
  if (const auto timeout = calls::find(head, "grpc-timeout")) asked = calls::parseTimeout(*timeout);
  broker::Request request;
  request.id = exchange->id;
  request.queryClass = chosen.queryClass;
  request.timeLeft = calls::effectiveTimeout(asked, chosen.limits.deadline);
  request.repeat = calls::find(head, "grpc-previous-rpc-attempts").has_value();
  request.parts.push_back({shard, 1.0});
  if (request.timeLeft <= 0)
    return refuse(session, id, 200, calls::Code::deadlineExceeded, "the time for the call has run out");
  exchange->deadline = exchange->acceptedAt + request.timeLeft;
  exchange->charge.set(kCallBytes + calls::sizeOf(head));
  exchange->head = std::move(head);
  Core& core = *cores_[chosen.pool];
  exchange->upstream = &core.backend();
  if (const auto error = core.submit(std::move(request), exchange)) {
    ++counters_.malformed;
    return refuse(session, id, 200, calls::Code::invalidArgument, *error);
  }
  streams[id] = exchange;
  if (end) {
    exchange->call.requestEnd();
  } else {
    incompleteRequests_.emplace(exchange->acceptedAt, exchange.get());
  }
  core.start(*exchange);
}

void Front::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  const auto exchange = findExchange(session, id);
  if (!exchange || exchange->trailers) return session.consume(id, bytes.size());  // already answered: discard
  const bool acknowledge = exchange->call.requestData(bytes);
  if (acknowledge) session.consume(id, bytes.size());
  if (exchange->call.requestTooLarge())
    return fail(*exchange, calls::Code::resourceExhausted, "a message is over messageBytes");
  if (!exchange->core) {
    if (exchange->call.request().end() > kMaxHealthRequestBytes)
      fail(*exchange, calls::Code::invalidArgument, "no health check is so long");
    return;
  }
  exchange->upstream->onRequestData(*exchange);
  endLargestRequests();
}

void Front::onEnd(http2::Session& session, http2::StreamId id, calls::Fields) {
  const auto exchange = findExchange(session, id);
  if (!exchange || exchange->trailers) return;
  exchange->call.requestEnd();
  if (!exchange->core) return answerHealth(*exchange);
  incompleteRequests_.erase({exchange->acceptedAt, exchange.get()});
  exchange->upstream->onRequestData(*exchange);
}

void Front::fail(Exchange& exchange, calls::Code code, std::string_view message) {
  if (exchange.trailers) return;
  exchange.frontFinal = {calls::CallResult::failed, code,
                         calls::makeStatusTrailers(code, message, std::nullopt), false};
  if (exchange.core) {
    exchange.core->failCall(exchange);
  } else {  // a health check
    sendFinal(exchange, *exchange.frontFinal);
  }
}

void Front::sendFinal(Exchange& exchange, calls::CallStatus final) {
  ++counters_.statuses[static_cast<std::size_t>(final.code)];
  // The backend's response was Trailers-Only: the fields are those of a complete response head.
  const bool trailersOnly = calls::find(final.trailers, ":status").has_value();
  exchange.trailers = std::move(final.trailers);
  exchange.call.dropRequest();
  calls::Fields().swap(exchange.head);
  exchange.charge.set(0);
  if (!exchange.session) return;
  if (exchange.headSent) {
    if (trailersOnly) std::erase_if(*exchange.trailers, [](const auto& f) { return f.name.front() == ':'; });
    exchange.session->resume(exchange.stream);
  } else {
    exchange.session->respondHeadersOnly(
        exchange.stream, trailersOnly ? *exchange.trailers : ownResponseHead(200, *exchange.trailers));
  }
}

void Front::onClosed(http2::Session& session, http2::StreamId id, std::uint32_t) {
  const auto client = clients_.find(&session);
  if (client == clients_.end()) return;
  const auto at = client->second->streams.find(id);
  if (at == client->second->streams.end()) return;
  const auto exchange = at->second;
  client->second->streams.erase(at);
  onClientLeft(*exchange);
}

void Front::onClientLeft(Exchange& exchange) {
  exchange.downstream = nullptr;
  exchange.session = nullptr;
  watches_.erase(&exchange);
  if (!exchange.core || exchange.trailers) return;  // the final status has been sent
  ++counters_.cancelled;
  incompleteRequests_.erase({exchange.acceptedAt, &exchange});
  exchange.core->abandon(exchange);
}

http2::BodyRead Front::onReadBody(http2::Session& session, http2::StreamId id, char* to, std::size_t most) {
  const auto exchange = findExchange(session, id);
  if (!exchange) return {0, http2::BodyRead::Then::end, {}};
  http2::BodyRead out;
  out.size = exchange->response.read(exchange->responseSentOffset, to, most);
  exchange->responseSentOffset += out.size;
  exchange->response.release(exchange->responseSentOffset);
  if (out.size > 0) clients_.at(&session)->lastProgressAt = loop_.now();
  if (out.size > 0 && exchange->upstream) exchange->upstream->acknowledgeResponse(*exchange, out.size);
  if (exchange->responseSentOffset < exchange->response.end()) {
    out.then = http2::BodyRead::Then::more;
  } else if (exchange->trailers) {
    out.then = http2::BodyRead::Then::trailers;
    out.last = *exchange->trailers;
  } else {
    out.then = http2::BodyRead::Then::wait;
  }
  return out;
}

void Front::acknowledgeRequest(Exchange& exchange, std::size_t bytes) {
  if (exchange.session) exchange.session->consume(exchange.stream, bytes);
}

void Front::onResponseHead(Exchange& exchange) {
  if (!exchange.session || exchange.headSent) return;
  exchange.headSent = true;
  exchange.session->respond(exchange.stream, exchange.responseHead);
}

void Front::onResponseData(Exchange& exchange) {
  if (exchange.session && exchange.headSent) exchange.session->resume(exchange.stream);
}

void Front::onCallFinished(Exchange& exchange, const broker::FinalAnswer& answer) {
  incompleteRequests_.erase({exchange.acceptedAt, &exchange});
  const auto callClass = answer.verdict == broker::Verdict::answered  ? calls::CallResult::answered
                         : answer.verdict == broker::Verdict::refused ? calls::CallResult::refused
                                                                      : calls::CallResult::failed;
  const bool overdue = answer.timedOut || (callClass != calls::CallResult::answered &&
                                           loop_.now() + kDeadlineMarginNs >= exchange.deadline);
  auto final = exchange.call.finish(callClass, overdue, answer.retryAfter);
  // The core ends what is still open when the shutdown's time is over, and refuses what comes later.
  const bool cutByShutdown = loop_.now() >= drainDeadline_ && callClass != calls::CallResult::answered;
  if (exchange.frontFinal) {
    final = *exchange.frontFinal;
  } else if (cutByShutdown && !final.fromBackend) {
    ++counters_.cutAtDrain;
    final.code = calls::Code::unavailable;
    final.trailers =
        calls::makeStatusTrailers(final.code, kGoingAwayMessage,
                                  answer.retryAfter > 0 ? std::optional(answer.retryAfter) : std::nullopt);
  }
  logCall(exchange, final);
  sendFinal(exchange, std::move(final));
}

void Front::logCall(const Exchange& exchange, const calls::CallStatus& final) {
  const bool answered = final.counted == calls::CallResult::answered;
  if (answered && !plan_->config.logCalls) return;
  log_.line(answered ? "grpc.call" : "grpc.call_failed",
            fmt::format("call={} route={} path={} status={} attempts={} ms={:.1f} backend={} from={}{}{}",
                        exchange.id, exchange.route->name, calls::find(exchange.head, ":path").value_or(""),
                        calls::nameOf(final.code), exchange.attempts,
                        static_cast<double>(loop_.now() - exchange.acceptedAt) / 1e6,
                        exchange.lastBackend.empty() ? "-" : exchange.lastBackend,
                        final.fromBackend ? "backend" : "broker",
                        exchange.lastError.empty() ? "" : " why=", exchange.lastError));
}

// ---- health ----

Serving Front::servingOf(const std::string& service) const {
  if (draining_) return Serving::notServing;
  if (service.empty()) return Serving::serving;
  const auto& config = plan_->config;
  bool known = false;
  for (const auto& route : config.routes) {
    if (route.match.service != service || route.match.kind < calls::RouteMatch::Kind::service) continue;
    known = true;
    const auto& pool = config.pools[route.pool];
    std::set<int> shardsServed;
    for (const auto& backend : pool.backends)
      if (backend.state == ServerState::up) shardsServed.insert(backend.shards.begin(), backend.shards.end());
    if (shardsServed.size() < static_cast<std::size_t>(pool.shards)) return Serving::notServing;
  }
  return known ? Serving::serving : Serving::serviceUnknown;
}

void Front::answerHealth(Exchange& exchange) {
  std::string body(exchange.call.request().kept(), '\0');
  exchange.call.request().read(0, body.data(), body.size());
  const auto service = parseHealthRequest(body);
  if (!service) return fail(exchange, calls::Code::invalidArgument, "no HealthCheckRequest");
  const auto path = *calls::find(exchange.head, ":path");
  const bool watch = path.substr(path.rfind('/')) == "/Watch";
  if (!watch && path.substr(path.rfind('/')) != "/Check")
    return fail(exchange, calls::Code::unimplemented, "Check or Watch");
  const auto status = servingOf(*service);
  if (!watch && status == Serving::serviceUnknown)
    return fail(exchange, calls::Code::notFound, "unknown service");
  exchange.response.append(serializeHealthResponse(status));
  exchange.headSent = true;
  if (watch) {
    watches_[&exchange] = {findExchange(*exchange.session, exchange.stream), *service, status};
  } else {
    ++counters_.statuses[0];
    exchange.trailers = calls::makeStatusTrailers(calls::Code::ok, "", std::nullopt);
  }
  exchange.session->respond(exchange.stream, ownResponseHead(200, {}));
}

void Front::notifyWatches() {
  for (auto& [exchange, watch] : watches_) {
    const auto status = servingOf(watch.service);
    if (status == watch.lastSent) continue;
    watch.lastSent = status;
    exchange->response.append(serializeHealthResponse(status));
    if (exchange->session) exchange->session->resume(exchange->stream);
  }
}

// ---- connection limits and shutdown ----

void Front::onFlood(http2::Session&, std::string_view what) {
  ++counters_.floods;
  log_.line("grpc.flood", fmt::format("what=\"{}\"", what));
}

void Front::onGone(http2::Session& session, net::ConnectionEnd) {
  const auto at = clients_.find(&session);
  if (at == clients_.end()) return;
  const std::shared_ptr<Client> client = std::move(at->second);
  clients_.erase(at);
  for (const auto& [id, exchange] : std::exchange(client->streams, {})) onClientLeft(*exchange);
  loop_.soon([client] {});  // destroyed later: the session is in the middle of this call
  if (!closing_) setListening(true);
}

std::size_t Front::streams() const {
  std::size_t sum = 0;
  for (const auto& [session, client] : clients_) sum += client->streams.size();
  return sum;
}

void Front::drain() {
  draining_ = true;
  notifyWatches();
}

void Front::stopAccepting() {
  if (closing_) return;
  closing_ = true;
  setListening(false);
  listener_.close();
  drainDeadline_ = std::min(drainDeadline_, loop_.now() + plan_->config.drain);
  for (auto& [session, client] : clients_) session->shutdown();
}

void Front::sweep() {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
  commitLongOpenRequests();
  if (loop_.now() >= drainDeadline_) endOpenCalls();
  if (buffers_.full()) endStalledClient();
}

// A request that has been open for long is taken for a long-lived stream: it is not sent again, and the lack
// of a response says nothing about the server.
void Front::commitLongOpenRequests() {
  while (!incompleteRequests_.empty() &&
         loop_.now() - incompleteRequests_.begin()->first > plan_->config.streamingAfter) {
    auto* exchange = incompleteRequests_.begin()->second;
    incompleteRequests_.erase(incompleteRequests_.begin());
    exchange->longOpen = true;
    exchange->upstream->commitToNewest(*exchange);
  }
}

void Front::endOpenCalls() {
  std::vector<std::shared_ptr<Exchange>> open;
  for (const auto& [session, client] : clients_)
    for (const auto& [id, exchange] : client->streams)
      if (!exchange->trailers) open.push_back(exchange);
  for (const auto& exchange : open) {
    ++counters_.cutAtDrain;
    fail(*exchange, calls::Code::unavailable, kGoingAwayMessage);
  }
}

// Of the client that holds most in unfinished requests the largest one ends first, so that clients with few
// or small calls keep theirs.
std::shared_ptr<Exchange> Front::largestUnfinishedRequest() const {
  std::shared_ptr<Exchange> chosen;
  std::size_t mostOfClient = 0;
  for (const auto& [session, client] : clients_) {
    std::shared_ptr<Exchange> largest;
    std::size_t sum = 0;
    for (const auto& [id, exchange] : client->streams) {
      if (exchange->trailers || exchange->call.requestEnded()) continue;
      sum += exchange->requestBytes();
      if (!largest || exchange->requestBytes() >= largest->requestBytes()) largest = exchange;
    }
    if (sum <= mostOfClient) continue;
    mostOfClient = sum;
    chosen = largest;
  }
  return chosen;
}

void Front::endLargestRequests() {
  while (buffers_.full()) {
    const auto largest = largestUnfinishedRequest();
    if (!largest) return;
    ++counters_.shed;
    fail(*largest, calls::Code::resourceExhausted, kBuffersFullMessage);
  }
}

void Front::endStalledClient() {
  http2::Session* longestStalled = nullptr;
  for (const auto& [session, client] : clients_) {
    const bool holdsBuffers =
        std::any_of(client->streams.begin(), client->streams.end(),
                    [](const auto& stream) { return stream.second->response.kept() > 0; });
    if (!holdsBuffers || loop_.now() - client->lastProgressAt < kStalledClientNs) continue;
    if (!longestStalled || client->lastProgressAt < clients_.at(longestStalled)->lastProgressAt)
      longestStalled = session;
  }
  if (longestStalled) longestStalled->terminateForAbuse("stalled reader while the buffers are full");
}

}  // namespace topazweir::grpc
