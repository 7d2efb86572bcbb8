// One HTTP/2 connection (RFC 9113), as client or server: nghttp2, used as a codec without I/O, on top of
// `net::Connection` and the event loop. It handles streams, header fields and flow control; what a request
// means is up to the handler.
//
// Memory: the unread input of a stream is bounded by its flow-control window, which only consume() reopens.
// The handler is asked for output only while the connection has room, so that no more than kMaxQueuedBytes is
// buffered here.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "calls/metadata.hpp"
#include "http2/flood_guard.hpp"
#include "net/connection.hpp"

namespace topazweir::http2 {

using calls::Field;
using calls::Fields;
using StreamId = std::int32_t;

enum class Role { client, server };

struct Limits {
  // Size of a header list: names and values, and 32 bytes for each field (RFC 9113 section 6.5.2).
  std::size_t headBytes = 16 * 1024;
  // Fields of a header list. Decoded, a field takes many times the byte that the shortest one takes on the
  // wire.
  std::size_t fields = 128;
  // Streams that the peer may have open at once; announced in SETTINGS.
  std::uint32_t streams = 256;
  // Flow-control window of a stream: bytes that the peer may send before consume().
  std::int32_t window = 64 * 1024;
  // Flow-control window of the connection, in bytes.
  std::int32_t connectionWindow = 4 * 1024 * 1024;
  // After this long without input while streams are open, a PING is sent; after as long again without input
  // the connection is closed as unresponsive. 0: never.
  Nanos keepalive = 0;
};

// What Handler::onReadBody has written, and what follows on the stream.
struct BodyRead {
  std::size_t size = 0;  // bytes written
  // more: call again when there is room; wait: only after resume(); end: END_STREAM; trailers: the fields in
  // `last`, then END_STREAM.
  enum class Then { more, wait, end, trailers } then = Then::more;
  Fields last;
};

class Session : private net::Connection::Owner {
 public:
  // Receives the events of a session. All calls come from the loop's thread.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void onConnected(Session&) {}
    // The header fields of a request, or of a response (not of informational responses). Empty: they were
    // over Limits::headBytes or Limits::fields.
    virtual void onHead(Session&, StreamId stream, Fields head, bool end) = 0;
    virtual void onData(Session&, StreamId stream, std::string_view bytes) = 0;
    // END_STREAM in a later frame than the header fields, with the trailers if there were any.
    virtual void onEnd(Session&, StreamId stream, Fields trailers) = 0;
    // The stream is closed, normally or not; `code`: RFC 9113 section 7. No more events follow for it.
    virtual void onClosed(Session&, StreamId stream, std::uint32_t code) = 0;
    virtual void onGoaway(Session&, StreamId /*last*/, std::uint32_t /*code*/) {}
    // Write at most `most` bytes of the body to `to`. Called only for streams that have a body.
    virtual BodyRead onReadBody(Session&, StreamId stream, char* to, std::size_t most) = 0;
    // The connection has ended. No more events follow, not even onClosed for its streams. The session may be
    // destroyed after this call, but not within it.
    virtual void onGone(Session&, net::ConnectionEnd end) = 0;
    // The peer is over a limit; its connection will end with ENHANCE_YOUR_CALM. `what`: the reason, for the
    // log.
    virtual void onFlood(Session&, std::string_view /*what*/) {}
  };

  // The server's end of an accepted socket.
  static std::unique_ptr<Session> accept(net::Loop& loop, const Poco::Net::StreamSocket& socket,
                                         Limits limits, Handler& handler);
  // The client's end of a new connection. `timeout`: for the TCP connection to be established.
  static std::unique_ptr<Session> connect(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                                          Nanos timeout, Limits limits, Handler& handler);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Client: opens a stream, with a body unless `end`. Negative: this connection takes no more streams.
  StreamId request(const Fields& head, bool end);
  // Server: starts a response that has a body.
  void respond(StreamId stream, const Fields& head);
  // Server: a response of header fields alone (gRPC: Trailers-Only).
  void respondHeadersOnly(StreamId stream, const Fields& head);
  // There is output again for a stream whose last onReadBody returned BodyRead::Then::wait.
  void resume(StreamId stream);
  // Sends RST_STREAM.
  void reset(StreamId stream, std::uint32_t code);
  // Reopens the stream's flow-control window by `bytes`.
  void consume(StreamId stream, std::size_t bytes);
  // Server: graceful shutdown (RFC 9113 section 6.8). Sends GOAWAY with the highest stream id and, a round
  // trip later, with the last one that was processed. Open streams continue.
  void shutdown();
  // Sends GOAWAY(ENHANCE_YOUR_CALM) and ends the connection. `what`: the reason, for Handler::onFlood.
  void terminateForAbuse(std::string_view what);
  // Closes the connection at once, without onGone. A connection that has already ended still writes its last
  // frames.
  void close();
  // Closes the connection at once and reports `why` through onGone. Output that the socket has not accepted
  // is dropped.
  void end(net::ConnectionEnd why) { connection_->end(why); }

  bool up() const { return connection_->up(); }
  // Streams that the peer allows to be open at once.
  std::size_t maxPeerStreams() const;
  // Bytes that wait for the socket.
  std::size_t backlogBytes() const {
    return static_cast<std::size_t>(connection_->queued() - connection_->written());
  }
  // Bytes that the connection and its frames take.
  std::size_t bufferedBytes() const { return connection_->bufferedBytes() + frames_.bytes(); }
  // Client: whether the socket has taken the request's header fields. Until then the peer cannot have
  // processed the request.
  bool headWritten(StreamId stream) const;
  // Client: whether the request's header fields are in the output of the connection, or have left it. Before
  // that reset() takes the request back: nothing of it is ever written.
  bool headSerialized(StreamId stream) const;
  // Client: no new streams can be opened, since the stream ids are used up or the peer has sent GOAWAY.
  bool exhausted() const { return exhausted_; }

 private:
  Session(net::Loop& loop, Role role, Limits limits, Handler& handler);
  void start();
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onPeerClosedWhilePaused(net::Connection& connection) override;
  // Passes input to the codec, one piece at least, until `sliceEnd`. The rest follows in turn.
  void processInput(Nanos sliceEnd);
  void scheduleInput();
  // Many frames wait for a peer that does not read.
  bool repliesUnread();
  // Ends the connection if the codec has given up on the input. Returns whether it has.
  bool endedByInput(ssize_t consumed);
  void accountFrames();
  void onFlushed(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  // Flushes in the next turn of the loop, so that the frames of one turn go out in one write.
  void scheduleFlush();
  void flush();
  void checkKeepalive();
  // A complete block of header fields has been received: of a request, a response, or trailers.
  void onHeaderBlock(StreamId stream, bool end);
  // Counts a frame against the guard. `what`: its kind, for the log.
  void countFrame(FloodGuard::Cost cost, std::string_view what);

  struct Callbacks;
  struct Stream {
    Fields head;                 // received so far
    std::size_t headBytes = 0;   // as Limits::headBytes counts them
    bool headSendBegun = false;  // client: nghttp2 has begun to serialise its header fields
    // Client: offset of the end of its header fields in the bytes of the connection; 0: not yet serialised.
    std::uint64_t headEndOffset = 0;
    bool headTooLong = false;   // over a limit: its fields are dropped
    bool headReceived = false;  // a complete head has been received: the next one is trailers
  };

  net::Loop& loop_;
  Role role_;
  Limits limits_;
  Handler& handler_;
  FloodGuard guard_;
  std::shared_ptr<net::Connection> connection_;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  std::uint64_t serializedBytes_ = 0;  // taken out of nghttp2 so far
  net::Loop::TimerId flushTimer_{};
  net::Loop::TimerId shutdownTimer_{};
  net::Loop::TimerId keepaliveTimer_{};
  Nanos lastInputAt_ = 0;
  memory::Charge frames_;  // for streams and for frames that the codec has queued
  bool inputScheduled_ = false;
  bool flushing_ = false;
  bool flushScheduled_ = false;
  bool exhausted_ = false;
  bool terminating_ = false;
  bool pingSent_ = false;          // and no input since
  bool headFarOverLimit_ = false;  // decoding has stopped
  bool floodReported_ = false;
  // False once the session has been destroyed: checked by deferred calls.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace topazweir::http2
