// A fleet of aggregator processes with injected faults: members are killed, stopped and partitioned, messages
// are lost, delayed and malformed. All waits are for the state that the members reach in the end, with a
// generous limit.
#include "processes/fleet.hpp"

namespace topazweir::test {
namespace {

using Fleet = FleetProcesses;
constexpr Nanos kMs = 1'000'000;

// Killed, terminated and stopped members are detected, and are members again after a restart.
void failedMembersAreDetected(Fleet& fleet) {
  constexpr int kLast = 15;
  const auto all = Fleet::range(0, kLast);
  fleet.start(0, kLast);
  fleet.untilAllAlive("all have met", all);
  fleet.untilMembershipState("all voters are there", all, "agreed");
  fleet.process(5).kill();
  auto others = all;
  std::erase(others, 5);
  fleet.untilStates("one is killed", others, {5}, {"failed"});
  CHECK(fleet.call(0, "members explain n5").starts_with("ACK n5 is failed"));
  CHECK(fleet.call(0, "members explain n99").starts_with("NAK "));
  for (int i = 8; i <= 13; ++i) fleet.process(i).kill();
  const std::vector<int> left{0, 1, 2, 3, 4, 6, 7, 14, 15};
  fleet.untilStates("six more at once", left, Fleet::range(8, 13), {"failed"});
  fleet.start(5);
  fleet.start(8, 13);  // under their old names, without any saved state
  fleet.untilAllAlive("all are back", all);
  fleet.process(6).terminate();
  others = all;
  std::erase(others, 6);
  fleet.untilStates("one has terminated", others, {6}, {"left"});
  fleet.process(7).stop();
  others = {0, 1, 2, 3, 4, 5};
  fleet.untilStates("one is stopped", others, {7}, {"suspect", "failed"});
  fleet.process(7).resume();
  others = all;
  std::erase(others, 6);
  fleet.untilAllAlive("it is resumed", others);
}

// A partition with two of three voters on one side: only that side is agreed; after the partition all see
// each other again. Then one path is cut in one direction, and datagrams on all paths are lost, delayed and
// duplicated: no member stays failed because of it.
void partitionsHeal(Fleet& fleet) {
  constexpr int kLast = 9;
  const auto all = Fleet::range(0, kLast);
  const std::vector<int> here{0, 1, 3, 4, 5}, there{2, 6, 7, 8, 9};
  const auto isHere = [&](int i) { return std::find(here.begin(), here.end(), i) != here.end(); };
  fleet.start(0, kLast);
  fleet.untilAllAlive("all have met", all);
  fleet.faults = [&](int from, int to) { return Path{.cut = isHere(from) != isHere(to)}; };
  fleet.untilStates("cut in halves", here, there, {"failed"});
  fleet.untilStates("cut in halves", there, here, {"failed"});
  fleet.untilMembershipState("two of three voters", here, "agreed");
  fleet.untilMembershipState("one of three voters", there, "minority");
  fleet.faults = [](int from, int to) { return Path{.cut = from == 3 && to == 6}; };
  fleet.untilAllAlive("healed except for one direction of one path", all);
  fleet.untilMembershipState("healed", all, "agreed");
  fleet.faults = [](int, int) { return Path{.lossRate = 0.2, .duplicateRate = 0.2, .maxDelay = 40 * kMs}; };
  fleet.runFor(20 * Fleet::kPeriodNs);
  fleet.faults = [](int, int) { return Path{}; };
  fleet.untilAllAlive("no more datagram faults", all);
}

// A member whose seeds have not started waits for them. Messages of another fleet, malformed messages and
// those of another format version change nothing and are counted. A name used by two members is reported in
// the log.
void invalidMessagesChangeNothing(Fleet& fleet) {
  fleet.seeds = {1};
  fleet.start(0);
  fleet.until("it serves", [&] { return fleet.process(0).said("membership.started"); });
  fleet.untilMembershipState("alone", {0}, "alone");
  fleet.start(1);
  fleet.untilAllAlive("the seed has started", {0, 1});
  fleet.start(2, "another");
  fleet.untilCounter(1, "membership_foreign", 1);
  net::UdpSocket noise(fleet.loop, Poco::Net::SocketAddress("127.0.0.1", 0), [](auto, const auto&) {});
  const Poco::Net::SocketAddress to(fleet.listenAddress(0));
  membership::Message message{
      .kind = membership::Kind::ping, .sender = "n1", .from = fleet.relayAddress(1), .about = "n0"};
  auto otherVersion = fleet::encode(message, Fleet::kFleet);
  otherVersion[4] = 9;  // the format version, after the array's header and "tw" with its length
  std::mt19937_64 random(7);
  // In small batches until enough have been received: datagrams are lost if the socket's buffer is full.
  const auto counted = [&](const char* name) { return fleet.counter(0, name) >= 100; };
  for (int batch = 0; batch < 500 && !(counted("membership_broken") && counted("membership_other_version"));
       ++batch) {
    for (int i = 0; i < 10; ++i) {
      std::string bytes(random() % 300, '\0');
      for (auto& byte : bytes) byte = static_cast<char>(random());
      noise.send(bytes, to);
      noise.send(otherVersion, to);
      noise.send(otherVersion.substr(0, random() % otherVersion.size()), to);
    }
    fleet.runFor(20 * kMs);
  }
  CHECK(counted("membership_broken") && counted("membership_other_version"));
  message.kind = membership::Kind::sync;  // ignored when sent as a datagram, since its reply is much larger
  noise.send(fleet::encode(message, Fleet::kFleet), to);
  fleet.untilAllAlive("nothing has changed", {0, 1});
  CHECK(Fleet::stateOf(fleet.views({0}).at(0), 2).empty());

  // Repeatedly claims to be n1, from another address.
  bool named = false;
  for (std::uint64_t incarnation = 1; !named && incarnation < 400; ++incarnation) {
    membership::Message other{
        .kind = membership::Kind::ping, .sender = "n1", .from = "127.0.0.1:9", .about = "n1"};
    other.news = {
        {.name = "n1", .address = "127.0.0.1:9", .zone = "", .version = "", .incarnation = incarnation}};
    noise.send(fleet::encode(other, Fleet::kFleet), Poco::Net::SocketAddress(fleet.listenAddress(1)));
    fleet.runFor(50 * kMs);
    named = fleet.process(1).said("membership.name_taken");
  }
  CHECK(named);
  fleet.untilAllAlive("it has refuted the claim", {0, 1});
}

// Five members, three of them voters: the leader is killed, its successor is partitioned, then all voters are
// killed and restarted from their persistent state. A voter with an incomplete last record starts, one with
// an altered record does not. The fence never decreases.
void raftGroupSurvivesFailures(Fleet& fleet) {
  const auto voters = Fleet::range(0, 2), all = Fleet::range(0, 4);
  fleet.persistentState = true;
  fleet.start(0, 4);
  auto leadership = fleet.untilLeader("a first leader", voters, 0);
  fleet.untilMembershipState("the leader is known", all, "agreed");
  CHECK(fleet.untilRegisterReached({3, 4}, leadership));  // members that are not voters have the register too
  const auto others = [&](int excluded) {
    auto out = voters;
    std::erase(out, excluded);
    return out;
  };
  int leader = Fleet::indexOf(leadership.coordinator);
  fleet.process(leader).kill();
  leadership = fleet.untilLeader("its leader is killed", others(leader), leadership.fence);
  fleet.start(leader);
  fleet.untilAllAlive("it is back", all);

  leader = Fleet::indexOf(leadership.coordinator);
  fleet.faults = [&](int from, int to) { return Path{.cut = (from == leader) != (to == leader)}; };
  const auto fence = leadership.fence;
  leadership = fleet.untilLeader("its leader is cut off", others(leader), fence);
  fleet.untilMembershipState("the old leader is isolated", {leader}, "alone");
  CHECK(fleet.leadership(leader).fence == fence);  // its register has not changed
  fleet.faults = [](int, int) { return Path{}; };
  leadership = fleet.untilLeader("it is back", voters, fence);
  CHECK(fleet.untilRegisterReached({3, 4}, leadership));

  for (const int i : voters) fleet.process(i).kill();
  fleet.untilMembershipState("no voter is running", {3, 4}, "minority");
  for (const int i : voters) fleet.until("its end", [&] { return fleet.process(i).over(); });
  std::ofstream(fleet.stateFile(1), std::ios::app) << "half a rec";
  fleet.start(0, 2);
  CHECK(fleet.untilLeader("all are back", voters, leadership.fence - 1).commands >= leadership.commands);
  CHECK(fleet.process(1).said("membership.state_cut 10 bytes"));

  fleet.process(2).kill();
  fleet.until("its end", [&] { return fleet.process(2).over(); });
  std::fstream file(fleet.stateFile(2), std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(40);
  file.put('~');
  file.close();
  fleet.start(2);
  fleet.until("the refusal", [&] { return fleet.process(2).over(); });
  CHECK(fleet.process(2).exited() == 2 && fleet.process(2).said("key membership.state: ") &&
        fleet.process(2).said("altered at byte"));
  fleet.untilLeader("two of three voters continue", {0, 1}, 0);
}

bool contains(const std::vector<int>& members, const std::string& name) {
  return std::find(members.begin(), members.end(), Fleet::indexOf(name)) != members.end();
}

// Kills the leader and waits for the next one, which is set in `leadership`. Returns the remaining voters.
std::vector<int> killLeader(Fleet& fleet, const std::vector<int>& voters, Fleet::Leadership& leadership) {
  const int leader = Fleet::indexOf(leadership.coordinator);
  fleet.process(leader).kill();
  auto others = voters;
  std::erase(others, leader);
  leadership = fleet.untilLeader("its leader is killed", others, leadership.fence);
  return others;
}

// Three voters and two zones of six members each, more than the voters' fan-out, so that members relay to
// others. Requests for the register are blocked, so that changes arrive by dissemination only. A leader is
// killed, then a relaying member.
void changesAreDisseminated(Fleet& fleet) {
  const auto voters = Fleet::range(0, 2), members = Fleet::range(3, 14), all = Fleet::range(0, 14);
  fleet.persistentState = true;
  fleet.fanOut = 2;
  fleet.faults = [](int, int) { return Path{.noRegisterRequests = true}; };
  for (const int i : all) fleet.start(i, Fleet::kFleet, i < 9 ? "a" : "b");
  fleet.untilAllAlive("all have met", all);
  auto leadership = fleet.untilLeader("a first leader", voters, 0);
  CHECK(fleet.untilRegisterReached(members, leadership));
  fleet.untilMembershipState("the leader is known", all, "agreed");
  // A member whose parent is not a voter.
  const auto relayedMember = [&] {
    for (const int i : members)
      if (contains(members, fleet.registerSource(i).parent)) return i;
    return -1;
  };
  fleet.untilTrue("no member has another member as its parent", [&] { return relayedMember() >= 0; });

  std::map<int, long> asked, applied;
  for (const int i : members) {
    asked[i] = fleet.counter(i, "register_asked");
    applied[i] = fleet.counter(i, "changes_applied") + fleet.counter(i, "snapshots_taken");
  }
  // Queried only now: on a busy machine the leader may have changed since, which is not what this test
  // counts.
  leadership = fleet.untilLeader("a leader", voters, 0);
  int leader = Fleet::indexOf(leadership.coordinator);
  const auto others = killLeader(fleet, voters, leadership);
  CHECK(fleet.untilRegisterReached(members, leadership));
  int neverAsked = 0;
  for (const int i : members) {
    CHECK(fleet.counter(i, "changes_applied") + fleet.counter(i, "snapshots_taken") > applied[i]);
    const long now = fleet.counter(i, "register_asked");
    // Only a member whose register became stale (ten periods) may send requests.
    CHECK(now == asked[i] || fleet.process(i).said("membership.stale"));
    neverAsked += now == asked[i];
  }
  CHECK(2 * neverAsked > static_cast<int>(members.size()));

  int child = -1, relay = -1;
  fleet.untilTrue("no member has another member as its parent", [&] {
    child = relayedMember();
    relay = child < 0 ? -1 : Fleet::indexOf(fleet.registerSource(child).parent);
    return relay >= 0 && contains(members, Fleet::nameOf(relay));
  });
  const long left = fleet.counter(child, "parents_left");
  fleet.process(relay).kill();
  fleet.untilTrue("a killed parent is still used", [&] {
    const auto now = fleet.registerSource(child);
    return !now.parent.empty() && Fleet::indexOf(now.parent) != relay &&
           fleet.counter(child, "parents_left") > left;
  });
  CHECK(fleet.process(child).said("membership.parent"));

  // All running members are counted, and all have the leader's register.
  const auto running = static_cast<long>(all.size()) - 2;
  // The current leader: on a busy machine it may change at any time, and a former leader counts only its own
  // subtree.
  fleet.untilTrue("the leader does not count all as level", [&] {
    leadership = fleet.untilLeader("two of three", others, 0);
    leader = Fleet::indexOf(leadership.coordinator);
    const auto view = fleet.views({leader}).at(leader);
    return view.counted == std::to_string(running) && view.level == view.counted &&
           view.low == view.position &&
           cli::compare({view}).find("# in force: " + std::to_string(fleet.leadership(leader).commands) +
                                     " at all of " + std::to_string(running) + " counted") !=
               std::string::npos;
  });
}

// A zone is partitioned from all voters while the leader changes: it keeps its register and reports its age.
// After the partition it receives the missed changes, with the later fence, without a snapshot or a request.
void isolatedZoneKeepsRegister(Fleet& fleet) {
  const auto voters = Fleet::range(0, 2), here = Fleet::range(3, 5), away = Fleet::range(6, 10),
             all = Fleet::range(0, 10);
  const auto isAway = [](int i) { return i >= 6; };
  fleet.persistentState = true;
  fleet.fanOut = 2;
  fleet.faults = [](int, int) { return Path{.noRegisterRequests = true}; };
  for (const int i : all) fleet.start(i, Fleet::kFleet, isAway(i) ? "b" : "a");
  fleet.untilAllAlive("all have met", all);
  auto leadership = fleet.untilLeader("a first leader", voters, 0);
  CHECK(fleet.untilRegisterReached(Fleet::range(3, 10), leadership));
  fleet.untilTrue("all have a confirmed register", [&] {
    return std::all_of(away.begin(), away.end(), [&](int i) { return fleet.registerSource(i).age >= 0; });
  });
  std::map<int, long> snapshots;
  for (const int i : away) snapshots[i] = fleet.counter(i, "snapshots_taken");
  const auto before = fleet.leadership(away.front());

  fleet.faults = [&](int from, int to) {
    return Path{.cut = isAway(from) != isAway(to), .noRegisterRequests = true};
  };
  fleet.untilMembershipState("cut off from the voters", away, "minority");
  for (const int i : away)
    fleet.untilTrue("a stale register is not logged",
                    [&] { return fleet.process(i).said("membership.stale age="); });
  const auto others = killLeader(fleet, voters, leadership);
  CHECK(fleet.untilRegisterReached(here, leadership));
  double least = 1e9;
  for (const int i : away) {
    CHECK(fleet.leadership(i) == before);
    least = std::min(least, fleet.registerSource(i).age);
  }
  CHECK(least > 10 * static_cast<double>(Fleet::kPeriodNs) / 1e9);
  fleet.untilTrue("the age does not increase",
                  [&] { return fleet.registerSource(away.front()).age > least + 1; });

  fleet.faults = [](int, int) { return Path{.noRegisterRequests = true}; };
  CHECK(fleet.untilRegisterReached(away, leadership));
  for (const int i : away) {
    CHECK(fleet.leadership(i).fence >= leadership.fence &&
          fleet.leadership(i).commands >= leadership.commands);
    CHECK(fleet.counter(i, "snapshots_taken") == snapshots[i] && fleet.counter(i, "changes_applied") > 0);
    fleet.untilTrue("a fresh register is not logged",
                    [&] { return fleet.process(i).said("membership.fresh age="); });
  }
  fleet.untilMembershipState("healed", away, "agreed");
}

// Members that the dissemination does not reach, as with voters of a version without it, request the register
// from voters. One such voter among others does no harm, and once the dissemination reaches them they stop
// requesting.
void versionsAreCompatible(Fleet& fleet) {
  const auto voters = Fleet::range(0, 2), members = Fleet::range(3, 6), all = Fleet::range(0, 6);
  fleet.persistentState = true;
  fleet.faults = [](int, int) { return Path{.noDissemination = true}; };
  fleet.start(0, 6);
  fleet.untilAllAlive("all have met", all);
  auto leadership = fleet.untilLeader("a first leader", voters, 0);
  CHECK(fleet.untilRegisterReached(members, leadership));
  for (const int i : members) {
    CHECK(fleet.counter(i, "register_asked") > 0 && fleet.counter(i, "changes_applied") == 0);
    CHECK(fleet.registerSource(i).parent.empty());
  }
  // Replies without a newer register are not adopted.
  std::map<int, long> taken;
  for (const int i : members) taken[i] = fleet.counter(i, "register_taken");
  for (const int i : members) {
    fleet.untilCounter(i, "register_asked", fleet.counter(i, "register_asked") + 3);
    CHECK(taken[i] > 0 && fleet.counter(i, "register_taken") == taken[i]);
  }
  fleet.untilMembershipState("voters answer", all, "agreed");

  fleet.faults = [](int from, int to) {
    return Path{.noDissemination = from == 0 || to == 0, .noRegisterRequests = true};
  };
  fleet.untilTrue("not all are reached by two of three voters", [&] {
    return std::all_of(members.begin(), members.end(), [&](int i) {
      const auto now = fleet.registerSource(i);
      return !now.parent.empty() && now.parent != "n0" && now.age >= 0 && now.age < 1;
    });
  });
  std::map<int, long> asked;
  for (const int i : members) asked[i] = fleet.counter(i, "register_asked");
  killLeader(fleet, voters, leadership);
  fleet.faults = [](int, int) { return Path{.noRegisterRequests = true}; };
  CHECK(fleet.untilRegisterReached(members, leadership));
  for (const int i : members)
    CHECK(fleet.counter(i, "register_asked") == asked[i] || fleet.process(i).said("membership.stale"));
}

// The state of all voters is deleted, and the register starts again with lower numbers: members that request
// it adopt the new generation instead of keeping the old one with its higher numbers.
void newGenerationIsAdopted(Fleet& fleet) {
  const auto voters = Fleet::range(0, 2), members = Fleet::range(3, 4), all = Fleet::range(0, 4);
  fleet.persistentState = true;
  fleet.faults = [](int, int) { return Path{.noDissemination = true}; };
  fleet.start(0, 4);
  fleet.untilAllAlive("all have met", all);
  auto leadership = fleet.untilLeader("a first leader", voters, 0);
  const auto others = killLeader(fleet, voters, leadership);
  CHECK(fleet.untilRegisterReached(members, leadership));
  const long before = fleet.counter(members.front(), "register_generation");
  CHECK(before > 0);

  for (const int i : others) fleet.process(i).kill();
  for (const int i : voters) std::filesystem::remove_all(fleet.stateFile(i));
  for (const int i : voters) fleet.start(i);
  const auto restarted = fleet.untilLeader("the voters restart without state", voters, 0);
  CHECK(restarted.commands < leadership.commands);
  for (const int i : members)
    fleet.untilTrue("the old generation is kept", [&] {
      return fleet.counter(i, "register_generation") == fleet.counter(voters.front(), "register_generation");
    });
  CHECK(fleet.counter(members.front(), "register_generation") > before);
}

// A fake voter of a version without dissemination. It is alive and announces its version; once that is known,
// no dissemination messages may be sent to it.
class OldVoter {
 public:
  OldVoter(Fleet& fleet, int index) : name_(Fleet::nameOf(index)), address_(fleet.relayAddress(index)) {
    socket_.emplace(fleet.loop, Poco::Net::SocketAddress(address_),
                    [this](auto bytes, const auto&) { receive(bytes); });
  }
  void announce(const std::string& to) { send(to, {.kind = membership::Kind::ping}); }
  // Sends a dissemination message in the name of another member.
  void impersonate(const std::string& to, const std::string& name, const std::string& payload) {
    socket_->send(fleet::encode({.kind = membership::Kind::dissemination, .sender = name, .payload = payload},
                                Fleet::kFleet),
                  Poco::Net::SocketAddress(to));
  }
  long disseminated() const { return disseminated_; }  // number of dissemination messages received

 private:
  void send(const std::string& to, membership::Message message) {
    message.sender = name_;
    message.from = address_;
    message.news = {{.name = name_, .address = address_, .zone = "a", .version = "0.1.0"}};
    message.news.front().published = {1, membership::Duty::serving};
    socket_->send(fleet::encode(message, Fleet::kFleet), Poco::Net::SocketAddress(to));
  }
  void receive(std::string_view bytes) {
    const auto read = fleet::decode(bytes, Fleet::kFleet);
    const auto* message = std::get_if<membership::Message>(&read);
    if (!message) return;
    disseminated_ += message->kind == membership::Kind::dissemination;
    if (message->kind == membership::Kind::ping && message->about == name_)
      send(message->from, {.kind = membership::Kind::ack, .about = name_, .sequence = message->sequence});
  }

  std::string name_, address_;
  std::optional<net::UdpSocket> socket_;
  long disseminated_ = 0;
};

// Members do not send dissemination messages to a voter of a version without it, and ignore those of unknown
// senders.
void oldVoterGetsNoDissemination(Fleet& fleet) {
  OldVoter old(fleet, 2);
  const std::vector<int> voters{0, 1}, members{3, 4}, all{0, 1, 3, 4};
  fleet.persistentState = true;
  for (const int i : all) fleet.start(i);
  fleet.untilAllAlive("all have met", all);
  for (const int i : all) old.announce(fleet.relayAddress(i));
  fleet.untilStates("the old voter is known", all, {2}, {"alive"});
  const auto leadership = fleet.untilLeader("two of three voters", voters, 0);
  CHECK(fleet.untilRegisterReached(members, leadership));
  fleet.untilMembershipState("two of three voters", all, "agreed");
  const auto received = [&](long more) {
    std::map<int, long> least;
    for (const int i : members) least[i] = fleet.counter(i, "changes_received") + more;
    for (const auto& [i, count] : least) fleet.untilCounter(i, "changes_received", count);
  };
  received(10);  // messages in flight have arrived
  const long before = old.disseminated();
  received(50);
  CHECK(old.disseminated() == before);
  // Messages of an unknown sender, of the member itself and malformed ones are counted and ignored.
  old.impersonate(fleet.relayAddress(3), "n77", "x");
  old.impersonate(fleet.relayAddress(3), "n3", "x");
  fleet.untilCounter(3, "changes_foreign", 2);
  old.impersonate(fleet.relayAddress(3), "n4", "no message of it");
  fleet.untilCounter(3, "changes_broken", 1);
  CHECK(fleet.leadership(3) == fleet.leadership(4) && fleet.counter(4, "changes_foreign") == 0);
  // Also if it is the only possible parent left.
  for (const int i : voters) fleet.process(i).kill();
  fleet.untilTrue("a killed parent is still used", [&] {
    return std::all_of(members.begin(), members.end(), [&](int i) {
      const auto now = fleet.registerSource(i);
      return now.parent.empty() && now.age > 4;
    });
  });
  CHECK(old.disseminated() == before);
}

const char* selectedCase = nullptr;  // the case to run; null: all

void run(const char* program, const char* name, int voters, std::uint64_t seed, void (*body)(Fleet&)) {
  if (selectedCase && std::string(selectedCase) != name) return;
  Fleet fleet(program, name, voters, seed);
  fleet.play([&] { body(fleet); });
}

}  // namespace
}  // namespace topazweir::test

// Arguments: the program, the seed (default 1) and the name of the only case to run (default: all).
int main(int argc, char** argv) {
  using namespace topazweir::test;
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  selectedCase = argc > 3 ? argv[3] : nullptr;
  run(argv[1], "dead", 3, seed, failedMembersAreDetected);
  run(argv[1], "parted", 3, seed, partitionsHeal);
  run(argv[1], "agreement", 3, seed, raftGroupSurvivesFailures);
  run(argv[1], "mistakes", 0, seed, invalidMessagesChangeNothing);
  run(argv[1], "tree", 3, seed, changesAreDisseminated);
  run(argv[1], "zone", 3, seed, isolatedZoneKeepsRegister);
  run(argv[1], "versions", 3, seed, versionsAreCompatible);
  run(argv[1], "old", 3, seed, oldVoterGetsNoDissemination);
  run(argv[1], "anew", 3, seed, newGenerationIsAdopted);
}
