// The real program as it is started in service: a stand-in node and discovery, then SIGTERM with a query
// open.
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
#include "lab/stand_in.hpp"
#include "platform/discovery.hpp"
#include "processes/steps.hpp"
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
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a check that fails must not leave it behind
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    ::unsetenv("NODE_LISTEN");
    ::execl(path, path, static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  ~Program() {
    if (child_ > 0 && !over_) ::kill(child_, SIGKILL), ::waitpid(child_, nullptr, 0);
  }
  void terminate() { ::kill(child_, SIGTERM); }
  void reread() { ::kill(child_, SIGHUP); }
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

int ask(const std::string& address, const std::string& request) {
  net::Loop loop;
  Client client(loop, address, request);
  const auto limit = loop.after(5000 * kMs, [&] { loop.stop(); });
  loop.run();
  loop.cancel(limit);
  return client.status;
}

void run(const char* path) {
  net::Loop loop;
  NodeSpeaker speaker;
  StandIn node(loop, speaker, Fault::slow);
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
    up = ask(listen, get("/up"));
  }
  CHECK(up == 200);
  CHECK(ask(listen, get("/counters")) == 200 && ask(listen, get("/none")) == 405);
  CHECK(ask(listen, "nonsense\r\n\r\n") == 400);

  // A query is open at the node when SIGTERM comes: it is finished. One that comes just after is taken, too.
  Client open(loop, listen, query("q1"));
  std::unique_ptr<Client> late, state;
  loop.after(100 * kMs, [&] { program.terminate(); });
  loop.after(300 * kMs, [&] {
    late = std::make_unique<Client>(loop, listen, query("q2"));
    state = std::make_unique<Client>(loop, listen, get("/up"));
    late->stopsLoop = state->stopsLoop = false;
  });
  bool finished = false;
  const auto limit = loop.after(8000 * kMs, [&] { loop.stop(); });
  std::function<void()> look = [&] {
    finished = open.done() && late && late->done() && state->done();
    finished ? loop.stop() : static_cast<void>(loop.after(10 * kMs, look));
  };
  look();
  open.stopsLoop = false;
  loop.run();
  loop.cancel(limit);
  CHECK(finished && open.status == 200 && late->status == 200 && state->status == 503);
  CHECK(open.keeps && state->keeps);  // clients are not made to connect anew while they are still accepted
  std::optional<int> code;
  for (int i = 0; i < 400 && !code; ++i) ::usleep(10'000), code = program.exited();
  CHECK(code == 0);
}

// SIGHUP moves discovery to the address that the file now names, whatever the generation there; a faulty file
// changes nothing; SIGTERM still ends the program in order. The first agent knows no node, the second one
// does.
void rereadsItsConfiguration(const char* path) {
  net::Loop loop;
  NodeSpeaker nodes;
  StandIn node(loop, nodes, Fault::none);
  AgentSpeaker bare, knowing;
  bare.list = R"({"generation":9,"reset":true,"instances":[]})";
  knowing.list =
      R"({"generation":3,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + node.address() +
      R"(","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]})";
  StandIn first(loop, bare, Fault::none), second(loop, knowing, Fault::none);
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
  // The steps, one after the other, each again and again until it holds: one loop runs the stand-ins and
  // these.
  std::unique_ptr<Client> client;
  const auto says = [&](const std::string& request, int status) {
    if (client && !client->done()) return false;
    const bool good = client && client->status == status;
    client.reset();
    if (good) return true;
    client = std::make_unique<Client>(loop, listen, request);
    client->stopsLoop = false;
    return false;
  };
  const auto configure = [&](const std::string& discovery, const std::string& sockets) {
    return [&, discovery, sockets] {
      write(discovery, sockets);
      program.reread();
      return true;
    };
  };
  const auto serves = [&] { return says(get("/up"), 200); };
  const auto refuses = [&] { return says(query("q1"), 503); };
  std::vector<std::function<bool()>> steps{serves, [&] { return first.requests() == 1; }, refuses};
  for (const auto* sockets : {"0", "[]", "}"}) {
    steps.push_back(configure(second.address(), sockets));
    steps.insert(steps.end(), {serves, serves, refuses, [&] { return second.requests() == 0; }});
  }
  steps.insert(steps.end(), {configure("999.0.0.1:1", "300"), serves, serves});
  for (int i = 0; i < 3; ++i)  // any number of times: nothing has changed from the second on
    steps.insert(steps.end(), {configure(second.address(), "300"), serves, serves});
  steps.push_back([&] { return says(query("q2"), 200); });
  std::size_t step = 0;
  const std::function<void()> go = [&] {
    if (steps[step]()) ++step;
    step == steps.size() ? loop.stop() : static_cast<void>(loop.after(30 * kMs, go));
  };
  loop.after(0, go);
  loop.after(20'000 * kMs, [&] { loop.stop(); });
  loop.run();
  CHECK(step == steps.size() && second.requests() == 1 && first.requests() == 1);
  program.reread();
  program.terminate();
  std::optional<int> code;
  for (int i = 0; i < 400 && !code; ++i) ::usleep(10'000), code = program.exited();
  CHECK(code == 0);
}

// ---- discovery that lets calls wait: an older call keeps its place beside the next ----

std::string list(int generation, const std::string& leaf = "10.0.0.1:1") {
  return R"({"generation":)" + std::to_string(generation) +
         R"(,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + leaf +
         R"(","zone":"a","machineType":"m","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]})" +
         "\n";
}

// Discovery that says only what the test says. A call is what has come on one connection.
class Holder {
 public:
  struct Call {
    Poco::Net::StreamSocket socket;
    std::string text;
    bool open = true;
    bool asked() const { return text.ends_with("\r\n\r\n"); }
    void say(const std::string& bytes) {
      socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    }
    void begin(const std::string& body) {
      say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body));
    }
    static std::string chunk(const std::string& body) {
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
      return size.data() + body + "\r\n";
    }
  };
  std::vector<Call> calls;
  std::string address() const { return listener_.address().toString(); }
  std::size_t open() const {
    return static_cast<std::size_t>(std::ranges::count_if(calls, [](const auto& c) { return c.open; }));
  }
  // Takes what has come; more than two open calls are a fault at any time.
  void look() {
    while (listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
      calls.push_back({listener_.acceptConnection(), {}});
    for (auto& call : calls)
      while (call.open && call.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        std::array<char, 4096> bytes{};
        int got = 0;
        try {
          got = call.socket.receiveBytes(bytes.data(), bytes.size());
        } catch (const Poco::Exception&) {  // reset
        }
        got > 0 ? static_cast<void>(call.text.append(bytes.data(), static_cast<std::size_t>(got)))
                : static_cast<void>(call.open = false);
      }
    CHECK(open() <= 2);
  }
  bool asked(std::size_t count) const { return calls.size() >= count && calls[count - 1].asked(); }
  void hangUp(std::size_t call, bool reset) {
    if (reset) calls[call].socket.setLinger(true, 0);
    calls[call].socket.close();
    calls[call].open = false;
  }

 private:
  Poco::Net::ServerSocket listener_{Poco::Net::SocketAddress("127.0.0.1", 0)};
};

struct HeldWorld : Stage {
  std::string lines;
  broker::Log log{[this](auto event, auto text) { lines.append(event).append(" ").append(text) += '\n'; },
                  [] { return Nanos{0}; }};
  Holder agent;
  std::vector<std::int64_t> told;
  platform::Discovery discovery{loop,
                                log,
                                Poco::Net::SocketAddress(agent.address()),
                                {"a"},
                                0,
                                platform::RetryPace(1, false, 1),
                                [this](const auto& l) { told.push_back(l.generation); }};
  void await(const std::string& what, const std::function<bool()>& holds) {
    const auto look = [&] {
      agent.look();
      return holds();
    };
    until(what, look, 20'000 * kMs);  // less than the time for which a call keeps its place
  }
  // The first call is held, and the next one has been made beside it.
  void hold() {
    await("a second call", [&] { return agent.asked(2); });
    CHECK(agent.calls[0].open && agent.calls[0].asked() && told.empty());
    CHECK(lines.find("discovery.hedged") != std::string::npos);
  }
  // Every call but the first is answered as soon as it is there, until one has been in time.
  void answerTheNext(int generation) {
    std::size_t answered = 1;
    await("a list", [&] {
      for (; agent.asked(answered + 1); ++answered) {
        CHECK(agent.calls[0].open || told.size() > 0 || firstMayEnd);
        if (agent.calls[answered].open) agent.calls[answered].begin(list(generation));
      }
      return !told.empty();
    });
  }
  bool firstMayEnd = false;
};

void held(const std::function<void(HeldWorld&)>& body) {
  HeldWorld world;
  world.play([&] { body(world); });
}

// The first call is held for ever: whichever is answered becomes the watch, the other one is dropped, and
// nothing of it is heard.
void theNextCallIsAnswered(HeldWorld& w) {
  w.hold();
  w.answerTheNext(5);
  w.await("the first call's end", [&] { return !w.agent.calls[0].open && w.agent.open() == 1; });
  CHECK(w.told == std::vector<std::int64_t>{5});
  const auto watch = static_cast<std::size_t>(
      std::ranges::find_if(w.agent.calls, [](const auto& c) { return c.open; }) - w.agent.calls.begin());
  w.agent.calls[watch].say(Holder::Call::chunk(list(6)));
  w.await("the watch's next list", [&] { return w.told.size() == 2; });
  CHECK(w.told.back() == 6);
  // Silent from now on: it is opened anew, and is not kept, for it has no place in a queue.
  const auto calls = w.agent.calls.size();
  w.await("a new watch", [&] { return w.agent.asked(calls + 1); });
  CHECK(!w.agent.calls[watch].open && w.agent.calls[calls].text.find("from=6 ") != std::string::npos);
}

void theFirstCallIsAnsweredLate(HeldWorld& w, const std::string& word) {
  w.hold();
  w.agent.calls[0].begin(word);
  w.await("the next call's end", [&] { return w.agent.open() == 1; });
  CHECK(w.agent.calls[0].open);
  w.agent.calls[0].say(Holder::Call::chunk(list(7)));
  w.await("the list", [&] { return !w.told.empty() && w.told.back() == 7; });
  const auto calls = w.agent.calls.size();
  w.agent.hangUp(0, false);
  w.await("a new watch", [&] { return w.agent.asked(calls + 1); });
  CHECK(w.agent.calls[calls].text.find("from=7 ") != std::string::npos);
}

// Both answer in the same moment: one list is told.
void bothAnswer(HeldWorld& w) {
  w.hold();
  std::size_t answered = 1;
  bool first = false;
  w.await("a list", [&] {
    for (; w.agent.asked(answered + 1); ++answered)
      if (w.agent.calls[answered].open) w.agent.calls[answered].begin(list(9));
    if (!std::exchange(first, true)) w.agent.calls[0].begin(list(8));
    return !w.told.empty();
  });
  w.await("the other one's end", [&] { return w.agent.open() == 1; });
  CHECK(w.told.size() == 1);
}

// Neither is answered: the older one stays, the younger one makes way for the next, never a third beside
// them.
void theOldestStays(HeldWorld& w) {
  w.await("a fourth call", [&] { return w.agent.asked(4); });
  CHECK(w.agent.calls[0].open && !w.agent.calls[1].open && !w.agent.calls[2].open);
  w.answerTheNext(5);
  w.await("one open call", [&] { return w.agent.open() == 1; });
  CHECK(!w.agent.calls[0].open);
}

// Whatever ends the first call, the one beside it goes on, and the next that is late keeps its place.
void theFirstCallEnds(HeldWorld& w, const std::function<void(Holder&)>& how) {
  w.hold();
  how(w.agent);
  w.await("its end", [&] { return w.lines.find("discovery.lost") != std::string::npos; });
  const auto calls = w.agent.calls.size();
  w.await("a call that keeps its place", [&] {
    const auto hedged = w.lines.find("discovery.hedged");
    return w.lines.find("discovery.hedged", hedged + 1) != std::string::npos;
  });
  w.await("a call beside it", [&] { return w.agent.asked(calls + 1) && w.agent.open() == 2; });
  w.firstMayEnd = true;
  w.answerTheNext(5);
}

// Half a list keeps its place, and no more: a whole one from beside it wins.
void halfAListWaits(HeldWorld& w) {
  w.hold();
  w.agent.calls[0].begin(list(4).substr(0, 20));
  w.answerTheNext(5);
  w.await("the first call's end", [&] { return w.agent.open() == 1; });
  CHECK(w.told == std::vector<std::int64_t>{5});
}

void bothAreDroppedByAMove(HeldWorld& w) {
  w.hold();
  Holder elsewhere;
  w.discovery.moveTo(Poco::Net::SocketAddress(elsewhere.address()));
  w.await("the old calls' end", [&] { return w.agent.open() == 0; });
  const auto calls = w.agent.calls.size();
  w.await("a call elsewhere", [&] {
    elsewhere.look();
    return elsewhere.asked(1);
  });
  elsewhere.calls[0].begin(list(3));
  w.await("the list", [&] { return !w.told.empty(); });
  CHECK(w.told == std::vector<std::int64_t>{3} && w.agent.calls.size() == calls);
}

// The real program: it serves by the list that the second call brings.
void servesByTheSecondCall(const char* path) {
  Stage stage;
  NodeSpeaker nodes;
  StandIn node(stage.loop, nodes, Fault::none);
  Holder agent;
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
        agent.look();
        for (; agent.asked(answered + 1); ++answered)
          if (agent.calls[answered].open) agent.calls[answered].begin(list(2, node.address()));
        return client.done();
      });
      status = client.status;
    }
    CHECK(answered > 1);
    stage.until("the first call's end", [&] {
      agent.look();
      return !agent.calls[0].open;
    });
    program.terminate();
    std::optional<int> code;
    stage.until("the end", [&] { return (code = program.exited()).has_value(); });
    CHECK(code == 0);
  });
}

void callsThatAreHeld() {
  held(theNextCallIsAnswered);
  held([](HeldWorld& w) { theFirstCallIsAnsweredLate(w, list(7)); });
  held([](HeldWorld& w) { theFirstCallIsAnsweredLate(w, "\n"); });  // nothing new: that is an answer, too
  held(bothAnswer);
  held(theOldestStays);
  held([](HeldWorld& w) { theFirstCallEnds(w, [](Holder& agent) { agent.hangUp(0, false); }); });
  held([](HeldWorld& w) { theFirstCallEnds(w, [](Holder& agent) { agent.hangUp(0, true); }); });
  held([](HeldWorld& w) {
    theFirstCallEnds(
        w, [](Holder& agent) { agent.calls[0].say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); });
  });
  held([](HeldWorld& w) { theFirstCallEnds(w, [](Holder& agent) { agent.calls[0].begin("x"); }); });
  held(halfAListWaits);
  held(bothAreDroppedByAMove);
}

// Guards against a reactor that spins: Poco keeps polling for writable after its observer has gone.
void idleLoopRests() {
  net::Loop loop;
  NodeSpeaker speaker;
  StandIn node(loop, speaker, Fault::none);
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
  topazweir::test::idleLoopRests();
  topazweir::test::callsThatAreHeld();
  topazweir::test::servesByTheSecondCall(words[1]);
  topazweir::test::run(words[1]);
  topazweir::test::rereadsItsConfiguration(words[1]);
}
