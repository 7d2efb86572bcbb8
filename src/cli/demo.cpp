// `topazweir demo`.
#include "cli/demo.hpp"

#include <fmt/format.h>

#include <functional>
#include <iostream>
#include <memory>

#include "cli/serve.hpp"
#include "lab/fake_grpc.hpp"
#include "lab/fake_server.hpp"

namespace topazweir::cli {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kPollInterval = 5 * kMs;
constexpr Nanos kRetryDelay = 50 * kMs;
constexpr int kMaxTries = 40;  // of one query
constexpr const char* kQuery =
    R"({"targets":[{"partition":0,"share":0.5},{"partition":1,"share":0.5}],"query":"paracetamol"})";

// The fake servers around the program: two stock nodes and their discovery, two feature servers and two gRPC
// backends.
struct FakeServers {
  explicit FakeServers(net::Loop& loop)
      : node1(loop, nodes, lab::Fault::none),
        node2(loop, nodes, lab::Fault::none),
        agent(loop, discovery, lab::Fault::none),
        features1(loop, features, lab::Fault::none),
        features2(loop, features, lab::Fault::none),
        grpc1(loop, "backend-1"),
        grpc2(loop, "backend-2") {
    const auto entry = [](const char* id, const std::string& address, int cell) {
      return fmt::format(
          R"({{"instanceId":"{}","hostPort":"{}","zone":"a","machineType":"m","cell":{},"lifecycle":"Ready","weight":1,"startedAtMs":0}})",
          id, address, cell);
    };
    discovery.list = fmt::format(R"({{"generation":1,"reset":true,"instances":[{},{}]}})",
                                 entry("node-1", node1.address(), 0), entry("node-2", node2.address(), 1));
  }
  lab::FakeNode nodes;
  lab::FakeDiscoveryAgent discovery;
  lab::FakeFeatures features;
  lab::FakeServer node1, node2, agent, features1, features2;
  lab::FakeGrpcServer grpc1, grpc2;
};

struct Addresses {
  std::string platform, features, grpc, snmp;
};

// Four consecutive ports from `port` on, or any free ones if it is 0.
Addresses chooseAddresses(int port) {
  const auto address = [&](int offset) {
    return port == 0 ? lab::freeAddress() : fmt::format("127.0.0.1:{}", port + offset);
  };
  return {address(0), address(1), address(2), address(3)};
}

std::string platformText(const FakeServers& servers, const Addresses& at) {
  return fmt::format(
      R"({{"name":"demo","listen":"{}","discovery":"{}","settings":{{"familyInfo":{{"slabs":2,"sets":2,"reach":2}},)"
      R"("limits":{{"maxAttempts":4,"secondCopies":true,"cancelling":true,"retryAfter":true,"streamsPerConn":32}},)"
      R"("realms":[{{"name":"demo-team","share":1,"quotaPerS":100}}],)"
      R"("profiles":[{{"name":"wide-search","aimNs":1000000000,"deadlineNs":2000000000}}]}}}})",
      at.platform, servers.agent.address());
}

std::string operatorText(const FakeServers& servers, const Addresses& at) {
  return fmt::format(R"(features {{
  listen      = "{}"
  collections = [{{ id = "branches", title = "Branches" }}]
  groups = [
    {{ name = "nairobi", servers = [{{ address = "{}" }}] }},
    {{ name = "coast", servers = [{{ address = "{}" }}] }},
  ]
}}
snmp {{ listen = "{}" }}
grpc {{
  listen = "{}"
  pool "catalogue" {{
    backend "{}" {{}}
    backend "{}" {{}}
  }}
  route "catalogue" {{
    service = "dawa.Catalogue"
    pool    = "catalogue"
    effect  = "safe"
  }}
}}
)",
                     at.features, servers.features1.address(), servers.features2.address(), at.snmp, at.grpc,
                     servers.grpc1.address(), servers.grpc2.address());
}

std::string postRequest(const std::string& id) {
  return fmt::format(
      "POST /wide-search HTTP/1.1\r\nHost: demo\r\nReq-Id: {}\r\nReq-Owner: demo-team\r\nReq-Deadline: 2\r\n"
      "Content-Length: {}\r\n\r\n{}",
      id, std::string(kQuery).size(), kQuery);
}

void printInstructions(const Addresses& at) {
  std::cout << "\nIt serves until Ctrl-C. Try, in another terminal:\n"
            << fmt::format("  curl -s http://{}/counters\n", at.platform)
            << fmt::format(
                   "  curl -s -H 'Req-Id: q1' -H 'Req-Owner: demo-team' -H 'Req-Deadline: 2' -d '{}' "
                   "http://{}/wide-search\n",
                   kQuery, at.platform)
            << fmt::format("  curl -s 'http://{}/collections/branches/items?limit=5'\n", at.features)
            << fmt::format(
                   "  printf '\\0\\0\\0\\0\\005hello' | curl -s --http2-prior-knowledge -H 'content-type: "
                   "application/grpc' "
                   "-H 'te: trailers' --data-binary @- --output - http://{}/dawa.Catalogue/Search\n",
                   at.grpc)
            << fmt::format("  snmpwalk -v2c -c public {} 1.3.6.1.4.1.8072.9999.9999.4711\n", at.snmp)
            << std::flush;
}

}  // namespace

int demo(const Options& options) {
  net::Loop loop;
  FakeServers servers(loop);
  const auto at = chooseAddresses(options.port);
  Options runOptions;
  runOptions.platformText = platformText(servers, at);
  runOptions.operatorText = operatorText(servers, at);
  Program program(loop, runOptions);

  // The queries are sent one after the other, each retried until it is answered: right after the start the
  // nodes are not known yet.
  int failures = 0;
  int tries = 0;
  std::unique_ptr<lab::Client> client;
  std::unique_ptr<lab::FakeGrpcClient> caller;
  std::function<void()> poll;  // until the client has its answer
  std::vector<std::pair<std::string, std::function<void(std::function<void(std::string)>)>>> queries;
  const auto http = [&](std::string name, const std::string& address, std::function<std::string()> request) {
    queries.emplace_back(std::move(name), [&, address, request](auto done) {
      client = std::make_unique<lab::Client>(loop, address, request());
      client->stopsLoop = false;
      poll = [&, done] {
        if (!client->done()) return static_cast<void>(loop.after(kPollInterval, poll));
        done(client->status == 200 ? "200 " + client->body : "");
      };
      loop.after(0, poll);
    });
  };
  http("platform", at.platform, [&] { return postRequest("demo-" + std::to_string(tries)); });
  http("features", at.features,
       [] { return std::string("GET /collections/branches/items?limit=3 HTTP/1.1\r\nHost: demo\r\n\r\n"); });
  queries.emplace_back("grpc", [&](auto done) {
    caller = std::make_unique<lab::FakeGrpcClient>(loop, at.grpc);
    caller->call("/dawa.Catalogue/Search", "hello", {}, [done](const lab::FakeGrpcClient::Reply& reply) {
      const auto server = calls::find(reply.trailers, "x-server").value_or("?");
      done(reply.status == 0 ? fmt::format("OK \"{}\" from {} in {:.1f} ms", reply.body, server,
                                           static_cast<double>(reply.took) / 1e6)
                             : "");
    });
  });
  std::size_t next = 0;
  std::function<void()> sendNext = [&] {
    if (next == queries.size()) {
      if (options.once) return program.drain();
      return printInstructions(at);
    }
    ++tries;
    queries[next].second([&](const std::string& answer) {
      const bool retry = answer.empty() && tries < kMaxTries;
      if (!retry) {
        std::cout << fmt::format("{:<9} {}\n", queries[next].first, answer.empty() ? "NO ANSWER" : answer)
                  << std::flush;
        if (answer.empty()) ++failures;
        ++next;
        tries = 0;
      }
      loop.after(retry ? kRetryDelay : 0, sendNext);
    });
  };
  loop.after(0, sendNext);
  loop.run();
  return failures == 0 ? kSucceeded : kFailed;
}

}  // namespace topazweir::cli
