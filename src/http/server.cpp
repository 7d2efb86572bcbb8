#include "http/server.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "net/inherited_socket.hpp"

namespace topazweir::http {

namespace {
constexpr Nanos kSweep = 200'000'000;
constexpr Nanos kYoung = 250'000'000;  // a connection may be opened a little before its first request is sent
constexpr double kRoomy = 0.75;        // of the connections: beyond, the idle ones go
constexpr int kBacklog = 512;
}  // namespace

Server::Server(net::Loop& loop, broker::Log& log, Options options, Handler& handler)
    : loop_(loop), log_(log), options_(std::move(options)), handler_(handler) {
  // Shared with a process that is being replaced, where the port is a given one; a port that the system is to
  // choose must not be one that another process shares.
  if (options_.inherited) {
    listener_ = net::inheritedSocket(*options_.inherited);
  } else {
    listener_.bind(options_.address, true, options_.address.port() != 0);
    listener_.listen(kBacklog);
  }
  listener_.setBlocking(false);
  accepts_ = options_.accepts;
  listen(true);
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

Server::~Server() {
  loop_.cancel(sweepTimer_);
  listen(false);
}

void Server::listen(bool on) {
  on = on && accepts_;
  if (listening_ == on) return;
  const Poco::Observer<Server, Poco::Net::ReadableNotification> observer(*this, &Server::onAccept);
  on ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  listening_ = on;
}

void Server::onAccept(Poco::Net::ReadableNotification* event) {
  event->release();
  accept();
}

void Server::accept() {
  while (open_) {
    // With no room to be made the backlog waits: the program must not run out of descriptors.
    if (open() >= options_.mostConnections && !makeRoom()) return listen(false);
    std::shared_ptr<net::Connection> connection;
    try {
      if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return;
      connection = net::Connection::adopt(loop_, listener_.acceptConnection(), *this);
    } catch (const Poco::Exception& error) {  // the client left meanwhile, or no descriptor was left
      if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) return;  // another process was quicker
      log_.line("http.accept_failed", options_.name + " " + error.displayText());
      // Who can't be accepted waits on, and the loop would be told so without end: not before the next sweep.
      const int code = error.code();
      if (code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM) listen(false);
      return;
    }
    Client& client = clients_[connection.get()];
    client.connection = std::move(connection);
    client.since = loop_.now();
  }
}

// What holds a descriptor: clients, and those whose connections still linger after their last answer.
std::size_t Server::open() const {
  return clients_.size() +
         static_cast<std::size_t>(std::count_if(closing_.begin(), closing_.end(), [](const auto& weak) {
           const auto connection = weak.lock();
           return connection && !connection->ended();
         }));
}

// At the limit those go first that lose least: who has been idle for long, who has had the answer and does
// not read it to its end, who has asked before and will ask again, and at last who has never asked anything.
bool Server::makeRoom() {
  if (closeIdle(options_.idleTime, true)) return true;
  for (const auto& weak : closing_) {
    const auto connection = weak.lock();
    if (!connection || connection->ended() || !connection->flushed()) continue;
    connection->close();
    return true;
  }
  return closeIdle(0, false) || closeIdle(kYoung, true);
}

// Closes the connection that has been idle for longest, if any has for so long. None with a request unread.
bool Server::closeIdle(Nanos longerThan, bool unasked) {
  Client* oldest = nullptr;
  for (auto& [key, client] : clients_)
    if (client.idle() && (client.asked || unasked) && loop_.now() - client.since >= longerThan &&
        (!oldest || client.since < oldest->since))
      oldest = &client;
  if (!oldest) return false;
  const auto connection = oldest->connection;
  // What has been read here the loop will not speak of again: a request that crossed the close is served.
  if (connection->readMore()) {
    onData(*connection);
    return false;
  }
  log_.line("http.connection_limit", options_.name + " closed an idle connection");
  connection
      ->close();  // its descriptor is needed now, and there is nothing unread that would make it a reset
  drop(*connection);
  return true;
}

void Server::onData(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  // Not renewed by each further byte: that would let a request come in for ever.
  if (at->second.asked && at->second.exchange == 0 && !at->second.begun) at->second.since = loop_.now();
  at->second.begun = true;
  serve(at->second);
}

// One exchange after the other; what a client sends ahead waits in the input. A client that has left is not
// worked for, though its request is here.
void Server::serve(Client& client) {
  const auto connection = client.connection;  // kept: the handler may answer, and with that end it
  while (client.exchange == 0 && !client.connection->input().empty()) {
    if (connection->peerLeft()) return connection->end(net::ConnectionEnd::peerClosed);
    switch (client.parser.parse(connection->input())) {
      case Parser::Progress::more:
        return;
      case Parser::Progress::fault:
        return reject(client, client.parser.fault());
      case Parser::Progress::complete:
        break;
    }
    const auto head = client.parser.head(connection->input());
    client.exchange = ++last_;
    client.asked = true;
    client.close = !head.keepAlive;
    exchanges_[last_] = connection.get();
    handler_.onRequest(last_, head, client.parser.body(connection->input()));
    // The handler may have answered at once; the client may be gone with that.
    if (clients_.find(connection.get()) == clients_.end()) return;
  }
}

void Server::reject(Client& client, const Fault& fault) {
  log_.line("http.bad_request",
            options_.name + " status=" + std::to_string(fault.status) + " " + std::string(fault.why));
  Response response{fault.status, "text/plain", std::string(fault.why) + "\n", {}};
  auto head = writeHead(response, true);
  const auto connection = client.connection;
  connection->write(std::move(head), std::move(response.body));
  endGently(*connection);
  connection->input() = {};  // it may be much, and it lingers
}

void Server::respond(ExchangeNo exchange, const Response& response) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  const auto at = clients_.find(found->second);
  exchanges_.erase(found);
  Client& client = at->second;
  const auto connection = client.connection;
  // Not before the listener has closed: a client that is made to connect anew while the layer in front has
  // stopped sending new connections here, and no other aggregator is up yet, would have nowhere to go.
  const bool close = client.close || !open_ || endWithAnswers_;
  connection->write(writeHead(response, close), response.body);
  client.parser.next(connection->input());
  client.exchange = 0;
  client.since = loop_.now();
  client.begun = !connection->input().empty();
  if (close) return endGently(*connection);
  connection->resume();
  if (connection->input().empty()) return;
  // What the client has sent ahead is served from the loop: this may be called from within serve().
  const std::weak_ptr<net::Connection> weak = connection;
  loop_.soon([this, weak] {
    const auto self = weak.lock();
    const auto still = self ? clients_.find(self.get()) : clients_.end();
    if (still != clients_.end()) serve(still->second);
  });
}

void Server::endGently(net::Connection& connection) {
  connection.closeGently();
  drop(connection);
}

void Server::drop(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  if (at->second.exchange != 0) exchanges_.erase(at->second.exchange);
  std::erase_if(closing_, [](const auto& weak) { return weak.expired(); });
  if (!connection.ended()) closing_.push_back(at->second.connection);
  clients_.erase(at);
  if (open_ && open() < options_.mostConnections) listen(true);
}

// Guards against an exit that cuts an answer short which its client has not read yet: what a client sends
// meanwhile would stand unread behind it, and a close over that is a reset.
bool Server::quiet() const { return open() == 0; }

// A client that has sent ahead more than is read, and has left: with no exchange open, serve() sees to it.
void Server::onLeft(net::Connection& connection) {
  const auto at = clients_.find(&connection);
  if (at != clients_.end() && at->second.exchange != 0) connection.end(net::ConnectionEnd::peerClosed);
}

void Server::onEnd(net::Connection& connection, net::ConnectionEnd) {
  const auto at = clients_.find(&connection);
  if (at == clients_.end()) return;
  const auto exchange = at->second.exchange;
  const auto keep = at->second.connection;
  drop(connection);
  if (exchange != 0) handler_.onGone(exchange);
}

// Guards the descriptors against clients that send half a request, or nothing at all: they have an answer or
// an end in time, however they spread their bytes. A client is never answered before it has begun to ask.
void Server::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  std::vector<std::shared_ptr<net::Connection>> slow;
  for (auto& [key, client] : clients_) {
    if (client.exchange == 0 && (!client.asked || client.begun) &&
        loop_.now() - client.since > options_.requestTime)
      slow.push_back(client.connection);
  }
  for (const auto& connection : slow) {
    if (!hurry(*connection) && !clients_.at(connection.get()).asked) endGently(*connection);
  }
  const auto roomy = static_cast<std::size_t>(kRoomy * static_cast<double>(options_.mostConnections));
  while (open_ && clients_.size() > roomy && closeIdle(options_.idleTime, false)) {
  }
  if (endIdle_) endIdle();
  if (open_) listen(true);  // it may be off; since then some have been idle for long enough
}

void Server::startAccepting() {
  accepts_ = true;
  if (open_) listen(true);
}

void Server::stopListening(bool shared) {
  if (!open_) return;
  if (!shared && accepts_) accept();  // what the machine has accepted is ours to answer
  open_ = false;
  listen(false);
  try {
    listener_.close();
  } catch (const Poco::Exception&) {  // closed either way
  }
}

void Server::stopAccepting() {
  stopListening();
  endIdle_ = true;
  endIdle();
}

// Its time is up: a request that has come in whole by now is served, one that has not is turned down.
bool Server::hurry(net::Connection& connection) {
  connection.readMore();
  if (!connection.input().empty()) onData(connection);
  const auto at = clients_.find(&connection);
  if (at == clients_.end() || at->second.exchange != 0) return true;
  if (connection.input().empty()) return false;
  reject(at->second, Fault{408, "the request did not come in"});
  return true;
}

void Server::endUnfinished() {
  std::vector<std::shared_ptr<net::Connection>> unasked;
  for (auto& [key, client] : clients_)
    if (client.exchange == 0) unasked.push_back(client.connection);
  for (const auto& connection : unasked) {
    if (!hurry(*connection)) endGently(*connection);
  }
}

// A connection that has just been opened is about to bring its request.
void Server::endIdle() {
  std::vector<std::shared_ptr<net::Connection>> idle;
  for (auto& [key, client] : clients_)
    if (client.exchange == 0 && (client.asked || loop_.now() - client.since >= kYoung))
      idle.push_back(client.connection);
  for (const auto& connection : idle) {
    // A request that has arrived, read or not, is taken: it is served before the connection ends.
    connection->readMore();
    if (clients_.find(connection.get()) == clients_.end()) continue;
    if (!connection->input().empty()) {
      onData(*connection);
    } else {
      endGently(*connection);
    }
  }
}

}  // namespace topazweir::http
