#include "cli/demo.hpp"

#include <fmt/format.h>

#include <functional>
#include <iostream>
#include <memory>

#include "cli/serve.hpp"
#include "lab/grpc_stand_in.hpp"
#include "lab/stand_in.hpp"

namespace topazweir::cli {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr const char* kQuery =
    R"({"targets":[{"partition":0,"share":0.5},{"partition":1,"share":0.5}],"query":"paracetamol"})";

// What stands around the program: two stock nodes and their discovery, two feature servers, two gRPC
// backends.
struct World {
  explicit World(net::Loop& loop)
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
  lab::NodeSpeaker nodes;
  lab::AgentSpeaker discovery;
  lab::FeatureSpeaker features;
  lab::StandIn node1, node2, agent, features1, features2;
  lab::GrpcStandIn grpc1, grpc2;
};

struct Addresses {
  std::string platform, features, grpc, snmp;
};

Addresses choose(int port) {
  const auto at = [&](int offset) {
    return port == 0 ? lab::freeAddress() : fmt::format("127.0.0.1:{}", port + offset);
  };
  return {at(0), at(1), at(2), at(3)};
}

std::string platformText(const World& world, const Addresses& at) {
  return fmt::format(
      R"({{"name":"demo","listen":"{}","discovery":"{}","settings":{{"familyInfo":{{"slabs":2,"sets":2,"reach":2}},)"
      R"("limits":{{"maxAttempts":4,"secondCopies":true,"cancelling":true,"retryAfter":true,"streamsPerConn":32}},)"
      R"("realms":[{{"name":"demo-team","share":1,"quotaPerS":100}}],)"
      R"("profiles":[{{"name":"wide-search","aimNs":1000000000,"deadlineNs":2000000000}}]}}}})",
      at.platform, world.agent.address());
}

std::string operatorText(const World& world, const Addresses& at) {
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
                     at.features, world.features1.address(), world.features2.address(), at.snmp, at.grpc,
                     world.grpc1.address(), world.grpc2.address());
}

std::string post(const std::string& id) {
  return fmt::format(
      "POST /wide-search HTTP/1.1\r\nHost: demo\r\nReq-Id: {}\r\nReq-Owner: demo-team\r\nReq-Deadline: 2\r\n"
      "Content-Length: {}\r\n\r\n{}",
      id, std::string(kQuery).size(), kQuery);
}

void explainHow(const Addresses& at) {
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
  World world(loop);
  const auto at = choose(options.port);
  Options wished;
  wished.platformText = platformText(world, at);
  wished.operatorText = operatorText(world, at);
  Program program(loop, wished);

  // One query after the other, each tried again until it is answered: the nodes are known a moment later.
  int wrong = 0, tries = 0;
  std::unique_ptr<lab::Client> client;
  std::unique_ptr<lab::GrpcClient> caller;
  std::function<void()> look;  // whether the client has its answer
  std::vector<std::pair<std::string, std::function<void(std::function<void(std::string)>)>>> queries;
  const auto http = [&](std::string name, const std::string& address, std::function<std::string()> request) {
    queries.emplace_back(std::move(name), [&, address, request](auto done) {
      client = std::make_unique<lab::Client>(loop, address, request());
      client->stopsLoop = false;
      look = [&, done] {
        if (!client->done()) return static_cast<void>(loop.after(5 * kMs, look));
        done(client->status == 200 ? "200 " + client->body : "");
      };
      loop.after(0, look);
    });
  };
  http("platform", at.platform, [&] { return post("demo-" + std::to_string(tries)); });
  http("features", at.features,
       [] { return std::string("GET /collections/branches/items?limit=3 HTTP/1.1\r\nHost: demo\r\n\r\n"); });
  queries.emplace_back("grpc", [&](auto done) {
    caller = std::make_unique<lab::GrpcClient>(loop, at.grpc);
    caller->call("/dawa.Catalogue/Search", "hello", {}, [done](const lab::GrpcClient::Reply& reply) {
      const auto server = calls::find(reply.trailers, "x-server").value_or("?");
      done(reply.status == 0 ? fmt::format("OK \"{}\" from {} in {:.1f} ms", reply.body, server,
                                           static_cast<double>(reply.took) / 1e6)
                             : "");
    });
  });
  std::size_t next = 0;
  std::function<void()> ask = [&] {
    if (next == queries.size()) {
      if (options.once) return program.drain();
      return explainHow(at);
    }
    ++tries;
    queries[next].second([&](const std::string& answer) {
      const bool again = answer.empty() && tries < 40;
      if (!again) {
        std::cout << fmt::format("{:<9} {}\n", queries[next].first, answer.empty() ? "NO ANSWER" : answer)
                  << std::flush;
        if (answer.empty()) ++wrong;
        ++next, tries = 0;
      }
      loop.after(again ? 50 * kMs : 0, ask);
    });
  };
  loop.after(0, ask);
  loop.run();
  return wrong == 0 ? kWell : kFailed;
}

}  // namespace topazweir::cli
