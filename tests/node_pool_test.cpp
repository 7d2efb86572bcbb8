// Connections to nodes: which input from a node fails an attempt, and which connections get no further parts.
#include "platform/node_pool.hpp"

#include "check.hpp"
#include "lab/fake_server.hpp"
#include "platform/descriptor_shares.hpp"

namespace topazweir::test {

using namespace lab;
namespace {

constexpr Nanos kMs = 1'000'000;

// A fake node: once it has received `wanted` parts, it answers with what the test's function returns for
// them.
struct ScriptedNode : FakeProtocol {
  std::size_t wanted = 1;
  std::function<std::string(const std::vector<std::string>&)> respond;
  std::vector<std::string> parts;
  std::optional<std::string> reply(std::string& input, Fault) override {
    while (const auto read = platform::readFrame(input).frame) {
      const std::string rest(read->rest);
      const bool isCall = read->letter == 'S';
      input.erase(0, read->size);
      if (isCall) parts.push_back(rest.substr(0, rest.find(' ')));
      if (isCall && parts.size() == wanted) return respond(std::exchange(parts, {}));
    }
    return std::nullopt;
  }
};

struct PoolFixture {
  net::Loop loop;
  broker::Log log{[](auto, auto) {}, [] { return Nanos{0}; }};
  ScriptedNode speaker;
  FakeServer node{loop, speaker, Fault::none};
  platform::Directory directory;
  std::map<std::string, std::pair<Outcome, std::string>> ended;  // by part id
  std::map<broker::AttemptId, std::string> partIds;
  std::function<void(const std::string&)> onPartEnd = [](const std::string&) {};
  platform::NodePool pool{
      loop, log, directory, {32, 0, 250 * kMs, 8}, [this](const auto& id, auto outcome, auto value) {
        ended[partIds.at(id)] = {outcome, value};
        onPartEnd(partIds.at(id));
      }};
  PoolFixture() {
    platform::NodeList list;
    list.entries.push_back({.instance = "s", .address = Poco::Net::SocketAddress(node.address())});
    directory.apply(list, ServerListUpdate::Scope::full);
  }
  broker::AttemptId start(const std::string& partId, Nanos wait = 5000 * kMs, ServerId to = 1) {
    const broker::AttemptId id{static_cast<broker::RequestNo>(partIds.size() + 1), 0, 0};
    partIds[id] = partId;
    pool.start({id, to, partId, 0, std::make_shared<const std::string>("x"), wait});
    return id;
  }
  void run(Nanos time) {
    loop.after(time, [this] { loop.stop(); });
    loop.run();
  }
  // Sends 20 parts, b.0 to b.19, on the first connection, all answered at once: enough for the mean response
  // time to be used.
  void answerTwentyParts() {
    speaker.respond = [](const auto& parts) { return FakeNode::answer(parts[0]); };
    for (int i = 0; i < 20; ++i) start("b." + std::to_string(i));
  }
  bool endedAs(const std::string& partId, Outcome outcome) {
    const auto at = ended.find(partId);
    return at != ended.end() && at->second.first == outcome;
  }
};

std::string validAnswer(const std::string& partId) { return FakeNode::answer(partId); }

// Two parts on one connection: the first gets a valid answer, which is followed by input that fails the
// second. A third part, sent in reaction to the first answer, must not go to that connection.
void brokenInputFailsOnlyItsPart() {
  const std::string longClaim("\xb2\xd0\x5e\0Ra.2 done 7 -\nvalue", 22);
  const std::string frames[] = {std::string(40, '\xfe'),
                                longClaim,
                                validAnswer("stranger.1"),
                                std::string("\0\0\0\x0bZa.2 done 7", 15),
                                std::string("\0\0\0\x12Ra.2 over 7 -\nvalue", 22),
                                std::string("\0\0\0\x12Ra.2 done 7 -value ", 22),
                                std::string("\0\0\0\x40Ra.2 done 7 -\nvalue", 22)};
  for (const auto& broken : frames) {
    PoolFixture w;
    w.speaker.wanted = 2;
    w.speaker.respond = [&](const auto& parts) { return validAnswer(parts[0]) + broken; };
    w.onPartEnd = [&](const std::string& partId) {
      if (partId != "a.1") return;
      w.speaker.wanted = 1;
      w.speaker.respond = [](const auto& parts) { return validAnswer(parts[0]); };
      w.start("b.1");
    };
    w.start("a.1");
    w.start("a.2");
    w.run(600 * kMs);
    CHECK(w.endedAs("a.1", Outcome::delivered) && w.ended["a.1"].second == "value");
    CHECK(w.endedAs("a.2", Outcome::error));  // not a reset: it may have run, and its node is alive
    CHECK(w.endedAs("b.1", Outcome::delivered) && w.pool.opened() == 2);
  }
}

// Of three open parts one gets a malformed answer that names it: the others do not count against the node.
void otherPartsAreCancelled() {
  PoolFixture w;
  w.speaker.wanted = 3;
  w.speaker.respond = [](const auto&) { return std::string("\0\0\0\x0cRa.2 over 7 -", 16); };
  for (const auto* part : {"a.1", "a.2", "a.3"}) w.start(part);
  w.run(300 * kMs);
  CHECK(w.endedAs("a.2", Outcome::error) && w.endedAs("a.1", Outcome::cancelled) &&
        w.endedAs("a.3", Outcome::cancelled));
  CHECK(w.pool.connections() == 0);
}

// A duplicate answer, or a late one to a part that has ended, does not close the connection.
void duplicateAndLateAnswersAreIgnored() {
  PoolFixture w;
  w.speaker.respond = [](const auto& parts) { return validAnswer(parts[0]) + validAnswer(parts[0]); };
  w.start("a.1");
  w.loop.after(100 * kMs, [&] {
    w.speaker.respond = [](const auto& parts) { return validAnswer("a.1") + validAnswer(parts[0]); };
    w.start("a.2");
  });
  w.run(400 * kMs);
  CHECK(w.endedAs("a.1", Outcome::delivered) && w.endedAs("a.2", Outcome::delivered) && w.pool.opened() == 1);
}

// A connection on which nothing arrived for all of an attempt's time is not used again.
void unresponsiveConnectionIsNotReused() {
  PoolFixture w;
  w.speaker.respond = [](const auto&) { return std::string(); };
  w.start("a.1", 250 * kMs);
  w.loop.after(500 * kMs, [&] {
    w.speaker.respond = [](const auto& parts) { return validAnswer(parts[0]); };
    w.start("a.2");
  });
  w.run(800 * kMs);
  CHECK(w.endedAs("a.1", Outcome::timedOut) && w.endedAs("a.2", Outcome::delivered));
  CHECK(w.pool.opened() == 2 && w.pool.connections() == 1);
}

// A connection that becomes unresponsive while answers are known to be fast is closed for all attempts on it,
// early enough for retries.
void unresponsiveConnectionIsClosed() {
  PoolFixture w;
  w.speaker.respond = [](const auto& parts) { return validAnswer(parts[0]); };
  w.start("a.1");
  for (int i = 0; i < 20; ++i) w.start("b." + std::to_string(i));
  w.loop.after(100 * kMs, [&] {
    w.speaker.respond = [](const auto&) { return std::string(); };
    w.start("a.2");
    w.start("a.3");
  });
  w.loop.after(500 * kMs, [&] {
    CHECK(w.ended.count("a.2") == 0);  // so far the node may just be slow
    w.speaker.respond = [](const auto& parts) { return validAnswer(parts[0]); };
    w.start("a.4");
  });
  w.run(900 * kMs);
  CHECK(w.endedAs("a.4", Outcome::delivered) && w.endedAs("a.2", Outcome::timedOut) &&
        w.endedAs("a.3", Outcome::timedOut));
  CHECK(w.pool.connections() == 1);
}

// The silence of a new connection that carries several parts from the start counts from its first frame, not
// from time 0: it stays open to its slow node, and the next part does not open another one.
void newConnectionIsNotUnresponsive() {
  PoolFixture w;
  w.answerTwentyParts();
  w.loop.after(100 * kMs, [&] {
    w.speaker.wanted = 3;
    w.speaker.respond = [](const auto& parts) {
      return validAnswer(parts[0]) + validAnswer(parts[1]) + validAnswer(parts[2]);
    };
    // These part ids were used on the first connection, so they open another one.
    w.start("b.0");
    w.start("b.1");
  });
  w.loop.after(180 * kMs, [&] { w.start("b.2"); });
  w.run(300 * kMs);
  CHECK(w.ended.size() == 20 && w.pool.opened() == 2 && w.pool.connections() == 2);
}

// An answer on another connection to a part that was sent before a connection became unresponsive is no
// reason to close that one: its node may be slow.
void onlyLaterPartsProveItUnresponsive() {
  PoolFixture w;
  w.answerTwentyParts();
  w.loop.after(100 * kMs, [&] {
    w.speaker.wanted = 3;
    w.speaker.respond = [](const auto&) { return validAnswer("b.0"); };
    w.start("b.0");  // on a connection of its own
  });
  w.loop.after(110 * kMs, [&] { w.start("c.1"); });  // on the first one
  w.loop.after(180 * kMs, [&] { w.start("b.2"); });  // on the connection of b.0, which is answered now
  w.run(350 * kMs);
  CHECK(w.ended.count("c.1") == 0);
}

// An attempt that fails on our own connection limit does not count against the node.
void ownLimitIsNotTheNodesFault() {
  PoolFixture w;
  w.pool.limit({1, 0, 250 * kMs, 1});
  w.speaker.respond = [](const auto&) { return std::string(); };
  w.start("a.1");
  w.start("a.2");
  CHECK(w.endedAs("a.2", Outcome::notSent));
}

// At that limit the connection that has been idle for longest is closed, never one that is in use.
void idleConnectionsAreEvicted() {
  PoolFixture w;
  FakeServer other(w.loop, w.speaker, Fault::none), third(w.loop, w.speaker, Fault::none);
  platform::NodeList list;
  for (const auto* node : {&w.node, &other, &third})
    list.entries.push_back({.instance = "s" + std::to_string(list.entries.size()),
                            .address = Poco::Net::SocketAddress(node->address())});
  w.directory.apply(list, ServerListUpdate::Scope::full);
  w.pool.limit({32, 0, 250 * kMs, 2});
  w.speaker.respond = [](const auto& parts) {
    return parts[0] == "a.1" ? std::string() : validAnswer(parts[0]);
  };
  w.start("a.1", 5000 * kMs, 2);  // stays open
  w.start("a.2", 5000 * kMs, 3);
  w.loop.after(100 * kMs, [&] { w.start("a.3", 5000 * kMs, 4); });
  w.run(300 * kMs);
  CHECK(w.endedAs("a.2", Outcome::delivered) && w.endedAs("a.3", Outcome::delivered) &&
        w.ended.count("a.1") == 0);
  CHECK(w.pool.connections() == 2 && w.pool.opened() == 3);
}

// With many nodes they get what the clients' quarter leaves; with few nodes the clients get the rest. Neither
// side has less than a quarter, and the sum stays within the limit.
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
  brokenInputFailsOnlyItsPart();
  otherPartsAreCancelled();
  duplicateAndLateAnswersAreIgnored();
  unresponsiveConnectionIsNotReused();
  unresponsiveConnectionIsClosed();
  newConnectionIsNotUnresponsive();
  onlyLaterPartsProveItUnresponsive();
  ownLimitIsNotTheNodesFault();
  idleConnectionsAreEvicted();
  descriptorsFollowTheFleet();
}
