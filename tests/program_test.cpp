// The real program as it is started in service: a stand-in node and discovery, then SIGTERM with a query
// open.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <functional>

#include "check.hpp"
#include "stand_in.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

std::string freeAddress() {
  return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

class Program {
 public:
  Program(const char* path, const std::string& config) {
    child_ = ::fork();
    CHECK(child_ >= 0);
    if (child_ > 0) return;
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    ::unsetenv("NODE_LISTEN");
    ::execl(path, path, static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  ~Program() {
    if (child_ > 0 && !over_) ::kill(child_, SIGKILL), ::waitpid(child_, nullptr, 0);
  }
  void terminate() { ::kill(child_, SIGTERM); }
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
  const std::string file = "program_test." + std::to_string(::getpid()) + ".json";
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
  std::optional<int> code;
  for (int i = 0; i < 400 && !code; ++i) ::usleep(10'000), code = program.exited();
  CHECK(code == 0);
  ::unlink(file.c_str());
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
  topazweir::test::run(words[1]);
}
