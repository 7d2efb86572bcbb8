// One HTTP/2 connection (RFC 9113) of either side: nghttp2, a codec without I/O, on `net::Connection` and the
// loop. It knows streams, fields and flow control, and nothing of what a request means.
//
// Memory: a stream's unread input is bounded by its window, which is opened again only by consume(); the
// output is pulled from the handler when the connection has room, so nothing is queued here beyond
// kMostQueued bytes.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "calls/metadata.hpp"
#include "http2/guard.hpp"
#include "net/connection.hpp"

namespace topazweir::http2 {

using calls::Field;
using calls::Fields;
using StreamId = std::int32_t;

enum class Role { client, server };

struct Limits {
  std::size_t headBytes =
      16 * 1024;                    // of one head, names and values and 32 for each (RFC 9113 section 6.5.2)
  std::uint32_t streams = 256;      // that the peer may have open; told in SETTINGS
  std::int32_t window = 64 * 1024;  // bytes of a stream that may come unread
  std::int32_t connectionWindow = 4 * 1024 * 1024;
  Nanos keepalive =
      0;  // nothing came for so long while streams are open: PING, and the same once more: it is dead
};

// What a stream has to send next.
struct Pulled {
  std::size_t size = 0;
  enum class Then { more, wait, end, trailers } then = Then::more;  // wait: until resume(). trailers: `last`
  Fields last;
};

class Session : private net::Connection::Owner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void onUp(Session&) {}
    // A head: of a request, or of a response (informational ones left out).
    virtual void onHead(Session&, StreamId stream, Fields head, bool end) = 0;
    virtual void onData(Session&, StreamId stream, std::string_view bytes) = 0;
    // END_STREAM after the head; the trailers, if there were any.
    virtual void onEnd(Session&, StreamId stream, Fields trailers) = 0;
    // The stream is over, in order or not: `code` of RFC 9113 section 7. Nothing more comes for it.
    virtual void onClosed(Session&, StreamId stream, std::uint32_t code) = 0;
    virtual void onGoaway(Session&, StreamId /*last*/, std::uint32_t /*code*/) {}
    // `to` has room for `most` bytes. Called only for streams that were given a body.
    virtual Pulled onPull(Session&, StreamId stream, char* to, std::size_t most) = 0;
    // The connection is over: no more calls, for its streams neither. The session may be destroyed after it.
    virtual void onGone(Session&, net::ConnectionEnd end) = 0;
    // The peer floods; the connection will end with ENHANCE_YOUR_CALM.
    virtual void onFlood(Session&, std::string_view /*what*/) {}
  };

  static std::unique_ptr<Session> accept(net::Loop& loop, const Poco::Net::StreamSocket& socket,
                                         Limits limits, Handler& handler);
  static std::unique_ptr<Session> connect(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                                          Nanos timeout, Limits limits, Handler& handler);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Client: a new stream; below 0: none can be had here. With a body unless `end`.
  StreamId request(const Fields& head, bool end);
  // Server: the head of a response, with a body behind it; or a response that is a head alone
  // (trailers-only).
  void respond(StreamId stream, const Fields& head);
  void respondOnly(StreamId stream, const Fields& head);
  void resume(StreamId stream);  // there is something to pull
  void reset(StreamId stream, std::uint32_t code);
  void consume(StreamId stream, std::size_t bytes);  // the peer may send so many more on it
  // Graceful end of a server (RFC 9113 section 6.8): GOAWAY with the highest id, and with the last one served
  // after a round trip; streams that are open go on.
  void shutdown();
  void calm(std::string_view what);  // GOAWAY(ENHANCE_YOUR_CALM) and the end
  void close();                      // at once; no onGone

  bool up() const { return connection_->up(); }
  std::size_t peerStreams() const;  // streams that the peer allows
  std::size_t backlog() const {
    return static_cast<std::size_t>(connection_->queued() - connection_->written());
  }
  // Whether the stream's head has been taken by the socket: until then its peer cannot have run it.
  bool headWritten(StreamId stream) const;
  bool exhausted() const { return exhausted_; }  // no stream numbers left, or it is going away

 private:
  Session(net::Loop& loop, Role role, Limits limits, Handler& handler);
  void start();
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onFlushed(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void touch();  // something may have to be written: soon, together with what else this round brings
  void flush();
  void watchPeer();
  void takeHead(StreamId stream, bool end);
  void spend(Guard::Cost cost, std::string_view what);

  struct Callbacks;
  struct Stream {
    Fields head;  // being received
    std::size_t headBytes = 0;
    bool headBegun = false;     // client: it has been handed to the connection
    std::uint64_t headEnd = 0;  // client: offset behind its head among the bytes written; 0: not yet queued
    bool headSeen = false;      // a head has come whole: the next one is trailers
  };

  net::Loop& loop_;
  Role role_;
  Limits limits_;
  Handler& handler_;
  Guard guard_;
  std::shared_ptr<net::Connection> connection_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  std::uint64_t produced_ = 0;  // bytes taken out of nghttp2
  net::Loop::TimerId flushTimer_{}, drainTimer_{}, aliveTimer_{};
  Nanos heardAt_ = 0;
  bool flushing_ = false, scheduled_ = false, exhausted_ = false, ending_ = false, pinged_ = false,
       bomb_ = false, flooded_ = false;
  // Guards against use after the handler has let go of the session within one of its calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace topazweir::http2
