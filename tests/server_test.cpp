// Tests of http::Server and net::Connection on real sockets: slow readers get the whole response
// before the server is drained, pipelined requests are answered in order, slow requests time out, idle
// connections make room for new ones, rejected uploads do not block the loop, and connecting survives a stall
// of the loop.
#include "http/server.hpp"

#include <chrono>
#include <thread>
#include <utility>

#include "check.hpp"
#include "lab/fake_server.hpp"
#include "net/connection.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::size_t kLargeBodyBytes = 16 * 1024 * 1024;

struct EchoHandler : http::Server::Handler {
  http::Server* server = nullptr;
  bool holds = false;  // the first request is answered by release()
  http::Server::ExchangeId held = 0;
  void release() {
    holds = false;
    server->respond(held, {200, "text/plain", "held", {}});
  }
  void onRequest(http::Server::ExchangeId exchange, const http::Head& head, std::string_view) override {
    const std::string target(head.target);
    if (holds && held == 0) {
      held = exchange;
      return;
    }
    server->respond(exchange,
                    {200, "text/plain", target == "/big" ? std::string(kLargeBodyBytes, 'x') : target, {}});
  }
  void onGone(http::Server::ExchangeId) override {}
};

struct ServerFixture {
  net::Loop loop;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  EchoHandler echo;
  http::Server server;
  explicit ServerFixture(std::size_t maxConnections = 256, Nanos requestTimeout = 2200 * kMs,
                         Nanos idleTimeout = 2000 * kMs)
      : server(
            loop, log,
            {"test", Poco::Net::SocketAddress("127.0.0.1", 0), maxConnections, requestTimeout, idleTimeout},
            echo) {
    echo.server = &server;
  }
  void run(Nanos time) {
    loop.after(time, [this] { loop.stop(); });
    loop.run();
  }
};

// Connects and sends `request`. Returns a blocking socket, from which only the test reads.
Poco::Net::StreamSocket sendRequest(ServerFixture& fixture, const std::string& request) {
  Poco::Net::StreamSocket socket(fixture.server.address());
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return socket;
}

// Reads what is available and appends it to `text`. Returns the number of bytes read: 0 at the end of the
// stream, and 1 if nothing is available.
std::size_t readSome(Poco::Net::StreamSocket& socket, std::string& text) {
  std::string chunk(1 << 20, 0);
  if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return 1;
  const auto got =
      static_cast<std::size_t>(socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size())));
  text.append(chunk, 0, got);
  return got;
}

// A GET request.
std::string getRequest(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

// A client starts to read a large response only after the shutdown has begun. The server must not report that
// it is drained before the client has read the whole response.
void slowReaderGetsAll() {
  ServerFixture fixture;
  auto socket = sendRequest(fixture, getRequest("/big"));
  std::string text;
  bool ended = false, early = false;
  fixture.loop.after(200 * kMs, [&] {
    fixture.server.stopAccepting();
    early = fixture.server.quiet();
  });
  std::function<void()> read = [&] {
    ended = readSome(socket, text) == 0 || text.size() > kLargeBodyBytes;
    if (ended && fixture.server.quiet()) {
      fixture.loop.stop();
    } else {
      fixture.loop.after(kMs, read);
    }
  };
  fixture.loop.after(1500 * kMs, read);
  fixture.loop.after(20'000 * kMs, [&] { fixture.loop.stop(); });
  fixture.loop.run();
  CHECK(!early && ended && text.size() > kLargeBodyBytes && fixture.server.quiet());
}

// Pipelined requests are answered in order. After a malformed one the connection ends, without an answer to
// those behind it.
void pipelinedInOrder() {
  ServerFixture fixture;
  auto socket = sendRequest(fixture, getRequest("/a") + getRequest("/b") + "bad\r\n\r\n" + getRequest("/c"));
  std::string text;
  fixture.loop.after(300 * kMs, [&] {
    readSome(socket, text);
    fixture.loop.stop();
  });
  fixture.loop.run();
  const auto a = text.find("/a"), b = text.find("/b"), bad = text.find("HTTP/1.1 400");
  CHECK(a < b && b < bad && bad != std::string::npos && text.find("/c") == std::string::npos);
}

// A client sends far more requests than are kept behind its open one, and reads nothing meanwhile. Each gets
// its answer in order: the first its own, the others that they were sent too far ahead.
void requestsTooFarAheadAreRefusedInOrder() {
  ServerFixture fixture;
  constexpr std::size_t kRequests = 20'000;
  std::string requests = getRequest("/held");
  for (std::size_t i = 1; i < kRequests; ++i) requests += getRequest("/a");
  fixture.echo.holds = true;
  Poco::Net::StreamSocket socket(fixture.server.address());
  socket.setBlocking(false);
  std::size_t sent = 0;
  std::string text;
  std::size_t answers = 0;
  std::function<void()> turn = [&] {
    const int got = socket.sendBytes(requests.data() + sent, static_cast<int>(requests.size() - sent));
    sent += got > 0 ? static_cast<std::size_t>(got) : 0;
    if (sent == requests.size() && fixture.echo.holds) fixture.echo.release();
    if (!fixture.echo.holds) readSome(socket, text);
    answers = 0;
    for (auto at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1))
      ++answers;
    if (answers == kRequests) return fixture.loop.stop();
    fixture.loop.after(kMs, turn);
  };
  turn();
  fixture.loop.after(60'000 * kMs, [&] { fixture.loop.stop(); });
  fixture.loop.run();
  CHECK(answers == kRequests && text.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(text.find("HTTP/1.1 503") != std::string::npos);
  CHECK(fixture.server.counters().refusedAhead > 0 && fixture.loop.buffers().peak() < 1024 * 1024);
}

// While the buffers are full a client with half a request is refused; one that rests gets nothing unasked.
void fullBuffersSpareIdleClients() {
  ServerFixture fixture;
  auto idle = sendRequest(fixture, "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(3000, 'x') + "\r\n\r\n");
  std::optional<Poco::Net::StreamSocket> half;
  fixture.loop.after(100 * kMs, [&] {
    fixture.loop.buffers().setLimit(1);
    half = sendRequest(fixture,
                       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + std::string(5000, 'x'));
  });
  fixture.run(500 * kMs);
  std::string answer, none, refusal;
  readSome(idle, answer);
  CHECK(answer.ends_with("/a") && readSome(idle, none) == 1);
  readSome(*half, refusal);
  CHECK(refusal.rfind("HTTP/1.1 503", 0) == 0 && fixture.server.counters().unfinishedShed == 1);
}

// Partial requests, one of which arrives byte by byte, get a 408 within the request timeout, and a
// connection without any request is closed. A connection that is idle after a request stays open.
void slowRequestsTimeOut() {
  ServerFixture fixture(256, 500 * kMs);
  auto partialHead = sendRequest(fixture, "GET / HTT");
  auto slowClient = sendRequest(fixture, "G");
  auto partialBody = sendRequest(fixture, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx");
  auto withoutRequest = sendRequest(fixture, "");
  auto idleClient = sendRequest(fixture, getRequest("/a"));
  std::function<void()> sendByte = [&] {
    try {
      slowClient.sendBytes("E", 1);
      fixture.loop.after(50 * kMs, sendByte);
    } catch (const Poco::Exception&) {  // the server has closed the connection, as expected
    }
  };
  fixture.loop.after(50 * kMs, sendByte);
  fixture.run(1500 * kMs);
  for (auto* socket : {&partialHead, &partialBody, &slowClient}) {
    std::string text;
    CHECK(readSome(*socket, text) > 1 && text.rfind("HTTP/1.1 408", 0) == 0);
  }
  std::string none, answer;
  CHECK(readSome(withoutRequest, none) == 0);
  readSome(idleClient, answer);
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0 && readSome(idleClient, none) == 1);
}

// More clients connect than the limit allows, most of them without a request. A client that sends a
// request is served and no more connections than the limit are held, since idle connections are closed for
// new ones.
void idleConnectionsMakeRoom() {
  ServerFixture fixture(8, 60'000 * kMs, 200 * kMs);
  std::vector<Poco::Net::StreamSocket> idle;
  for (int i = 0; i < 20; ++i) idle.push_back(sendRequest(fixture, i == 0 ? getRequest("/a") : ""));
  std::optional<Poco::Net::StreamSocket> laterClient;
  fixture.loop.after(400 * kMs, [&] { laterClient = sendRequest(fixture, getRequest("/b")); });
  fixture.run(1500 * kMs);
  std::string text;
  readSome(*laterClient, text);
  CHECK(text.find("/b") != std::string::npos);
  int held = 0;
  for (auto& socket : idle) held += readSome(socket, text) == 1 ? 1 : 0;
  CHECK(held <= 8);
}

// A client whose upload is rejected but continues at full speed must not keep the loop from serving others.
void rejectedUploadDoesNotBlockOthers() {
  ServerFixture fixture;
  Poco::Net::StreamSocket uploader(fixture.server.address());
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n";
  uploader.sendBytes(head.data(), static_cast<int>(head.size()));
  uploader.setBlocking(false);
  const std::string block(1 << 20, 'x');
  std::size_t sent = 0;
  bool ended = false;
  std::function<void()> upload = [&] {
    try {
      for (int got = 1; got > 0 && sent < 60'000'000;) {
        got = uploader.sendBytes(block.data(), static_cast<int>(block.size()));
        if (got > 0) sent += static_cast<std::size_t>(got);
      }
      fixture.loop.after(kMs, upload);
    } catch (const Poco::Exception&) {
      ended = true;
    }
  };
  upload();
  auto other = sendRequest(fixture, getRequest("/a"));
  fixture.run(2500 * kMs);
  std::string text;
  readSome(other, text);
  CHECK(text.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(ended && sent < 40'000'000);  // little more was read than the sockets' buffers hold
}

// Records whether a connection was established and how it ended.
struct ConnectRecorder : net::Connection::Owner {
  net::Loop& loop;
  std::optional<net::ConnectionEnd> end;
  bool up = false;
  explicit ConnectRecorder(net::Loop& l) : loop(l) {}
  void onUp(net::Connection&) override {
    up = true;
    loop.stop();
  }
  void onData(net::Connection&) override {}
  void onEnd(net::Connection&, net::ConnectionEnd cause) override {
    end = cause;
    loop.stop();
  }
};

// The loop stalls for longer than the connect timeout. A connection that the kernel established or refused
// during the stall must be reported as such and not as timed out.
void connectResultCountsAfterStall() {
  const auto call = [](const std::string& address) {
    net::Loop loop;
    ConnectRecorder recorder(loop);
    std::shared_ptr<net::Connection> connection;
    loop.after(0, [&] {
      connection = net::Connection::connect(loop, Poco::Net::SocketAddress(address), 20 * kMs, recorder);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    loop.run();
    return std::pair(recorder.up, recorder.end);
  };
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  CHECK(call(listener.address().toString()).first);
  CHECK(call(freeAddress()).second == net::ConnectionEnd::refused);
  // With the listener's backlog full nothing is established, and the timeout is reported.
  std::array<Poco::Net::StreamSocket, 4> queue;
  for (auto& waiting : queue) waiting.connectNB(listener.address());
  CHECK(call(listener.address().toString()).second == net::ConnectionEnd::connectTimeout);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::connectResultCountsAfterStall();
  topazweir::test::slowRequestsTimeOut();
  topazweir::test::idleConnectionsMakeRoom();
  topazweir::test::rejectedUploadDoesNotBlockOthers();
  topazweir::test::slowReaderGetsAll();
  topazweir::test::pipelinedInOrder();
  topazweir::test::fullBuffersSpareIdleClients();
  topazweir::test::requestsTooFarAheadAreRefusedInOrder();
}
