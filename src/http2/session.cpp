#include "http2/session.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace topazweir::http2 {

namespace {

// Output that may wait for the socket; the rest stays with the handler.
constexpr std::size_t kMaxQueuedBytes = 256 * 1024;
// Between the two GOAWAY frames of a graceful shutdown: requests already on their way are still served.
constexpr Nanos kGoawayDelayNs = 100'000'000;
// For writing the GOAWAY that gives the reason, to a peer that may not be reading.
constexpr Nanos kTerminateTimeoutNs = 1'000'000'000;
// Added to the size of each field (RFC 9113 section 6.5.2).
constexpr std::size_t kFieldOverheadBytes = 32;
// A header list of more than this many times the limit ends the connection; a smaller excess refuses only the
// request.
constexpr std::size_t kHeadBombFactor = 8;
// CONTINUATION frames after one HEADERS frame.
constexpr std::size_t kMaxContinuations = 8;
// Input that is processed when it is received: a usual call. More is processed in turn, since many
// connections may receive some in one iteration of the loop.
constexpr std::size_t kImmediateInputBytes = 1024;
// Input that is passed to the codec at once.
constexpr std::size_t kInputPieceBytes = 4 * 1024;
// Input of a client that is kept unprocessed.
constexpr std::size_t kMaxInputBytes = 16 * 1024;
// Frames that may wait in the codec for a peer that does not read; then its input waits, too.
constexpr std::size_t kMaxQueuedFrames = 500;
// What the codec takes for a queued frame, for an open stream and for the connection.
constexpr std::size_t kQueuedFrameBytes = 1024;
constexpr std::size_t kStreamBytes = 1024;
constexpr std::size_t kConnectionBytes = 8 * 1024;
// As kMaxQueuedBytes, while the buffers of the process are full.
constexpr std::size_t kMaxQueuedBytesWhenFull = 16 * 1024;
// Stands for "no limit" in options of nghttp2.
constexpr std::uint32_t kUnlimited = 1U << 20;

struct OptionDelete {
  void operator()(nghttp2_option* option) const { nghttp2_option_del(option); }
};
struct CallbacksDelete {
  void operator()(nghttp2_session_callbacks* callbacks) const { nghttp2_session_callbacks_del(callbacks); }
};

// nghttp2's view of the fields, which must outlive it.
std::vector<nghttp2_nv> toNghttp2(const Fields& fields) {
  std::vector<nghttp2_nv> out;
  out.reserve(fields.size());
  const auto bytes = [](const std::string& text) {
    // nghttp2 does not write to it.
    return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
  };
  for (const auto& field : fields)
    out.push_back(
        {bytes(field.name), bytes(field.value), field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE});
  return out;
}

}  // namespace

// nghttp2's callbacks. They are called from C: no exception may leave them.
struct Session::Callbacks {
  static Session& self(void* user) { return *static_cast<Session*>(user); }

  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& session = self(user);
    auto& stream = session.streams_[frame->hd.stream_id];
    stream.head.clear();
    stream.headBytes = 0;
    stream.headTooLong = false;
    return 0;
  }

  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                      void* user) {
    auto& session = self(user);
    const auto at = session.streams_.find(frame->hd.stream_id);
    if (at == session.streams_.end()) return 0;
    auto& stream = at->second;
    stream.headBytes += nameSize + valueSize + kFieldOverheadBytes;
    if (stream.headBytes > kHeadBombFactor * session.limits_.headBytes) {
      session.headFarOverLimit_ = true;  // an HPACK bomb: stop decoding
      return NGHTTP2_ERR_PAUSE;
    }
    stream.headTooLong = stream.headTooLong || stream.headBytes > session.limits_.headBytes ||
                         stream.head.size() == session.limits_.fields;
    if (stream.headTooLong) {
      Fields().swap(stream.head);
      return 0;
    }
    stream.head.push_back({std::string(reinterpret_cast<const char*>(name), nameSize),
                           std::string(reinterpret_cast<const char*>(value), valueSize)});
    return 0;
  }

  static int onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& session = self(user);
    const StreamId id = frame->hd.stream_id;
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS:
        session.onHeaderBlock(id, end);
        break;
      case NGHTTP2_DATA:
        if (end) session.handler_.onEnd(session, id, {});
        break;
      case NGHTTP2_RST_STREAM:
        session.countFrame(FloodGuard::Cost::reset, "resets");
        break;
      case NGHTTP2_SETTINGS:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0)
          session.countFrame(FloodGuard::Cost::settings, "SETTINGS");
        break;
      case NGHTTP2_PING:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) session.countFrame(FloodGuard::Cost::ping, "PING");
        break;
      case NGHTTP2_PRIORITY:
        session.countFrame(FloodGuard::Cost::priority, "PRIORITY");
        break;
      case NGHTTP2_GOAWAY:
        session.exhausted_ = true;
        session.handler_.onGoaway(session, frame->goaway.last_stream_id, frame->goaway.error_code);
        break;
      default:
        break;
    }
    if (frame->hd.type == NGHTTP2_DATA && frame->hd.length == 0 && !end)
      session.countFrame(FloodGuard::Cost::emptyData, "empty DATA");
    return 0;
  }

  static int onDataChunk(nghttp2_session* codec, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                         std::size_t size, void* user) {
    auto& session = self(user);
    // Reopen the connection's window at once: it is shared by all streams, and one whose reader is slow must
    // not block the others.
    nghttp2_session_consume_connection(codec, size);
    session.handler_.onData(session, id, {reinterpret_cast<const char*>(data), size});
    return 0;
  }

  static int onStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
    auto& session = self(user);
    if (session.streams_.count(id) == 0) return 0;
    session.handler_.onClosed(session, id, code);
    session.streams_.erase(id);
    return 0;
  }

  static int onFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& session = self(user);
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    // RFC 9113 section 8.1: a complete response before the end of the request is followed by
    // RST_STREAM(NO_ERROR), which asks the peer to stop sending the request.
    if (session.role_ == Role::server && end &&
        nghttp2_session_get_stream_remote_close(session.session_, frame->hd.stream_id) == 0)
      nghttp2_submit_rst_stream(session.session_, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    if (frame->hd.type != NGHTTP2_HEADERS || session.role_ != Role::client) return 0;
    const auto at = session.streams_.find(frame->hd.stream_id);
    if (at != session.streams_.end() && at->second.headEndOffset == 0)
      at->second.headEndOffset = session.serializedBytes_;
    return 0;
  }

  static int beforeFrameSend(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& session = self(user);
    const auto at = session.streams_.find(frame->hd.stream_id);
    if (frame->hd.type == NGHTTP2_HEADERS && at != session.streams_.end()) at->second.headSendBegun = true;
    return 0;
  }

  static ssize_t readBody(nghttp2_session* codec, std::int32_t id, std::uint8_t* to, std::size_t most,
                          std::uint32_t* flags, nghttp2_data_source*, void* user) {
    auto& session = self(user);
    const auto pulled = session.handler_.onReadBody(session, id, reinterpret_cast<char*>(to), most);
    if (pulled.then == BodyRead::Then::end || pulled.then == BodyRead::Then::trailers)
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (pulled.then == BodyRead::Then::trailers) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto fields = toNghttp2(pulled.last);
      nghttp2_submit_trailer(codec, id, fields.data(), fields.size());
    }
    if (pulled.size == 0 && pulled.then == BodyRead::Then::wait) return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(pulled.size);
  }

  static nghttp2_session_callbacks* table() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, beforeFrameSend);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    return callbacks;
  }
};

Session::Session(net::Loop& loop, Role role, Limits limits, Handler& handler)
    : loop_(loop),
      role_(role),
      limits_(limits),
      handler_(handler),
      lastInputAt_(loop.now()),
      frames_(&loop.buffers()) {}

std::unique_ptr<Session> Session::accept(net::Loop& loop, const Poco::Net::StreamSocket& socket,
                                         Limits limits, Handler& handler) {
  std::unique_ptr<Session> session(new Session(loop, Role::server, limits, handler));
  session->connection_ = net::Connection::adopt(loop, socket, *session);
  session->connection_->limitInput(kMaxInputBytes);
  session->start();
  return session;
}

std::unique_ptr<Session> Session::connect(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                                          Nanos timeout, Limits limits, Handler& handler) {
  std::unique_ptr<Session> session(new Session(loop, Role::client, limits, handler));
  session->connection_ = net::Connection::connect(loop, peer, timeout, *session);
  session->start();
  return session;
}

void Session::start() {
  nghttp2_option* newOption = nullptr;
  nghttp2_option_new(&newOption);
  const std::unique_ptr<nghttp2_option, OptionDelete> option(newOption);
  nghttp2_option_set_no_auto_window_update(option.get(), 1);
  nghttp2_option_set_max_continuations(option.get(), kMaxContinuations);
  // The guard limits resets; the codec's own limit would end the connection with a different error code.
  nghttp2_option_set_stream_reset_rate_limit(option.get(), kUnlimited, kUnlimited);
  // No limit until the peer's SETTINGS arrive (RFC 9113 section 6.5.2): the peer refuses excess streams
  // without processing them.
  nghttp2_option_set_peer_max_concurrent_streams(option.get(), kUnlimited);
  const std::unique_ptr<nghttp2_session_callbacks, CallbacksDelete> callbacks(Callbacks::table());
  if (role_ == Role::server) {
    nghttp2_session_server_new2(&session_, callbacks.get(), this, option.get());
  } else {
    nghttp2_session_client_new2(&session_, callbacks.get(), this, option.get());
  }
  const std::array<nghttp2_settings_entry, 3> settings = {{
      role_ == Role::server ? nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams}
                            : nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(limits_.window)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.headBytes)},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, limits_.connectionWindow);
  if (limits_.keepalive > 0) keepaliveTimer_ = loop_.after(limits_.keepalive, [this] { checkKeepalive(); });
  scheduleFlush();
}

Session::~Session() {
  *alive_ = false;
  close();
  nghttp2_session_del(session_);
}

void Session::close() {
  for (const auto& timer : {flushTimer_, shutdownTimer_, keepaliveTimer_}) loop_.cancel(timer);
  if (!connection_->lingering()) connection_->close();  // lingering: the last frames are still being written
}

void Session::onUp(net::Connection&) {
  lastInputAt_ = loop_.now();
  handler_.onConnected(*this);
  scheduleFlush();
}

void Session::onData(net::Connection&) {
  lastInputAt_ = loop_.now();
  pingSent_ = false;
  if (inputScheduled_) return;
  connection_->input().size() <= kImmediateInputBytes ? processInput(0) : scheduleInput();
}

// A peer whose close is behind input that waits: it has left, so nothing of that input is begun.
void Session::onPeerClosedWhilePaused(net::Connection& connection) {
  connection.end(net::ConnectionEnd::peerClosed);
}

void Session::processInput(Nanos sliceEnd) {
  const auto connection = connection_;
  std::size_t at = 0;
  while (connection->up() && at < connection->input().size() && !repliesUnread()) {
    const auto& input = connection->input();
    const auto size = std::min(kInputPieceBytes, input.size() - at);
    const auto consumed =
        nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(input.data()) + at, size);
    if (endedByInput(consumed) || connection->ended()) return;
    at += size;
    if (loop_.now() >= sliceEnd) break;
  }
  if (!connection->up()) return;
  connection->input().erase(0, at);
  connection->resume();
  const bool unread = repliesUnread();
  if (unread && loop_.buffers().full()) {
    handler_.onFlood(*this, "unread replies while the buffers are full");
    return connection->end(net::ConnectionEnd::protocolError);
  }
  if (!unread && !connection->input().empty()) scheduleInput();
  accountFrames();
  scheduleFlush();
}

bool Session::endedByInput(ssize_t consumed) {
  if (!headFarOverLimit_ && consumed >= 0) return false;
  connection_->discardInput();
  if (headFarOverLimit_) {
    terminateForAbuse("header list far over the limit");
  } else if (consumed == NGHTTP2_ERR_FLOODED) {
    terminateForAbuse("frames that require a reply");
  } else if (consumed == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS) {
    terminateForAbuse("CONTINUATION frames");
  } else {
    connection_->end(net::ConnectionEnd::protocolError);
  }
  return true;
}

void Session::scheduleInput() {
  if (std::exchange(inputScheduled_, true)) return;
  const std::weak_ptr<bool> alive = alive_;
  loop_.runInTurn([this, alive](Nanos sliceEnd) {
    const auto still = alive.lock();
    if (!still || !*still) return;
    inputScheduled_ = false;
    if (!connection_->ended()) processInput(sliceEnd);
  });
}

bool Session::repliesUnread() {
  if (nghttp2_session_get_outbound_queue_size(session_) < kMaxQueuedFrames) return false;
  flush();
  return nghttp2_session_get_outbound_queue_size(session_) >= kMaxQueuedFrames;
}

void Session::accountFrames() {
  frames_.set(kConnectionBytes + streams_.size() * kStreamBytes +
              nghttp2_session_get_outbound_queue_size(session_) * kQueuedFrameBytes);
}

void Session::onHeaderBlock(StreamId id, bool end) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  auto& stream = at->second;
  Fields fields = std::move(stream.head);
  stream.head.clear();
  if (stream.headReceived) {
    if (end) handler_.onEnd(*this, id, std::move(fields));
    return;
  }
  const auto status = role_ == Role::client ? calls::find(fields, ":status") : std::nullopt;
  if (status && status->size() == 3 && status->front() == '1')
    return;  // informational: the final response follows
  stream.headReceived = true;
  handler_.onHead(*this, id, std::move(fields), end);
}

void Session::onFlushed(net::Connection& connection) {
  flush();
  if (!connection.ended() && !connection.input().empty()) scheduleInput();
}

void Session::onEnd(net::Connection&, net::ConnectionEnd end) { handler_.onGone(*this, end); }

void Session::countFrame(FloodGuard::Cost cost, std::string_view what) {
  if (guard_.allow(cost, loop_.now()) || std::exchange(floodReported_, true)) return;
  // Deferred, since the codec is in one of its callbacks: terminating the session there would drop the rest
  // of this input.
  const std::weak_ptr<bool> alive = alive_;
  loop_.soon([this, alive, what = std::string(what)] {
    if (const auto still = alive.lock(); still && *still) terminateForAbuse(what);
  });
}

void Session::terminateForAbuse(std::string_view what) {
  if (std::exchange(terminating_, true)) return;
  handler_.onFlood(*this, what);
  nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  loop_.cancel(shutdownTimer_);  // a peer that reads nothing must not keep the connection open
  shutdownTimer_ =
      loop_.after(kTerminateTimeoutNs, [this] { connection_->end(net::ConnectionEnd::protocolError); });
  flush();
}

void Session::scheduleFlush() {
  if (flushScheduled_) return;
  flushScheduled_ = true;
  flushTimer_ = loop_.at(0, [this] { flush(); });
}

void Session::flush() {
  if (flushScheduled_) {
    loop_.cancel(flushTimer_);
    flushScheduled_ = false;
  }
  if (flushing_ || !connection_->up()) return;
  flushing_ = true;
  std::string out;
  ssize_t size = 0;
  const auto maxQueued = loop_.buffers().full() ? kMaxQueuedBytesWhenFull : kMaxQueuedBytes;
  while (backlogBytes() + out.size() < maxQueued) {
    const std::uint8_t* bytes = nullptr;
    size = nghttp2_session_mem_send(session_, &bytes);
    if (size <= 0) break;
    out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    serializedBytes_ += static_cast<std::uint64_t>(size);
  }
  flushing_ = false;
  accountFrames();
  if (!out.empty()) connection_->write(std::move(out));
  if (size < 0) return connection_->end(net::ConnectionEnd::protocolError);
  // Stopped at kMaxQueuedBytes, and the socket took all of it at once: no onFlushed will follow.
  if (size > 0 && connection_->flushed()) scheduleFlush();
  if (nghttp2_session_want_read(session_) != 0 || nghttp2_session_want_write(session_) != 0) return;
  // Nothing is left to read or write: both sides have finished, or the codec has terminated the session.
  connection_->closeGracefully();
  handler_.onGone(*this,
                  terminating_ ? net::ConnectionEnd::protocolError : net::ConnectionEnd::closedLocally);
}

void Session::checkKeepalive() {
  keepaliveTimer_ = loop_.after(limits_.keepalive, [this] { checkKeepalive(); });
  if (!connection_->up() || streams_.empty() || loop_.now() - lastInputAt_ < limits_.keepalive) return;
  // A failed machine closes no connection, and TCP's own keep-alive takes hours to notice.
  if (pingSent_) return connection_->end(net::ConnectionEnd::silent);
  pingSent_ = true;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  scheduleFlush();
}

StreamId Session::request(const Fields& head, bool end) {
  const auto fields = toNghttp2(head);
  nghttp2_data_provider body{{.ptr = nullptr}, Callbacks::readBody};
  const auto id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), end ? nullptr : &body, nullptr);
  if (id < 0) {
    exhausted_ = true;
    return -1;
  }
  streams_.try_emplace(id);
  scheduleFlush();
  return id;
}

void Session::respond(StreamId stream, const Fields& head) {
  const auto fields = toNghttp2(head);
  nghttp2_data_provider body{{.ptr = nullptr}, Callbacks::readBody};
  nghttp2_submit_response(session_, stream, fields.data(), fields.size(), &body);
  scheduleFlush();
}

void Session::respondHeadersOnly(StreamId stream, const Fields& head) {
  const auto fields = toNghttp2(head);
  nghttp2_submit_response(session_, stream, fields.data(), fields.size(), nullptr);
  scheduleFlush();
}

void Session::resume(StreamId stream) {
  nghttp2_session_resume_data(session_, stream);
  scheduleFlush();
}

void Session::reset(StreamId stream, std::uint32_t code) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, code);
  scheduleFlush();
}

void Session::consume(StreamId stream, std::size_t bytes) {
  if (bytes == 0) return;
  nghttp2_session_consume_stream(session_, stream, bytes);
  scheduleFlush();
}

void Session::shutdown() {
  nghttp2_submit_shutdown_notice(session_);
  scheduleFlush();
  shutdownTimer_ = loop_.after(kGoawayDelayNs, [this] {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    scheduleFlush();
  });
}

std::size_t Session::maxPeerStreams() const {
  return nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

bool Session::headSerialized(StreamId stream) const {
  const auto at = streams_.find(stream);
  return at == streams_.end() || at->second.headSendBegun;
}

bool Session::headWritten(StreamId stream) const {
  const auto at = streams_.find(stream);
  if (at == streams_.end()) return true;
  // Partly written counts as written: otherwise a request that the peer has processed could be repeated.
  return at->second.headSendBegun &&
         (at->second.headEndOffset == 0 || connection_->written() >= at->second.headEndOffset);
}

}  // namespace topazweir::http2
