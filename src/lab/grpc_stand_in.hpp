// A gRPC server and a client of the lab's own, on the loop: small, and without a library of protobuf or gRPC.
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

// Sends each message back, and its name in the trailer "x-server". In the metadata a call may ask for more:
// "x-bytes": that many zeros in messages of 64 KiB instead; "x-open": the answer begins at once and ends with
// the request.
class GrpcStandIn : private http2::Session::Handler {
 public:
  GrpcStandIn(net::Loop& loop, std::string name);
  ~GrpcStandIn() override;
  std::string address() const { return listener_.address().toString(); }
  std::uint64_t calls() const { return calls_; }
  Nanos delay = 0;  // before the answer

 private:
  struct Call {
    std::string body;
    std::size_t sent = 0;
    std::uint64_t zeros = 0;  // still to be sent in place of the body
    bool open = false, ended = false;
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
  http2::Pulled onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  Call* find(http2::Session& session, http2::StreamId id);

  net::Loop& loop_;
  std::string name_;
  Poco::Net::ServerSocket listener_;
  std::unordered_map<http2::Session*, std::unique_ptr<Peer>> peers_;
  std::uint64_t calls_ = 0;
};

// Unary calls over one connection.
class GrpcClient : private http2::Session::Handler {
 public:
  struct Reply {
    int status = -1;  // grpc-status; below 0: none came
    std::string message, body;
    calls::Fields trailers;
    Nanos took = 0;
  };
  using Done = std::function<void(const Reply&)>;

  GrpcClient(net::Loop& loop, const std::string& address);
  // `body`: one message, without its prefix.
  void call(const std::string& path, const std::string& body, const calls::Fields& metadata, Done done);

 private:
  struct Open {
    std::string request, response;
    std::size_t sent = 0;
    Nanos startedAt = 0;
    Done done;
  };
  void onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) override;
  void onData(http2::Session& session, http2::StreamId id, std::string_view bytes) override;
  void onEnd(http2::Session& session, http2::StreamId id, calls::Fields trailers) override;
  void onClosed(http2::Session& session, http2::StreamId id, std::uint32_t code) override;
  http2::Pulled onPull(http2::Session& session, http2::StreamId id, char* to, std::size_t most) override;
  void onGone(http2::Session& session, net::ConnectionEnd end) override;
  void finish(http2::StreamId id, const calls::Fields& trailers);

  net::Loop& loop_;
  std::string address_;
  std::unique_ptr<http2::Session> session_;
  std::map<http2::StreamId, Open> open_;
};

// A message with the prefix of PROTOCOL-HTTP2.md, "Length-Prefixed-Message".
std::string prefixed(const std::string& body);

}  // namespace topazweir::lab
