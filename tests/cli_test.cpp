// The command line: sub-commands, exit codes, the demo, signals, and reloading the operator file while calls
// are served.
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
#include "lab/fake_grpc.hpp"
#include "lab/fake_server.hpp"
#include "scratch.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;

struct CommandResult {
  int exitCode = 0;
  std::string output;  // standard output and standard error
};

CommandResult run(const std::string& command) {
  CommandResult out;
  FILE* pipe = ::popen(("env -u NODE_CONFIG " + command + " 2>&1").c_str(), "r");
  CHECK(pipe != nullptr);
  char buffer[4096];
  while (const auto count = std::fread(buffer, 1, sizeof buffer, pipe)) out.output.append(buffer, count);
  out.exitCode = WEXITSTATUS(::pclose(pipe));
  return out;
}

// Whether the command ended with `exitCode` and its output contains `text`; prints the result if not.
bool hasResult(const CommandResult& result, int exitCode, const std::string& text) {
  const bool good = result.exitCode == exitCode && result.output.find(text) != std::string::npos;
  if (!good) std::fprintf(stderr, "exit %d: %s\n", result.exitCode, result.output.c_str());
  return good;
}

std::string operatorFileText(const std::string& listen, const std::string& backend,
                             const std::string& service) {
  return "grpc {\n listen = \"" + listen + "\"\n pool \"p\" {\n  backend \"" + backend +
         "\" {}\n }\n route \"r\" {\n  service = \"" + service + "\"\n  pool = \"p\"\n }\n}\n";
}

void subCommandsAndExitCodes(const std::string& program) {
  CHECK(hasResult(run(program + " --version"), 0, "topazweir 0."));
  for (const char* command : {"", "run ", "check ", "explain ", "demo "})
    CHECK(hasResult(run(program + " " + command + "--help"), 0, "Usage:"));
  CHECK(hasResult(run(program + " walk"), 2, "not expected"));
  CHECK(hasResult(run(program), 2, "nothing to serve"));
  CHECK(hasResult(run(program + " check"), 2, "FILE is required"));
  CHECK(hasResult(run(program + " check none.hcl"), 2, "cannot read none.hcl"));
  const std::string file = scratchFile("cli_test.hcl");
  std::ofstream(file) << operatorFileText("127.0.0.1:0", "127.0.0.1:1", "a.B");
  CHECK(hasResult(run(program + " check " + file), 0, "grpc.route.0.effect"));
  CHECK(hasResult(run(program + " explain " + file + " /a.B/C grpc-timeout=50m"), 0,
                  "deadline 50 ms (the client's grpc-timeout)"));
  CHECK(hasResult(run(program + " explain " + file + " /a.X/C"), 1, "no route matches"));
  CHECK(hasResult(run(program + " explain " + file + " nonsense"), 2, "is not /package.Service/Method"));
  CHECK(hasResult(run(program + " explain " + file + " /a.B/C word"), 2, "is not key=value"));
  std::ofstream(file) << "grpc {\n lisen = 1\n}\n";
  CHECK(hasResult(run(program + " run --operator " + file), 2, file + ":1:6: key grpc.listen: missing"));
  CHECK(hasResult(run(program + " demo --once"), 0, "grpc      OK \"hello\""));
}

// On SIGHUP a faulty operator file changes nothing and a valid one replaces the route; SIGTERM ends the
// program with exit code 0.
void reloadsOnHangup(const std::string& program) {
  std::promise<std::pair<std::string, std::string>> addresses;
  std::atomic<bool> stopBackends{false};
  std::thread backends([&] {
    net::Loop loop;
    lab::FakeGrpcServer first(loop, "first"), second(loop, "second");
    addresses.set_value({first.address(), second.address()});
    std::function<void()> poll = [&] {
      stopBackends ? loop.stop() : static_cast<void>(loop.after(20 * kMs, poll));
    };
    poll();
    loop.run();
  });
  const auto [first, second] = addresses.get_future().get();
  const auto listen = lab::freeAddress();
  const std::string file = scratchFile("cli_test.hcl");
  const auto write = [&](const std::string& text) { std::ofstream(file) << text; };
  write(operatorFileText(listen, first, "a.B"));
  const pid_t child = ::fork();
  CHECK(child >= 0);
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::unsetenv("NODE_CONFIG");
    ::execl(program.c_str(), program.c_str(), "run", "--operator", file.c_str(), static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  // Repeats a call until it ends with `status`, from `server` if one is named; false after 200 calls.
  const auto untilCallEnds = [&](const std::string& path, int status, const std::string& server) {
    net::Loop loop;
    bool seen = false;
    std::unique_ptr<lab::FakeGrpcClient> client;
    int tries = 0;
    std::function<void()> call = [&] {
      client = std::make_unique<lab::FakeGrpcClient>(loop, listen);
      client->call(path, "x", {}, [&](const lab::FakeGrpcClient::Reply& reply) {
        seen =
            reply.status == status && (server.empty() || calls::find(reply.trailers, "x-server") == server);
        if (seen || ++tries > 200) return loop.stop();
        loop.after(50 * kMs, call);
      });
    };
    loop.soon(call);
    loop.run();
    client.reset();
    return seen;
  };
  CHECK(untilCallEnds("/a.B/C", 0, "first"));
  write("grpc {\n");
  ::kill(child, SIGHUP);
  ::usleep(200'000);
  CHECK(untilCallEnds("/a.B/C", 0, "first") && untilCallEnds("/n.M/C", 12, ""));
  write(operatorFileText(listen, second, "n.M"));
  ::kill(child, SIGHUP);
  CHECK(untilCallEnds("/n.M/C", 0, "second") && untilCallEnds("/a.B/C", 12, ""));
  ::kill(child, SIGTERM);
  int status = 0, waited = 0;
  while (::waitpid(child, &status, WNOHANG) == 0 && ++waited < 500) ::usleep(20'000);
  CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0 && waited < 500);
  stopBackends = true;
  backends.join();
}

// Guards against a signal ending the program because some thread, such as one of a loaded library, waits with
// the signal unblocked, and against losing a signal that was blocked when the program started.
void signalsAreRecorded() {
  sigset_t hangup;
  sigemptyset(&hangup);
  sigaddset(&hangup, SIGHUP);
  sigprocmask(SIG_BLOCK, &hangup, nullptr);  // as inherited from a parent process
  ::raise(SIGHUP);
  cli::installSignalHandlers();
  CHECK(cli::takePendingSignals() == std::vector<int>{SIGHUP});
  ::raise(SIGHUP);
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  CHECK((cli::takePendingSignals() == std::vector<int>{SIGTERM, SIGHUP}) &&
        cli::takePendingSignals().empty());
  sigprocmask(SIG_BLOCK, &hangup, nullptr);
  ::raise(SIGHUP);
  CHECK(cli::takePendingSignals().empty());
  sigprocmask(SIG_UNBLOCK, &hangup, nullptr);
  CHECK(cli::takePendingSignals() == std::vector<int>{SIGHUP});
}

}  // namespace
}  // namespace topazweir::test

int main(int, char** arguments) {
  topazweir::test::signalsAreRecorded();
  topazweir::test::subCommandsAndExitCodes(arguments[1]);
  topazweir::test::reloadsOnHangup(arguments[1]);
}
