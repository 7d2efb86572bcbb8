#include "grpc/backend.hpp"

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <algorithm>

#include "broker/counters.hpp"

namespace topazweir::grpc {

using calls::Ended;
using calls::Ending;

namespace {

// How often idle connections are looked for.
constexpr Nanos kSweepIntervalNs = 1'000'000'000;

broker::Verdict verdictOf(calls::CallResult callClass) {
  switch (callClass) {
    case calls::CallResult::answered:
      return broker::Verdict::answered;
    case calls::CallResult::refused:
      return broker::Verdict::refused;
    case calls::CallResult::failed:
      break;
  }
  return broker::Verdict::failed;
}

}  // namespace

Backend::Backend(net::Loop& loop, broker::Log& log, const Exchanges& exchanges,
                 const config::GrpcConfig& config, Callbacks callbacks)
    : loop_(loop),
      log_(log),
      exchanges_(exchanges),
      connectTimeout_(config.connectTimeout),
      idleTimeout_(config.idle),
      callbacks_(std::move(callbacks)) {
  limits_.headBytes = config.headBytes;
  limits_.window = config.window;
  limits_.keepalive = config.keepalive;
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
}

Backend::~Backend() {
  *alive_ = false;
  loop_.cancel(sweepTimer_);
  for (const auto& timer : pushbackTimers_) loop_.cancel(timer);
  for (auto& [id, stream] : streams_) {
    loop_.cancel(stream.timer);
    loop_.cancel(stream.writeTimer);
  }
}

ServerListUpdate Backend::servers(const config::GrpcPool& pool, ServerListUpdate::Scope scope) {
  ServerListUpdate update;
  update.scope = scope;
  std::map<std::string, int> zones;
  std::set<ServerId> listed;
  for (const auto& backend : pool.backends) {
    for (const int shard : backend.shards) {
      const auto [at, isNew] = ids_.try_emplace({backend.address, shard}, lastId_ + 1);
      if (isNew) ++lastId_;
      const auto id = at->second;
      servers_[id] = Server{backend.address, pool.connections, pool.streams, pool.queue};
      listed.insert(id);
      ServerEntry entry;
      entry.server = id;
      entry.zone = zones.try_emplace(backend.zone, static_cast<int>(zones.size())).first->second;
      entry.cell = shard;
      entry.state = backend.state;
      update.entries.push_back(entry);
    }
  }
  // Forget servers that the configuration no longer lists; their numbers are not used again.
  std::erase_if(servers_, [&](const auto& s) { return listed.count(s.first) == 0; });
  std::erase_if(ids_, [&](const auto& i) { return listed.count(i.second) == 0; });
  return update;
}

Backend::PooledConnection* Backend::connectionFor(const Server& server) {
  auto& connections = byAddress_[server.address];
  std::vector<calls::ConnectionState> states;
  states.reserve(connections.size());
  for (const auto* connection : connections)
    states.push_back({connection->session->up(), connection->goaway || connection->session->exhausted(),
                      connection->streams.size(),
                      std::min(server.maxStreams, connection->session->maxPeerStreams())});
  const auto choice = calls::chooseConnection(states, server.maxConnections);
  if (choice.kind == calls::ConnectionChoice::Kind::use) return connections[choice.at];
  if (choice.kind == calls::ConnectionChoice::Kind::none) return nullptr;
  auto connection = std::make_unique<PooledConnection>();
  connection->address = server.address;
  connection->session = http2::Session::connect(loop_, Poco::Net::SocketAddress(server.address),
                                                connectTimeout_, limits_, *this);
  connection->idleSince = loop_.now();
  ++counters_.connectionsOpened;
  auto* newConnection = connection.get();
  connections.push_back(newConnection);
  connections_[newConnection->session.get()] = std::move(connection);
  return newConnection;
}

void Backend::start(broker::AttemptOrder order) {
  const auto id = order.id;
  const auto found = exchanges_.find(id.request);
  const auto server = servers_.find(order.server);
  if (found == exchanges_.end() || server == servers_.end()) return callbacks_.ended(id, Outcome::notSent);
  auto& exchange = *found->second;
  exchange.call.started(id.attempt);
  exchange.attempts = std::max(exchange.attempts, id.attempt + 1);
  exchange.lastBackend = server->second.address;
  auto& stream = streams_.insert_or_assign(id, Stream{}).first->second;
  stream.exchange = found->second;
  stream.id = id;
  stream.server = order.server;
  stream.writeBy = order.writeBy;
  if (isPastWriteBy(stream)) return endAttempt(id, {.ending = Ending::expired});
  if (!openStream(stream, server->second)) {
    // Queued, as it would be at the server. The queue is limited, since calls far back in it would only run
    // out of time.
    auto& queue = queued_[server->second.address];
    if (queue.size() >= server->second.maxQueued) return endAttempt(id, {.ending = Ending::noStream});
    queue.push_back(id);
  }
  // A later `writeBy` needs no timer: the core ends the call before.
  if (order.writeBy > 0 && order.writeBy < exchange.deadline)
    stream.writeTimer = loop_.at(order.writeBy, [this, id] { onWriteByPassed(id); });
  if (const Nanos time = exchange.route->policy.attemptTimeout; time > 0 && time < order.wait)
    stream.timer = loop_.after(time, [this, id] {
      if (const auto at = streams_.find(id); at != streams_.end() && !at->second.exchange->call.committed())
        endAttempt(id, {.ending = at->second.connection ? Ending::silent : Ending::noStream});
    });
  if (exchange.call.outgrown()) commitToNewest(exchange);
}

bool Backend::isPastWriteBy(const Stream& stream) const {
  return stream.writeBy > 0 && loop_.now() > stream.writeBy;
}

void Backend::onWriteByPassed(const broker::AttemptId& id) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  const auto& stream = at->second;
  if (stream.connection) {
    auto& session = *stream.connection->session;
    if (session.headWritten(stream.stream)) return;
    // What has been serialised can be kept from the server only by closing the connection. onGone ends the
    // attempts.
    if (session.headSerialized(stream.stream)) return session.end(net::ConnectionEnd::silent);
  }
  endAttempt(id, {.ending = Ending::expired});
}

bool Backend::openStream(Stream& stream, const Server& server) {
  auto& exchange = *stream.exchange;
  auto* connection = connectionFor(server);
  if (!connection) return false;
  const bool empty = exchange.call.requestEnded() && exchange.call.request().end() == 0;
  const auto head = calls::toBackend(exchange.head, connection->address, stream.id.attempt,
                                     exchange.deadline - loop_.now());
  const auto id = connection->session->request(head, empty);
  if (id < 0) return false;
  stream.connection = connection;
  stream.stream = id;
  stream.endSent = empty;
  connection->streams[id] = stream.id;
  return true;
}

void Backend::startQueued(const std::string& address) {
  auto at = queued_.find(address);
  while (at != queued_.end() && !at->second.empty()) {
    const auto id = at->second.front();
    const auto stream = streams_.find(id);
    const auto server = stream == streams_.end() ? servers_.end() : servers_.find(stream->second.server);
    const bool expired = stream != streams_.end() && isPastWriteBy(stream->second);
    if (server != servers_.end() && !expired && !openStream(stream->second, server->second)) return;
    at->second.pop_front();
    const bool unsent = stream != streams_.end() && (expired || server == servers_.end());
    if (unsent) endAttempt(id, {.ending = expired ? Ending::expired : Ending::noStream});
    at = queued_.find(address);
  }
  if (at != queued_.end()) queued_.erase(at);
}

std::size_t Backend::unwrittenBytes() const {
  std::size_t sum = 0;
  for (const auto& [session, connection] : connections_) sum += session->backlogBytes();
  return sum;
}

void Backend::cancel(const broker::AttemptId& id) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  at->second.exchange->call.dropped(id.attempt);
  releaseStream(at->second, NGHTTP2_CANCEL);
}

void Backend::releaseStream(Stream& stream, std::uint32_t code) {
  loop_.cancel(stream.timer);
  loop_.cancel(stream.writeTimer);
  if (auto* connection = stream.connection) {
    if (connection->streams.erase(stream.stream) > 0 && code != NGHTTP2_NO_ERROR)
      connection->session->reset(stream.stream, code);
    if (connection->streams.empty()) connection->idleSince = loop_.now();
    if (queued_.count(connection->address) > 0) {
      defer([this, address = connection->address] { startQueued(address); });
    }
  } else if (const auto server = servers_.find(stream.server); server != servers_.end()) {
    if (const auto queue = queued_.find(server->second.address); queue != queued_.end())
      std::erase(queue->second, stream.id);
  }
  streams_.erase(stream.id);
}

void Backend::endAttempt(broker::AttemptId id, const Ended& how, calls::Fields trailers) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  const auto exchange = at->second.exchange;  // keeps it alive: the core may erase it
  const auto next =
      exchange->call.ended(id.attempt, how, std::move(trailers), exchange->deadline - loop_.now());
  const bool complete = how.ending == Ending::trailers;
  if (how.ending == Ending::expired) ++counters_.expired;
  // Whether the stream has closed on both sides. If not, it is reset: while the request has not been sent
  // completely, it would stay open for ever.
  const bool closed = (complete && at->second.endSent) || how.ending == Ending::resetByPeer ||
                      how.ending == Ending::aboveGoaway;
  if (!complete) {
    const auto reason = calls::verdictOf(how).words;
    exchange->lastError = reason;
    log_.line(
        "grpc.attempt_failed",
        fmt::format("call={} backend={} outcome={} http2={} why={}", exchange->id, exchange->lastBackend,
                    broker::kOutcomeNames[static_cast<std::size_t>(next.outcome)], how.http2, reason));
  }
  releaseStream(at->second, closed ? NGHTTP2_NO_ERROR : NGHTTP2_CANCEL);
  reportEnd(id, next);
}

void Backend::reportEnd(const broker::AttemptId& id, const calls::AttemptDecision& next) {
  if (next.final) return callbacks_.settle(id, next.outcome, verdictOf(next.counted));
  if (next.wait <= 0) return callbacks_.ended(id, next.outcome);
  // The backend asked for a pause before the next attempt (grpc-retry-pushback-ms).
  const auto timer = std::make_shared<net::Loop::TimerId>();
  *timer = loop_.after(next.wait, [this, id, timer, outcome = next.outcome] {
    pushbackTimers_.erase(*timer);
    callbacks_.ended(id, outcome);
  });
  pushbackTimers_.insert(*timer);
}

Backend::Stream* Backend::findStream(http2::Session& session, http2::StreamId id) {
  const auto connection = connections_.find(&session);
  if (connection == connections_.end()) return nullptr;
  const auto attempt = connection->second->streams.find(id);
  if (attempt == connection->second->streams.end()) return nullptr;
  const auto at = streams_.find(attempt->second);
  return at == streams_.end() ? nullptr : &at->second;
}

void Backend::onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  auto* stream = findStream(session, id);
  if (!stream) return;
  auto& exchange = *stream->exchange;
  if (head.empty()) return endAttempt(stream->id, {.ending = Ending::tooLarge});
  const auto status = calls::parseStatusCode(calls::find(head, "grpc-status").value_or(""));
  if (end && status)
    return endAttempt(stream->id, {.ending = Ending::trailers, .status = status}, std::move(head));
  const auto http = calls::find(head, ":status").value_or("");
  if (http != "200" || !calls::isGrpc(head)) {
    Ended how{.ending = Ending::badResponse};
    if (http != "200") how.http = std::atoi(std::string(http).c_str());
    return endAttempt(stream->id, how);
  }
  if (end) return endAttempt(stream->id, {.ending = Ending::noStatus});
  stream->headReceived = true;
  const auto attempt = stream->id;
  // The first attempt to begin a response gets the call; a hedge that was slower is cancelled.
  if (!exchange.call.commit(attempt.attempt) || !callbacks_.began(attempt, true)) return;
  stream = findStream(session, id);
  if (!stream) return;
  loop_.cancel(stream->timer);
  exchange.responseHead = calls::toClient(head);
  if (exchange.downstream) exchange.downstream->onResponseHead(exchange);
  onRequestData(exchange);
}

void Backend::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  auto* stream = findStream(session, id);
  if (!stream || !stream->headReceived) return;
  auto& exchange = *stream->exchange;
  if (!exchange.meter.take(bytes, exchange.route->policy.message))
    return endAttempt(stream->id, {.ending = Ending::tooLarge});
  exchange.response.append(bytes);
  if (exchange.downstream) exchange.downstream->onResponseData(exchange);
}

void Backend::onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) {
  auto* stream = findStream(session, id);
  if (!stream) return;
  const auto status = calls::parseStatusCode(calls::find(trailers, "grpc-status").value_or(""));
  if (!status) {
    ++counters_.cutStreams;
    return endAttempt(stream->id, {.ending = Ending::noStatus});
  }
  endAttempt(stream->id, {.ending = Ending::trailers, .status = status}, std::move(trailers));
}

void Backend::onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) {
  auto* stream = findStream(session, id);
  if (!stream) return;
  const auto& connection = *stream->connection;
  ++counters_.resets;
  if (connection.goaway && id > connection.lastProcessed) {
    ++counters_.refusedStreams;
    return endAttempt(stream->id, {.ending = Ending::aboveGoaway});
  }
  if (code == NGHTTP2_REFUSED_STREAM) ++counters_.refusedStreams;
  endAttempt(stream->id, {.ending = Ending::resetByPeer, .http2 = code});
}

void Backend::onGoaway(http2::Session& session, http2::StreamId last, std::uint32_t code) {
  const auto at = connections_.find(&session);
  if (at == connections_.end()) return;
  auto& connection = *at->second;
  ++counters_.goaways;
  log_.line("grpc.backend_goaway", fmt::format("backend={} last={} code={} streams={}", connection.address,
                                               last, code, connection.streams.size()));
  connection.goaway = true;
  connection.lastProcessed = last;
}

http2::BodyRead Backend::onReadBody(http2::Session& session, http2::StreamId id, char* to, std::size_t most) {
  auto* stream = findStream(session, id);
  if (!stream) return {0, http2::BodyRead::Then::wait, {}};
  auto& exchange = *stream->exchange;
  http2::BodyRead out;
  out.size = exchange.call.request().read(stream->sentOffset, to, most);
  stream->sentOffset += out.size;
  const bool allSent = stream->sentOffset == exchange.call.request().end();
  out.then = !allSent                       ? http2::BodyRead::Then::more
             : exchange.call.requestEnded() ? http2::BodyRead::Then::end
                                            : http2::BodyRead::Then::wait;
  stream->endSent = out.then == http2::BodyRead::Then::end;
  if (exchange.call.committed() == stream->id.attempt) {
    if (const auto more = exchange.call.requestConsumed(stream->sentOffset); more > 0 && exchange.downstream)
      exchange.downstream->acknowledgeRequest(exchange, more);
  } else if (!exchange.call.committed() &&
             ((exchange.longOpen && !exchange.call.requestEnded()) || exchange.call.outgrown())) {
    deferCommit(stream->id);
  }
  return out;
}

// For a call that had to be committed before its connection was established. Deferred, since the session is
// producing output, which must not be re-entered.
void Backend::deferCommit(const broker::AttemptId& id) {
  defer([this, id] {
    if (const auto at = streams_.find(id); at != streams_.end()) {
      const auto exchange = at->second.exchange;  // keeps it alive: the core may erase it
      commitToNewest(*exchange);
    }
  });
}

void Backend::defer(std::function<void()> work) {
  const std::weak_ptr<bool> alive = alive_;
  loop_.soon([alive, work = std::move(work)] {
    if (const auto still = alive.lock(); still && *still) work();
  });
}

void Backend::onRequestData(Exchange& exchange) {
  for (int attempt = 0; attempt < exchange.attempts; ++attempt) {
    if (!exchange.call.isOut(attempt)) continue;
    const auto at = streams_.find({exchange.requestNo, 0, attempt});
    if (at == streams_.end()) continue;
    // What was sent before the call was committed no longer needs to be kept.
    if (exchange.call.committed() == attempt)
      if (const auto more = exchange.call.requestConsumed(at->second.sentOffset);
          more > 0 && exchange.downstream)
        exchange.downstream->acknowledgeRequest(exchange, more);
    if (at->second.connection) at->second.connection->session->resume(at->second.stream);
  }
  if (exchange.call.outgrown()) commitToNewest(exchange);
}

void Backend::commitToNewest(Exchange& exchange) {
  for (int attempt = exchange.attempts - 1; attempt >= 0; --attempt) {
    if (!exchange.call.isOut(attempt)) continue;
    const broker::AttemptId id{exchange.requestNo, 0, attempt};
    const auto at = streams_.find(id);
    // An attempt without an established connection cannot have been processed, and the lack of a response
    // says nothing about the server.
    if (at == streams_.end() || !at->second.isConnected()) continue;
    loop_.cancel(at->second.timer);
    if (exchange.call.commit(attempt) && callbacks_.began(id, false)) onRequestData(exchange);
    return;
  }
}

void Backend::acknowledgeResponse(Exchange& exchange, std::size_t bytes) {
  const auto attempt = exchange.call.committed();
  if (!attempt) return;
  const auto at = streams_.find({exchange.requestNo, 0, *attempt});
  if (at != streams_.end() && at->second.connection)
    at->second.connection->session->consume(at->second.stream, bytes);
}

void Backend::onGone(http2::Session& session, net::ConnectionEnd how) {
  const auto at = connections_.find(&session);
  if (at == connections_.end()) return;
  auto& connection = *at->second;
  if (how != net::ConnectionEnd::closedLocally)
    log_.line("grpc.backend_gone", fmt::format("backend={} end={} streams={}", connection.address,
                                               net::nameOf(how), connection.streams.size()));
  const auto streams = std::exchange(connection.streams, {});
  auto& connections = byAddress_[connection.address];
  std::erase(connections, &connection);
  if (connections.empty()) byAddress_.erase(connection.address);
  std::vector<std::pair<broker::AttemptId, Ended>> endings;
  for (const auto& [id, attempt] : streams) {
    const bool written = session.headWritten(id);
    const bool unprocessed = connection.goaway && id > connection.lastProcessed;
    endings.push_back({attempt,
                       {.ending = unprocessed ? Ending::aboveGoaway
                                  : written   ? Ending::lostAfterSend
                                              : Ending::lostBeforeSend}});
    if (const auto s = streams_.find(attempt); s != streams_.end()) s->second.connection = nullptr;
  }
  const auto address = connection.address;
  removeConnection(session);
  for (const auto& [attempt, ending] : endings) endAttempt(attempt, ending);
  startQueued(address);
}

// Destroyed later, since the session may be in the middle of a call to this object.
void Backend::removeConnection(http2::Session& session) {
  const auto at = connections_.find(&session);
  if (at == connections_.end()) return;
  const std::shared_ptr<PooledConnection> connection = std::move(at->second);
  connections_.erase(at);
  loop_.soon([connection] {});
}

void Backend::sweep() {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
  std::set<std::string, std::less<>> listed;
  for (const auto& [id, server] : servers_) listed.insert(server.address);
  std::vector<http2::Session*> idle;
  for (const auto& [session, connection] : connections_) {
    const bool unneeded = loop_.now() - connection->idleSince > idleTimeout_ ||
                          listed.count(connection->address) == 0 || connection->goaway;
    if (connection->streams.empty() && session->up() && unneeded) idle.push_back(session);
  }
  while (!queued_.empty() && queued_.begin()->second.empty()) queued_.erase(queued_.begin());
  for (auto* session : idle) {
    auto& connections = byAddress_[connections_.at(session)->address];
    std::erase(connections, connections_.at(session).get());
    session->close();
    removeConnection(*session);
  }
}

}  // namespace topazweir::grpc
