// The real program with all its fronts, under the least memory that the platform gives (32 MB) and 1,024
// descriptors, with stand-ins behind each front.
#pragma once

#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../h2_peer.hpp"
#include "event_loop_test.hpp"
#include "lab/fake_server.hpp"
#include "process.hpp"

namespace topazweir::test {

// A fake leaf that records the parts it has received.
struct RecordingLeaf : lab::FakeNode {
  explicit RecordingLeaf(net::Loop& l) : loop(l) {}
  std::optional<std::string> reply(std::string& input, lab::Fault fault) override {
    while (const auto read = platform::readFrame(input).frame) {
      const std::string rest(read->rest);
      const char letter = read->letter;
      input.erase(0, read->size);
      if (letter != 'S') continue;
      const auto id = rest.substr(0, rest.find(' '));
      received.emplace_back(loop.now(), id);
      const char* end = fault == lab::Fault::rejects ? "full" : fault == lab::Fault::errs ? "failed" : "done";
      return answer(id, end);
    }
    return std::nullopt;
  }
  net::Loop& loop;
  std::vector<std::pair<Nanos, std::string>> received;  // when, and the part's id
};

class LimitedProcess : public Stage {
 public:
  static constexpr std::size_t kMemoryMb = 32;
  static constexpr int kDeadlineMs = 1000;
  static constexpr int kShards = 8;
#ifdef __SANITIZE_ADDRESS__
  // The resident size says nothing under the sanitizer: there the bytes that are buffered are checked alone.
  static constexpr bool kChecksResident = false;
#else
  static constexpr bool kChecksResident = true;
#endif

  LimitedProcess(const char* program, const std::string& name)
      : backend([this](int) { return backendFault.load(); }), folder_(temporaryFolder(name)) {
    agentSpeaker_.list = list();
    writeConfig();
    writeOperatorFile();
    Process::Plan plan;
    plan.program = program;
    plan.words = {"--operator", folder_ + "/operator.hcl"};
    plan.log = folder_ + "/log";
    plan.set = {
        {"NODE_CONFIG", folder_ + "/config.json"}, {"NODE_LISTEN", std::nullopt}, {"NODE_OPS", std::nullopt}};
    process = std::make_unique<Process>(plan);
  }

  void untilServing() {
    int status = 0;
    while (status != 200) {
      if (process->over())
        for (const auto& line : process->lines()) std::fprintf(stderr, "%s\n", line.c_str());
      CHECK(!process->over());
      status = ask(listen, get("/up")).first;
    }
    until("the operator's fronts", [&] { return process->over() || process->said("features="); });
  }
  // The status and the body of the answer; 0: none came in 5 s.
  std::pair<int, std::string> ask(const std::string& address, const std::string& request) {
    constexpr Nanos kAnswerTimeoutNs = 5'000'000'000;
    lab::Client client(loop, address, request);
    client.stopsLoop = false;
    const Nanos end = loop.now() + kAnswerTimeoutNs;
    until("an answer", [&] { return client.done() || loop.now() > end; });
    return {client.status, client.body};
  }
  // The value of a counter of GET /counters; -1: it isn't there.
  long counter(const std::string& name) {
    const auto text = "\n" + ask(listen, get("/counters")).second;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stol(text.substr(at + name.size() + 2));
  }
  // The highest resident size so far, in MiB.
  double peakMib() const {
    std::ifstream status("/proc/" + std::to_string(process->id()) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmHWM:", 0) == 0) return std::stod(line.substr(6)) / 1024;
    return 0;
  }
  // Whether the process runs and has stayed within its memory; prints what it needed.
  bool withinMemory(const char* what) {
    const bool runs = !process->over();
    const double peak = peakMib();
    const double buffered = runs ? static_cast<double>(counter("buffers_peak_bytes")) / (1 << 20) : -1;
    std::fprintf(stderr, "%s: %s, peak %.1f MiB, buffered at most %.1f MiB\n", what, runs ? "runs" : "ENDED",
                 peak, buffered);
    constexpr double kLimitMib = kMemoryMb * 1e6 / (1 << 20);
    return runs && (kChecksResident ? peak : buffered) <= kLimitMib;
  }

  static std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
  // A query for all shards.
  static std::string query(const std::string& id, const std::string& queryClass = "search",
                           std::size_t queryBytes = 8) {
    std::string targets;
    for (int i = 0; i < kShards; ++i)
      targets +=
          std::string(i > 0 ? "," : "") + R"({"partition":)" + std::to_string(i) + R"(,"share":0.125})";
    const std::string body =
        R"({"targets":[)" + targets + R"(],"query":")" + std::string(queryBytes, 'x') + R"("})";
    std::array<char, 16> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", kDeadlineMs / 1000.0);
    return "POST /" + queryClass + " HTTP/1.1\r\nHost: a\r\nReq-Id: " + id +
           "\r\nReq-Deadline: " + seconds.data() + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  std::string listen = ownAddress();
  std::string features = ownAddress();
  std::string grpc = ownAddress();
  RecordingLeaf leafs{loop};
  lab::FakeServer leafA{loop, leafs, lab::Fault::none};
  lab::FakeServer leafB{loop, leafs, lab::Fault::none};
  lab::FakeFeatures featuresSpeaker;
  lab::FakeServer featureServer{loop, featuresSpeaker, lab::Fault::none};
  std::atomic<Fault> backendFault{Fault::none};
  ScriptedBackend backend;
  std::unique_ptr<Process> process;

 private:
  // An address that no connection of another process takes meanwhile: on a loopback host of this test's own.
  static std::string ownAddress() {
    static int port = 8000;
    const int id = ::getpid();
    return "127.77." + std::to_string(id / 250 % 250 + 1) + "." + std::to_string(id % 250 + 1) + ":" +
           std::to_string(++port);
  }
  std::string list() const {
    const auto entry = [](const std::string& name, const std::string& address) {
      return R"({"instanceId":")" + name + R"(","hostPort":")" + address +
             R"(","zone":"a","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0})";
    };
    return R"({"generation":1,"reset":true,"instances":[)" + entry("s-1", leafA.address()) + "," +
           entry("s-2", leafB.address()) + "]}";
  }
  void writeConfig() const {
    const auto profile = [](const std::string& name, const std::string& effect) {
      return R"({"name":")" + name + R"(","aimNs":500000000,"deadlineNs":)" +
             std::to_string(kDeadlineMs * 1'000'000LL) + R"(,"semantics":")" + effect + R"("})";
    };
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n0","listen":")" << listen << R"(","discovery":")" << agent_.address()
        << R"(","known":)" << agentSpeaker_.list << R"(,"limits":{"cores":1.0,"memory_mb":)" << kMemoryMb
        << R"(,"sockets":1024},"settings":{"discovery":"pushed","localities":["a"],"familyInfo":{"slabs":)"
        << kShards
        << R"(},"limits":{"maxAttempts":4,"secondCopies":true,"cancelling":true,"retryAfter":true,)"
        << R"("streamsPerConn":32},"profiles":[)" << profile("search", "repeatable") << ","
        << profile("order", "once") << "]}}";
  }
  void writeOperatorFile() const {
    std::ofstream(folder_ + "/operator.hcl")
        << "features {\n listen = \"" << features << "\"\n deadlineMs = " << kDeadlineMs
        << "\n sockets = 1000\n collections = [{ id = \"branches\" }]\n groups = [{ name = \"g\", servers = "
           "[{ "
        << "address = \"" << featureServer.address() << "\" }] }]\n}\ngrpc {\n listen = \"" << grpc
        << "\"\n connections = 300\n pool \"p\" {\n backend \"" << backend.address
        << "\" {}\n }\n route \"all\" {\n pool = \"p\"\n deadlineMs = " << kDeadlineMs << "\n }\n}\n";
  }

  std::string folder_;
  lab::FakeDiscoveryAgent agentSpeaker_;
  lab::FakeServer agent_{loop, agentSpeaker_, lab::Fault::none};
};

}  // namespace topazweir::test
