#include "grpc/backend.hpp"

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <algorithm>

#include "broker/counters.hpp"

namespace topazweir::grpc {

using calls::Ended;
using calls::Ending;

namespace {

constexpr Nanos kSweep = 1'000'000'000;

broker::Verdict verdictOf(calls::Class counted) {
  switch (counted) {
    case calls::Class::answered:
      return broker::Verdict::answered;
    case calls::Class::refused:
      return broker::Verdict::refused;
    case calls::Class::failed:
      break;
  }
  return broker::Verdict::failed;
}

}  // namespace

Backend::Backend(net::Loop& loop, broker::Log& log, const Exchanges& exchanges, const config::Grpc& config,
                 Core core)
    : loop_(loop),
      log_(log),
      exchanges_(exchanges),
      connectTimeout_(config.connectTimeout),
      idle_(config.idle),
      core_(std::move(core)) {
  limits_.headBytes = config.headBytes;
  limits_.window = config.window;
  limits_.keepalive = config.keepalive;
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

Backend::~Backend() {
  *alive_ = false;
  loop_.cancel(sweepTimer_);
  for (const auto& timer : waits_) loop_.cancel(timer);
  for (auto& [id, stream] : streams_) loop_.cancel(stream.timer);
}

ListNews Backend::servers(const config::GrpcPool& pool, ListNews::Scope scope) {
  ListNews news;
  news.scope = scope;
  std::map<std::string, int> zones;
  std::set<ServerId> named;
  for (const auto& backend : pool.backends) {
    for (const int shard : backend.shards) {
      const auto [at, fresh] = ids_.try_emplace({backend.address, shard}, lastId_ + 1);
      if (fresh) ++lastId_;
      const auto id = at->second;
      servers_[id] = Server{backend.address, pool.connections, pool.streams, pool.queue};
      named.insert(id);
      ServerEntry entry;
      entry.server = id;
      entry.zone = zones.try_emplace(backend.zone, static_cast<int>(zones.size())).first->second;
      entry.cell = shard;
      entry.state = backend.state;
      news.entries.push_back(entry);
    }
  }
  // What the configuration names no more is forgotten; its number is not given out again.
  std::erase_if(servers_, [&](const auto& s) { return named.count(s.first) == 0; });
  std::erase_if(ids_, [&](const auto& i) { return named.count(i.second) == 0; });
  return news;
}

Backend::Link* Backend::linkFor(const Server& server) {
  auto& links = byAddress_[server.address];
  std::vector<calls::LinkState> states;
  states.reserve(links.size());
  for (const auto* link : links)
    states.push_back({link->session->up(), link->goaway || link->session->exhausted(), link->streams.size(),
                      std::min(server.streams, link->session->peerStreams())});
  const auto choice = calls::chooseLink(states, server.connections);
  if (choice.kind == calls::LinkChoice::Kind::use) return links[choice.at];
  if (choice.kind == calls::LinkChoice::Kind::none) return nullptr;
  auto link = std::make_unique<Link>();
  link->address = server.address;
  link->session = http2::Session::connect(loop_, Poco::Net::SocketAddress(server.address), connectTimeout_,
                                          limits_, *this);
  link->idleSince = loop_.now();
  ++counters_.connectionsOpened;
  auto* raw = link.get();
  links.push_back(raw);
  links_[raw->session.get()] = std::move(link);
  return raw;
}

void Backend::start(broker::AttemptOrder order) {
  const auto id = order.id;
  const auto exchange = exchanges_.find(id.request);
  const auto server = servers_.find(order.server);
  if (exchange == exchanges_.end() || server == servers_.end()) return core_.ended(id, Outcome::notSent);
  auto& e = *exchange->second;
  e.call.started(id.attempt);
  e.attempts = std::max(e.attempts, id.attempt + 1);
  e.lastBackend = server->second.address;
  auto& stream = streams_.insert_or_assign(id, Stream{}).first->second;
  stream.exchange = exchange->second;
  stream.id = id;
  stream.server = order.server;
  if (!open(stream, server->second)) {
    // Waits its turn, as it would at the server; only so many, or the queue would be longer than anybody's
    // patience.
    auto& queue = waiting_[server->second.address];
    if (queue.size() >= server->second.queue) return end(id, {.ending = Ending::noStream});
    queue.push_back(id);
  }
  if (const Nanos time = e.route->policy.attemptTime; time > 0 && time < order.wait)
    stream.timer = loop_.after(time, [this, id] {
      if (const auto at = streams_.find(id); at != streams_.end() && !at->second.exchange->call.committed())
        end(id, {.ending = at->second.link ? Ending::silent : Ending::noStream});
    });
  if (e.call.outgrown()) keep(e);
}

bool Backend::open(Stream& stream, const Server& server) {
  auto& e = *stream.exchange;
  auto* link = linkFor(server);
  if (!link) return false;
  const bool empty = e.call.requestEnded() && e.call.request().end() == 0;
  const auto head = calls::toBackend(e.head, link->address, stream.id.attempt, e.due - loop_.now());
  const auto id = link->session->request(head, empty);
  if (id < 0) return false;
  stream.link = link;
  stream.stream = id;
  stream.sentEnd = empty;
  link->streams[id] = stream.id;
  return true;
}

void Backend::pump(const std::string& address) {
  auto at = waiting_.find(address);
  while (at != waiting_.end() && !at->second.empty()) {
    const auto stream = streams_.find(at->second.front());
    const auto server = stream == streams_.end() ? servers_.end() : servers_.find(stream->second.server);
    if (server != servers_.end() && !open(stream->second, server->second)) return;
    const auto id = at->second.front();
    at->second.pop_front();
    if (stream != streams_.end() && server == servers_.end()) end(id, {.ending = Ending::noStream});
    at = waiting_.find(address);
  }
  if (at != waiting_.end()) waiting_.erase(at);
}

void Backend::cancel(const broker::AttemptId& id) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  at->second.exchange->call.dropped(id.attempt);
  drop(at->second, NGHTTP2_CANCEL);
}

// Lets go of a stream that may still be open, or still waits.
void Backend::drop(Stream& stream, std::uint32_t code) {
  loop_.cancel(stream.timer);
  if (auto* link = stream.link) {
    if (link->streams.erase(stream.stream) > 0 && code != NGHTTP2_NO_ERROR)
      link->session->reset(stream.stream, code);
    if (link->streams.empty()) link->idleSince = loop_.now();
    if (waiting_.count(link->address) > 0) {
      soon([this, address = link->address] { pump(address); });
    }
  } else if (const auto server = servers_.find(stream.server); server != servers_.end()) {
    if (const auto queue = waiting_.find(server->second.address); queue != waiting_.end())
      std::erase(queue->second, stream.id);
  }
  streams_.erase(stream.id);
}

void Backend::end(broker::AttemptId id, const Ended& how, calls::Fields trailers) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  const auto exchange = at->second.exchange;  // kept: the core may let go of it
  const auto next = exchange->call.ended(id.attempt, how, std::move(trailers), exchange->due - loop_.now());
  const bool whole = how.ending == Ending::trailers;
  // Over on both sides, or to be called off: a request that is not yet sent whole would stay open for ever.
  const bool over =
      (whole && at->second.sentEnd) || how.ending == Ending::resetByPeer || how.ending == Ending::aboveGoaway;
  if (!whole) {
    const auto words = calls::verdictOf(how).words;
    exchange->lastWhy = words;
    log_.line(
        "grpc.attempt_failed",
        fmt::format("call={} backend={} outcome={} http2={} why={}", exchange->id, exchange->lastBackend,
                    broker::kOutcomeNames[static_cast<std::size_t>(next.outcome)], how.http2, words));
  }
  drop(at->second, over ? NGHTTP2_NO_ERROR : NGHTTP2_CANCEL);
  report(id, next);
}

void Backend::report(const broker::AttemptId& id, const calls::Next& next) {
  if (next.final) return core_.settle(id, next.outcome, verdictOf(next.counted));
  if (next.wait <= 0) return core_.ended(id, next.outcome);
  // The backend has said when to come back: nothing new is decided before that.
  const auto timer = std::make_shared<net::Loop::TimerId>();
  *timer = loop_.after(next.wait, [this, id, timer, outcome = next.outcome] {
    waits_.erase(*timer);
    core_.ended(id, outcome);
  });
  waits_.insert(*timer);
}

Backend::Stream* Backend::find(http2::Session& session, http2::StreamId id) {
  const auto link = links_.find(&session);
  if (link == links_.end()) return nullptr;
  const auto attempt = link->second->streams.find(id);
  if (attempt == link->second->streams.end()) return nullptr;
  const auto at = streams_.find(attempt->second);
  return at == streams_.end() ? nullptr : &at->second;
}

void Backend::onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool final) {
  auto* stream = find(session, id);
  if (!stream) return;
  auto& e = *stream->exchange;
  if (head.empty()) return end(stream->id, {.ending = Ending::tooLarge});
  const auto status = calls::readCode(calls::find(head, "grpc-status").value_or(""));
  if (final && status)
    return end(stream->id, {.ending = Ending::trailers, .status = status}, std::move(head));
  const auto http = calls::find(head, ":status").value_or("");
  if (http != "200" || !calls::isGrpc(head)) {
    Ended how{.ending = Ending::badResponse};
    if (http != "200") how.http = std::atoi(std::string(http).c_str());
    return end(stream->id, how);
  }
  if (final) return end(stream->id, {.ending = Ending::noStatus});
  stream->headSeen = true;
  const auto attempt = stream->id;
  // The first to begin has the call; a copy that was slower is called off.
  if (!e.call.commit(attempt.attempt) || !core_.began(attempt, true)) return;
  stream = find(session, id);
  if (!stream) return;
  loop_.cancel(stream->timer);
  e.responseHead = calls::toClient(head);
  if (e.client) e.client->responseHead(e);
  requestMore(e);
}

void Backend::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  auto* stream = find(session, id);
  if (!stream || !stream->headSeen) return;
  auto& e = *stream->exchange;
  if (!e.meter.take(bytes, e.route->policy.message)) return end(stream->id, {.ending = Ending::tooLarge});
  e.response.append(bytes);
  if (e.client) e.client->responseMore(e);
}

void Backend::onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) {
  auto* stream = find(session, id);
  if (!stream) return;
  const auto status = calls::readCode(calls::find(trailers, "grpc-status").value_or(""));
  if (!status) {
    ++counters_.cutStreams;
    return end(stream->id, {.ending = Ending::noStatus});
  }
  end(stream->id, {.ending = Ending::trailers, .status = status}, std::move(trailers));
}

void Backend::onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) {
  auto* stream = find(session, id);
  if (!stream) return;
  const auto& link = *stream->link;
  ++counters_.resets;
  if (link.goaway && id > link.lastServed) {
    ++counters_.refusedStreams;
    return end(stream->id, {.ending = Ending::aboveGoaway});
  }
  if (code == NGHTTP2_REFUSED_STREAM) ++counters_.refusedStreams;
  end(stream->id, {.ending = Ending::resetByPeer, .http2 = code});
}

void Backend::onGoaway(http2::Session& session, http2::StreamId last, std::uint32_t code) {
  const auto at = links_.find(&session);
  if (at == links_.end()) return;
  auto& link = *at->second;
  ++counters_.goaways;
  log_.line("grpc.backend_goaway", fmt::format("backend={} last={} code={} streams={}", link.address, last,
                                               code, link.streams.size()));
  link.goaway = true;
  link.lastServed = last;
}

http2::Pulled Backend::onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) {
  auto* stream = find(session, id);
  if (!stream) return {0, http2::Pulled::Then::wait, {}};
  auto& e = *stream->exchange;
  http2::Pulled out;
  out.size = e.call.request().read(stream->taken, to, most);
  stream->taken += out.size;
  const bool all = stream->taken == e.call.request().end();
  out.then = !all                    ? http2::Pulled::Then::more
             : e.call.requestEnded() ? http2::Pulled::Then::end
                                     : http2::Pulled::Then::wait;
  stream->sentEnd = out.then == http2::Pulled::Then::end;
  if (e.call.committed() == stream->id.attempt) {
    if (const auto more = e.call.requestTaken(stream->taken); more > 0 && e.client)
      e.client->requestTaken(e, more);
  } else if (!e.call.committed() && ((e.slow && !e.call.requestEnded()) || e.call.outgrown())) {
    keepSoon(stream->id);
  }
  return out;
}

// A call that was too long or too slow before its connection came up. Not at once: the session is in the
// midst of its output.
void Backend::keepSoon(const broker::AttemptId& id) {
  soon([this, id] {
    if (const auto at = streams_.find(id); at != streams_.end()) {
      const auto exchange = at->second.exchange;  // kept: the core may let go of it
      keep(*exchange);
    }
  });
}

void Backend::soon(std::function<void()> what) {
  const std::weak_ptr<bool> alive = alive_;
  loop_.soon([alive, what = std::move(what)] {
    if (const auto still = alive.lock(); still && *still) what();
  });
}

void Backend::requestMore(Exchange& e) {
  for (int attempt = 0; attempt < e.attempts; ++attempt) {
    if (!e.call.isOut(attempt)) continue;
    const auto at = streams_.find({e.no, 0, attempt});
    if (at == streams_.end()) continue;
    // What has been sent before the call was committed need not be kept any longer.
    if (e.call.committed() == attempt)
      if (const auto more = e.call.requestTaken(at->second.taken); more > 0 && e.client)
        e.client->requestTaken(e, more);
    if (at->second.link) at->second.link->session->resume(at->second.stream);
  }
  if (e.call.outgrown()) keep(e);
}

void Backend::keep(Exchange& e) {
  for (int attempt = e.attempts - 1; attempt >= 0; --attempt) {
    if (!e.call.isOut(attempt)) continue;
    const broker::AttemptId id{e.no, 0, attempt};
    const auto at = streams_.find(id);
    // One whose connection has not come up cannot have run, nor is its silence the server's.
    if (at == streams_.end() || !at->second.underWay()) continue;
    loop_.cancel(at->second.timer);
    if (e.call.commit(attempt) && core_.began(id, false)) requestMore(e);
    return;
  }
}

void Backend::responseTaken(Exchange& e, std::size_t bytes) {
  const auto attempt = e.call.committed();
  if (!attempt) return;
  const auto at = streams_.find({e.no, 0, *attempt});
  if (at != streams_.end() && at->second.link) at->second.link->session->consume(at->second.stream, bytes);
}

void Backend::onGone(http2::Session& session, net::ConnectionEnd how) {
  const auto at = links_.find(&session);
  if (at == links_.end()) return;
  auto& link = *at->second;
  if (how != net::ConnectionEnd::closedHere)
    log_.line("grpc.backend_gone", fmt::format("backend={} end={} streams={}", link.address, net::nameOf(how),
                                               link.streams.size()));
  const auto streams = std::exchange(link.streams, {});
  auto& links = byAddress_[link.address];
  std::erase(links, &link);
  if (links.empty()) byAddress_.erase(link.address);
  std::vector<std::pair<broker::AttemptId, Ended>> ended;
  for (const auto& [id, attempt] : streams) {
    const bool written = session.headWritten(id);
    const bool never = link.goaway && id > link.lastServed;
    ended.push_back({attempt,
                     {.ending = never     ? Ending::aboveGoaway
                                : written ? Ending::lostAfter
                                          : Ending::lostBefore}});
    if (const auto s = streams_.find(attempt); s != streams_.end()) s->second.link = nullptr;
  }
  const auto address = link.address;
  remove(session);
  for (const auto& [attempt, why] : ended) end(attempt, why);
  pump(address);
}

// The session is in the midst of a call to this: it goes later.
void Backend::remove(http2::Session& session) {
  const auto at = links_.find(&session);
  if (at == links_.end()) return;
  const std::shared_ptr<Link> link = std::move(at->second);
  links_.erase(at);
  loop_.soon([link] {});
}

void Backend::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  std::set<std::string, std::less<>> named;
  for (const auto& [id, server] : servers_) named.insert(server.address);
  std::vector<http2::Session*> idle;
  for (const auto& [session, link] : links_) {
    const bool spare =
        loop_.now() - link->idleSince > idle_ || named.count(link->address) == 0 || link->goaway;
    if (link->streams.empty() && session->up() && spare) idle.push_back(session);
  }
  while (!waiting_.empty() && waiting_.begin()->second.empty()) waiting_.erase(waiting_.begin());
  for (auto* session : idle) {
    auto& links = byAddress_[links_.at(session)->address];
    std::erase(links, links_.at(session).get());
    session->close();
    remove(*session);
  }
}

}  // namespace topazweir::grpc
