// A fake gRPC server and client on the event loop, on http2::Session alone, without a protobuf or gRPC
// library.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "http2/session.hpp"

namespace topazweir::lab {

// An echo server: returns the messages of each call, and its name in the trailer "x-server". Request metadata
// can ask for another response. "x-bytes": that many zeros, rounded down to messages of 64 KiB, in place of
// the echo. "x-open": the response starts at once, echoes as data arrives and ends with the request.
class FakeGrpcServer : private http2::Session::Handler {
 public:
  FakeGrpcServer(net::Loop& loop, std::string name);
  ~FakeGrpcServer() override;
  std::string address() const { return listener_.address().toString(); }
  std::uint64_t calls() const { return calls_; }
  Nanos delay = 0;  // from the end of a request to its response

 private:
  struct Call {
    std::string body;         // the request's, with message prefixes
    std::size_t sent = 0;     // bytes of the body that have been echoed
    std::uint64_t zeros = 0;  // bytes still to be sent in place of the body
    bool open = false;        // of an "x-open" call
    bool ended = false;       // the request is complete
  };
  struct Peer {
    std::unique_ptr<http2::Session> session;
    std::map<http2::StreamId, Call> calls;
  };
  void onAccept(Poco::Net::ReadableNotification* event);
  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  http2::BodyRead onReadBody(http2::Session& session, http2::StreamId id, char* to,
                             std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  Call* find(http2::Session& session, http2::StreamId id);

  net::Loop& loop_;
  std::string name_;
  Poco::Net::ServerSocket listener_;
  std::unordered_map<http2::Session*, std::unique_ptr<Peer>> peers_;
  std::uint64_t calls_ = 0;
};

// A client that makes unary calls over one connection.
class FakeGrpcClient : private http2::Session::Handler {
 public:
  struct Reply {
    int status = -1;      // grpc-status; negative: none was received
    std::string message;  // grpc-message
    std::string body;     // without the message prefix
    calls::Fields trailers;
    Nanos took = 0;  // from the call to its end
  };
  using Done = std::function<void(const Reply&)>;

  FakeGrpcClient(net::Loop& loop, const std::string& address);
  // Calls `path` with the one message `body` (without its prefix). `done` is called exactly once, with a
  // status of -1 if the connection is lost.
  void call(const std::string& path, const std::string& body, const calls::Fields& metadata, Done done);

 private:
  struct OpenCall {
    std::string request;
    std::string response;
    std::size_t sent = 0;  // bytes of the request
    Nanos startedAt = 0;
    Done done;
  };
  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  http2::BodyRead onReadBody(http2::Session& session, http2::StreamId id, char* to,
                             std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  void finish(http2::StreamId id, const calls::Fields& trailers);

  net::Loop& loop_;
  std::string address_;
  std::unique_ptr<http2::Session> session_;
  std::map<http2::StreamId, OpenCall> openCalls_;
};

// An uncompressed message with its 5-byte prefix (gRPC's PROTOCOL-HTTP2.md, "Length-Prefixed-Message").
std::string lengthPrefixed(const std::string& body);

}  // namespace topazweir::lab
