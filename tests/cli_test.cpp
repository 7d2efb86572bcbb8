// The program as a person starts it: sub-commands, exit codes, the demo, and the operator file reread under
// calls.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <thread>

#include "check.hpp"
#include "cli/signals.hpp"
#include "lab/grpc_stand_in.hpp"
#include "lab/stand_in.hpp"
#include "scratch.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

struct Said {
  int exit = 0;
  std::string text;
};

Said run(const std::string& command) {
  Said out;
  FILE* pipe = ::popen(("env -u NODE_CONFIG " + command + " 2>&1").c_str(), "r");
  CHECK(pipe != nullptr);
  char buffer[4096];
  while (const auto got = std::fread(buffer, 1, sizeof buffer, pipe)) out.text.append(buffer, got);
  out.exit = WEXITSTATUS(::pclose(pipe));
  return out;
}

bool says(const Said& said, int exit, const std::string& words) {
  const bool good = said.exit == exit && said.text.find(words) != std::string::npos;
  if (!good) std::fprintf(stderr, "exit %d: %s\n", said.exit, said.text.c_str());
  return good;
}

std::string fileText(const std::string& listen, const std::string& backend, const std::string& service) {
  return "grpc {\n listen = \"" + listen + "\"\n pool \"p\" {\n  backend \"" + backend +
         "\" {}\n }\n route \"r\" {\n  service = \"" + service + "\"\n  pool = \"p\"\n }\n}\n";
}

void words(const std::string& program) {
  CHECK(says(run(program + " --version"), 0, "topazweir 0."));
  for (const char* command : {"", "run ", "check ", "explain ", "demo "})
    CHECK(says(run(program + " " + command + "--help"), 0, "Usage:"));
  CHECK(says(run(program + " walk"), 2, "not expected"));
  CHECK(says(run(program), 2, "nothing to serve"));
  CHECK(says(run(program + " check"), 2, "FILE is required"));
  CHECK(says(run(program + " check none.hcl"), 2, "cannot read none.hcl"));
  const std::string file = scratchFile("cli_test.hcl");
  std::ofstream(file) << fileText("127.0.0.1:0", "127.0.0.1:1", "a.B");
  CHECK(says(run(program + " check " + file), 0, "grpc.route.0.effect"));
  CHECK(says(run(program + " explain " + file + " /a.B/C grpc-timeout=50m"), 0,
             "deadline 50 ms (the client's grpc-timeout)"));
  CHECK(says(run(program + " explain " + file + " /a.X/C"), 1, "no route matches"));
  CHECK(says(run(program + " explain " + file + " nonsense"), 2, "is not /package.Service/Method"));
  CHECK(says(run(program + " explain " + file + " /a.B/C word"), 2, "is not key=value"));
  std::ofstream(file) << "grpc {\n lisen = 1\n}\n";
  CHECK(says(run(program + " run --operator " + file), 2, file + ":1:6: key grpc.listen: missing"));
  CHECK(says(run(program + " demo --once"), 0, "grpc      OK \"hello\""));
}

// SIGHUP: a faulty file changes nothing, a good one moves the route; SIGTERM ends it in order.
void rereads(const std::string& program) {
  std::promise<std::pair<std::string, std::string>> addresses;
  std::atomic<bool> over{false};
  std::thread backends([&] {
    net::Loop loop;
    lab::GrpcStandIn first(loop, "first"), second(loop, "second");
    addresses.set_value({first.address(), second.address()});
    std::function<void()> look = [&] { over ? loop.stop() : static_cast<void>(loop.after(20 * kMs, look)); };
    look();
    loop.run();
  });
  const auto [first, second] = addresses.get_future().get();
  const auto listen = lab::freeAddress();
  const std::string file = scratchFile("cli_test.hcl");
  const auto write = [&](const std::string& text) { std::ofstream(file) << text; };
  write(fileText(listen, first, "a.B"));
  const pid_t child = ::fork();
  CHECK(child >= 0);
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::unsetenv("NODE_CONFIG");
    ::execl(program.c_str(), program.c_str(), "run", "--operator", file.c_str(), static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  // Calls again and again until what the step waits for is seen.
  const auto until = [&](const std::string& path, int status, const std::string& server) {
    net::Loop loop;
    bool seen = false;
    std::unique_ptr<lab::GrpcClient> client;
    int tries = 0;
    std::function<void()> ask = [&] {
      client = std::make_unique<lab::GrpcClient>(loop, listen);
      client->call(path, "x", {}, [&](const lab::GrpcClient::Reply& reply) {
        seen =
            reply.status == status && (server.empty() || calls::find(reply.trailers, "x-server") == server);
        if (seen || ++tries > 200) return loop.stop();
        loop.after(50 * kMs, ask);
      });
    };
    loop.soon(ask);
    loop.run();
    client.reset();
    return seen;
  };
  CHECK(until("/a.B/C", 0, "first"));
  write("grpc {\n");
  ::kill(child, SIGHUP);
  ::usleep(200'000);
  CHECK(until("/a.B/C", 0, "first") && until("/n.M/C", 12, ""));
  write(fileText(listen, second, "n.M"));
  ::kill(child, SIGHUP);
  CHECK(until("/n.M/C", 0, "second") && until("/a.B/C", 12, ""));
  ::kill(child, SIGTERM);
  int status = 0, waited = 0;
  while (::waitpid(child, &status, WNOHANG) == 0 && ++waited < 500) ::usleep(20'000);
  CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0 && waited < 500);
  over = true;
  backends.join();
}

// A signal that is not blocked where it arrives, as in what a loaded library waits for, does not end the
// program, and one that was blocked at the start is not lost.
void signalsAreNoted() {
  sigset_t hangup;
  sigemptyset(&hangup), sigaddset(&hangup, SIGHUP);
  sigprocmask(SIG_BLOCK, &hangup, nullptr);  // as a parent may leave it
  ::raise(SIGHUP);
  cli::catchSignals();
  CHECK(cli::takeSignals() == std::vector<int>{SIGHUP});
  ::raise(SIGHUP), ::raise(SIGHUP), ::raise(SIGTERM);
  CHECK((cli::takeSignals() == std::vector<int>{SIGTERM, SIGHUP}) && cli::takeSignals().empty());
  sigprocmask(SIG_BLOCK, &hangup, nullptr);
  ::raise(SIGHUP);
  CHECK(cli::takeSignals().empty());
  sigprocmask(SIG_UNBLOCK, &hangup, nullptr);
  CHECK(cli::takeSignals() == std::vector<int>{SIGHUP});
}

}  // namespace
}  // namespace topazweir::test

int main(int, char** words) {
  topazweir::test::signalsAreNoted();
  topazweir::test::words(words[1]);
  topazweir::test::rereads(words[1]);
}
