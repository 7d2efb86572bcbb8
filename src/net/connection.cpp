#include "net/connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace topazweir::net {

using ReadObserver = Poco::Observer<Connection, Poco::Net::ReadableNotification>;
using WriteObserver = Poco::Observer<Connection, Poco::Net::WritableNotification>;

std::shared_ptr<Connection> Connection::adopt(Loop& loop, const Poco::Net::StreamSocket& socket,
                                              Owner& owner) {
  std::shared_ptr<Connection> c(new Connection(loop, socket, owner, State::up));
  c->socket_.setBlocking(false);
  c->socket_.setNoDelay(true);
  c->watch(true, false);
  c->accepted_ = true;
  loop.accepted(*c);
  return c;
}

std::shared_ptr<Connection> Connection::connect(Loop& loop, const Poco::Net::SocketAddress& peer,
                                                Nanos timeout, Owner& owner) {
  std::shared_ptr<Connection> c(new Connection(loop, Poco::Net::StreamSocket(), owner, State::connecting));
  const std::weak_ptr<Connection> weak = c;
  try {
    c->socket_.connectNB(peer);
    c->socket_.setNoDelay(true);
    c->watch(false, true);
    c->timer_ = loop.after(timeout, [weak] {
      if (const auto self = weak.lock()) self->connectTimedOut();
    });
  } catch (const Poco::Exception&) {  // refused at once, no route, no descriptor
    c->timer_ = loop.after(0, [weak] {
      if (const auto self = weak.lock()) self->end(ConnectionEnd::unreachable);
    });
  }
  return c;
}

// A loop that has stood still sees its timers before its sockets: a connection that came up or was refused
// meanwhile did not time out. Its event is in the same round.
void Connection::connectTimedOut() {
  pollfd look{fd(), POLLOUT, 0};
  if (::poll(&look, 1, 0) <= 0) return end(ConnectionEnd::connectTimeout);
  timer_ = {};
}

Connection::~Connection() { release(); }

// Asks the reactor for just what is needed: a writable socket that nobody writes to would make it spin. Poco
// 1.11 keeps polling for an event whose observer has gone while another observer of the socket stays; so all
// are taken away first, which drops the socket from its poll set.
void Connection::watch(bool readable, bool writable) {
  if (readable == readable_ && writable == writable_) return;
  const ReadObserver reads(*this, &Connection::onReadable);
  const WriteObserver writes(*this, &Connection::onWritable);
  if (readable_) loop_.removeEventHandler(socket_, reads);
  if (writable_) loop_.removeEventHandler(socket_, writes);
  readable_ = readable, writable_ = writable;
  if (readable_) loop_.addEventHandler(socket_, reads);
  if (writable_) loop_.addEventHandler(socket_, writes);
}

void Connection::release() {
  if (state_ == State::ended) return;
  state_ = State::ended;
  loop_.cancel(timer_);
  if (accepted_) loop_.gone(*this);
  try {
    watch(false, false);
    socket_.close();
  } catch (const Poco::Exception&) {  // it is gone either way
  }
}

void Connection::close() { release(); }

void Connection::end(ConnectionEnd why) {
  if (state_ == State::ended) return;
  const bool tell = state_ != State::lingering;
  const auto self = shared_from_this();
  release();
  if (tell) owner_->onEnd(*this, why);
}

void Connection::closeGently() {
  if (state_ != State::up) return release();
  state_ = State::lingering;
  watch(true, writable_);
  linger();
}

// Lasts until the peer has closed or its time is up; the timer keeps the connection. A peer that reads slowly
// gets the time to read the whole answer.
void Connection::linger() {
  if (flushed()) ::shutdown(fd(), SHUT_WR);
  loop_.cancel(timer_);
  const auto self = shared_from_this();
  timer_ = loop_.after(flushed() ? kLinger : kSlowPeer, [self] { self->release(); });
}

void Connection::write(std::string head, std::string body) {
  if (state_ != State::up) return;
  for (auto* piece : {&head, &body}) {
    if (piece->empty()) continue;
    queued_ += piece->size();
    output_.push_back(std::move(*piece));
  }
  if (writable_) return;
  if (!flush()) {  // reported from the loop: the caller is in the midst of something
    const std::weak_ptr<Connection> weak = weak_from_this();
    loop_.soon([weak] {
      if (const auto self = weak.lock()) self->end(ConnectionEnd::writeFailed);
    });
  }
}

bool Connection::flush() {
  while (!output_.empty()) {
    std::array<iovec, 16> pieces{};
    std::size_t count = 0;
    for (auto& piece : output_) {
      if (count == pieces.size()) break;
      const std::size_t skip = count == 0 ? sentOfFirst_ : 0;
      pieces[count++] = {piece.data() + skip, piece.size() - skip};
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    const auto sent = ::sendmsg(fd(), &message, MSG_NOSIGNAL);  // writev, but without SIGPIPE
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (sent < 0) return false;
    written_ += static_cast<std::uint64_t>(sent);
    auto left = static_cast<std::size_t>(sent);
    while (!output_.empty() && left >= output_.front().size() - sentOfFirst_) {
      left -= output_.front().size() - sentOfFirst_;
      sentOfFirst_ = 0;
      output_.pop_front();
    }
    sentOfFirst_ += left;
  }
  watch(readable_, !output_.empty());
  return true;
}

void Connection::onWritable(Poco::Net::WritableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  loop_.hearClients();  // what is written or comes up here may begin an attempt
  if (state_ == State::ended) return;
  if (state_ == State::connecting) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return end(error == ECONNREFUSED ? ConnectionEnd::refused : ConnectionEnd::unreachable);
    loop_.cancel(timer_);
    state_ = State::up;
    watch(true, false);
    return owner_->onUp(*this);
  }
  if (!flush()) return end(ConnectionEnd::writeFailed);
  if (state_ == State::lingering && flushed()) linger();
  if (state_ == State::up && flushed()) owner_->onFlushed(*this);
}

bool Connection::peerLeft() const {
  if (sawEnd_ || state_ == State::ended) return true;
  if (readable_ || state_ == State::connecting) return false;  // the loop will say so
  pollfd look{fd(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Reads on to where nothing waits: an end behind the last byte is seen together with it, and what a peer
// asked for that has left meanwhile is not begun.
bool Connection::receive() {
  if (state_ == State::ended || state_ == State::connecting) return false;
  std::array<char, 65536> chunk;
  const auto before = input_.size();
  while (input_.size() < kMostInput) {
    const auto got = ::recv(fd(), chunk.data(), chunk.size(), 0);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (got <= 0) {
      sawEnd_ = got < 0 ? ConnectionEnd::reset : ConnectionEnd::peerClosed;
      break;
    }
    if (state_ == State::lingering) {
      // A peer that sends on at full speed must not keep the loop: a chunk a round, and only so many.
      dropped_ += static_cast<std::size_t>(got);
      if (dropped_ > kMostDropped) watch(false, writable_);
      break;
    }
    input_.append(chunk.data(), static_cast<std::size_t>(got));
  }
  return input_.size() > before;
}

void Connection::onReadable(Poco::Net::ReadableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  loop_.hearClients();  // an answer here may lead to a further attempt, for this or any other request
  read();
}

void Connection::hear(bool left) {
  if (state_ == State::ended) return;
  if (readable_) return read();
  if (left && state_ == State::up) owner_->onLeft(*this);
}

void Connection::read() {
  if (state_ == State::ended) return;
  const bool more = receive();
  if (state_ == State::lingering) {
    if (sawEnd_) release();
    return;
  }
  if (more) owner_->onData(*this);
  if (state_ == State::ended) return;
  if (sawEnd_) return end(*sawEnd_);
  // A peer that sends on without waiting for answers is read no further until these have gone out.
  if (input_.size() >= kMostInput) pause();
}

// Nothing tells of the end of a peer that is not read: it is looked for.
void Connection::pause() {
  watch(false, writable_);
  if (!accepted_ || timer_ != Loop::TimerId{}) return;
  const std::weak_ptr<Connection> weak = weak_from_this();
  timer_ = loop_.after(kLookBehind, [weak] {
    if (const auto self = weak.lock()) self->lookBehind();
  });
}

void Connection::lookBehind() {
  timer_ = {};
  if (state_ != State::up || readable_) return;
  if (peerLeft()) owner_->onLeft(*this);
  if (state_ == State::up && !readable_) pause();
}

}  // namespace topazweir::net
