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

namespace {
constexpr std::size_t kReadChunkBytes = 65536;
constexpr std::size_t kMaxGatheredPieces = 16;
}  // namespace

using ReadObserver = Poco::Observer<Connection, Poco::Net::ReadableNotification>;
using WriteObserver = Poco::Observer<Connection, Poco::Net::WritableNotification>;

std::shared_ptr<Connection> Connection::adopt(Loop& loop, const Poco::Net::StreamSocket& socket,
                                              Owner& owner) {
  std::shared_ptr<Connection> connection(new Connection(loop, socket, owner, State::up));
  connection->socket_.setBlocking(false);
  connection->socket_.setNoDelay(true);
  connection->watch(true, false);
  connection->accepted_ = true;
  connection->lastDrainedAt_ = loop.now();
  loop.registerAccepted(*connection);
  return connection;
}

std::shared_ptr<Connection> Connection::connect(Loop& loop, const Poco::Net::SocketAddress& peer,
                                                Nanos timeout, Owner& owner) {
  std::shared_ptr<Connection> connection(
      new Connection(loop, Poco::Net::StreamSocket(), owner, State::connecting));
  const std::weak_ptr<Connection> weak = connection;
  try {
    connection->socket_.connectNB(peer);
    connection->socket_.setNoDelay(true);
    connection->watch(false, true);
    connection->timer_ = loop.after(timeout, [weak] {
      if (const auto self = weak.lock()) self->onConnectTimeout();
    });
  } catch (const Poco::Exception&) {  // refused at once, no route, or out of descriptors
    connection->timer_ = loop.after(0, [weak] {
      if (const auto self = weak.lock()) self->end(ConnectionEnd::unreachable);
    });
  }
  return connection;
}

// After a stall the loop runs its timers before its socket events. A connection that was established or
// refused during the stall has not timed out; its event follows in the same loop iteration.
void Connection::onConnectTimeout() {
  pollfd entry{fd(), POLLOUT, 0};
  if (::poll(&entry, 1, 0) <= 0) return end(ConnectionEnd::connectTimeout);
  timer_ = {};
}

Connection::~Connection() { release(); }

// Registers only for the events that are needed: the reactor would spin on a writable socket without output.
// Poco 1.11 keeps polling for an event whose observer was removed as long as the socket has another observer.
// All observers are therefore removed first, which drops the socket from the poll set.
void Connection::watch(bool readable, bool writable) {
  if (readable == readable_ && writable == writable_) return;
  const ReadObserver reads(*this, &Connection::onReadable);
  const WriteObserver writes(*this, &Connection::onWritable);
  if (readable_) loop_.removeEventHandler(socket_, reads);
  if (writable_) loop_.removeEventHandler(socket_, writes);
  readable_ = readable;
  writable_ = writable;
  if (readable_) loop_.addEventHandler(socket_, reads);
  if (writable_) loop_.addEventHandler(socket_, writes);
}

void Connection::release() {
  if (state_ == State::ended) return;
  state_ = State::ended;
  loop_.cancel(timer_);
  if (accepted_) loop_.unregisterAccepted(*this);
  try {
    watch(false, false);
    socket_.close();
  } catch (const Poco::Exception&) {  // nothing more can be done: the connection counts as closed
  }
  output_.clear();  // the owner may keep the closed connection, and its input, for a while
  buffered_.set(input_.capacity());
}

void Connection::close() { release(); }

std::string Connection::peerName() const {
  try {
    return socket_.peerAddress().toString();
  } catch (const Poco::Exception&) {  // the peer has reset the connection, or it is closed here
    return "?";
  }
}

void Connection::resume() {
  if (state_ == State::up && input_.size() < maxInput()) watch(true, writable_);
  accountBuffers();
}

void Connection::discardInput() {
  std::string().swap(input_);  // unlike clear(), this frees the memory
  accountBuffers();
}

std::size_t Connection::maxInput() const {
  if (maxInput_ == kMaxInputBytes || !loop_.buffers().full()) return maxInput_;
  return std::min(maxInput_, kMaxInputWhenFullBytes);
}

void Connection::startDiscarding() {
  discarding_ = true;
  discardInput();
  if (state_ == State::up) watch(true, writable_);
}

void Connection::receiveAndDiscard() {
  std::array<char, kReadChunkBytes> chunk;
  for (std::size_t discarded = 0; discarded < kMaxDiscardedReadBytes;) {
    const auto received = ::recv(fd(), chunk.data(), chunk.size(), 0);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (received <= 0) {
      receivedEnd_ = received < 0 ? ConnectionEnd::reset : ConnectionEnd::peerClosed;
      return;
    }
    discarded += static_cast<std::size_t>(received);
  }
}

void Connection::accountBuffers() {
  if (input_.capacity() > kKeptInputBytes && input_.size() < input_.capacity() / 4) input_.shrink_to_fit();
  buffered_.set(input_.capacity() + static_cast<std::size_t>(queued_ - written_));
}

void Connection::end(ConnectionEnd why) {
  if (state_ == State::ended) return;
  const bool notifyOwner = state_ != State::lingering;
  const auto self = shared_from_this();
  release();
  if (notifyOwner) owner_->onEnd(*this, why);
}

void Connection::closeGracefully() {
  if (state_ != State::up) return release();
  state_ = State::lingering;
  discardInput();
  watch(true, writable_);
  linger();
}

// Lingers until the peer closes or the timeout expires; the timer keeps the connection alive. While output is
// queued the longer timeout applies, so that a slow reader can read the whole answer.
void Connection::linger() {
  if (flushed()) ::shutdown(fd(), SHUT_WR);
  loop_.cancel(timer_);
  const auto self = shared_from_this();
  timer_ = loop_.after(flushed() ? kLingerTimeoutNs : kSlowReaderTimeoutNs, [self] { self->release(); });
}

void Connection::write(std::string head, std::string body) {
  if (state_ != State::up) return;
  for (auto* piece : {&head, &body}) {
    if (piece->empty()) continue;
    queued_ += piece->size();
    output_.push_back(std::move(*piece));
  }
  if (writable_) return accountBuffers();
  if (!flush()) {  // reported from the loop, since the caller does not expect onEnd from within write()
    const std::weak_ptr<Connection> weak = weak_from_this();
    loop_.soon([weak] {
      if (const auto self = weak.lock()) self->end(ConnectionEnd::writeFailed);
    });
  }
}

bool Connection::flush() {
  while (!output_.empty()) {
    std::array<iovec, kMaxGatheredPieces> pieces{};
    std::size_t count = 0;
    for (auto& piece : output_) {
      if (count == pieces.size()) break;
      const std::size_t skip = count == 0 ? sentOfFirst_ : 0;
      pieces[count++] = {piece.data() + skip, piece.size() - skip};
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    const auto sent = ::sendmsg(fd(), &message, MSG_NOSIGNAL);  // like writev, but without SIGPIPE
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (sent < 0) return false;
    written_ += static_cast<std::uint64_t>(sent);
    auto remaining = static_cast<std::size_t>(sent);
    while (!output_.empty() && remaining >= output_.front().size() - sentOfFirst_) {
      remaining -= output_.front().size() - sentOfFirst_;
      sentOfFirst_ = 0;
      output_.pop_front();
    }
    sentOfFirst_ += remaining;
  }
  watch(readable_, !output_.empty());
  accountBuffers();
  return true;
}

void Connection::onWritable(Poco::Net::WritableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  loop_.pollClientsIfStale();  // an established or flushed connection may start an attempt
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

bool Connection::hasPeerClosed() const {
  if (receivedEnd_ || state_ == State::ended) return true;
  if (readable_ || state_ == State::connecting) return false;  // the loop will report it
  pollfd entry{fd(), POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Reads until the socket is empty or the limit of one read is reached, so that a close behind the last byte
// is seen together with that byte. A request whose client has already left is then not started.
bool Connection::receive() {
  if (state_ == State::ended || state_ == State::connecting) return false;
  if (discarding_ && state_ == State::up) {
    receiveAndDiscard();
    return false;
  }
  std::array<char, kReadChunkBytes> chunk;
  const auto sizeBefore = input_.size();
  const auto maxSize = accepted_ ? std::min(maxInput(), sizeBefore + kMaxReadBytes) : maxInput();
  drained_ = false;
  while (input_.size() < maxSize) {
    const auto received = ::recv(fd(), chunk.data(), std::min(chunk.size(), maxSize - input_.size()), 0);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      drained_ = true;
      break;
    }
    if (received <= 0) {
      receivedEnd_ = received < 0 ? ConnectionEnd::reset : ConnectionEnd::peerClosed;
      drained_ = true;
      break;
    }
    if (state_ == State::lingering) {
      // A peer that keeps sending at full speed must not occupy the loop: one chunk is discarded per loop
      // iteration, up to a total of kMaxDiscardedBytes.
      discarded_ += static_cast<std::size_t>(received);
      if (discarded_ > kMaxDiscardedBytes) watch(false, writable_);
      break;
    }
    input_.append(chunk.data(), static_cast<std::size_t>(received));
  }
  if (!drained_ && state_ == State::up) checkDrained();
  if (drained_) lastDrainedAt_ = loop_.now();
  return input_.size() > sizeBefore;
}

void Connection::checkDrained() {
  char next = 0;
  const auto peeked = ::recv(fd(), &next, 1, MSG_PEEK);
  drained_ = peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::onReadable(Poco::Net::ReadableNotification* event) {
  event->release();
  const auto self = shared_from_this();
  loop_.pollClientsIfStale();  // an answer may lead to a further attempt, for any request
  read();
}

void Connection::handlePolledInput(bool peerClosed) {
  if (state_ == State::ended) return;
  if (readable_) return read();
  if (peerClosed && state_ == State::up) owner_->onPeerClosedWhilePaused(*this);
}

void Connection::read() {
  if (state_ == State::ended) return;
  const bool receivedMore = receive();
  if (state_ == State::lingering) {
    if (receivedEnd_) release();
    return;
  }
  accountBuffers();
  if (receivedMore) owner_->onData(*this);
  if (state_ == State::ended) return;
  accountBuffers();
  if (receivedEnd_) return end(*receivedEnd_);
  // A peer that sends ahead without waiting for answers is not read beyond the input limit until its requests
  // have been answered.
  if (input_.size() >= maxInput()) pauseReading();
}

// While reading is paused the loop does not report that the peer has closed, so this is polled for by a
// timer.
void Connection::pauseReading() {
  watch(false, writable_);
  if (!accepted_ || timer_ != Loop::TimerId{}) return;
  const std::weak_ptr<Connection> weak = weak_from_this();
  timer_ = loop_.after(kPausedCheckIntervalNs, [weak] {
    if (const auto self = weak.lock()) self->checkPausedPeer();
  });
}

void Connection::checkPausedPeer() {
  timer_ = {};
  if (state_ != State::up || readable_) return;
  if (hasPeerClosed()) owner_->onPeerClosedWhilePaused(*this);
  if (state_ == State::up && !readable_) pauseReading();
}

}  // namespace topazweir::net
