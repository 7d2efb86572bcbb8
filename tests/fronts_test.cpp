// Runs the same server faults through the platform's front and the features front on loopback: statuses and
// times must agree. Also the pages and resources of the features front.
#include <functional>
#include <vector>

#include "check.hpp"
#include "features/features_service.hpp"
#include "lab/fake_server.hpp"
#include "platform/front.hpp"
#include "platform/node_pool.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kDeadline = 1500 * kMs;
constexpr Nanos kAim = 1000 * kMs;
constexpr Nanos kSlack = 500 * kMs;  // wide, since the machine may be busy

// One shard with a server for each fault.
struct Scenario {
  const char* name;
  std::vector<Fault> faults;
  bool listening = true;
  ServerState state = ServerState::up;
  int status;
  Nanos minTime;
  Nanos maxTime;
};

// What the client saw.
struct Result {
  int status = 0;
  std::string body;
  std::string retryAfter;
  Nanos took = 0;
  int requests = 0;  // that reached the servers
};

config::PlatformConfig platformConfig() {
  config::PlatformConfig config;
  Settings& s = config.terms.settings;
  s.seed = 5;
  s.tick = 5 * kMs;
  s.shards = s.cells = s.reach = 1;
  s.maxAttempts = 4;
  s.hedging = s.cancelling = s.retryAfter = true;
  s.maxRetryAfter = 2000 * kMs;
  QueryClass c;
  c.name = "search";
  c.aim = kAim;
  c.deadline = kDeadline;
  c.lateWorth = 0.3;
  s.classes = {c};
  config.terms.maxDeadline = 10 * kDeadline;
  config.connectTimeout = 250 * kMs;
  config.streamsPerConnection = 32;
  return config;
}

config::FeaturesConfig featuresConfig(const std::vector<config::FeatureServer>& servers,
                                      std::size_t groups = 1) {
  std::string list;
  for (const auto& s : servers) {
    const char* state = s.state == ServerState::up ? "ready" : "draining";
    list += (list.empty() ? "" : ",") + (R"({"address":")" + s.address + R"(","state":")" + state + R"("})");
  }
  std::string all;
  for (std::size_t g = 0; g < groups; ++g)
    all +=
        (all.empty() ? "" : ",") + (R"({"name":"g)" + std::to_string(g) + R"(","servers":[)" + list + "]}");
  return config::readFeatures(R"({"listen":"127.0.0.1:0","class":"search","deadlineMs":1500,"aimMs":1000,)"
                              R"("collections":[{"id":"branches"}],"groups":[)" +
                                  all + "]}",
                              platformConfig());
}

struct Environment {
  net::Loop loop;
  broker::Log log{[](auto event, auto text) {
                    std::fprintf(stderr, "%s %s\n", std::string(event).c_str(), std::string(text).c_str());
                  },
                  [this] { return loop.now(); }};
  Result send(const std::string& address, const std::string& request) {
    Client client(loop, address, request);
    const auto limit = loop.after(10'000 * kMs, [this] { loop.stop(); });
    loop.run();
    loop.cancel(limit);
    return {client.status, client.body, client.retryAfter, client.took, 0};
  }
};

Result throughPlatform(const Scenario& scenario) {
  Environment environment;
  FakeNode speaker;
  std::vector<std::unique_ptr<FakeServer>> nodes;
  platform::NodeList list;
  for (const auto fault : scenario.faults) {
    nodes.push_back(std::make_unique<FakeServer>(environment.loop, speaker, fault));
    platform::NodeEntry entry;
    entry.instance = "s" + std::to_string(nodes.size());
    entry.address = Poco::Net::SocketAddress(scenario.listening ? nodes.back()->address() : freeAddress());
    entry.state = scenario.state;
    list.entries.push_back(entry);
  }
  const auto config = platformConfig();
  broker::Broker* core = nullptr;
  net::LoopClock clock(environment.loop, [&] { core->wake(); });
  platform::Directory directory;
  platform::NodePool pool(
      environment.loop, environment.log, directory, {32, 0, config.connectTimeout, 16},
      [&](const auto& id, auto outcome, auto value) { core->attemptEnded(id, outcome, std::move(value)); });
  broker::Broker broker(config.terms, clock, pool, environment.log);
  core = &broker;
  broker.updateServers(directory.apply(list, ServerListUpdate::Scope::full));
  platform::PlatformFront front(environment.loop, environment.log,
                                {"platform", Poco::Net::SocketAddress("127.0.0.1", 0)}, broker,
                                [&] { return print(broker.counters()); });
  const std::string body = R"({"targets":[{"partition":0,"share":1}],"query":"x"})";
  auto result = environment.send(
      front.server().address().toString(),
      "POST /search HTTP/1.1\r\nHost: a\r\nReq-Id: q\r\nReq-Deadline: 1.5\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto& c = broker.counters();
  CHECK(c.taken == 1 && c.answered + c.refused + c.failed == 1 && broker.open() == 0);
  CHECK(c.sent <= 4);
  for (const auto& node : nodes) result.requests += node->requests();
  return result;
}

Result throughFeatures(const Scenario& scenario, FakeFeatures speaker = {},
                       const std::string& target = "/collections/branches/items") {
  Environment environment;
  std::vector<std::unique_ptr<FakeServer>> servers;
  std::vector<config::FeatureServer> list;
  for (const auto fault : scenario.faults) {
    servers.push_back(std::make_unique<FakeServer>(environment.loop, speaker, fault));
    list.push_back({scenario.listening ? servers.back()->address() : freeAddress(), scenario.state});
  }
  features::FeaturesService service(environment.loop, environment.log, featuresConfig(list));
  auto result = environment.send(service.server().address().toString(),
                                 "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto& c = service.broker().counters();
  CHECK(c.taken <= 1 && c.answered + c.refused + c.failed == c.taken && service.broker().open() == 0);
  CHECK(c.sent <= 4);
  for (const auto& server : servers) result.requests += server->requests();
  return result;
}

void sameFaultsThroughBothFronts() {
  using F = Fault;
  const Scenario scenarios[] = {
      {"sound", {F::none, F::none}, true, ServerState::up, 200, 0, 500 * kMs},
      {"slow", {F::slow, F::slow}, true, ServerState::up, 200, 290 * kMs, 1000 * kMs},
      {"one silent", {F::silent, F::none}, true, ServerState::up, 200, 0, kDeadline},
      {"the other silent", {F::none, F::silent}, true, ServerState::up, 200, 0, kDeadline},
      {"both silent", {F::silent, F::silent}, true, ServerState::up, 503, 900 * kMs, kDeadline + kSlack},
      {"one cut halfway", {F::truncated, F::none}, true, ServerState::up, 200, 0, 1000 * kMs},
      {"both cut halfway", {F::truncated, F::truncated}, true, ServerState::up, 503, 0, kDeadline + kSlack},
      {"both reject", {F::rejects, F::rejects}, true, ServerState::up, 503, 0, kDeadline + kSlack},
      {"both err", {F::errs, F::errs}, true, ServerState::up, 503, 0, kDeadline + kSlack},
      {"one noisy", {F::noise, F::none}, true, ServerState::up, 200, 0, 1000 * kMs},
      {"both noisy", {F::noise, F::noise}, true, ServerState::up, 503, 0, kDeadline + kSlack},
      {"one endless", {F::endless, F::none}, true, ServerState::up, 200, 0, kDeadline},
      {"both endless", {F::endless, F::endless}, true, ServerState::up, 503, 0, kDeadline + kSlack},
      {"noise behind", {F::extra, F::extra}, true, ServerState::up, 200, 0, 500 * kMs},
      {"answered twice", {F::twice, F::twice}, true, ServerState::up, 200, 0, 500 * kMs},
      {"nobody listens", {F::none, F::none}, false, ServerState::up, 503, 0, kDeadline + kSlack},
      {"drained", {F::none, F::none}, true, ServerState::draining, 503, 0, 500 * kMs},
  };
  for (const auto& s : scenarios) {
    const auto platform = throughPlatform(s);
    const auto features = throughFeatures(s);
    std::printf("%-18s platform %d in %lld ms, features %d in %lld ms\n", s.name, platform.status,
                static_cast<long long>(platform.took / kMs), features.status,
                static_cast<long long>(features.took / kMs));
    for (const auto& result : {platform, features}) {
      CHECK(result.status == s.status);
      CHECK(result.took >= s.minTime && result.took <= s.maxTime);
      CHECK(result.status != 503 || !result.retryAfter.empty());
      CHECK(s.state == ServerState::up || result.requests == 0);  // a draining server gets no new attempts
    }
    CHECK(std::abs(platform.took - features.took) < kSlack);
  }
}

// Paging by the client, and faults in the pages of a feature server: a part is delivered only if all its
// pages are.
void pages() {
  const Scenario one{"", {Fault::none}, true, ServerState::up, 200, 0, 0};
  const auto sound = throughFeatures(one);
  CHECK(sound.status == 200 && sound.body.find(R"("numberMatched":2)") != std::string::npos);
  CHECK(sound.body.find(R"("partial":false)") != std::string::npos);
  const auto first = throughFeatures(one, {}, "/collections/branches/items?limit=1");
  CHECK(first.body.find(R"("id":"a")") != std::string::npos &&
        first.body.find(R"("id":"b")") == std::string::npos);
  CHECK(first.body.find("limit=1&offset=1\",\"rel\":\"next\"") != std::string::npos);
  const auto second = throughFeatures(one, {}, "/collections/branches/items?limit=1&offset=1");
  CHECK(second.body.find(R"("id":"b")") != std::string::npos &&
        second.body.find("\"next\"") == std::string::npos);
  FakeFeatures cut, loop, away, broken;
  cut.truncateSecond = true;  // the first page is complete, the second is truncated
  loop.second = R"({"type":"FeatureCollection","features":[],"links":[{"rel":"next","href":"?page=2"}]})";
  away.next = "http://127.0.0.1:1/collections/branches/items";
  broken.second = R"({"type":"FeatureCollection","features":[)";
  for (const auto& speaker : {cut, loop, away, broken}) {
    const auto result = throughFeatures(one, speaker);
    CHECK(result.status == 503 && !result.retryAfter.empty());
    CHECK(result.body.find("\"a\"") == std::string::npos);
  }
}

// Status codes of the OGC resources.
void resources() {
  const Scenario one{"", {Fault::none}, true, ServerState::up, 200, 0, 0};
  const auto status = [&](const std::string& target) { return throughFeatures(one, {}, target).status; };
  for (const auto* page : {"/", "/api", "/conformance", "/collections", "/collections/branches",
                           "/collections/branches/items?bbox=36,-2,37,-1", "/collections/branches/items/b"})
    CHECK(status(page) == 200);
  for (const auto* page : {"/x", "/collections/none", "/collections/none/items",
                           "/collections/branches/items/none", "/collections/branches/items/b/c"})
    CHECK(status(page) == 404);
  for (const auto* page :
       {"/?x=1", "/collections/branches/items?limit=0", "/collections/branches/items?bbox=1",
        "/collections/branches/items?colour=red", "/collections/branches/items/b?limit=1"})
    CHECK(status(page) == 400);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  topazweir::test::sameFaultsThroughBothFronts();
  topazweir::test::pages();
  topazweir::test::resources();
}
