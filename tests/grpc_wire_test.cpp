// gRPC through the broker, with grpc++ on both sides: a client must see what its server sent. Guards against
// changed messages, metadata and statuses, and against deadlines and cancellations that do not reach the
// server.
#include "grpc_harness.hpp"

namespace topazweir::test {
namespace {

std::string poolBlock(const std::vector<const Server*>& servers, const std::string& name = "p") {
  std::string out = "pool \"" + name + "\" {\n";
  for (const auto* s : servers) out += "backend \"" + s->address + "\" {}\n";
  return out + "}\n";
}

std::string operatorFile(const std::string& inside) {
  return "grpc {\n listen = \"127.0.0.1:0\"\n" + inside + "\n}\n";
}

std::string safeRoute(const std::string& more = "") {
  return "route \"all\" {\n pool = \"p\"\n effect = \"safe\"\n deadlineMs = 20000\n messageBytes = "
         "100000000\n" +
         more + "\n}\n";
}

void allCallTypes() {
  Server server;
  Broker broker(operatorFile(poolBlock({&server}) + safeRoute()));
  Client client(broker.address);

  Call unary("/t.T/Echo", {"hello"});
  unary.with("x-back-a", "1").with("x-back-bin", std::string("\x00\xff\x01", 3)).with("x-back-rep", "one");
  unary.with("x-back-rep", "two").with("x-first", "early").run(*client.stub);
  CHECK(unary.status.ok() && unary.received == std::vector<std::string>{"hello"} && unary.ends == 1);
  CHECK(unary.trailer("x-back-a") == "1" && unary.trailer("x-back-bin") == std::string("\x00\xff\x01", 3));
  CHECK(unary.context.GetServerTrailingMetadata().count("x-back-rep") == 2);
  CHECK(unary.context.GetServerInitialMetadata().count("x-first") == 1);

  Call counted("/t.T/Count", {"go"});
  counted.with("x-count", "200").with("x-size", "5000").run(*client.stub);
  CHECK(counted.status.ok() && counted.received.size() == 200 && counted.received[199].size() == 5000);

  Call summed("/t.T/Sum", std::vector<std::string>(300, std::string(3000, 's')));
  summed.run(*client.stub);
  CHECK(summed.status.ok() && summed.received == std::vector<std::string>{"300 900000"});

  std::vector<std::string> lines;
  for (int i = 0; i < 100; ++i) lines.push_back("line " + std::to_string(i));
  Call chat("/t.T/Echo", lines);
  chat.run(*client.stub);
  CHECK(chat.status.ok() && chat.received == lines);

  Call large("/t.T/Echo", {std::string(20'000'000, 'x')});
  large.run(*client.stub);
  CHECK(large.status.ok() && large.received.size() == 1 && large.received[0].size() == 20'000'000);

  // The compressed flag and the bytes of the message are passed on unchanged.
  Call compressed("/t.T/Echo", {std::string(50'000, 'z')});
  compressed.context.set_compression_algorithm(GRPC_COMPRESS_GZIP);
  compressed.run(*client.stub);
  CHECK(compressed.status.ok() && compressed.received == std::vector<std::string>{std::string(50'000, 'z')});

  Call empty("/t.T/Sum", {});
  empty.run(*client.stub);
  CHECK(empty.status.ok() && empty.received == std::vector<std::string>{"0 0"});
  CHECK(broker.counter("answered") == 7 && broker.counter("open") == 0 &&
        broker.counter("status{code=OK}") == 7);
}

void statusesPassThrough() {
  Server server;
  Broker broker(operatorFile(poolBlock({&server}) + safeRoute("attempts = 1")));
  Client client(broker.address);
  for (int code = 1; code <= 16; ++code) {
    for (const char* after : {"0", "1"}) {
      Call call("/t.T/Fail", {"m"});
      call.with("x-code", std::to_string(code))
          .with("x-after", after)
          .with("x-words", "so %41 it is")
          .run(*client.stub);
      CHECK(static_cast<int>(call.status.error_code()) == code);
      CHECK(call.status.error_message() == "so %41 it is");
      CHECK(call.status.error_details() == "\x01\x02 details");
      CHECK(call.trailer("x-server") == "s" && call.ends == 1);
      CHECK(call.received.size() == (after[0] == '1' ? 1U : 0U));
    }
  }
  CHECK(broker.counter("answered") + broker.counter("refused") + broker.counter("failed") == 32);
}

void deadlinePropagation() {
  Server server;
  Broker broker(
      operatorFile(poolBlock({&server}) + "route \"all\" {\n pool = \"p\"\n deadlineMs = 3000\n}\n"));
  Client client(broker.address);
  // The client's deadline is passed on, less the time already used.
  Call quick("/t.T/Echo", {"a"}, 2000);
  const auto before = std::chrono::system_clock::now();
  quick.run(*client.stub);
  CHECK(quick.status.ok());
  CHECK(server.service.lastDeadline <= before + std::chrono::milliseconds(2100));
  CHECK(server.service.lastDeadline >= before + std::chrono::milliseconds(1000));
  // It is limited by the route's deadline.
  Call loose("/t.T/Echo", {"a"}, 50'000);
  loose.run(*client.stub);
  CHECK(server.service.lastDeadline <= std::chrono::system_clock::now() + std::chrono::milliseconds(3000));
  // The route's deadline passes first: the client gets DEADLINE_EXCEEDED, and the server's call is cancelled.
  Call hung("/t.T/Hang", {"a"}, 50'000);
  hung.run(*client.stub);
  CHECK(hung.status.error_code() == ::grpc::StatusCode::DEADLINE_EXCEEDED);
  CHECK(hung.duration >= 2900 * kMs && hung.duration < 8000 * kMs);
  CHECK(eventually([&] { return server.service.open == 0; }));
  // In the middle of a bidirectional stream.
  Call chat("/t.T/Echo", {"a", "b"}, 700);
  chat.keepOpen().run(*client.stub);
  CHECK(chat.status.error_code() == ::grpc::StatusCode::DEADLINE_EXCEEDED && chat.received.size() == 2);
  CHECK(eventually([&] { return server.service.open == 0 && broker.counter("open") == 0; }));
}

void cancellationPropagation() {
  Server server;
  Broker broker(operatorFile(poolBlock({&server}) + safeRoute()));
  Client client(broker.address);
  Call call("/t.T/Echo", {"a"});
  call.keepOpen().start(*client.stub);
  call.waitFor(1);
  call.cancel();
  call.wait();
  CHECK(call.status.error_code() == ::grpc::StatusCode::CANCELLED);
  CHECK(eventually([&] { return server.service.cancelled == 1 && server.service.open == 0; }));
  Nanos fastest = 1000 * kMs;
  for (int i = 0; i < 5; ++i) {  // the fastest counts, since the machine may be busy
    Call again("/t.T/Echo", {"a"});
    again.keepOpen().start(*client.stub);
    again.waitFor(1);
    const int before = server.service.cancelled;
    const auto at = std::chrono::steady_clock::now();
    again.cancel();
    while (server.service.cancelled == before) std::this_thread::sleep_for(std::chrono::microseconds(200));
    const auto duration = std::chrono::steady_clock::now() - at;
    fastest =
        std::min<Nanos>(fastest, std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count());
    again.wait();
  }
  CHECK(fastest < 50 * kMs);
  Call upload("/t.T/Hang", {std::string(1'000'000, 'u')});  // cancelled in the middle of an upload
  upload.keepOpen().start(*client.stub);
  CHECK(eventually([&] { return server.service.open == 1; }));
  upload.cancel();
  upload.wait();
  CHECK(eventually([&] { return server.service.open == 0 && broker.counter("open") == 0; }));
  CHECK(broker.counter("cancelled") == 7 && broker.counter("abandoned") == 7);
  CHECK(eventually([&] { return broker.counter("buffered_bytes") == 0; }));
}

void retries() {
  Server good("good"), bad("bad");
  bad.service.rejectsAll = true;
  Broker broker(operatorFile(poolBlock({&good, &bad}) + safeRoute("retryOn = [\"RESOURCE_EXHAUSTED\"]")));
  Client client(broker.address);
  int again = 0;
  for (int i = 0; i < 40; ++i) {
    Call call("/t.T/Echo", {"m" + std::to_string(i)});
    call.run(*client.stub);
    CHECK(call.status.ok() && call.received == std::vector<std::string>{"m" + std::to_string(i)});
    CHECK(call.trailer("x-server") == "good");
    const std::lock_guard<std::mutex> lock(good.service.mutex);
    const auto previousAttempts = good.service.lastMetadata.find("grpc-previous-rpc-attempts");
    if (previousAttempts == good.service.lastMetadata.end()) continue;
    ++again;
    CHECK(std::stoi(previousAttempts->second) >= 1);
  }
  CHECK(bad.service.calls >= 1 && again >= 1);
  // Unsafe: a status from a server that has accepted the call is final.
  Broker unsafeBroker(operatorFile(
      poolBlock({&bad}) + "route \"all\" {\n pool = \"p\"\n retryOn = [\"RESOURCE_EXHAUSTED\"]\n}\n"));
  Client other(unsafeBroker.address);
  const int before = bad.service.calls;
  Call once("/t.T/Echo", {"m"});
  once.run(*other.stub);
  CHECK(once.status.error_code() == ::grpc::StatusCode::RESOURCE_EXHAUSTED &&
        once.status.error_message() == "full");
  CHECK(bad.service.calls == before + 1);
}

void routesAndShards() {
  Server a("a"), b("b"), c("c");
  const std::string hcl = "pool \"one\" { backend \"" + a.address +
                          "\" {} }\n pool \"two\" {\n shards = 2\n shardBy = \"x-branch\"\n backend \"" +
                          b.address + "\" { shards = [0] }\n backend \"" + c.address +
                          "\" { shards = [1] }\n}\n"
                          "route \"m\" {\n service = \"t.T\"\n method = \"Echo\"\n pool = \"two\"\n}\n"
                          "route \"s\" {\n service = \"t.T\"\n pool = \"one\"\n}\n";
  Broker broker(operatorFile(hcl));
  Client client(broker.address);
  std::map<std::string, std::string> home;
  for (int round = 0; round < 2; ++round)
    for (int key = 0; key < 16; ++key) {
      const auto branch = "b" + std::to_string(key);
      Call call("/t.T/Echo", {"m"});
      call.with("x-branch", branch).run(*client.stub);
      CHECK(call.status.ok());
      const auto at = home.try_emplace(branch, call.trailer("x-server")).first;
      CHECK(at->second == call.trailer("x-server") && at->second != "a");
    }
  CHECK(b.service.calls > 0 && c.service.calls > 0);
  Call keyless("/t.T/Echo", {"m"});
  keyless.run(*client.stub);
  CHECK(keyless.status.error_code() == ::grpc::StatusCode::INVALID_ARGUMENT);
  Call service("/t.T/Sum", {"m"});
  service.run(*client.stub);
  CHECK(service.status.ok() && service.trailer("x-server") == "a");
  Call nowhere("/t.Other/Echo", {"m"});
  nowhere.run(*client.stub);
  CHECK(nowhere.status.error_code() == ::grpc::StatusCode::UNIMPLEMENTED && broker.counter("unrouted") == 1);
}

void thousandConcurrentCalls() {
  Server server;
  Broker broker(operatorFile("streams = 1000\n" + poolBlock({&server}) + safeRoute()));
  Client client(broker.address);
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 1000; ++i) {
    calls.push_back(
        std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{"a" + std::to_string(i)}, 60'000));
    calls.back()->keepOpen().start(*client.stub);
  }
  std::size_t in = 0;
  // The pool allows 2 connections of 100 streams, and a queue of 100 calls: the others are refused at once.
  CHECK(eventually([&] { return broker.counter("refused") == 700; }));
  const auto arrived = [&] {
    in = 0;
    for (auto& call : calls) in += call->count();
    return in;
  };
  CHECK(eventually([&] { return arrived() == 200; }));
  for (auto& call : calls) {
    if (call->ends == 0) continue;
    CHECK(call->status.error_code() == ::grpc::StatusCode::UNAVAILABLE && call->duration < 5000 * kMs);
    CHECK(!call->trailer("grpc-retry-pushback-ms").empty());
  }
  int left = 100;  // the queued calls get the streams of these
  for (auto& call : calls)
    if (left > 0 && call->count() == 1) {
      call->cancel();
      --left;
    }
  CHECK(eventually([&] { return arrived() == 300; }));
  for (auto& call : calls) call->cancel();
  for (auto& call : calls) {
    call->wait();
    CHECK(call->ends == 1);
  }
  CHECK(eventually([&] { return server.service.open == 0 && broker.counter("open") == 0; }));

  Broker wide(operatorFile("streams = 1000\npool \"p\" {\n streams = 1000\n connections = 1\n backend \"" +
                           server.address + "\" {}\n}\n" + safeRoute("aimMs = 10000")));
  Client second(wide.address);
  calls.clear();
  for (int i = 0; i < 1000; ++i) {
    calls.push_back(
        std::make_unique<Call>("/t.T/Echo", std::vector<std::string>{"b" + std::to_string(i)}, 60'000));
    calls.back()->start(*second.stub);
  }
  std::size_t good = 0;
  for (auto& call : calls) {
    call->wait();
    CHECK(call->ends == 1);
    good += call->status.ok() ? 1 : 0;
    if (!call->status.ok())
      std::fprintf(stderr, "%d %s\n", call->status.error_code(), call->status.error_message().c_str());
  }
  CHECK(good == 1000);
}

void reloadDuringCalls() {
  Server old("old"), fresh("fresh");
  Broker broker(operatorFile(poolBlock({&old}) + safeRoute()));
  Client client(broker.address);
  Call kept("/t.T/Echo", {"a"});
  kept.keepOpen().start(*client.stub);
  kept.waitFor(1);
  // Other routes and pools: a new core; the old one finishes its open call.
  broker.reload(
      operatorFile(poolBlock({&fresh}, "q") + "route \"n\" {\n service = \"t.N\"\n pool = \"q\"\n}\n"));
  Call moved("/t.N/Sum", {"x"}), gone("/t.T/Sum", {"x"});
  moved.run(*client.stub);
  gone.run(*client.stub);
  CHECK(moved.status.ok() && moved.trailer("x-server") == "fresh");
  CHECK(gone.status.error_code() == ::grpc::StatusCode::UNIMPLEMENTED);
  CHECK(broker.counter("cores") == 2 && kept.ends == 0);
  kept.cancel();
  kept.wait();
  CHECK(eventually([&] { return broker.counter("cores") == 1; }));
  // Only the state of a backend changes: the same core. A draining backend gets no new calls; its open calls
  // go on.
  Server third("third");
  const auto two = [&](const char* state) {
    return operatorFile("pool \"q\" {\n backend \"" + fresh.address + "\" { state = \"" + state +
                        "\" }\n backend \"" + third.address +
                        "\" {}\n}\nroute \"n\" {\n service = \"t.N\"\n pool = \"q\"\n}\n");
  };
  broker.reload(two("ready"));
  CHECK(broker.counter("cores") == 1);
  std::vector<std::unique_ptr<Call>> open;
  for (int i = 0; i < 20; ++i) {
    open.push_back(std::make_unique<Call>("/t.N/Echo", std::vector<std::string>{"a"}));
    open.back()->keepOpen().start(*client.stub);
    open.back()->waitFor(1);
  }
  const int before = fresh.service.calls;
  CHECK(before > 1);
  broker.reload(two("draining"));
  for (int i = 0; i < 30; ++i) {
    Call call("/t.N/Sum", {"x"});
    call.run(*client.stub);
    CHECK(call.status.ok() && call.trailer("x-server") == "third");
  }
  CHECK(fresh.service.calls == before);
  for (auto& call : open) {
    CHECK(call->ends == 0);
    call->cancel();
    call->wait();
  }
}

std::string healthRequest(const std::string& service) {
  return service.empty() ? "" : std::string("\x0a") + static_cast<char>(service.size()) + service;
}

void healthChecks() {
  Server server;
  const std::string hcl = poolBlock({&server}) + "route \"a\" {\n service = \"t.T\"\n pool = \"p\"\n}\n";
  Broker broker(operatorFile(hcl));
  Client client(broker.address);
  const auto check = [&](const std::string& service) {
    Call call("/grpc.health.v1.Health/Check", {healthRequest(service)});
    call.run(*client.stub);
    if (call.status.error_code() == ::grpc::StatusCode::NOT_FOUND) return 3;
    CHECK(call.status.ok() && call.received.size() == 1 && call.received[0].size() == 2);
    return static_cast<int>(call.received[0][1]);
  };
  CHECK(check("") == 1 && check("t.T") == 1 && check("t.None") == 3);
  Call watch("/grpc.health.v1.Health/Watch", {healthRequest("t.T")}, 30'000);
  watch.start(*client.stub);
  watch.waitFor(1);
  const auto draining = operatorFile("pool \"p\" {\n backend \"" + server.address +
                                     "\" { state = \"draining\" }\n}\n"
                                     "route \"a\" {\n service = \"t.T\"\n pool = \"p\"\n}\n");
  broker.reload(draining);
  watch.waitFor(2);
  CHECK(watch.received[0] == std::string("\x08\x01") && watch.received[1] == std::string("\x08\x02"));
  broker.reload(operatorFile(hcl));
  watch.waitFor(3);
  CHECK(watch.received[2] == std::string("\x08\x01"));
  watch.cancel();
  watch.wait();
  Call broken("/grpc.health.v1.Health/Check", {"\xff\xff\xff"}), unknown("/grpc.health.v1.Health/List", {""});
  broken.run(*client.stub);
  unknown.run(*client.stub);
  CHECK(broken.status.error_code() == ::grpc::StatusCode::INVALID_ARGUMENT);
  CHECK(unknown.status.error_code() == ::grpc::StatusCode::UNIMPLEMENTED);
}

// Open calls continue, new connections are not accepted, clients get GOAWAY; after the drain time the
// remaining calls end with UNAVAILABLE.
void gracefulShutdown() {
  Server server;
  auto broker =
      std::make_unique<Broker>(operatorFile("drainMs = 1500\n" + poolBlock({&server}) + safeRoute()));
  Client client(broker->address);
  Call slow("/t.T/Slow", {"a"}), endless("/t.T/Echo", {"a"});
  slow.with("x-ms", "700").start(*client.stub);
  endless.keepOpen().start(*client.stub);
  endless.waitFor(1);
  broker->runOnLoop([](grpc::GrpcService& side) {
    side.front().drain();
    side.front().stopAccepting();
    return 0;
  });
  slow.wait();
  CHECK(slow.status.ok() && slow.received.size() == 1);
  endless.wait();
  CHECK(endless.status.error_code() == ::grpc::StatusCode::UNAVAILABLE && endless.duration >= 1400 * kMs);
  CHECK(eventually(
      [&] { return broker->runOnLoop([](grpc::GrpcService& side) { return side.front().quiet(); }); }));
  CHECK(broker->counter("cut_at_drain") == 1);
}

// Guards against calls that end without a status: the time by which the process must have answered holds also
// where the drain time is longer, and for a core that a reload creates after the shutdown has begun.
void shutdownDeadlineHolds() {
  Server server;
  const auto file = [&](const std::string& more) {
    return operatorFile("drainMs = 20000\n" + more + poolBlock({&server}) + safeRoute());
  };
  Broker broker(file(""));
  Client client(broker.address);
  Call before("/t.T/Hang", {"a"}), after("/t.T/Hang", {"a"}), refused("/t.T/Hang", {"a"});
  before.start(*client.stub);
  CHECK(eventually([&] { return server.service.calls == 1; }));
  broker.runOnLoop([](grpc::GrpcService& side) {
    side.setShutdownDeadline(net::Loop().now() + 1000 * kMs);
    return 0;
  });
  broker.reload(file("connectTimeoutMs = 300\n"));
  CHECK(broker.counter("cores") == 2);
  after.start(*client.stub);
  for (auto* call : {&before, &after}) {
    call->wait();
    CHECK(call->status.error_code() == ::grpc::StatusCode::UNAVAILABLE && call->duration < 8000 * kMs);
  }
  refused.run(*client.stub);
  CHECK(refused.status.error_code() == ::grpc::StatusCode::UNAVAILABLE &&
        !refused.trailer("grpc-retry-pushback-ms").empty());
  CHECK(broker.counter("cut_at_drain") >= 2 && broker.counter("open") == 0);
}

void messageSizeLimit() {
  Server server;
  Broker broker(
      operatorFile(poolBlock({&server}) + "route \"all\" {\n pool = \"p\"\n messageBytes = 100000\n}\n"));
  Client client(broker.address);
  Call up("/t.T/Echo", {std::string(200'000, 'x')});
  up.run(*client.stub);
  CHECK(up.status.error_code() == ::grpc::StatusCode::RESOURCE_EXHAUSTED);
  Call down("/t.T/Count", {"m"});
  down.with("x-count", "3").with("x-size", "200000").run(*client.stub);
  CHECK(down.status.error_code() == ::grpc::StatusCode::RESOURCE_EXHAUSTED && down.received.empty());
  Call fits("/t.T/Echo", {std::string(100'000, 'x')});
  fits.run(*client.stub);
  CHECK(fits.status.ok());
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  allCallTypes();
  statusesPassThrough();
  deadlinePropagation();
  cancellationPropagation();
  retries();
  routesAndShards();
  thousandConcurrentCalls();
  reloadDuringCalls();
  healthChecks();
  gracefulShutdown();
  shutdownDeadlineHolds();
  messageSizeLimit();
}
