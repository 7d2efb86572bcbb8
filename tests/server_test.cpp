// The HTTP server: an answer that its client reads slowly is written whole before the server is quiet, and
// what is sent ahead is answered in order.
#include "http/server.hpp"

#include <chrono>
#include <thread>
#include <utility>

#include "check.hpp"
#include "lab/stand_in.hpp"
#include "net/connection.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::size_t kBig = 16 * 1024 * 1024;

struct Echo : http::Server::Handler {
  http::Server* server = nullptr;
  void onRequest(http::Server::ExchangeNo exchange, const http::Head& head, std::string_view) override {
    const std::string target(head.target);
    server->respond(exchange, {200, "text/plain", target == "/big" ? std::string(kBig, 'x') : target, {}});
  }
  void onGone(http::Server::ExchangeNo) override {}
};

struct World {
  net::Loop loop;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  Echo echo;
  http::Server server;
  explicit World(std::size_t most = 256, Nanos requestTime = 2200 * kMs, Nanos idleTime = 2000 * kMs)
      : server(loop, log, {"test", Poco::Net::SocketAddress("127.0.0.1", 0), most, requestTime, idleTime},
               echo) {
    echo.server = &server;
  }
  void run(Nanos time) {
    loop.after(time, [this] { loop.stop(); });
    loop.run();
  }
};

// A blocking socket: nothing is read from it before the test does.
Poco::Net::StreamSocket ask(World& w, const std::string& request) {
  Poco::Net::StreamSocket socket(w.server.address());
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  return socket;
}

std::size_t readSome(Poco::Net::StreamSocket& socket, std::string& text) {
  std::string chunk(1 << 20, 0);
  if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return 1;
  const auto got =
      static_cast<std::size_t>(socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size())));
  text.append(chunk, 0, got);
  return got;
}

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

void slowReaderGetsAll() {
  World w;
  auto socket = ask(w, get("/big"));
  std::string text;
  bool ended = false, early = false;
  w.loop.after(200 * kMs, [&] {
    w.server.stopAccepting();
    early = w.server.quiet();
  });
  std::function<void()> read = [&] {
    ended = readSome(socket, text) == 0 || text.size() > kBig;
    ended&& w.server.quiet() ? w.loop.stop() : static_cast<void>(w.loop.after(kMs, read));
  };
  w.loop.after(1500 * kMs, read);
  w.loop.after(20'000 * kMs, [&] { w.loop.stop(); });
  w.loop.run();
  CHECK(!early && ended && text.size() > kBig && w.server.quiet());
}

void pipelinedInOrder() {
  World w;
  auto socket = ask(w, get("/a") + get("/b") + "bad\r\n\r\n" + get("/c"));
  std::string text;
  w.loop.after(300 * kMs, [&] {
    readSome(socket, text);
    w.loop.stop();
  });
  w.loop.run();
  const auto a = text.find("/a"), b = text.find("/b"), bad = text.find("HTTP/1.1 400");
  CHECK(a < b && b < bad && bad != std::string::npos && text.find("/c") == std::string::npos);
}

// Half requests, one of them renewed byte by byte, and a connection on which nothing comes: each has an error
// or an end in time. A client that has asked before may rest.
void slowRequestsEnd() {
  World w(256, 500 * kMs);
  auto half = ask(w, "GET / HTT"), trickle = ask(w, "G"),
       body = ask(w, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx");
  auto mute = ask(w, ""), rests = ask(w, get("/a"));
  std::function<void()> drip = [&] {
    try {
      trickle.sendBytes("E", 1);
      w.loop.after(50 * kMs, drip);
    } catch (const Poco::Exception&) {  // its connection has ended, as it should
    }
  };
  w.loop.after(50 * kMs, drip);
  w.run(1500 * kMs);
  for (auto* socket : {&half, &body, &trickle}) {
    std::string text;
    CHECK(readSome(*socket, text) > 1 && text.rfind("HTTP/1.1 408", 0) == 0);
  }
  std::string none, answer;
  CHECK(readSome(mute, none) == 0);
  readSome(rests, answer);
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0 && readSome(rests, none) == 1);
}

// More connections than there is room for, most of them silent: who asks is served, and none above the limit
// is held. The first to go are those that have been idle for long.
void makesRoom() {
  World w(8, 60'000 * kMs, 200 * kMs);
  std::vector<Poco::Net::StreamSocket> idle;
  for (int i = 0; i < 20; ++i) idle.push_back(ask(w, i == 0 ? get("/a") : ""));
  std::optional<Poco::Net::StreamSocket> asks;
  w.loop.after(400 * kMs, [&] { asks = ask(w, get("/b")); });
  w.run(1500 * kMs);
  std::string text;
  readSome(*asks, text);
  CHECK(text.find("/b") != std::string::npos);
  int held = 0;
  for (auto& socket : idle) held += readSome(socket, text) == 1 ? 1 : 0;
  CHECK(held <= 8);
}

// A client that is turned down and sends on at full speed does not keep the loop from serving others.
void fullSpeedIsTurnedDown() {
  World w;
  Poco::Net::StreamSocket pours(w.server.address());
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n";
  pours.sendBytes(head.data(), static_cast<int>(head.size()));
  pours.setBlocking(false);
  const std::string much(1 << 20, 'x');
  std::size_t sent = 0;
  bool ended = false;
  std::function<void()> pour = [&] {
    try {
      for (int got = 1; got > 0 && sent < 60'000'000;) {
        got = pours.sendBytes(much.data(), static_cast<int>(much.size()));
        if (got > 0) sent += static_cast<std::size_t>(got);
      }
      w.loop.after(kMs, pour);
    } catch (const Poco::Exception&) {
      ended = true;
    }
  };
  pour();
  auto other = ask(w, get("/a"));
  w.run(2500 * kMs);
  std::string text;
  readSome(other, text);
  CHECK(text.rfind("HTTP/1.1 200", 0) == 0);
  CHECK(ended && sent < 40'000'000);  // what the sockets' buffers held and little more was taken off it
}

// Notes how a connection that is set up ends, or that it came up.
struct Caller : net::Connection::Owner {
  net::Loop& loop;
  std::optional<net::ConnectionEnd> end;
  bool up = false;
  explicit Caller(net::Loop& l) : loop(l) {}
  void onUp(net::Connection&) override { up = true, loop.stop(); }
  void onData(net::Connection&) override {}
  void onEnd(net::Connection&, net::ConnectionEnd how) override { end = how, loop.stop(); }
};

// The loop stands still for longer than a connection has to come up: what the kernel did meanwhile counts.
void comesUpWhileTheLoopStandsStill() {
  const auto call = [](const std::string& address) {
    net::Loop loop;
    Caller caller(loop);
    std::shared_ptr<net::Connection> connection;
    loop.after(0, [&] {
      connection = net::Connection::connect(loop, Poco::Net::SocketAddress(address), 20 * kMs, caller);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    loop.run();
    return std::pair(caller.up, caller.end);
  };
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  CHECK(call(listener.address().toString()).first);
  CHECK(call(freeAddress()).second == net::ConnectionEnd::refused);
  // Where nothing has come up the time-out stands: the listener's queue is full.
  std::array<Poco::Net::StreamSocket, 4> queue;
  for (auto& waiting : queue) waiting.connectNB(listener.address());
  CHECK(call(listener.address().toString()).second == net::ConnectionEnd::connectTimeout);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::comesUpWhileTheLoopStandsStill();
  topazweir::test::slowRequestsEnd();
  topazweir::test::makesRoom();
  topazweir::test::fullSpeedIsTurnedDown();
  topazweir::test::slowReaderGetsAll();
  topazweir::test::pipelinedInOrder();
}
