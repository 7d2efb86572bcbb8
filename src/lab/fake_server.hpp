// Fakes for tests and demos: a TCP server that can show a fault (a node, an OGC API Features server or a
// discovery agent), and an HTTP client that records the response.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Observer.h>

#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/message.hpp"
#include "net/connection.hpp"
#include "platform/frames.hpp"

namespace topazweir::lab {

// What a fake server does wrong with each request.
enum class Fault {
  none,
  silent,     // never answers
  truncated,  // closes the connection after half of the response
  rejects,    // answers that it is overloaded
  errs,       // answers with an error
  slow,       // answers after FakeServer::kSlow
  noise,      // sends bytes that do not parse
  endless,    // starts a response and never completes it
  extra,      // sends garbage after a good response
  twice       // sends the response twice
};

// The protocol of a fake server.
struct FakeProtocol {
  virtual ~FakeProtocol() = default;
  // Consumes one request from the input and returns the response; nothing while the input holds no whole
  // request.
  virtual std::optional<std::string> reply(std::string& input, Fault fault) = 0;
};

// A loopback address with a port that is free at present.
inline std::string freeAddress() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  return socket.address().toString();
}

// A TCP server on a free loopback port that answers as `speaker` does, with the given fault. Lives on the
// loop's thread.
class FakeServer : net::Connection::Owner {
 public:
  FakeServer(net::Loop& loop, FakeProtocol& speaker, Fault fault)
      : loop_(loop), speaker_(speaker), fault_(fault) {
    listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    listener_.listen();
    listener_.setBlocking(false);
    loop_.addEventHandler(listener_, observer());
  }
  ~FakeServer() override { loop_.removeEventHandler(listener_, observer()); }
  std::string address() const { return listener_.address().toString(); }
  Fault& fault() { return fault_; }  // may be changed at any time
  int requests() const { return requests_; }

 private:
  static constexpr Nanos kSlow = 300'000'000;  // delay of Fault::slow
  Poco::Observer<FakeServer, Poco::Net::ReadableNotification> observer() {
    return {*this, &FakeServer::onAccept};
  }
  void onAccept(Poco::Net::ReadableNotification* event) {
    event->release();
    auto connection = net::Connection::adopt(loop_, listener_.acceptConnection(), *this);
    connections_[connection.get()] = connection;
  }
  void onData(net::Connection& c) override {
    while (const auto reply = speaker_.reply(c.input(), fault_)) {
      ++requests_;
      const auto self = connections_.at(&c);
      if (fault_ == Fault::silent) continue;
      if (fault_ == Fault::truncated) {
        c.write(reply->substr(0, reply->size() / 2));
        c.close();
        connections_.erase(&c);
        return;
      }
      const Nanos wait = fault_ == Fault::slow ? kSlow : 0;
      loop_.after(wait, [self, text = *reply] { self->write(text); });
    }
  }
  void onEnd(net::Connection& c, net::ConnectionEnd) override { connections_.erase(&c); }

  net::Loop& loop_;
  FakeProtocol& speaker_;
  Fault fault_;
  Poco::Net::ServerSocket listener_;
  std::map<net::Connection*, std::shared_ptr<net::Connection>> connections_;
  int requests_ = 0;
};

// A node of the platform protocol: answers each send frame and skips all others.
struct FakeNode : FakeProtocol {
  // A complete answer frame. Its load report is malformed, which must not affect the answer.
  static std::string answer(const std::string& partId, const std::string& end = "done") {
    const std::string body = "R" + partId + " " + end + " 7 \xff,= ?\nvalue";
    return std::string("\0\0\0", 3) + static_cast<char>(body.size()) + body;
  }
  std::optional<std::string> reply(std::string& input, Fault fault) override {
    while (const auto read = platform::readFrame(input).frame) {
      const std::string rest(read->rest);
      const char letter = read->letter;
      input.erase(0, read->size);
      if (letter != 'S') continue;
      const char* end = fault == Fault::rejects ? "full" : fault == Fault::errs ? "failed" : "done";
      const auto text = answer(rest.substr(0, rest.find(' ')), end);
      if (fault == Fault::noise) return std::string(40, '\xfe');
      if (fault == Fault::endless) return text.substr(0, 8);
      if (fault == Fault::extra) return text + std::string(40, '\xfe');
      if (fault == Fault::twice) return text + text;
      return text;
    }
    return std::nullopt;
  }
};

inline std::string httpReply(int status, const std::string& body) {
  const http::Response response{status, "application/geo+json", body, {}};
  return http::formatHead(response, false) + body;
}

// A server of OGC API Features with two pages of one feature each. The target of the second contains
// "page=2".
struct FakeFeatures : FakeProtocol {
  std::string next = "/collections/branches/items?page=2";  // link to the second page; empty: no link
  std::string second = R"({"type":"FeatureCollection","features":[{"type":"Feature","id":"b"}]})";
  bool truncateSecond = false;  // the second page is truncated

  std::optional<std::string> reply(std::string& input, Fault fault) override {
    http::Parser parser(http::MessageKind::request);
    if (parser.parse(input) != http::Parser::Progress::complete) return std::nullopt;
    const std::string target(parser.head(input).target);
    parser.next(input);
    if (fault == Fault::noise) return std::string(40, '\xfe') + "\r\n\r\n";
    if (fault == Fault::endless) return "HTTP/1.1 200 OK\r\nX: ";
    if (fault == Fault::extra) return respond(target) + std::string(40, '\xfe');
    if (fault == Fault::twice) return respond(target) + respond(target);
    if (fault == Fault::rejects) return httpReply(503, "");
    if (fault == Fault::errs) return httpReply(500, "");
    return respond(target);
  }

  // The response without a fault.
  std::string respond(const std::string& target) const {
    if (target.find("/items?") == std::string::npos)
      return target.find("/items/b") != std::string::npos ? httpReply(200, R"({"type":"Feature","id":"b"})")
                                                          : httpReply(404, "");
    if (target.find("page=2") != std::string::npos) {
      if (!truncateSecond) return httpReply(200, second);
      return "HTTP/1.1 200 OK\r\nContent-Length: 500\r\nConnection: close\r\n\r\n{\"type\":";
    }
    const std::string link = next.empty() ? "" : R"(,"links":[{"rel":"next","href":")" + next + R"("}])";
    return httpReply(
        200, R"({"type":"FeatureCollection")" + link + R"(,"features":[{"type":"Feature","id":"a"}]})");
  }
};

// A discovery agent: answers each watch with one server list and leaves the response open.
struct FakeDiscoveryAgent : FakeProtocol {
  std::string list;  // JSON, one line
  std::optional<std::string> reply(std::string& input, Fault) override {
    http::Parser parser(http::MessageKind::request);
    if (parser.parse(input) != http::Parser::Progress::complete) return std::nullopt;
    parser.next(input);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", list.size() + 1);
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size.data() + list) + "\n\r\n";
  }
};

// An HTTP client that sends one request and then stops the loop.
class Client : net::Connection::Owner {
 public:
  Client(net::Loop& loop, const std::string& address, std::string request)
      : loop_(loop), request_(std::move(request)), startedAt_(loop.now()) {
    connection_ = net::Connection::connect(loop, Poco::Net::SocketAddress(address), kConnectTimeout, *this);
  }
  bool done() const { return done_; }
  int status = 0;  // 0: the connection ended without a complete response
  std::string body;
  std::string retryAfter;  // the Retry-After header
  bool keeps = false;      // the connection is kept alive
  Nanos took = 0;          // from the constructor to the end
  Nanos endedAt = 0;
  bool stopsLoop = true;  // when done

 private:
  static constexpr Nanos kConnectTimeout = 1'000'000'000;

  void onUp(net::Connection& c) override { c.write(request_); }
  void onData(net::Connection& c) override {
    if (parser_.parse(c.input()) != http::Parser::Progress::complete) return;
    const auto head = parser_.head(c.input());
    status = head.status;
    keeps = head.keepAlive;
    retryAfter = head.field("Retry-After").value_or("");
    body = parser_.body(c.input());
    finish();
  }
  void onEnd(net::Connection&, net::ConnectionEnd) override { finish(); }
  void finish() {
    if (std::exchange(done_, true)) return;
    endedAt = loop_.now();
    took = endedAt - startedAt_;
    connection_->close();
    if (stopsLoop) loop_.stop();
  }

  net::Loop& loop_;
  std::string request_;
  Nanos startedAt_;
  http::Parser parser_{http::MessageKind::response};
  std::shared_ptr<net::Connection> connection_;
  bool done_ = false;
};

}  // namespace topazweir::lab
