// Unit tests around membership: message encoding, shares of common limits, the membership state, the
// membership block of the operator file, the table that compares views, and the commands that voters pass on
// as applied.
#include <algorithm>
#include <deque>
#include <random>

#include "agreement/follower.hpp"
#include "check.hpp"
#include "cli/members.hpp"
#include "config/operator_config.hpp"
#include "dissemination/disseminator.hpp"
#include "fleet/codec.hpp"
#include "fleet/raft_group.hpp"
#include "membership/limit_sharing.hpp"
#include "membership/load_meter.hpp"
#include "membership/membership_state.hpp"
#include "processes/process.hpp"

namespace topazweir::test {
namespace {

using namespace membership;
constexpr Nanos kSec = 1'000'000'000;

Record record(const std::string& name, State state = State::alive, std::uint64_t incarnation = 0) {
  return {name, "127.0.0.1:" + name.substr(1), "zone", "0.1.0", incarnation, state, "", {3, Duty::serving}};
}

Message fullMessage() {
  Message m{.kind = Kind::ack, .sender = "n1", .from = "127.0.0.1:1", .about = "n2", .sequence = 1ULL << 60};
  m.load = {7, 250};
  for (int i = 0; i < 5; ++i) m.news.push_back(record("n" + std::to_string(i), State::suspect, 1ULL << 40));
  m.news.back().by = "n9";
  return m;
}

void messagesRoundTrip() {
  const auto bytes = fleet::encode(fullMessage(), "f");
  const auto read = std::get<Message>(fleet::decode(bytes, "f"));
  CHECK(read.kind == Kind::ack && read.sender == "n1" && read.from == "127.0.0.1:1" && read.about == "n2");
  CHECK(read.sequence == 1ULL << 60 && read.load == (Load{7, 250}) && read.size == bytes.size());
  CHECK(read.news.size() == 5 && read.news[4].by == "n9" && read.news[4].incarnation == 1ULL << 40);
  CHECK(read.news[0].state == State::suspect && read.news[0].published.revision == 3 &&
        read.news[0].published.duty == Duty::serving && read.news[0].zone == "zone");
  CHECK(std::get<fleet::DecodeError>(fleet::decode(bytes, "g")) == fleet::DecodeError::foreign);
}

// Truncation at each byte, corrupted bytes and random noise must never decode to an out-of-bounds message.
void malformedBytesAreRejected() {
  const auto bytes = fleet::encode(fullMessage(), "f");
  for (std::size_t i = 0; i < bytes.size(); ++i)
    CHECK(
        std::holds_alternative<fleet::DecodeError>(fleet::decode(std::string_view(bytes).substr(0, i), "f")));
  CHECK(std::holds_alternative<fleet::DecodeError>(fleet::decode(bytes + "x", "f")));
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    auto altered = bytes;
    for (int k = 0; k < 3; ++k) altered[random() % altered.size()] = static_cast<char>(random());
    const auto read = fleet::decode(altered, "f");
    if (const auto* message = std::get_if<Message>(&read))
      for (const auto& r : message->news) CHECK(!r.name.empty() && r.name.size() <= kMostText);
    std::string noise(random() % 100, '\0');
    for (auto& byte : noise) byte = static_cast<char>(random());
    CHECK(std::holds_alternative<fleet::DecodeError>(fleet::decode(noise, "f")));
  }
}

// Elements that later versions append are ignored; an incompatible version is reported as such.
void laterVersionsAreRecognised() {
  Message m{.kind = Kind::ping, .sender = "a", .from = "b", .about = "c"};
  auto bytes = fleet::encode(m, "f");
  bytes[0] = static_cast<char>(bytes[0] + 1);  // array of one more element
  CHECK(std::holds_alternative<Message>(fleet::decode(bytes + '\x05', "f")));
  bytes = fleet::encode(m, "f");
  bytes[4] = 2;
  CHECK(std::get<fleet::DecodeError>(fleet::decode(bytes, "f")) == fleet::DecodeError::otherVersion);
}

// Datagrams are filled by weight(), so no record may take more bytes on the wire.
void weightBoundsTheEncodedBytes() {
  const std::string most(kMostText, 'x');
  for (const auto& r :
       {record("n1"), Record{most, most, most, most, ~0ULL, State::left, most, {~0ULL, {}}}}) {
    Message m{.kind = Kind::ping};
    const auto without = fleet::encode(m, "f").size();
    m.news = {r};
    CHECK(fleet::encode(m, "f").size() - without <= weight(r));
  }
}

Detector detectorKnowing(const std::vector<Record>& others) {
  Detector detector({}, record("n5"));
  detector.join({}, kSec);
  Message m{.kind = Kind::syncReply, .news = others};
  detector.received(m, kSec);
  return detector;
}

void sharesFollowTheHighestRecentCount() {
  LimitSharing sharers(60 * kSec, 4);
  CHECK(sharers.now(detectorKnowing({}), kSec) ==
        (Share{4, 0}));  // the configured count, until other members can have been seen
  const std::vector<Record> many{record("n1"),
                                 record("n2"),
                                 record("n3", State::suspect),
                                 record("n4", State::failed),
                                 record("n6", State::left),
                                 record("n7")};
  CHECK(sharers.now(detectorKnowing(many), 2 * kSec) ==
        (Share{6, 4}));  // failed members may be partitioned and count; left ones do not
  CHECK(sharers.now(detectorKnowing({record("n1")}), 3 * kSec).count == 6);
  CHECK(sharers.now(detectorKnowing({record("n1")}), 61 * kSec).count == 6);
  CHECK(sharers.now(detectorKnowing({record("n1"), record("n2")}), 62 * kSec) == (Share{3, 2}));
  CHECK(sharers.now(detectorKnowing({record("n1")}), 121 * kSec).count == 3);
  CHECK(sharers.now(detectorKnowing({record("n1")}), 130 * kSec) == (Share{2, 1}));
}

void standingDependsOnReachableVoters() {
  const std::vector<std::string> voters{"n1", "n2", "n5"};
  CHECK(standing(detectorKnowing({}), voters, true) == MembershipState::isolated);
  CHECK(standing(detectorKnowing({record("n3")}), voters, true) == MembershipState::minority);
  CHECK(standing(detectorKnowing({record("n1", State::suspect)}), voters, true) == MembershipState::isolated);
  CHECK(standing(detectorKnowing({record("n1")}), voters, true) == MembershipState::majority);
  CHECK(standing(detectorKnowing({record("n1")}), {}, true) ==
        MembershipState::minority);  // without voters there is no majority
  CHECK(standing(detectorKnowing({}), {"n5"}, true) == MembershipState::majority);
  CHECK(standing(detectorKnowing({record("n1")}), voters, false) ==
        MembershipState::minority);  // no leader is known
}

void loadCoversRecentRequests() {
  LoadMeter meter;
  CHECK(meter.now({3, 100, 50}, 100 * kSec) == (Load{3, 500}));
  CHECK(meter.now({0, 200, 50}, 106 * kSec).refusedPermille == 0);
  CHECK(meter.now({0, 300, 150}, 112 * kSec).refusedPermille == 1000);
  CHECK(meter.now({0, 300, 150}, 130 * kSec).refusedPermille == 0);
}

// Amplification: the bytes of an answer are bounded by those of its request.
void answersAreBoundedByTheirRequests() {
  std::vector<Record> many;
  for (int i = 10; i < 60; ++i) many.push_back(record("n" + std::to_string(i)));
  auto detector = detectorKnowing(many);
  Message question{.kind = Kind::ping, .sender = "x", .from = "127.0.0.1:99", .about = "n5"};
  question.size = fleet::encode(question, "f").size();
  const auto step = detector.received(question, kSec);
  CHECK(step.out.size() == 1 && fleet::encode(step.out[0].message, "f").size() <= 3 * question.size);
}

std::string configErrorOf(const std::string& block) {
  try {
    config::readOperator("membership {\n" + block + "\n}\n", "o.hcl", config::standalone(0));
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return {};
}

void configErrorsNameTheKey() {
  const std::string good = "name = \"n1\"\nfleet = \"f\"\nlisten = \"127.0.0.1:1\"\n";
  CHECK(configErrorOf(good).empty());
  CHECK(configErrorOf(good + R"(voter "n1" { address = "127.0.0.1:1" })").empty());
  const auto names = [&](const std::string& block, const std::string& key) {
    const auto fault = configErrorOf(block);
    return fault.starts_with("o.hcl:") && fault.find("key membership." + key) != std::string::npos;
  };
  CHECK(names("fleet = \"f\"\nlisten = \"127.0.0.1:1\"", "name"));
  CHECK(names("name = \"n1\"\nlisten = \"127.0.0.1:1\"", "fleet"));
  CHECK(names("name = \"n 1\"\nfleet = \"f\"\nlisten = \"127.0.0.1:1\"", "name"));
  CHECK(names("name = \"n1\"\nfleet = \"f\"\nlisten = \"host\"", "listen"));
  CHECK(names(good + "seeds = [\"x\"]", "seeds"));
  CHECK(names(good + "seeds = [\"127.0.0.1:2\", \"127.0.0.1:2\"]", "seeds"));
  CHECK(names(good + "periodMs = 10", "periodMs"));
  CHECK(names(good + "answerMs = 900", "answerMs"));
  CHECK(names(good + "sees = []", "sees"));
  const auto voter = [](const std::string& name, int port) {
    return "voter \"" + name + "\" { address = \"127.0.0.1:" + std::to_string(port) + "\" }\n";
  };
  CHECK(names(good + voter("n1", 1) + voter("n2", 2), "voter"));                   // even
  CHECK(names(good + voter("n2", 2) + voter("n2", 3) + voter("n3", 4), "voter"));  // a name twice
  CHECK(names(good + voter("n2", 2) + voter("n3", 2) + voter("n4", 4), "voter"));  // an address twice
  CHECK(
      names(good + voter("n1", 2) + voter("n2", 3) + voter("n3", 4), "voter"));  // not its own listen address
  CHECK(names(good + voter("n2", 1) + voter("n3", 3) + voter("n4", 4),
              "voter"));  // another voter has its listen address
  CHECK(names(good + "fanOut = 1", "fanOut") && names(good + "fanOut = 65", "fanOut"));
  CHECK(names(good + "changeBytesPerS = 511", "changeBytesPerS"));
  CHECK(names(good + "relays = [\"n 2\"]", "relays") && names(good + "relays = [\"\"]", "relays"));
  CHECK(names(good + "relays = [\"n2\", \"n2\"]", "relays") && names(good + "relays = \"n2\"", "relays"));
  CHECK(names(good + voter("n1", 1) + "relays = [\"n1\"]",
              "relays"));  // a voter relays anyway and must not be listed
  CHECK(names(good + "relays = [\"" + std::string(65, 'x') + "\"]", "relays"));
}

void disseminationSettingsAreRead() {
  const std::string head = "membership {\nname = \"n1\"\nfleet = \"f\"\nlisten = \"127.0.0.1:1\"\n";
  const auto read = [&](const std::string& more) {
    return config::readOperator(head + more + "}\n", "o.hcl", config::standalone(0));
  };
  const auto usual = read(""), given = read("relays = [\"n2\", \"n3\"]\nfanOut = 4\nchangeBytesPerS = 512\n");
  CHECK(usual.membership->relays.empty() && usual.membership->fanOut == 5 &&
        usual.membership->changeBytesPerSecond == 2048);
  CHECK(given.membership->relays == (std::vector<std::string>{"n2", "n3"}) && given.membership->fanOut == 4 &&
        given.membership->changeBytesPerSecond == 512);
  CHECK(*usual.membership == *read("").membership && !(*usual.membership == *given.membership));
  const auto shows = [](const config::OperatorConfig& file, const std::string& path,
                        const std::string& value) {
    return std::any_of(file.settings.begin(), file.settings.end(), [&](const config::Setting& s) {
      return s.path == "membership." + path && s.value == value;
    });
  };
  CHECK(shows(usual, "fanOut", "5") && shows(usual, "changeBytesPerS", "2048"));
  CHECK(shows(given, "relays", R"(["n2", "n3"])") && shows(given, "fanOut", "4"));
}

void differencesBetweenViewsAreMarked() {
  const std::string head = "ACK self=n1 fleet=f standing=agreed alive=2 known=2 doubts=0\n";
  const auto one = cli::parseView(
      "127.0.0.1:1", head + "n1 alive serving 5 0 - 1 a:1 0 0\nn2 alive serving 5 0 - 1 a:2 3 9\n");
  const auto two =
      cli::parseView("127.0.0.1:2", head +
                                        "n1 alive serving 4 0 - 1 a:1 0 0\nn2 failed serving 1 0 "
                                        "- 1 a:2 3 9\nn3 alive serving 1 0 - 1 a:3 0 0\n");
  CHECK(one.self == "n1" && one.standing == "agreed" && one.rows.size() == 2 && one.rows[1].refused == "9");
  const auto same = cli::compare({one, one}), other = cli::compare({one, two});
  CHECK(same.find("\n!") == std::string::npos && same.find("n2") != std::string::npos);
  CHECK(other.find("\n! n2") != std::string::npos && other.find("\n! n3") != std::string::npos &&
        other.find("\n! n1") == std::string::npos);
  CHECK(cli::parseView("a", "NAK unknown call\n").fault == "NAK unknown call");
  CHECK(cli::compare({one, cli::parseView("a", "")}).find("# a: no answer") != std::string::npos);
}

// Only the leader's counts cover the fleet; head lines of older versions have no such fields.
void fleetProgressIsShown() {
  const std::string head = "ACK self=n1 fleet=f standing=agreed alive=6 known=6 doubts=0 leader=",
                    row = "\nn1 alive serving 5 0 - 1 a:1 0 0\n";
  const auto shown = [&](const std::string& more) {
    return cli::compare({cli::parseView("127.0.0.1:1", head + more + row)});
  };
  const auto before = cli::parseView("127.0.0.1:1", head + "n1 term=2 decided=7" + row);
  CHECK(before.rows.size() == 1 && before.low.empty() && before.behind.empty());
  CHECK(shown("n1 term=2 decided=7 position=99/7 age=0.0 parent=- in_force=99/7 members=5 level=5")
            .find("\n# in force: 7 at all of 5 counted (6 known alive)\n") != std::string::npos);
  CHECK(
      shown("n1 term=2 decided=7 position=99/7 age=0.0 parent=- in_force=98/9 members=5 level=3 "
            "behind=98/9:n5 behind=99/6:n:4")
          .find("\n# in force: 7 at 3 of 5 counted (6 known alive), 98/9 at all; behind: n5 at 98/9, n:4 at "
                "6\n") != std::string::npos);
  CHECK(shown("n2 term=2 decided=7 position=99/7 age=0.0 parent=- in_force=99/7 members=1 level=1")
            .find("\n# in force: ask the leader, n2\n") != std::string::npos);
  CHECK(shown("- term=2 decided=0").find("in force") == std::string::npos);
}

// A version announced by an earlier process of this name is refuted, since peers choose the message format by
// it.
void staleVersionIsRefuted() {
  auto detector = detectorKnowing({});
  auto stale = detector.self();
  stale.version = "0.0.9";
  const auto before = detector.self().incarnation;
  detector.received(Message{.kind = Kind::syncReply, .news = {detector.self()}}, kSec);
  CHECK(detector.self().incarnation == before);
  detector.received(Message{.kind = Kind::syncReply, .news = {stale}}, kSec);
  CHECK(detector.self().incarnation == before + 1 && detector.self().version == "0.1.0");
}

// Three voters in memory, messages without delay. The third one is partitioned until the others' log no
// longer reaches back to its position, so that it gets a snapshot; the commands passed on must not bridge
// that gap.
void appliedCommandsArePassedOn() {
  using namespace agreement;
  std::vector<MemoryStore> stores(3);
  std::vector<std::unique_ptr<Voter>> voters;
  std::vector<Register> rebuilt(3);  // from the commands passed on, or taken as a whole
  std::vector<std::size_t> whole(3), commands(3);
  std::deque<std::pair<VoterId, Voter::Out>> wire;
  Nanos now = kSec;
  bool cut = true;  // the third voter is partitioned
  const auto carry = [&](VoterId id, Voter::Step step) {
    for (auto& out : step.out) wire.emplace_back(id, std::move(out));
    auto& mine = rebuilt[id - 1];
    const auto& held = voters[id - 1]->held();
    if (mine.commands() + step.applied.size() == held.commands()) {
      for (const auto& command : step.applied) mine.apply(command);
      commands[id - 1] += step.applied.size();
    } else {
      mine = held, ++whole[id - 1];
    }
    CHECK(mine == held);
  };
  for (VoterId id = 1; id <= 3; ++id) {
    VoterOptions options{.self = id, .voters = {1, 2, 3}, .snapshotEvery = 16, .trailing = 4, .seed = id};
    voters.push_back(std::make_unique<Voter>(options, stores[id - 1], now));
  }
  const auto run = [&](const std::function<bool()>& holds) {
    for (int i = 0; i < 20'000 && !holds(); ++i) {
      now += 20 * kSec / 1000;
      for (VoterId id = 1; id <= 3; ++id) carry(id, voters[id - 1]->tick(now));
      while (!wire.empty()) {
        const auto [from, out] = std::move(wire.front());
        wire.pop_front();
        if (cut && (from == 3 || out.to == 3)) continue;
        carry(out.to, voters[out.to - 1]->received(from, out.bytes, now));
      }
    }
    CHECK(holds());
  };
  const auto leader = [&]() -> VoterId {
    for (const VoterId id : {1, 2})
      if (voters[id - 1]->leads()) return id;
    return 0;
  };
  const auto ask = [&](const std::string& key, std::uint64_t expected) {
    run([&] { return leader() > 0; });
    const auto id = leader();
    const auto before = voters[id - 1]->held().commands();
    auto step = voters[id - 1]->propose({key, "x", expected}, 1, now);
    if (step) carry(id, std::move(*step));
    run([&] { return !step || voters[id - 1]->held().commands() > before; });
  };
  run([&] { return leader() > 0; });
  cut = false;
  ask("a", 0);
  ask("a", 0);  // has no effect, but is passed on all the same
  run([&] { return voters[2]->held().commands() >= 2; });
  CHECK(rebuilt[2].commands() == voters[2]->held().commands() && commands[2] >= 2 && whole[2] == 0);
  cut = true;
  for (int i = 0; i < 60; ++i) ask("k" + std::to_string(i % 5), 0);
  cut = false;
  run([&] { return voters[2]->held() == voters[0]->held() && voters[0]->held() == voters[1]->held(); });
  CHECK(whole[2] == 1 && whole[0] == 0 && whole[1] == 0);
  CHECK(rebuilt[0] == rebuilt[2] && commands[leader() - 1] >= 60);
}

// The first leader writes the generation of a new voters' state before anything else; later leaders keep it.
void generationIsWrittenOnce() {
  config::MembershipConfig config;
  config.name = "n1";
  config.fleet = "f";
  config.voters = {{"n1", "127.0.0.1:1"}};
  config.state = temporaryFolder("generation");
  config.period = kSec;
  std::string generation;
  for (const Nanos start : {1'700'000'000 * kSec, 1'700'000'100 * kSec}) {
    fleet::RaftGroup raftGroup(config, 1, start);
    std::vector<agreement::Command> applied;
    Nanos now = start;
    const auto done = [&] {
      return raftGroup.held().find(fleet::RaftGroup::kCoordinatorKey) && raftGroup.leads();
    };
    for (int i = 0; i < 1000 && (i == 0 || !done()); ++i) {
      raftGroup.tick(now += kSec / 10);
      for (auto& command : raftGroup.takeApplied()) applied.push_back(std::move(command));
    }
    CHECK(done());
    for (int i = 0; i < 20; ++i) raftGroup.tick(now += kSec / 10);
    const auto* held = raftGroup.held().find(dissemination::kGenerationKey);
    CHECK(held && held->fence == 1 && raftGroup.held().commands() == 2);
    CHECK(!applied.empty() && applied.front().key == dissemination::kGenerationKey);
    const auto ms = std::strtoll(held->value.c_str(), nullptr, 10);
    CHECK(ms >= 1'700'000'000'000 && ms < 1'700'000'100'000);
    CHECK(generation.empty() || generation == held->value);
    generation = held->value;
  }
}

// Messages as encoded by commit c4fcc21, the last version before dissemination was added. That version
// decoded its own messages and this version's follow request with a generation appended ("kind 7 ... sequence
// 2"), and counted dissemination messages as malformed without any effect. So both versions can run side by
// side, and older members keep polling the voters.
std::string fromHex(std::string_view hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return out;
}

void olderVersionsAreCompatible() {
  const auto isBoth = [](const char* hex, const Message& message) {
    const auto old = fromHex(hex);
    CHECK(fleet::encode(message, "f") == old);
    const auto read = std::get<Message>(fleet::decode(old, "f"));
    CHECK(read.kind == message.kind && read.sender == message.sender && read.from == message.from &&
          read.about == message.about && read.sequence == message.sequence && read.load == message.load &&
          read.payload == message.payload && read.news.size() == message.news.size());
    return read;
  };
  Message ping{.kind = Kind::ping, .sender = "n1", .from = "127.0.0.1:7001", .about = "n2", .sequence = 41};
  ping.load = {7, 250};
  ping.news = {{"n1", "127.0.0.1:7001", "a", "0.1.0", 3, State::alive, "", {2, Duty::serving}}};
  const auto read = isBoth(
      "9ba2747701a16600a26e31ae3132372e302e302e313a37303031a26e32299207ccfa9199a26e31ae3132372e"
      "302e302e313a37303031a161a5302e312e30a003000201a0",
      ping);
  CHECK(read.news[0].version == "0.1.0" && read.news[0].incarnation == 3 &&
        read.news[0].published.revision == 2);

  // A request of the older version, this version's answer to it, and a request of this version.
  Message question{.kind = Kind::follow, .sender = "n7", .from = "127.0.0.1:7007", .sequence = 2};
  isBoth("9ba2747701a16607a26e37ae3132372e302e302e313a37303037a00292000090a0", question);
  question.payload = "1700000000000";
  isBoth(
      "9ba2747701a16607a26e37ae3132372e302e302e313a37303037a00292000090ad3137303030303030303030"
      "3030",
      question);
  agreement::Register held;
  held.apply({"log/generation", "1700000000000", 0});
  held.apply({"role/coordinator", "n1", 0});
  held.apply({"permit/a", "x", 0});
  Message answer{.kind = Kind::followReply, .sender = "n1", .from = "127.0.0.1:7001"};
  answer.payload = agreement::encodeFollowerReply(held, true, 2);
  const auto answered = isBoth(
      "9ba2747701a16608a26e31ae3132372e302e302e313a37303031a00092000090d94992c3d94592039393ae6c"
      "6f672f67656e65726174696f6ead313730303030303030303030300193a87065726d69742f61a1780393b072"
      "6f6c652f636f6f7264696e61746f72a26e3102",
      answer);
  agreement::Follower follower({"n1"}, kSec, kSec);
  CHECK(follower.take(answered.payload, kSec) && follower.held() == held && follower.age(kSec) == 0);

  isBoth("9ba2747701a16606a26e32ae3132372e302e302e313a37303032a00092000090a3010203",
         {.kind = Kind::agreement, .sender = "n2", .from = "127.0.0.1:7002", .payload = "\x01\x02\x03"});
  isBoth("9ba2747701a16609a26e37a0a00092000090a178",
         {.kind = Kind::dissemination, .sender = "n7", .payload = "x"});
}

// Heartbeats are frequent, so the frame around the payload carries only what a receiver needs.
void disseminationOverheadIsSmall() {
  const Message message{
      .kind = Kind::dissemination, .sender = "aggregator-17", .payload = std::string("a\0b", 3)};
  const auto bytes = fleet::encode(message, "dawa");
  const auto read = std::get<Message>(fleet::decode(bytes, "dawa"));
  CHECK(read.kind == Kind::dissemination && read.sender == message.sender && read.payload == message.payload);
  CHECK(bytes.size() <= message.payload.size() + message.sender.size() + 4 + 24);
  CHECK(!usesStream(Kind::dissemination) && !usesStream(Kind::agreement) && !usesStream(Kind::ack));
  CHECK(usesStream(Kind::sync) && usesStream(Kind::syncReply) && usesStream(Kind::follow) &&
        usesStream(Kind::followReply));
  // An unknown kind, as dissemination was to older members, is malformed.
  auto later = message;
  later.kind = static_cast<Kind>(kKinds);
  CHECK(std::get<fleet::DecodeError>(fleet::decode(fleet::encode(later, "dawa"), "dawa")) ==
        fleet::DecodeError::broken);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  messagesRoundTrip();
  malformedBytesAreRejected();
  laterVersionsAreRecognised();
  weightBoundsTheEncodedBytes();
  sharesFollowTheHighestRecentCount();
  standingDependsOnReachableVoters();
  loadCoversRecentRequests();
  answersAreBoundedByTheirRequests();
  configErrorsNameTheKey();
  differencesBetweenViewsAreMarked();
  disseminationSettingsAreRead();
  fleetProgressIsShown();
  staleVersionIsRefuted();
  appliedCommandsArePassedOn();
  generationIsWrittenOnce();
  disseminationOverheadIsSmall();
  olderVersionsAreCompatible();
}
