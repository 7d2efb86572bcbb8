#include "http/server.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "net/inherited_socket.hpp"

namespace topazweir::http {

namespace {
// Interval of the sweep for slow requests and idle connections.
constexpr Nanos kSweepIntervalNs = 200'000'000;
// How soon connections are accepted again after the limit was reached and none could be closed.
constexpr Nanos kAcceptRetryNs = 20'000'000;
// Grace period of a new connection: clients may open one a little before they send the first request.
constexpr Nanos kNewConnectionGraceNs = 250'000'000;
// Above this share of the maximum connections, the sweep closes idle connections.
constexpr double kIdleCloseLoadRatio = 0.75;
// Length of the kernel's queue of pending connections.
constexpr int kListenBacklog = 512;
// Unparsed input of one client. Requests sent further ahead are refused: they are read all the same, since
// the close of their client is behind them.
constexpr std::size_t kMaxAheadBytes = 128 * 1024;
// A client with an open request whose socket has not been empty for longer is not parsed any more, only read:
// half of the 0.1 s in which its close must be seen.
constexpr Nanos kMaxAheadNs = 50'000'000;
constexpr Fault kTooFarAhead{503, "requests were sent too far ahead; asking again is harmless"};
// Refusals written at once; the rest follows when the client has taken these.
constexpr std::size_t kRefusalsPerWrite = 128;
// While buffers are full, a connection that holds less is left alone.
constexpr std::size_t kMinShedBytes = 2 * 1024;
// A client that has taken no byte of its answers for this long may lose its connection when room is short.
constexpr Nanos kStalledReaderNs = 1'000'000'000;
constexpr Fault kBuffersFull{503, "the buffers are full; asking again is harmless"};
constexpr Fault kConnectionsFull{503, "the connections are needed; asking again is harmless"};
constexpr const char* kRefusedAheadText = "too many requests sent ahead; asking again is harmless\n";
constexpr const char* kRefusalRetryAfterSeconds = "1";
}  // namespace

Server::Server(net::Loop& loop, broker::Log& log, Options options, Handler& handler)
    : loop_(loop), log_(log), options_(std::move(options)), handler_(handler) {
  // A configured port is shared with the process that this one replaces. A port chosen by the system must not
  // be shared, or it could be one that another process listens on.
  if (options_.inherited) {
    listener_ = net::adoptInheritedSocket(*options_.inherited);
  } else {
    listener_.bind(options_.address, true, options_.address.port() != 0);
    listener_.listen(kListenBacklog);
  }
  listener_.setBlocking(false);
  accepts_ = options_.accepts;
  watchListener(true);
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
}

Server::~Server() {
  loop_.cancel(sweepTimer_);
  loop_.cancel(acceptTimer_);
  *alive_ = false;
  watchListener(false);
}

void Server::watchListener(bool on) {
  on = on && accepts_;
  if (watchingListener_ == on) return;
  const Poco::Observer<Server, Poco::Net::ReadableNotification> observer(*this, &Server::onAccept);
  on ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  watchingListener_ = on;
}

void Server::onAccept(Poco::Net::ReadableNotification* event) {
  event->release();
  accept();
}

void Server::accept() {
  while (listenerOpen_) {
    // At the limit new connections wait in the backlog: the program must not run out of descriptors.
    if (openConnections() >= options_.mostConnections && !freeConnection()) return pauseAccepting();
    std::shared_ptr<net::Connection> connection;
    try {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      connection = net::Connection::adopt(loop_, listener_.acceptConnection(), *this);
    } catch (const Poco::Exception& error) {  // the client has disconnected, or out of descriptors
      if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) return;  // accepted by another process
      log_.line("http.accept_failed", options_.name + " " + error.displayText());
      // The pending connection would keep the listener readable and the loop spinning: retry at the next
      // sweep.
      const int code = error.code();
      if (code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM) watchListener(false);
      return;
    }
    ++counters_.accepted;
    Client& client = clients_[connection.get()];
    client.connection = std::move(connection);
    client.since = client.progressAt = loop_.now();
  }
}

void Server::pauseAccepting() {
  watchListener(false);
  loop_.cancel(acceptTimer_);
  acceptTimer_ = loop_.after(kAcceptRetryNs, [this] {
    if (listenerOpen_) watchListener(true);
  });
}

// Connections that hold a descriptor: those of clients, and those lingering after their last response.
std::size_t Server::openConnections() const {
  return clients_.size() +
         static_cast<std::size_t>(std::count_if(closing_.begin(), closing_.end(), [](const auto& weak) {
           const auto connection = weak.lock();
           return connection && !connection->ended();
         }));
}

// Closes a connection to make room for a new one, in the order of the least harm: one that has been idle for
// the idle timeout, one whose client has been sent the whole response and has not closed yet, one that is
// idle after an earlier request, and last one that has never sent a request and is past its grace period.
bool Server::freeConnection() {
  if (closeLongestIdle(options_.idleTimeout, true)) return true;
  for (const auto& weak : closing_) {
    const auto connection = weak.lock();
    if (!connection || connection->ended() || !connection->flushed()) continue;
    connection->close();
    return true;
  }
  return closeLongestIdle(0, false) || closeLongestIdle(kNewConnectionGraceNs, true) ||
         shedOldestUnfinished() || closeStalledReader();
}

// Refuses the request that has been arriving for longest, if that is past the grace period, and closes its
// connection.
bool Server::shedOldestUnfinished() {
  Client* oldest = nullptr;
  for (auto& [key, client] : clients_)
    if (client.requestBegun && loop_.now() - client.since >= kNewConnectionGraceNs &&
        (!oldest || client.since < oldest->since) && awaitsRest(client))
      oldest = &client;
  if (!oldest) return false;
  const auto connection = oldest->connection;
  if (connection->readAvailable()) {  // its rest may have arrived
    onData(*connection);
    return false;
  }
  ++counters_.unfinishedShed;
  reject(*oldest, kConnectionsFull);
  connection->close();  // its descriptor is needed now; nothing is unread, so the client gets no reset
  return true;
}

// Closes the connection whose client has taken nothing of its answers for longest.
bool Server::closeStalledReader() {
  Client* stalled = nullptr;
  for (auto& [key, client] : clients_)
    if (!client.connection->flushed() && client.connection->written() == client.lastWritten &&
        loop_.now() - client.progressAt >= kStalledReaderNs &&
        (!stalled || client.progressAt < stalled->progressAt))
      stalled = &client;
  if (!stalled) return false;
  ++counters_.stalledClosed;
  log_.line("http.stalled_reader", options_.name + describe(*stalled));
  stalled->connection->end(net::ConnectionEnd::closedLocally);
  return true;
}

// Closes the connection that has been idle longest, if that is at least `minIdleTime`. A connection with an
// unread request is served instead. Returns whether a connection was closed.
bool Server::closeLongestIdle(Nanos minIdleTime, bool includeWithoutRequest) {
  Client* oldest = nullptr;
  for (auto& [key, client] : clients_)
    if (client.idle() && (client.hasRequested || includeWithoutRequest) &&
        loop_.now() - client.since >= minIdleTime && (!oldest || client.since < oldest->since))
      oldest = &client;
  if (!oldest) return false;
  const auto connection = oldest->connection;
  // A request that arrived in the meantime is served: the loop does not report bytes that are read here.
  if (connection->readAvailable()) {
    onData(*connection);
    return false;
  }
  ++counters_.idleClosed;
  log_.line("http.connection_limit", options_.name + " closed an idle connection" + describe(*oldest));
  // Closed at once, since its descriptor is needed now. Nothing is unread, so the client gets no reset.
  connection->close();
  removeClient(*connection);
  return true;
}

void Server::onData(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  Client& client = at->second;
  // The time is not renewed by further bytes, or a slow request could take forever.
  if (client.hasRequested && client.exchange == 0 && !client.requestBegun) client.since = loop_.now();
  client.requestBegun = true;
  serve(client);
  if (loop_.buffers().full()) freeBuffers();
}

// Handles one exchange at a time; pipelined requests wait in the input. The request of a client that has
// already disconnected is not started, nor is one that has had unread bytes behind it for long, since the
// close may be there.
void Server::serve(Client& client) {
  if (!client.serveScheduled) serveUntil(client, 0);
}

void Server::serveUntil(Client& client, Nanos sliceEnd) {
  const auto connection = client.connection;  // keeps it alive: the handler may respond, which can end it
  while (!client.occupied() && !connection->input().empty()) {
    if (connection->hasPeerClosed()) return connection->end(net::ConnectionEnd::peerClosed);
    switch (client.parser.parse(connection->input())) {
      case Parser::Progress::more:
        return;
      case Parser::Progress::fault:
        return reject(client, client.parser.fault());
      case Parser::Progress::complete:
        break;
    }
    if (!connection->drained() && loop_.now() - connection->lastDrainedAt() > kMaxAheadNs) break;
    begin(client);
    // The handler may have responded at once, which may have removed the client.
    if (clients_.find(connection.get()) == clients_.end()) return;
    if (loop_.now() >= sliceEnd && !connection->input().empty()) return scheduleServe(client);
  }
  if (connection->input().size() < kMaxAheadBytes || connection->drained()) return;
  // The close of the client is looked for within the time in which nothing may begin for one that has left.
  if (client.exchange != 0 && loop_.now() - connection->lastDrainedAt() > kMaxAheadNs)
    return giveUpReading(client, kTooFarAhead);
  sliceEnd > 0 ? refuseAhead(client, sliceEnd) : scheduleServe(client);
}

void Server::begin(Client& client) {
  const auto connection = client.connection;
  const auto head = client.parser.head(connection->input());
  client.exchange = ++lastExchange_;
  ++counters_.requests;
  client.hasRequested = true;
  client.close = !head.keepAlive;
  exchanges_[lastExchange_] = connection.get();
  handler_.onRequest(lastExchange_, head, client.parser.body(connection->input()));
  if (clients_.find(connection.get()) == clients_.end()) return;
  client.parser.next(connection->input());  // its bytes are not kept while the exchange is open
  client.requestBegun = !connection->input().empty();
  connection->resume();
}

// Requests that were sent ahead are served in turns with everything else that the loop has to do.
void Server::scheduleServe(Client& client) {
  if (std::exchange(client.serveScheduled, true)) return;
  const std::weak_ptr<net::Connection> weak = client.connection;
  loop_.runInTurn([this, weak, alive = alive_](Nanos sliceEnd) {
    const auto connection = weak.lock();
    if (!*alive || !connection) return;
    const auto at = clients_.find(connection.get());
    if (at == clients_.end()) return;
    at->second.serveScheduled = false;
    serveUntil(at->second, sliceEnd);
  });
}

void Server::refuseAhead(Client& client, Nanos sliceEnd) {
  const auto connection = client.connection;
  auto progress = client.parser.parse(connection->input());
  if (client.refusals == 0 && progress == Parser::Progress::complete)
    log_.line("http.refused_ahead", options_.name + describe(client));
  while (progress == Parser::Progress::complete && loop_.now() < sliceEnd) {
    ++client.refusals;
    ++counters_.refusedAhead;
    client.parser.skip(connection->input());
    progress = client.parser.parse(connection->input());
  }
  if (progress == Parser::Progress::fault) return giveUpReading(client, client.parser.fault());
  client.hasRequested = true;
  client.requestBegun = !connection->input().empty();
  connection->resume();
  if (connection->input().size() >= kMaxAheadBytes) scheduleServe(client);
  writeRefusals(client);
}

void Server::giveUpReading(Client& client, const Fault& fault) {
  client.fault = fault;
  client.connection->startDiscarding();
  writeRefusals(client);
}

void Server::writeRefusals(Client& client) {
  if (client.exchange != 0) return;
  const auto connection = client.connection;
  Response response{503, "text/plain", kRefusedAheadText, {{"Retry-After", kRefusalRetryAfterSeconds}}};
  const auto refusal = formatHead(response, false) + response.body;
  while (client.refusals > 0 && connection->flushed()) {
    std::string text;
    for (std::size_t i = 0; i < kRefusalsPerWrite && client.refusals > 0; ++i, --client.refusals)
      text += refusal;
    connection->write(std::move(text));
  }
  if (client.refusals > 0 || !connection->flushed()) return;
  client.since = loop_.now();
  if (client.fault) return reject(client, Fault(*client.fault));
  if (!connection->input().empty()) scheduleServe(client);
}

void Server::onFlushed(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  Client& client = at->second;
  if (client.refusals > 0 || client.fault) return writeRefusals(client);
  if (client.exchange == 0 && !connection.input().empty()) scheduleServe(client);
}

bool Server::awaitsRest(Client& client) {
  return !client.occupied() && !client.serveScheduled &&
         client.parser.parse(client.connection->input()) == Parser::Progress::more;
}

Server::Client* Server::largestHolder() {
  Client* largest = nullptr;
  std::size_t most = kMinShedBytes;
  for (auto& [key, client] : clients_) {
    const auto held = client.connection->input().capacity();
    if (held < most || client.fault) continue;
    largest = &client;
    most = held;
  }
  return largest;
}

void Server::freeBuffers() {
  while (loop_.buffers().full()) {
    auto* largest = largestHolder();
    if (largest == nullptr) break;
    shed(*largest);
  }
  while (loop_.buffers().full() && closeStalledReader()) {
  }
}

void Server::shed(Client& client) {
  if (client.connection->input().empty()) return client.connection->discardInput();  // unused capacity
  ++counters_.unfinishedShed;
  if (awaitsRest(client)) return reject(client, kBuffersFull);
  giveUpReading(client, kBuffersFull);
}

std::string Server::describe(const Client& client) const {
  constexpr Nanos kMillisecondNs = 1'000'000;
  return " client=" + client.connection->peerName() +
         " buffered=" + std::to_string(client.connection->bufferedBytes()) +
         " after_ms=" + std::to_string((loop_.now() - client.since) / kMillisecondNs);
}

void Server::reject(Client& client, const Fault& fault) {
  ++counters_.rejected[fault.status];
  log_.line("http.bad_request", options_.name + " status=" + std::to_string(fault.status) + " " +
                                    std::string(fault.why) + describe(client));
  Response response{fault.status, "text/plain", std::string(fault.why) + "\n", {}};
  if (fault.status == 503) response.fields.emplace_back("Retry-After", kRefusalRetryAfterSeconds);
  auto head = formatHead(response, true);
  const auto connection = client.connection;
  connection->write(std::move(head), std::move(response.body));
  closeGracefully(*connection);
  connection->discardInput();
}

void Server::respond(ExchangeId exchange, const Response& response) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  const auto at = clients_.find(found->second);
  exchanges_.erase(found);
  Client& client = at->second;
  const auto connection = client.connection;
  // During a drain connections are closed only once the listener is closed or setCloseAfterResponse() is on.
  // Before that, the load balancer may have stopped sending new connections here while no other aggregator is
  // up yet, and a client that has to reconnect would find no server.
  const bool close = client.close || !listenerOpen_ || closeAfterResponse_;
  connection->write(formatHead(response, close), response.body);
  client.exchange = 0;
  client.since = loop_.now();
  if (close) return closeGracefully(*connection);
  connection->resume();
  if (client.refusals > 0 || client.fault) return writeRefusals(client);
  if (!connection->input().empty()) scheduleServe(client);
}

void Server::closeGracefully(net::Connection& connection) {
  connection.closeGracefully();
  removeClient(connection);
}

void Server::removeClient(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  if (at->second.exchange != 0) exchanges_.erase(at->second.exchange);
  std::erase_if(closing_, [](const auto& weak) { return weak.expired(); });
  if (!connection.ended()) closing_.push_back(at->second.connection);
  clients_.erase(at);
  if (listenerOpen_ && openConnections() < options_.mostConnections) watchListener(true);
}

// Includes lingering connections, so that the process does not exit before clients have read their responses.
// Closing over input that arrived in the meantime would send a reset and cut a response short.
bool Server::quiet() const { return openConnections() == 0; }

// A client has filled the input with pipelined requests and disconnected. Without an open exchange, serve()
// detects this itself.
void Server::onPeerClosedWhilePaused(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at != clients_.end() && at->second.exchange != 0) connection.end(net::ConnectionEnd::peerClosed);
}

void Server::onEnd(net::Connection& connection, net::ConnectionEnd) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  const auto exchange = at->second.exchange;
  const auto keep = at->second.connection;
  removeClient(connection);
  if (exchange == 0) return;
  ++counters_.clientsLeft;
  handler_.onGone(exchange);
}

// Prevents clients that send partial requests, or nothing at all, from holding descriptors: after the request
// timeout they get a response or a close, however they spread their bytes. A client that has sent nothing
// gets no response.
void Server::sweep() {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
  std::vector<std::shared_ptr<net::Connection>> overdue;
  for (auto& [key, client] : clients_) {
    if (client.connection->flushed() || client.connection->written() != client.lastWritten) {
      client.lastWritten = client.connection->written();
      client.progressAt = loop_.now();
    }
    if (!client.occupied() && (!client.hasRequested || client.requestBegun) &&
        loop_.now() - client.since > options_.requestTimeout)
      overdue.push_back(client.connection);
  }
  for (const auto& connection : overdue) {
    if (!serveOrReject(*connection) && !clients_.at(connection.get()).hasRequested)
      closeGracefully(*connection);
  }
  const auto idleCloseThreshold =
      static_cast<std::size_t>(kIdleCloseLoadRatio * static_cast<double>(options_.mostConnections));
  while (listenerOpen_ && clients_.size() > idleCloseThreshold &&
         closeLongestIdle(options_.idleTimeout, false)) {
  }
  if (closeIdle_) closeIdleConnections();
  // Accepting may be paused, and connections may have been idle for long enough since.
  if (listenerOpen_) watchListener(true);
}

void Server::startAccepting() {
  accepts_ = true;
  if (listenerOpen_) watchListener(true);
}

void Server::stopListening(bool shared) {
  if (!listenerOpen_) return;
  if (!shared && accepts_) accept();  // connections that the kernel has accepted must be served
  listenerOpen_ = false;
  watchListener(false);
  try {
    listener_.close();
  } catch (const Poco::Exception&) {  // nothing more can be done: the listener counts as closed
  }
}

void Server::stopAccepting() {
  stopListening();
  closeIdle_ = true;
  closeIdleConnections();
}

bool Server::serveOrReject(net::Connection& connection) {
  connection.readAvailable();
  if (!connection.input().empty()) onData(connection);
  const auto at = clients_.find(&connection);
  if (at == clients_.end() || at->second.occupied()) return true;
  if (connection.input().empty()) return false;
  if (awaitsRest(at->second)) reject(at->second, Fault{408, "the request did not come in"});
  return true;
}

void Server::rejectUnfinished() {
  std::vector<std::shared_ptr<net::Connection>> withoutExchange;
  for (auto& [key, client] : clients_)
    if (client.exchange == 0) withoutExchange.push_back(client.connection);
  for (const auto& connection : withoutExchange) {
    const bool waits = clients_.at(connection.get()).occupied();  // for its client to take earlier answers
    if (waits || !serveOrReject(*connection)) closeGracefully(*connection);
  }
}

// Spares new connections within their grace period, since their first request is about to arrive.
void Server::closeIdleConnections() {
  std::vector<std::shared_ptr<net::Connection>> idle;
  for (auto& [key, client] : clients_)
    if (!client.occupied() && (client.hasRequested || loop_.now() - client.since >= kNewConnectionGraceNs))
      idle.push_back(client.connection);
  for (const auto& connection : idle) {
    // A request that has arrived, even if not read yet, is served before the connection is closed.
    connection->readAvailable();
    if (clients_.find(connection.get()) == clients_.end()) continue;
    if (!connection->input().empty()) {
      onData(*connection);
    } else {
      closeGracefully(*connection);
    }
  }
}

}  // namespace topazweir::http
