// The real program with a fake node and a fake discovery service: shutdown on SIGTERM with a query open,
// reload on SIGHUP, and hedged requests to discovery. Also the discovery client alone against a fake service.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <functional>

#include "check.hpp"
#include "lab/fake_server.hpp"
#include "platform/discovery.hpp"
#include "processes/event_loop_test.hpp"
#include "scratch.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;

class Program {
 public:
  Program(const char* path, const std::string& config) {
    child_ = ::fork();
    CHECK(child_ >= 0);
    if (child_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed check must not leave the child running
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    ::unsetenv("NODE_LISTEN");
    ::execl(path, path, static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  ~Program() {
    if (child_ <= 0 || over_) return;
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
  }
  void terminate() { ::kill(child_, SIGTERM); }
  void reload() { ::kill(child_, SIGHUP); }
  // The exit code; none while it runs.
  std::optional<int> exited() {
    int status = 0;
    if (::waitpid(child_, &status, WNOHANG) != child_) return std::nullopt;
    over_ = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  }

 private:
  pid_t child_ = -1;
  bool over_ = false;
};

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

std::string query(const std::string& id) {
  const std::string body = R"({"targets":[{"partition":0,"share":1}],"query":"x"})";
  return "POST /search HTTP/1.1\r\nHost: a\r\nReq-Id: " + id +
         "\r\nReq-Deadline: 3\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int statusOf(const std::string& address, const std::string& request) {
  net::Loop loop;
  Client client(loop, address, request);
  const auto limit = loop.after(5000 * kMs, [&] { loop.stop(); });
  loop.run();
  loop.cancel(limit);
  return client.status;
}

void drainsOnSigterm(const char* path) {
  net::Loop loop;
  FakeNode speaker;
  FakeServer node(loop, speaker, Fault::slow);
  const std::string listen = freeAddress();
  const std::string file = scratchFile("program_test.json");
  std::ofstream(file)
      << R"({"listen":")" << listen << R"(","discovery":")" << freeAddress()
      << R"(","known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":")"
      << node.address()
      << R"(","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,)"
         R"("startedAtMs":0}]},"settings":{"familyInfo":{"slabs":1},"limits":{"maxAttempts":4},)"
         R"("profiles":[{"name":"search","aimNs":2000000000,"deadlineNs":4000000000}]}})";
  Program program(path, file);
  int up = 0;
  for (int i = 0; i < 200 && up != 200; ++i) {
    ::usleep(25'000);
    up = statusOf(listen, get("/up"));
  }
  CHECK(up == 200);
  CHECK(statusOf(listen, get("/counters")) == 200 && statusOf(listen, get("/none")) == 405);
  CHECK(statusOf(listen, "nonsense\r\n\r\n") == 400);

  // A query that is open at the node when SIGTERM arrives is finished. One that arrives just after is
  // accepted, too.
  Client open(loop, listen, query("q1"));
  std::unique_ptr<Client> late;
  std::unique_ptr<Client> state;
  loop.after(100 * kMs, [&] { program.terminate(); });
  loop.after(300 * kMs, [&] {
    late = std::make_unique<Client>(loop, listen, query("q2"));
    state = std::make_unique<Client>(loop, listen, get("/up"));
    late->stopsLoop = state->stopsLoop = false;
  });
  bool finished = false;
  const auto limit = loop.after(8000 * kMs, [&] { loop.stop(); });
  std::function<void()> check = [&] {
    finished = open.done() && late && late->done() && state->done();
    finished ? loop.stop() : static_cast<void>(loop.after(10 * kMs, check));
  };
  check();
  open.stopsLoop = false;
  loop.run();
  loop.cancel(limit);
  CHECK(finished && open.status == 200 && late->status == 200 && state->status == 503);
  CHECK(open.keeps && state->keeps);  // connections are kept alive as long as clients are accepted
  std::optional<int> code;
  for (int i = 0; i < 400 && !code; ++i) {
    ::usleep(10'000);
    code = program.exited();
  }
  CHECK(code == 0);
}

// SIGHUP moves discovery to the address that the file now names, whatever generation the lists there have; an
// invalid file changes nothing; SIGTERM still shuts the program down gracefully. The first agent knows no
// node, the second one does.
void reloadsItsConfiguration(const char* path) {
  net::Loop loop;
  FakeNode nodes;
  FakeServer node(loop, nodes, Fault::none);
  FakeDiscoveryAgent emptyAgent;
  FakeDiscoveryAgent nodeAgent;
  emptyAgent.list = R"({"generation":9,"reset":true,"instances":[]})";
  nodeAgent.list =
      R"({"generation":3,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + node.address() +
      R"(","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]})";
  FakeServer first(loop, emptyAgent, Fault::none), second(loop, nodeAgent, Fault::none);
  const std::string listen = freeAddress();
  const std::string file = scratchFile("reread_test.json");
  const auto write = [&](const std::string& discovery, const std::string& sockets) {
    std::ofstream(file) << R"({"listen":")" << listen << R"(","discovery":")" << discovery
                        << R"(","limits":{"sockets":)" << sockets
                        << R"(},"settings":{"familyInfo":{"slabs":1},"limits":{"maxAttempts":4},)"
                           R"("profiles":[{"name":"search","aimNs":2000000000,"deadlineNs":4000000000}]}})";
  };
  write(first.address(), "300");
  Program program(path, file);
  // The steps run one after the other, each repeated until it holds. They share the loop with the fake
  // servers.
  std::unique_ptr<Client> client;
  const auto answers = [&](const std::string& request, int status) {
    if (client && !client->done()) return false;
    const bool matches = client && client->status == status;
    client.reset();
    if (matches) return true;
    client = std::make_unique<Client>(loop, listen, request);
    client->stopsLoop = false;
    return false;
  };
  const auto configure = [&](const std::string& discovery, const std::string& sockets) {
    return [&, discovery, sockets] {
      write(discovery, sockets);
      program.reload();
      return true;
    };
  };
  const auto serves = [&] { return answers(get("/up"), 200); };
  const auto refuses = [&] { return answers(query("q1"), 503); };
  std::vector<std::function<bool()>> steps{serves, [&] { return first.requests() == 1; }, refuses};
  for (const auto* sockets : {"0", "[]", "}"}) {
    steps.push_back(configure(second.address(), sockets));
    steps.insert(steps.end(), {serves, serves, refuses, [&] { return second.requests() == 0; }});
  }
  steps.insert(steps.end(), {configure("999.0.0.1:1", "300"), serves, serves});
  for (int i = 0; i < 3; ++i)  // repeated reloads: nothing changes from the second on
    steps.insert(steps.end(), {configure(second.address(), "300"), serves, serves});
  steps.push_back([&] { return answers(query("q2"), 200); });
  std::size_t step = 0;
  const std::function<void()> runStep = [&] {
    if (steps[step]()) ++step;
    step == steps.size() ? loop.stop() : static_cast<void>(loop.after(30 * kMs, runStep));
  };
  loop.after(0, runStep);
  loop.after(20'000 * kMs, [&] { loop.stop(); });
  loop.run();
  CHECK(step == steps.size() && second.requests() == 1 && first.requests() == 1);
  program.reload();
  program.terminate();
  std::optional<int> code;
  for (int i = 0; i < 400 && !code; ++i) {
    ::usleep(10'000);
    code = program.exited();
  }
  CHECK(code == 0);
}

// ---- discovery that leaves requests waiting: an older request keeps its place beside the next ----

std::string list(int generation, const std::string& leaf = "10.0.0.1:1") {
  return R"({"generation":)" + std::to_string(generation) +
         R"(,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + leaf +
         R"(","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]})" +
         "\n";
}

// A fake discovery service that sends only what the test sends. One request for each connection.
class HoldingAgent {
 public:
  struct Request {
    Poco::Net::StreamSocket socket;
    std::string text;
    bool open = true;
    bool complete() const { return text.ends_with("\r\n\r\n"); }
    void send(const std::string& bytes) {
      socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    }
    void startResponse(const std::string& body) {
      send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body));
    }
    static std::string chunk(const std::string& body) {
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
      return size.data() + body + "\r\n";
    }
  };
  std::vector<Request> requests;
  std::string address() const { return listener_.address().toString(); }
  std::size_t open() const {
    return static_cast<std::size_t>(std::ranges::count_if(requests, [](const auto& c) { return c.open; }));
  }
  // Reads what has arrived; fails the test if more than two requests are open.
  void poll() {
    while (listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      requests.push_back({listener_.acceptConnection(), {}});
    for (auto& request : requests)
      while (request.open && request.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        std::array<char, 4096> bytes{};
        int got = 0;
        try {
          got = request.socket.receiveBytes(bytes.data(), bytes.size());
        } catch (const Poco::Exception&) {  // reset
        }
        got > 0 ? static_cast<void>(request.text.append(bytes.data(), static_cast<std::size_t>(got)))
                : static_cast<void>(request.open = false);
      }
    CHECK(open() <= 2);
  }
  bool received(std::size_t count) const {
    return requests.size() >= count && requests[count - 1].complete();
  }
  void close(std::size_t request, bool reset) {
    if (reset) requests[request].socket.setLinger(true, 0);
    requests[request].socket.close();
    requests[request].open = false;
  }

 private:
  Poco::Net::ServerSocket listener_{Poco::Net::SocketAddress("127.0.0.1", 0)};
};

struct DiscoveryFixture : Stage {
  std::string lines;  // of the log
  broker::Log log{[this](auto event, auto text) { lines.append(event).append(" ").append(text) += '\n'; },
                  [] { return Nanos{0}; }};
  HoldingAgent agent;
  std::vector<std::int64_t> generations;  // of the lists received
  platform::Discovery discovery{loop,
                                log,
                                Poco::Net::SocketAddress(agent.address()),
                                {"a"},
                                0,
                                platform::DiscoveryRetryPolicy(1, false, 1),
                                [this](const auto& l) { generations.push_back(l.generation); }};
  void await(const std::string& what, const std::function<bool()>& holds) {
    const auto pollAndCheck = [&] {
      agent.poll();
      return holds();
    };
    until(what, pollAndCheck, 20'000 * kMs);  // less than the time for which a request is kept
  }
  // Waits until the first request has been left unanswered and the next one has been sent beside it.
  void awaitHedge() {
    await("a second request", [&] { return agent.received(2); });
    CHECK(agent.requests[0].open && agent.requests[0].complete() && generations.empty());
    CHECK(lines.find("discovery.hedged") != std::string::npos);
  }
  // Answers every request but the first as soon as it arrives, until one was answered in time.
  void answerLaterRequests(int generation) {
    std::size_t answered = 1;
    await("a list", [&] {
      for (; agent.received(answered + 1); ++answered) {
        CHECK(agent.requests[0].open || generations.size() > 0 || firstMayClose);
        if (agent.requests[answered].open) agent.requests[answered].startResponse(list(generation));
      }
      return !generations.empty();
    });
  }
  bool firstMayClose = false;
};

void withFixture(const std::function<void(DiscoveryFixture&)>& body) {
  DiscoveryFixture fixture;
  fixture.play([&] { body(fixture); });
}

// The first request is never answered: the one that is answered becomes the watch, the other one is closed,
// and nothing from it is used.
void laterRequestIsAnswered(DiscoveryFixture& w) {
  w.awaitHedge();
  w.answerLaterRequests(5);
  w.await("the end of the first request", [&] { return !w.agent.requests[0].open && w.agent.open() == 1; });
  CHECK(w.generations == std::vector<std::int64_t>{5});
  const auto watch =
      static_cast<std::size_t>(std::ranges::find_if(w.agent.requests, [](const auto& c) { return c.open; }) -
                               w.agent.requests.begin());
  w.agent.requests[watch].send(HoldingAgent::Request::chunk(list(6)));
  w.await("the watch's next list", [&] { return w.generations.size() == 2; });
  CHECK(w.generations.back() == 6);
  // Unresponsive from now on: the watch is opened again, and the old one is not kept, as it has no place in a
  // queue.
  const auto requestCount = w.agent.requests.size();
  w.await("a new watch", [&] { return w.agent.received(requestCount + 1); });
  CHECK(!w.agent.requests[watch].open &&
        w.agent.requests[requestCount].text.find("from=6 ") != std::string::npos);
}

void firstRequestIsAnsweredLate(DiscoveryFixture& w, const std::string& body) {
  w.awaitHedge();
  w.agent.requests[0].startResponse(body);
  w.await("the end of the later request", [&] { return w.agent.open() == 1; });
  CHECK(w.agent.requests[0].open);
  w.agent.requests[0].send(HoldingAgent::Request::chunk(list(7)));
  w.await("the list", [&] { return !w.generations.empty() && w.generations.back() == 7; });
  const auto requestCount = w.agent.requests.size();
  w.agent.close(0, false);
  w.await("a new watch", [&] { return w.agent.received(requestCount + 1); });
  CHECK(w.agent.requests[requestCount].text.find("from=7 ") != std::string::npos);
}

// Both are answered at the same time: only one list is used.
void bothAreAnswered(DiscoveryFixture& w) {
  w.awaitHedge();
  std::size_t answered = 1;
  bool first = false;
  w.await("a list", [&] {
    for (; w.agent.received(answered + 1); ++answered)
      if (w.agent.requests[answered].open) w.agent.requests[answered].startResponse(list(9));
    if (!std::exchange(first, true)) w.agent.requests[0].startResponse(list(8));
    return !w.generations.empty();
  });
  w.await("the end of the other request", [&] { return w.agent.open() == 1; });
  CHECK(w.generations.size() == 1);
}

// Neither is answered: the oldest one is kept, the newer one is replaced by the next, and there is never a
// third.
void oldestRequestIsKept(DiscoveryFixture& w) {
  w.await("a fourth request", [&] { return w.agent.received(4); });
  CHECK(w.agent.requests[0].open && !w.agent.requests[1].open && !w.agent.requests[2].open);
  w.answerLaterRequests(5);
  w.await("one open request", [&] { return w.agent.open() == 1; });
  CHECK(!w.agent.requests[0].open);
}

// However the first request fails, the one beside it continues, and the next that is late is kept.
void firstRequestFails(DiscoveryFixture& w, const std::function<void(HoldingAgent&)>& how) {
  w.awaitHedge();
  how(w.agent);
  w.await("its end", [&] { return w.lines.find("discovery.lost") != std::string::npos; });
  const auto requestCount = w.agent.requests.size();
  w.await("a second hedge", [&] {
    const auto hedged = w.lines.find("discovery.hedged");
    return w.lines.find("discovery.hedged", hedged + 1) != std::string::npos;
  });
  w.await("a request beside it", [&] { return w.agent.received(requestCount + 1) && w.agent.open() == 2; });
  w.firstMayClose = true;
  w.answerLaterRequests(5);
}

// With an incomplete list the first request is only kept: a complete list from the later one wins.
void incompleteListDoesNotWin(DiscoveryFixture& w) {
  w.awaitHedge();
  w.agent.requests[0].startResponse(list(4).substr(0, 20));
  w.answerLaterRequests(5);
  w.await("the end of the first request", [&] { return w.agent.open() == 1; });
  CHECK(w.generations == std::vector<std::int64_t>{5});
}

void moveClosesBoth(DiscoveryFixture& w) {
  w.awaitHedge();
  HoldingAgent newAgent;
  w.discovery.moveTo(Poco::Net::SocketAddress(newAgent.address()));
  w.await("the end of the old requests", [&] { return w.agent.open() == 0; });
  const auto requestCount = w.agent.requests.size();
  w.await("a request at the new address", [&] {
    newAgent.poll();
    return newAgent.received(1);
  });
  newAgent.requests[0].startResponse(list(3));
  w.await("the list", [&] { return !w.generations.empty(); });
  CHECK(w.generations == std::vector<std::int64_t>{3} && w.agent.requests.size() == requestCount);
}

// The real program serves with the list that a later request brings.
void servesByTheHedgedRequest(const char* path) {
  Stage stage;
  FakeNode nodes;
  FakeServer node(stage.loop, nodes, Fault::none);
  HoldingAgent agent;
  const std::string listen = freeAddress(), file = scratchFile("held_test.json");
  std::ofstream(file)
      << R"({"listen":")" << listen << R"(","discovery":")" << agent.address()
      << R"(","settings":{"localities":["a"],"familyInfo":{"slabs":1},"limits":{"maxAttempts":4},)"
         R"("profiles":[{"name":"search","aimNs":2000000000,"deadlineNs":4000000000}]}})";
  Program program(path, file);
  stage.play([&] {
    std::size_t answered = 1;
    int status = 0;
    while (status != 200) {
      Client client(stage.loop, listen, query("q1"));
      client.stopsLoop = false;
      stage.until("an answer", [&] {
        CHECK(!program.exited());
        agent.poll();
        for (; agent.received(answered + 1); ++answered)
          if (agent.requests[answered].open) agent.requests[answered].startResponse(list(2, node.address()));
        return client.done();
      });
      status = client.status;
    }
    CHECK(answered > 1);
    stage.until("the end of the first request", [&] {
      agent.poll();
      return !agent.requests[0].open;
    });
    program.terminate();
    std::optional<int> code;
    stage.until("the end", [&] { return (code = program.exited()).has_value(); });
    CHECK(code == 0);
  });
}

void hedgedRequests() {
  withFixture(laterRequestIsAnswered);
  withFixture([](DiscoveryFixture& w) { firstRequestIsAnsweredLate(w, list(7)); });
  // Whitespace, which says that there is no newer list, is an answer, too.
  withFixture([](DiscoveryFixture& w) { firstRequestIsAnsweredLate(w, "\n"); });
  withFixture(bothAreAnswered);
  withFixture(oldestRequestIsKept);
  withFixture(
      [](DiscoveryFixture& w) { firstRequestFails(w, [](HoldingAgent& agent) { agent.close(0, false); }); });
  withFixture(
      [](DiscoveryFixture& w) { firstRequestFails(w, [](HoldingAgent& agent) { agent.close(0, true); }); });
  withFixture([](DiscoveryFixture& w) {
    firstRequestFails(w, [](HoldingAgent& agent) {
      agent.requests[0].send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    });
  });
  withFixture([](DiscoveryFixture& w) {
    firstRequestFails(w, [](HoldingAgent& agent) { agent.requests[0].startResponse("x"); });
  });
  withFixture(incompleteListDoesNotWin);
  withFixture(moveClosesBoth);
}

// The event loop must not spin: Poco keeps polling for writable after its observer has been removed.
void idleLoopDoesNotSpin() {
  net::Loop loop;
  FakeNode speaker;
  FakeServer node(loop, speaker, Fault::none);
  Client client(loop, node.address(), platform::writeCall("q.0", 0, 1000 * kMs, "x"));
  client.stopsLoop = false;
  loop.after(600 * kMs, [&] { loop.stop(); });
  const auto before = std::clock();
  loop.run();
  CHECK(std::clock() - before < CLOCKS_PER_SEC * 3 / 10);
}

}  // namespace
}  // namespace topazweir::test

int main(int, char** words) {
  topazweir::test::idleLoopDoesNotSpin();
  topazweir::test::hedgedRequests();
  topazweir::test::servesByTheHedgedRequest(words[1]);
  topazweir::test::drainsOnSigterm(words[1]);
  topazweir::test::reloadsItsConfiguration(words[1]);
}
