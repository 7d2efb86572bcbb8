// The real program with several fronts while it shuts down: whatever front took a request, its client gets
// one final answer before the process ends. All servers behind the fronts accept requests and never respond.
#include <signal.h>

#include <fstream>

#include "check.hpp"
#include "h2_peer.hpp"
#include "lab/fake_server.hpp"
#include "processes/event_loop_test.hpp"
#include "processes/process.hpp"

namespace topazweir::test {
namespace {

struct SilentServer : lab::FakeProtocol {
  std::optional<std::string> reply(std::string& input, lab::Fault) override {
    input.clear();
    return std::nullopt;
  }
};

// A gRPC client with one connection that records the final status of each of its calls.
class GrpcCalls {
 public:
  explicit GrpcCalls(const std::string& address) : client_(address) {}
  // `endRequest`: the request is complete. Otherwise it stays open.
  void start(int stream, bool endRequest) {
    client_.connection.send(
        client_.connection.headersFrame(stream, RawClient::head(), false) +
        encodeFrame(kDataFrame, endRequest ? kEndStreamFlag : 0, stream, grpcMessage("m")));
  }
  // Reads what has arrived. Returns false once the connection has ended.
  bool read() {
    while (const auto frame = client_.connection.readFrame(kReadTimeoutMs)) {
      if (frame->type != kHeadersFrame) continue;
      const auto fields = client_.connection.decodeHeaders(frame->payload);
      if (const auto status = calls::find(fields, "grpc-status"); status && frame->flags & kEndStreamFlag)
        statuses[frame->stream].emplace_back(*status);
    }
    return !client_.connection.ended();
  }
  std::map<int, std::vector<std::string>> statuses;  // by stream

 private:
  static constexpr int kReadTimeoutMs = 5;
  RawClient client_;
};

std::string list(const std::string& address) {
  return R"({"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + address +
         R"(","zone":"a","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0}]})";
}

struct ShutdownWorld : Stage {
  SilentServer speaker;
  lab::FakeServer server{loop, speaker, lab::Fault::none};
  lab::FakeDiscoveryAgent agentSpeaker;
  lab::FakeServer agent{loop, agentSpeaker, lab::Fault::none};
  std::string listen = lab::freeAddress();
  std::string features = lab::freeAddress();
  std::string grpc = lab::freeAddress();
  std::string folder = temporaryFolder("shutdown");
  std::unique_ptr<Process> process;

  // The platform's longest deadline is 1 s, those of the other fronts are 30 s.
  ShutdownWorld(const char* program, bool withPlatform) {
    agentSpeaker.list = list(server.address());
    std::ofstream(folder + "/config.json")
        << R"({"listen":")" << listen << R"(","discovery":")" << agent.address() << R"(","known":)"
        << agentSpeaker.list
        << R"(,"settings":{"discovery":"pushed","localities":["a"],"familyInfo":{"slabs":1},)"
        << R"("limits":{"maxAttempts":4,"cancelling":true,"retryAfter":true},)"
        << R"("profiles":[{"name":"search","aimNs":500000000,"deadlineNs":1000000000,"lateWorth":0.5}]}})";
    const std::string ownDeadline = withPlatform ? "30000" : "2000";
    std::ofstream(folder + "/operator.hcl")
        << "features {\n listen = \"" << features << "\"\n deadlineMs = " << ownDeadline
        << "\n aimMs = 2000\n collections = [{ id = \"branches\" }]\n groups = [{ name = \"g\", servers = [{ "
        << "address = \"" << server.address() << "\" }] }]\n}\ngrpc {\n listen = \"" << grpc
        << "\"\n drainMs = " << ownDeadline << "\n pool \"p\" {\n backend \"" << server.address()
        << "\" {}\n }\n route \"all\" {\n pool = \"p\"\n deadlineMs = 30000\n }\n}\n";
    Process::Plan plan;
    plan.program = program;
    plan.words = {"--operator", folder + "/operator.hcl"};
    plan.log = folder + "/log";
    plan.set = {{"NODE_CONFIG", withPlatform ? std::optional(folder + "/config.json") : std::nullopt},
                {"NODE_LISTEN", std::nullopt},
                {"NODE_OPS", std::nullopt}};
    process = std::make_unique<Process>(plan);
  }
  std::unique_ptr<lab::Client> ask(const std::string& address, const std::string& request) {
    auto client = std::make_unique<lab::Client>(loop, address, request);
    client->stopsLoop = false;
    return client;
  }
  std::string get(const std::string& path) const { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
  // Waits until a GET of the page has status 200.
  void untilServed(const std::string& address, const std::string& page) {
    int status = 0;
    while (status != 200) {
      CHECK(!process->over());
      const auto client = ask(address, get(page));
      until(page, [&] { return client->done(); });
      status = client->status;
    }
  }
};

// Guards against requests without any answer: at SIGTERM only the requests of the platform's front were ended
// in time, and the process ended over the open ones of the other fronts.
void everyFrontIsAnsweredBeforeTheKill(const char* program, int signal, bool withPlatform) {
  ShutdownWorld world(program, withPlatform);
  world.play([&] {
    if (withPlatform) world.untilServed(world.listen, "/up");
    world.untilServed(world.features, "/");
    const auto items = world.ask(world.features, world.get("/collections/branches/items"));
    const auto single = world.ask(world.features, world.get("/collections/branches/items/b"));
    const auto unfinished = world.ask(world.features, "GET / HTTP/1.1\r\nHost:");
    GrpcCalls calls(world.grpc);
    calls.start(1, true);
    calls.start(3, false);
    world.until("the open requests", [&] {
      calls.read();
      world.process->signal(SIGUSR1);
      return world.process->said("grpc_open 2") && world.process->said("features_sent 2");
    });
    world.process->signal(signal);
    world.until("the end of the connections",
                [&] { return !calls.read() && items->done() && single->done(); });
    CHECK(items->status == 503 && single->status == 503 && !items->retryAfter.empty());
    const std::map<int, std::vector<std::string>> unavailable = {{1, {"14"}}, {3, {"14"}}};
    CHECK(calls.statuses == unavailable);
    world.until("the exit", [&] { return unfinished->done() && world.process->over(); });
    CHECK(unfinished->status == 408 && world.process->exited() == 0);
  });
}

}  // namespace
}  // namespace topazweir::test

int main(int, char** arguments) {
  using namespace topazweir::test;
  everyFrontIsAnsweredBeforeTheKill(arguments[1], SIGTERM, true);
  everyFrontIsAnsweredBeforeTheKill(arguments[1], SIGINT, true);
  everyFrontIsAnsweredBeforeTheKill(arguments[1], SIGTERM, false);
}
