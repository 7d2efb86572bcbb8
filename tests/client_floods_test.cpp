// The real program with 32 MB and 1,024 descriptors, while clients of the HTTP fronts misbehave: hundreds
// that send half a request and stay, one that sends at full speed, one that leaves behind what it has sent.
// The process stays within its memory, and usual clients get their final answers in time.
#include <cstring>

#include "processes/hostile_clients.hpp"
#include "processes/limited_process.hpp"

namespace topazweir::test {
namespace {

constexpr int kCrowd = 700;
constexpr Nanos kAttackNs = 3'500'000'000;  // longer than the 3 s in which bad clients get their error
constexpr std::chrono::milliseconds kDeadline{LimitedProcess::kDeadlineMs};

// One of the two HTTP fronts.
struct HttpFront {
  const char* name;
  std::string address;
  std::function<std::string(int)> usual;     // the n-th request of a usual client
  std::string open;                          // a request that stays open while the servers are silent
  std::string page;                          // a request that is answered at once
  std::function<std::string(int)> newNames;  // a request that names what no other does
};

HttpFront platformFront(const LimitedProcess& world) {
  return {"platform",
          world.listen,
          [](int n) { return LimitedProcess::query("u" + std::to_string(n)); },
          LimitedProcess::query("open"),
          LimitedProcess::get("/up"),
          [](int n) { return LimitedProcess::query("n" + std::to_string(n), "class" + std::to_string(n)); }};
}

HttpFront featuresFront(const LimitedProcess& world) {
  return {"features",
          world.features,
          [](int) { return LimitedProcess::get("/collections/branches/items"); },
          LimitedProcess::get("/collections/branches/items"),
          LimitedProcess::get("/conformance"),
          [](int n) { return LimitedProcess::get("/collections/c" + std::to_string(n) + "/items"); }};
}

using ChooseFront = HttpFront (*)(const LimitedProcess&);
constexpr std::array<ChooseFront, 2> kFronts = {platformFront, featuresFront};

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

// Plays an attack on a front beside usual clients. Returns the number of broken rules.
int playAttack(const char* program, const char* name, ChooseFront choose,
               const std::function<std::vector<std::shared_ptr<void>>(const HttpFront&)>& attack,
               bool serversAreSilent = false) {
  LimitedProcess world(program, std::string("floods-") + name);
  int broken = 0;
  world.play([&] {
    world.untilServing();
    const auto front = choose(world);
    if (serversAreSilent)
      world.leafA.fault() = world.leafB.fault() = world.featureServer.fault() = lab::Fault::silent;
    UsualClient usual(front.address, front.usual, kDeadline);
    world.until("a first answer", [&] { return usual.soFar().total() > 0; });
    {
      const auto attackers = attack(front);
      world.runFor(kAttackNs);
    }
    usual.stop();
    world.until("the usual client's last answer", [&] { return usual.ended(); });
    const auto results = usual.soFar();
    const auto what = std::string(name) + ", " + front.name;
    results.print(what.c_str());
    if (!world.withinMemory(what.c_str())) ++broken;
    if (results.late + results.closed > 0) ++broken;
    if (!serversAreSilent && results.statuses.count(200) == 0) ++broken;
  });
  return broken;
}

template <class Client, class... Arguments>
std::vector<std::shared_ptr<void>> clients(int count, const Arguments&... arguments) {
  std::vector<std::shared_ptr<void>> out;
  for (int i = 0; i < count; ++i) out.push_back(std::make_shared<Client>(arguments...));
  return out;
}

int halfSentRequestsStayInMemory(const char* program) {
  const std::string half =
      "POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(50'000, 'x');
  int broken = 0;
  for (const auto choose : kFronts)
    broken += playAttack(program, "half-sent requests", choose,
                         [&](const auto& front) { return clients<Crowd>(1, front.address, kCrowd, half); });
  return broken;
}

int headsOfShortFieldsStayInMemory(const char* program) {
  const std::string head =
      "GET / HTTP/1.1\r\nHost: a\r\n" + repeated("a:\r\n", 15'000) + "Content-Length: 9\r\n\r\n";
  int broken = 0;
  for (const auto choose : kFronts)
    broken += playAttack(program, "heads of short fields", choose,
                         [&](const auto& front) { return clients<Crowd>(1, front.address, kCrowd, head); });
  return broken;
}

int requestsSentAheadStayInMemory(const char* program) {
  int broken = 0;
  for (const auto choose : kFronts)
    broken += playAttack(
        program, "requests sent ahead", choose,
        [&](const auto& front) {
          return clients<Crowd>(1, front.address, kCrowd, front.open + repeated(front.page, 250'000));
        },
        true);
  return broken;
}

int slowWritersStayInMemory(const char* program) {
  constexpr std::size_t kBytesPerRound = 500;
  const std::string whole =
      "POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'x');
  int broken = 0;
  for (const auto choose : kFronts)
    broken += playAttack(program, "slow writers", choose, [&](const auto& front) {
      return clients<Crowd>(1, front.address, kCrowd, whole, kBytesPerRound);
    });
  return broken;
}

int unreadAnswersStayInMemory(const char* program) {
  int broken = 0;
  for (const auto choose : kFronts)
    broken += playAttack(program, "unread answers", choose, [&](const auto& front) {
      const auto piece = repeated(front.page, 100'000);
      return clients<FullSpeedClient>(
          1, front.address, [piece](int) { return piece; }, false);
    });
  return broken;
}

// What clients send at full speed: requests that are answered at once, such that name something new each
// time, unsound ones, and whole ones for the servers.
int clientsAtFullSpeedDelayNobody(const char* program) {
  constexpr int kClients = 6;
  constexpr int kRequestsPerPiece = 200;
  const std::string unsound = "GET /u\x01p HTTP/1.1\r\nHost: a\r\n\r\n";
  int broken = 0;
  for (const auto choose : kFronts) {
    const auto play = [&](const char* name, const std::function<std::string(int)>& next,
                          const HttpFront& front) {
      return clients<FullSpeedClient>(
          kClients, front.address,
          [next, name](int n) {
            std::string piece;
            for (int i = 0; i < kRequestsPerPiece; ++i) piece += next(n * kRequestsPerPiece + i);
            return piece;
          },
          true);
    };
    broken += playAttack(program, "pages at full speed", choose, [&](const auto& front) {
      return play(
          "pages", [page = front.page](int) { return page; }, front);
    });
    broken += playAttack(program, "new names at full speed", choose,
                         [&](const auto& front) { return play("names", front.newNames, front); });
    broken += playAttack(program, "unsound requests at full speed", choose, [&](const auto& front) {
      return play(
          "unsound", [&](int) { return unsound; }, front);
    });
    broken += playAttack(program, "queries at full speed", choose, [&](const auto& front) {
      std::vector<std::shared_ptr<void>> out;
      for (int c = 0; c < kClients; ++c) {
        const auto next = [c, usual = front.usual](int n) {
          std::string piece;
          for (int i = 0; i < kRequestsPerPiece; ++i)
            piece += usual(1'000'000 * (c + 1) + n * kRequestsPerPiece + i);
          return piece;
        };
        out.push_back(std::make_shared<FullSpeedClient>(front.address, next, true));
      }
      return out;
    });
  }
  return broken;
}

// Clients send far more queries than the sockets hold, read their answers and leave while a query is open.
int nothingIsSentForAClientThatLeftBehindUnreadBytes(const char* program) {
  constexpr Nanos kMs = 1'000'000;
  constexpr Nanos kAllowedNs = 150 * kMs;  // 0.1 s, and the way to the leaf
  constexpr std::size_t kAheadBytes = 8 * 1024 * 1024;
  constexpr int kClients = 8;
  int broken = 0;
  for (const auto fault : {lab::Fault::silent, lab::Fault::rejects, lab::Fault::slow}) {
    LimitedProcess world(program, "left-behind");
    world.play([&] {
      world.untilServing();
      world.leafA.fault() = world.leafB.fault() = fault;
      std::size_t before = 0;
      int after = 0;
      Nanos latest = 0;
      for (int c = 0; c < kClients; ++c) {
        std::string queries;
        for (int n = 0; queries.size() < kAheadBytes; ++n)
          queries += LimitedProcess::query("l" + std::to_string(c) + "-" + std::to_string(n));
        ClientSocket client(world.listen);
        std::size_t at = 0;
        std::string answers;
        world.until("queries sent ahead", [&] {
          const auto sentBefore = at;
          CHECK(client.sendSome(queries, at));
          CHECK(client.receiveSome(answers));
          return at > queries.size() / 8 && at == sentBefore && world.leafs.received.size() > before;
        });
        world.runFor(c * 40 * kMs);  // clients leave at different times of a query
        client.receiveSome(answers);
        client.close();
        const Nanos left = world.loop.now();
        world.runFor(LimitedProcess::kDeadlineMs * 3 / 2 * kMs);
        for (; before < world.leafs.received.size(); ++before) {
          const Nanos since = world.leafs.received[before].first - left;
          if (since <= kAllowedNs) continue;
          ++after;
          latest = std::max(latest, since);
        }
      }
      std::fprintf(stderr,
                   "clients left behind unread bytes, fault %d: %d parts later than 0.1 s, up to %.3f s\n",
                   static_cast<int>(fault), after, static_cast<double>(latest) / 1e9);
      CHECK(!world.process->over());
      broken += after > 0;
    });
  }
  return broken;
}

// The parts of a request that the leafs have received.
int partsOf(const LimitedProcess& world, const std::string& id) {
  int parts = 0;
  for (const auto& [when, part] : world.leafs.received) parts += part.rfind(id + ".", 0) == 0;
  return parts;
}

// An id that may have run and comes again, after its client has left or after its answer, isn't run again.
// One that cannot have run may come again.
int anIdThatRanIsNotRunAgain(const char* program) {
  int broken = 0;
  LimitedProcess world(program, "repeated-id");
  world.play([&] {
    world.untilServing();
    for (const char* queryClass : {"order", "search"}) {
      world.leafA.fault() = world.leafB.fault() = lab::Fault::silent;
      const auto abandoned = std::string(queryClass) + "-left";
      const auto before = world.counter("abandoned");
      ClientSocket client(world.listen);
      std::size_t at = 0;
      const auto request = LimitedProcess::query(abandoned, queryClass);
      world.until("its parts", [&] {
        client.sendSome(request, at);
        return partsOf(world, abandoned) >= LimitedProcess::kShards;
      });
      client.close();
      while (world.counter("abandoned") == before) {
      }
      world.leafA.fault() = world.leafB.fault() = lab::Fault::none;
      const int parts = partsOf(world, abandoned);
      const auto again = world.ask(world.listen, request);
      const auto answered = std::string(queryClass) + "-answered";
      CHECK(world.ask(world.listen, LimitedProcess::query(answered, queryClass)).first == 200);
      const int answeredParts = partsOf(world, answered);
      const auto answeredAgain = world.ask(world.listen, LimitedProcess::query(answered, queryClass));
      const int extra = partsOf(world, abandoned) - parts + partsOf(world, answered) - answeredParts;
      std::fprintf(stderr, "%s: %d parts of ids that came again, answers %d and %d\n", queryClass, extra,
                   again.first, answeredAgain.first);
      broken += extra > 0 || again.first != 400 || answeredAgain.first != 400;
    }
    world.leafA.fault() = world.leafB.fault() = lab::Fault::rejects;
    const auto refused = LimitedProcess::query("refused", "order");
    CHECK(world.ask(world.listen, refused).first == 503);
    world.leafA.fault() = world.leafB.fault() = lab::Fault::none;
    int status = 503;
    for (int tries = 0; tries < 100 && status == 503; ++tries)
      status = world.ask(world.listen, refused).first;
    broken += status != 200;
  });
  return broken;
}

}  // namespace
}  // namespace topazweir::test

int main(int count, char** words) {
  using namespace topazweir::test;
  CHECK(count > 1);
  const std::vector<std::pair<const char*, int (*)(const char*)>> cases{
      {"halfSentRequestsStayInMemory", halfSentRequestsStayInMemory},
      {"headsOfShortFieldsStayInMemory", headsOfShortFieldsStayInMemory},
      {"requestsSentAheadStayInMemory", requestsSentAheadStayInMemory},
      {"slowWritersStayInMemory", slowWritersStayInMemory},
      {"unreadAnswersStayInMemory", unreadAnswersStayInMemory},
      {"clientsAtFullSpeedDelayNobody", clientsAtFullSpeedDelayNobody},
      {"nothingIsSentForAClientThatLeftBehindUnreadBytes", nothingIsSentForAClientThatLeftBehindUnreadBytes},
      {"anIdThatRanIsNotRunAgain", anIdThatRanIsNotRunAgain}};
  int broken = 0;
  for (const auto& [name, play] : cases) {
    if (count > 2 && std::strcmp(name, words[2]) != 0) continue;
    const int here = play(words[1]);
    std::printf("%s: %s\n", name, here == 0 ? "passed" : "FAILED");
    std::fflush(stdout);
    broken += here;
  }
  return broken > 0 ? 1 : 0;
}
