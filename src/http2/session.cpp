#include "http2/session.hpp"

#include <array>
#include <utility>
#include <vector>

namespace topazweir::http2 {

namespace {

constexpr std::size_t kMostQueued =
    256 * 1024;                            // bytes that wait for the socket; the rest stays with the handler
constexpr Nanos kRoundTrip = 100'000'000;  // between the two GOAWAYs: what is on its way is still served
constexpr Nanos kLastWords = 1'000'000'000;  // to write the reason for the end
constexpr std::size_t kFieldCost = 32;       // RFC 9113 section 6.5.2
constexpr std::size_t kBomb = 8;             // so many times the limit in one head is no mistake
constexpr std::size_t kContinuations = 8;

struct OptionDelete {
  void operator()(nghttp2_option* option) const { nghttp2_option_del(option); }
};
struct CallbacksDelete {
  void operator()(nghttp2_session_callbacks* callbacks) const { nghttp2_session_callbacks_del(callbacks); }
};

std::vector<nghttp2_nv> writeFields(const Fields& fields) {
  std::vector<nghttp2_nv> out;
  out.reserve(fields.size());
  const auto bytes = [](const std::string& text) {
    return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));  // only read
  };
  for (const auto& f : fields)
    out.push_back({bytes(f.name), bytes(f.value), f.name.size(), f.value.size(), NGHTTP2_NV_FLAG_NONE});
  return out;
}

}  // namespace

// nghttp2's C callbacks; no exception may leave them.
struct Session::Callbacks {
  static Session& self(void* user) { return *static_cast<Session*>(user); }

  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& s = self(user);
    auto& stream = s.streams_[frame->hd.stream_id];
    stream.head.clear();
    stream.headBytes = 0;
    return 0;
  }

  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                      void* user) {
    auto& s = self(user);
    const auto at = s.streams_.find(frame->hd.stream_id);
    if (at == s.streams_.end()) return 0;
    auto& stream = at->second;
    stream.headBytes += nameSize + valueSize + kFieldCost;
    if (stream.headBytes > kBomb * s.limits_.headBytes) {
      s.bomb_ = true;  // an HPACK bomb: it is decoded no further
      return NGHTTP2_ERR_PAUSE;
    }
    if (stream.headBytes > s.limits_.headBytes) {
      stream.head.clear();
      return 0;
    }
    stream.head.push_back({std::string(reinterpret_cast<const char*>(name), nameSize),
                           std::string(reinterpret_cast<const char*>(value), valueSize)});
    return 0;
  }

  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& s = self(user);
    const StreamId id = frame->hd.stream_id;
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS:
        s.takeHead(id, end);
        break;
      case NGHTTP2_DATA:
        if (end) s.handler_.onEnd(s, id, {});
        break;
      case NGHTTP2_RST_STREAM:
        s.spend(Guard::Cost::reset, "resets");
        break;
      case NGHTTP2_SETTINGS:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) s.spend(Guard::Cost::settings, "SETTINGS");
        break;
      case NGHTTP2_PING:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) s.spend(Guard::Cost::ping, "PING");
        break;
      case NGHTTP2_PRIORITY:
        s.spend(Guard::Cost::priority, "PRIORITY");
        break;
      case NGHTTP2_GOAWAY:
        s.exhausted_ = true;
        s.handler_.onGoaway(s, frame->goaway.last_stream_id, frame->goaway.error_code);
        break;
      default:
        break;
    }
    if (frame->hd.type == NGHTTP2_DATA && frame->hd.length == 0 && !end)
      s.spend(Guard::Cost::emptyData, "empty DATA");
    return 0;
  }

  static int onChunk(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                     std::size_t size, void* user) {
    auto& s = self(user);
    // The connection's window serves all streams: one whose reader is slow must not hold up the others.
    nghttp2_session_consume_connection(session, size);
    s.handler_.onData(s, id, {reinterpret_cast<const char*>(data), size});
    return 0;
  }

  static int onClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
    auto& s = self(user);
    if (s.streams_.count(id) == 0) return 0;
    s.handler_.onClosed(s, id, code);
    s.streams_.erase(id);
    return 0;
  }

  static int onSent(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& s = self(user);
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    // RFC 9113 section 8.1: an answer given before the request is whole asks the peer to stop sending that.
    if (s.role_ == Role::server && end &&
        nghttp2_session_get_stream_remote_close(s.session_, frame->hd.stream_id) == 0)
      nghttp2_submit_rst_stream(s.session_, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    if (frame->hd.type != NGHTTP2_HEADERS || s.role_ != Role::client) return 0;
    const auto at = s.streams_.find(frame->hd.stream_id);
    if (at != s.streams_.end() && at->second.headEnd == 0) at->second.headEnd = s.produced_;
    return 0;
  }

  static int onSending(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    auto& s = self(user);
    const auto at = s.streams_.find(frame->hd.stream_id);
    if (frame->hd.type == NGHTTP2_HEADERS && at != s.streams_.end()) at->second.headBegun = true;
    return 0;
  }

  static ssize_t onPull(nghttp2_session* session, std::int32_t id, std::uint8_t* to, std::size_t most,
                        std::uint32_t* flags, nghttp2_data_source*, void* user) {
    auto& s = self(user);
    const auto pulled = s.handler_.onPull(s, id, reinterpret_cast<char*>(to), most);
    if (pulled.then == Pulled::Then::end || pulled.then == Pulled::Then::trailers)
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (pulled.then == Pulled::Then::trailers) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto fields = writeFields(pulled.last);
      nghttp2_submit_trailer(session, id, fields.data(), fields.size());
    }
    if (pulled.size == 0 && pulled.then == Pulled::Then::wait) return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(pulled.size);
  }

  static nghttp2_session_callbacks* table() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onChunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, onSending);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onSent);
    return callbacks;
  }
};

Session::Session(net::Loop& loop, Role role, Limits limits, Handler& handler)
    : loop_(loop), role_(role), limits_(limits), handler_(handler), heardAt_(loop.now()) {}

std::unique_ptr<Session> Session::accept(net::Loop& loop, const Poco::Net::StreamSocket& socket,
                                         Limits limits, Handler& handler) {
  std::unique_ptr<Session> s(new Session(loop, Role::server, limits, handler));
  s->connection_ = net::Connection::adopt(loop, socket, *s);
  s->start();
  return s;
}

std::unique_ptr<Session> Session::connect(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                                          Nanos timeout, Limits limits, Handler& handler) {
  std::unique_ptr<Session> s(new Session(loop, Role::client, limits, handler));
  s->connection_ = net::Connection::connect(loop, peer, timeout, *s);
  s->start();
  return s;
}

void Session::start() {
  nghttp2_option* made = nullptr;
  nghttp2_option_new(&made);
  const std::unique_ptr<nghttp2_option, OptionDelete> option(made);
  nghttp2_option_set_no_auto_window_update(option.get(), 1);
  nghttp2_option_set_max_continuations(option.get(), kContinuations);
  // The guard counts resets; the codec's own limit would end the connection with another reason.
  nghttp2_option_set_stream_reset_rate_limit(option.get(), 1U << 20, 1U << 20);
  // Until its SETTINGS say, no limit (RFC 9113 section 6.5.2): what is too much comes back as refused, not
  // run.
  nghttp2_option_set_peer_max_concurrent_streams(option.get(), 1U << 20);
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
  if (limits_.keepalive > 0) aliveTimer_ = loop_.after(limits_.keepalive, [this] { watchPeer(); });
  touch();
}

Session::~Session() {
  *alive_ = false;
  close();
  nghttp2_session_del(session_);
}

void Session::close() {
  for (const auto& timer : {flushTimer_, drainTimer_, aliveTimer_}) loop_.cancel(timer);
  if (!connection_->lingering()) connection_->close();  // else the last words are still on their way
}

void Session::onUp(net::Connection&) {
  heardAt_ = loop_.now();
  handler_.onUp(*this);
  touch();
}

void Session::onData(net::Connection& connection) {
  heardAt_ = loop_.now();
  pinged_ = false;
  auto& input = connection.input();
  const auto taken =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
  input.clear();
  if (bomb_) return calm("a head far over the limit");
  if (taken == NGHTTP2_ERR_FLOODED) return calm("frames that must be answered");
  if (taken == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS) return calm("CONTINUATION frames");
  if (taken < 0) return connection.end(net::ConnectionEnd::badPeer);
  connection.resume();
  touch();
}

void Session::takeHead(StreamId id, bool end) {
  const auto at = streams_.find(id);
  if (at == streams_.end()) return;
  auto& stream = at->second;
  Fields fields = std::move(stream.head);
  stream.head.clear();
  if (stream.headSeen) {
    if (end) handler_.onEnd(*this, id, std::move(fields));
    return;
  }
  const auto status = role_ == Role::client ? calls::find(fields, ":status") : std::nullopt;
  if (status && status->size() == 3 && status->front() == '1')
    return;  // informational: the head is still to come
  stream.headSeen = true;
  handler_.onHead(*this, id, std::move(fields), end);
}

void Session::onFlushed(net::Connection&) { flush(); }

void Session::onEnd(net::Connection&, net::ConnectionEnd end) { handler_.onGone(*this, end); }

void Session::spend(Guard::Cost cost, std::string_view what) {
  if (guard_.allow(cost, loop_.now()) || std::exchange(flooded_, true)) return;
  // Not from within the codec's callback: what it still holds of this input is dropped.
  const std::weak_ptr<bool> alive = alive_;
  loop_.soon([this, alive, what = std::string(what)] {
    if (const auto still = alive.lock(); still && *still) calm(what);
  });
}

void Session::calm(std::string_view what) {
  if (std::exchange(ending_, true)) return;
  handler_.onFlood(*this, what);
  nghttp2_session_terminate_session(session_, NGHTTP2_ENHANCE_YOUR_CALM);
  loop_.cancel(drainTimer_);  // a peer that reads nothing must not hold the connection with that
  drainTimer_ = loop_.after(kLastWords, [this] { connection_->end(net::ConnectionEnd::badPeer); });
  flush();
}

void Session::touch() {
  if (scheduled_) return;
  scheduled_ = true;
  flushTimer_ = loop_.at(0, [this] { flush(); });
}

void Session::flush() {
  if (scheduled_) loop_.cancel(flushTimer_), scheduled_ = false;
  if (flushing_ || !connection_->up()) return;
  flushing_ = true;
  std::string out;
  ssize_t size = 0;
  while (backlog() + out.size() < kMostQueued) {
    const std::uint8_t* bytes = nullptr;
    size = nghttp2_session_mem_send(session_, &bytes);
    if (size <= 0) break;
    out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    produced_ += static_cast<std::uint64_t>(size);
  }
  flushing_ = false;
  if (!out.empty()) connection_->write(std::move(out));
  if (size < 0) return connection_->end(net::ConnectionEnd::badPeer);
  // Stopped at the limit, and the socket has taken all of it: nothing else would bring this back here.
  if (size > 0 && connection_->flushed()) touch();
  if (nghttp2_session_want_read(session_) != 0 || nghttp2_session_want_write(session_) != 0) return;
  // All is said on both sides, or the codec has given the peer up.
  connection_->closeGently();
  handler_.onGone(*this, ending_ ? net::ConnectionEnd::badPeer : net::ConnectionEnd::closedHere);
}

void Session::watchPeer() {
  aliveTimer_ = loop_.after(limits_.keepalive, [this] { watchPeer(); });
  if (!connection_->up() || streams_.empty() || loop_.now() - heardAt_ < limits_.keepalive) return;
  // A machine that has vanished says nothing, and TCP's own keep-alive takes hours.
  if (pinged_) return connection_->end(net::ConnectionEnd::silent);
  pinged_ = true;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  touch();
}

StreamId Session::request(const Fields& head, bool end) {
  const auto fields = writeFields(head);
  nghttp2_data_provider body{{.ptr = nullptr}, Callbacks::onPull};
  const auto id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), end ? nullptr : &body, nullptr);
  if (id < 0) {
    exhausted_ = true;
    return -1;
  }
  streams_.try_emplace(id);
  touch();
  return id;
}

void Session::respond(StreamId stream, const Fields& head) {
  const auto fields = writeFields(head);
  nghttp2_data_provider body{{.ptr = nullptr}, Callbacks::onPull};
  nghttp2_submit_response(session_, stream, fields.data(), fields.size(), &body);
  touch();
}

void Session::respondOnly(StreamId stream, const Fields& head) {
  const auto fields = writeFields(head);
  nghttp2_submit_response(session_, stream, fields.data(), fields.size(), nullptr);
  touch();
}

void Session::resume(StreamId stream) {
  nghttp2_session_resume_data(session_, stream);
  touch();
}

void Session::reset(StreamId stream, std::uint32_t code) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, code);
  touch();
}

void Session::consume(StreamId stream, std::size_t bytes) {
  if (bytes == 0) return;
  nghttp2_session_consume_stream(session_, stream, bytes);
  touch();
}

void Session::shutdown() {
  nghttp2_submit_shutdown_notice(session_);
  touch();
  drainTimer_ = loop_.after(kRoundTrip, [this] {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    touch();
  });
}

std::size_t Session::peerStreams() const {
  return nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

bool Session::headWritten(StreamId stream) const {
  const auto at = streams_.find(stream);
  if (at == streams_.end()) return true;
  // Begun and not known to have ended: it counts as written, or what has run could be repeated.
  return at->second.headBegun && (at->second.headEnd == 0 || connection_->written() >= at->second.headEnd);
}

}  // namespace topazweir::http2
