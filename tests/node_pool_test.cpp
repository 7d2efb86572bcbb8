// Connections to nodes: what spoils an attempt and what does not, and which connections get no more parts.
#include "platform/node_pool.hpp"

#include "check.hpp"
#include "lab/stand_in.hpp"
#include "platform/descriptor_shares.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;

// Answers when it has as many parts as it waits for, with whatever the test wants.
struct Scripted : Speaker {
  std::size_t wanted = 1;
  std::function<std::string(const std::vector<std::string>&)> say;
  std::vector<std::string> parts;
  std::optional<std::string> reply(std::string& input, Fault) override {
    while (const auto read = platform::readFrame(input).frame) {
      const std::string rest(read->rest);
      const bool call = read->letter == 'S';
      input.erase(0, read->size);
      if (call) parts.push_back(rest.substr(0, rest.find(' ')));
      if (call && parts.size() == wanted) return say(std::exchange(parts, {}));
    }
    return std::nullopt;
  }
};

struct World {
  net::Loop loop;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  Scripted speaker;
  StandIn node{loop, speaker, Fault::none};
  platform::Directory directory;
  std::map<std::string, std::pair<Outcome, std::string>> ended;
  std::map<broker::AttemptId, std::string> names;
  std::function<void(const std::string&)> after = [](const std::string&) {};
  platform::NodePool pool{
      loop, log, directory, {32, 0, 250 * kMs, 8}, [this](const auto& id, auto outcome, auto value) {
        ended[names.at(id)] = {outcome, value};
        after(names.at(id));
      }};
  World() {
    platform::NodeList list;
    list.entries.push_back({.instance = "s", .address = Poco::Net::SocketAddress(node.address())});
    directory.apply(list, ListNews::Scope::full);
  }
  broker::AttemptId start(const std::string& partId, Nanos wait = 5000 * kMs, ServerId to = 1) {
    const broker::AttemptId id{static_cast<broker::RequestNo>(names.size() + 1), 0, 0};
    names[id] = partId;
    pool.start({id, to, partId, 0, std::make_shared<const std::string>("x"), wait});
    return id;
  }
  void run(Nanos time) {
    loop.after(time, [this] { loop.stop(); });
    loop.run();
  }
  // Answered at once, enough of them to tell what answers take: b.0 to b.19, all on the first connection.
  void twentyAnswers() {
    speaker.say = [](const auto& parts) { return NodeSpeaker::answer(parts[0]); };
    for (int i = 0; i < 20; ++i) start("b." + std::to_string(i));
  }
  bool is(const std::string& partId, Outcome outcome) {
    const auto at = ended.find(partId);
    return at != ended.end() && at->second.first == outcome;
  }
};

std::string good(const std::string& partId) { return NodeSpeaker::answer(partId); }

// Two parts on one connection; the first is answered well, then comes what spoils the second. A third part,
// sent because of the first answer, must not go to that connection.
void spoilsOnlyWhatItIs() {
  const std::string longClaim("\xb2\xd0\x5e\0Ra.2 done 7 -\nvalue", 22);
  const std::string frames[] = {std::string(40, '\xfe'),
                                longClaim,
                                good("stranger.1"),
                                std::string("\0\0\0\x0bZa.2 done 7", 15),
                                std::string("\0\0\0\x12Ra.2 over 7 -\nvalue", 22),
                                std::string("\0\0\0\x12Ra.2 done 7 -value ", 22),
                                std::string("\0\0\0\x40Ra.2 done 7 -\nvalue", 22)};
  for (const auto& spoilt : frames) {
    World w;
    w.speaker.wanted = 2;
    w.speaker.say = [&](const auto& parts) { return good(parts[0]) + spoilt; };
    w.after = [&](const std::string& partId) {
      if (partId != "a.1") return;
      w.speaker.wanted = 1;
      w.speaker.say = [](const auto& parts) { return good(parts[0]); };
      w.start("b.1");
    };
    w.start("a.1"), w.start("a.2");
    w.run(600 * kMs);
    CHECK(w.is("a.1", Outcome::delivered) && w.ended["a.1"].second == "value");
    CHECK(w.is("a.2", Outcome::error));  // it may have run, and its node is not dead
    CHECK(w.is("b.1", Outcome::delivered) && w.pool.opened() == 2);
  }
}

// Of three parts out one is spoilt by name: the others are no fault of the node's.
void sparesTheNeighbours() {
  World w;
  w.speaker.wanted = 3;
  w.speaker.say = [](const auto&) { return std::string("\0\0\0\x0cRa.2 over 7 -", 16); };
  for (const auto* part : {"a.1", "a.2", "a.3"}) w.start(part);
  w.run(300 * kMs);
  CHECK(w.is("a.2", Outcome::error) && w.is("a.1", Outcome::cancelled) && w.is("a.3", Outcome::cancelled));
  CHECK(w.pool.connections() == 0);
}

// A second copy, or a late answer to a part given up on, leaves the connection as it is.
void knowsWhatWasOut() {
  World w;
  w.speaker.say = [](const auto& parts) { return good(parts[0]) + good(parts[0]); };
  w.start("a.1");
  w.loop.after(100 * kMs, [&] {
    w.speaker.say = [](const auto& parts) { return good("a.1") + good(parts[0]); };
    w.start("a.2");
  });
  w.run(400 * kMs);
  CHECK(w.is("a.1", Outcome::delivered) && w.is("a.2", Outcome::delivered) && w.pool.opened() == 1);
}

// A connection that was silent for all of an attempt's time is not used again.
void leavesSilentConnections() {
  World w;
  w.speaker.say = [](const auto&) { return std::string(); };
  w.start("a.1", 250 * kMs);
  w.loop.after(500 * kMs, [&] {
    w.speaker.say = [](const auto& parts) { return good(parts[0]); };
    w.start("a.2");
  });
  w.run(800 * kMs);
  CHECK(w.is("a.1", Outcome::timedOut) && w.is("a.2", Outcome::delivered));
  CHECK(w.pool.opened() == 2 && w.pool.connections() == 1);
}

// One that falls silent while answers are known to take little ends for all that is out on it, in time for
// others.
void endsSilentConnections() {
  World w;
  w.speaker.say = [](const auto& parts) { return good(parts[0]); };
  w.start("a.1");
  for (int i = 0; i < 20; ++i) w.start("b." + std::to_string(i));
  w.loop.after(100 * kMs, [&] {
    w.speaker.say = [](const auto&) { return std::string(); };
    w.start("a.2"), w.start("a.3");
  });
  w.loop.after(500 * kMs, [&] {
    CHECK(w.ended.count("a.2") == 0);  // nothing says yet that it is not the node which is slow
    w.speaker.say = [](const auto& parts) { return good(parts[0]); };
    w.start("a.4");
  });
  w.run(900 * kMs);
  CHECK(w.is("a.4", Outcome::delivered) && w.is("a.2", Outcome::timedOut) && w.is("a.3", Outcome::timedOut));
  CHECK(w.pool.connections() == 1);
}

// A new connection that carries several parts from the start has not been silent since the beginning of time:
// it is left to its slow node, and the next part does not open one more.
void aNewConnectionIsNotSilent() {
  World w;
  w.twentyAnswers();
  w.loop.after(100 * kMs, [&] {
    w.speaker.wanted = 3;
    w.speaker.say = [](const auto& parts) { return good(parts[0]) + good(parts[1]) + good(parts[2]); };
    w.start("b.0"), w.start("b.1");  // known on the first connection, so these open one
  });
  w.loop.after(180 * kMs, [&] { w.start("b.2"); });
  w.run(300 * kMs);
  CHECK(w.ended.size() == 20 && w.pool.opened() == 2 && w.pool.connections() == 2);
}

// What was sent before a connection fell silent may be answered on another one later: that says nothing
// against the silent one, whose node may be slow.
void onlyWhatWasSentLaterSpeaksAgainstIt() {
  World w;
  w.twentyAnswers();
  w.loop.after(100 * kMs, [&] {
    w.speaker.wanted = 3;
    w.speaker.say = [](const auto&) { return good("b.0"); };
    w.start("b.0");  // on a connection of its own
  });
  w.loop.after(110 * kMs, [&] { w.start("c.1"); });  // on the first one
  w.loop.after(180 * kMs, [&] { w.start("b.2"); });  // beside b.0, which is answered now
  w.run(350 * kMs);
  CHECK(w.ended.count("c.1") == 0);
}

// Our own limit of connections says nothing about a node.
void ownLimitBlamesNobody() {
  World w;
  w.pool.limit({1, 0, 250 * kMs, 1});
  w.speaker.say = [](const auto&) { return std::string(); };
  w.start("a.1"), w.start("a.2");
  CHECK(w.is("a.2", Outcome::notSent));
}

// At that limit the connection that has been idle for longest gives way, one that is in use never.
void idleConnectionsGiveWay() {
  World w;
  StandIn other(w.loop, w.speaker, Fault::none), third(w.loop, w.speaker, Fault::none);
  platform::NodeList list;
  for (const auto* node : {&w.node, &other, &third})
    list.entries.push_back({.instance = "s" + std::to_string(list.entries.size()),
                            .address = Poco::Net::SocketAddress(node->address())});
  w.directory.apply(list, ListNews::Scope::full);
  w.pool.limit({32, 0, 250 * kMs, 2});
  w.speaker.say = [](const auto& parts) { return parts[0] == "a.1" ? std::string() : good(parts[0]); };
  w.start("a.1", 5000 * kMs, 2);  // stays out
  w.start("a.2", 5000 * kMs, 3);
  w.loop.after(100 * kMs, [&] { w.start("a.3", 5000 * kMs, 4); });
  w.run(300 * kMs);
  CHECK(w.is("a.2", Outcome::delivered) && w.is("a.3", Outcome::delivered) && w.ended.count("a.1") == 0);
  CHECK(w.pool.connections() == 2 && w.pool.opened() == 3);
}

// Many nodes take what clients of a large fleet leave; a few nodes leave it to the clients. None ever has
// less than a quarter, and the sum stays within the limit.
void descriptorsFollowTheFleet() {
  for (const std::size_t sockets : {256UL, 576UL, 1024UL})
    for (const std::size_t nodes : {0UL, 12UL, 60UL, 170UL, 5000UL}) {
      const auto shares = platform::DescriptorShares::of(sockets, nodes);
      CHECK(shares.nodes >= sockets / 4 && shares.clients >= sockets / 4);
      CHECK(shares.nodes + shares.clients + 32 <= sockets);
      CHECK(shares.nodes >= std::min(2 * nodes, sockets - sockets / 4 - 32));
    }
  CHECK(platform::DescriptorShares::of(576, 170).nodes == 340);
  CHECK(platform::DescriptorShares::of(576, 12).nodes == 144);
  CHECK(platform::DescriptorShares::of(20, 170).clients == 5);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  spoilsOnlyWhatItIs();
  sparesTheNeighbours();
  knowsWhatWasOut();
  leavesSilentConnections();
  endsSilentConnections();
  aNewConnectionIsNotSilent();
  onlyWhatWasSentLaterSpeaksAgainstIt();
  ownLimitBlamesNobody();
  idleConnectionsGiveWay();
  descriptorsFollowTheFleet();
}
