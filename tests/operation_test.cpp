// Tests the operator commands and the state that processes of one aggregator exchange, over randomised
// command histories, and the record format under truncation and corruption.
#include "operation/operation.hpp"

#include <random>

#include "check.hpp"
#include "ops/record_text.hpp"
#include "platform/directory.hpp"

namespace topazweir::test {
namespace {

using namespace operation;

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;
constexpr Nanos kStart = 1'700'000'000 * kSec;  // Unix time
constexpr Nanos kColdFor = 17 * kSec;

Operation process(Nanos startedAt, std::int64_t pid = 1) { return {"n0", {startedAt, pid}, kColdFor}; }

Answered execute(Operation& to, const std::string& line, Nanos now, bool listed = true) {
  const auto read = parseCommand(line);
  CHECK(std::holds_alternative<Call>(read));
  return to.call(std::get<Call>(read), listed, now);
}

void parsesCommandLines() {
  CHECK(std::get<Call>(parseCommand("  disable-server \t s-1\r")).instance == "s-1");
  CHECK(std::get<Call>(parseCommand("ready")).kind == CommandKind::ready);
  for (const std::string line :
       {"", "  ", "READY", "ready now", "disable-server", "enable-server a b", "drain x",
        "re\x01"
        "ady"})
    CHECK(std::holds_alternative<std::string>(parseCommand(line)));
  CHECK(std::holds_alternative<std::string>(parseCommand("disable-server " + std::string(129, 'x'))));
  std::mt19937 random(3);
  for (int i = 0; i < 20'000; ++i) {  // garbage is an error, or a command with its argument
    std::string line(random() % 40, ' ');
    for (char& c : line) c = static_cast<char>(random());
    const auto read = parseCommand(line);
    CHECK(std::holds_alternative<std::string>(read) || !std::get<Call>(read).instance.empty());
  }
}

void commandsAreIdempotent() {
  auto one = process(kStart);
  CHECK(!execute(one, "ready", kStart).reply.yes);
  one.serves();
  CHECK(execute(one, "ready", kStart).reply.yes && one.takesClients(kStart));
  CHECK(!execute(one, "disable-server s-9", kStart, false).reply.yes);
  CHECK(execute(one, "disable-server s-1", kStart + 1).change.leafs.size() == 1);
  const auto again = execute(one, "disable-server s-1", kStart + 2);
  CHECK(again.reply.yes && again.change.leafs.empty() && one.holds().out("s-1"));
  // A leaf that is no longer listed can still be put back, and one enable-server undoes two disable-servers.
  CHECK(execute(one, "enable-server s-1", kStart + 3, false).reply.yes && !one.holds().out("s-1"));
  CHECK(execute(one, "enable-server s-1", kStart + 4).reply.yes);
  CHECK(execute(one, "drain", kStart + 5).change.clients && !one.takesClients(kStart + 6));
  CHECK(!execute(one, "drain", kStart + 6).change.clients && execute(one, "ready", kStart + 7).reply.yes);
  CHECK(execute(one, "resume", kStart + 8).change.clients && one.takesClients(kStart + 9));
  CHECK(execute(one, "resume", kStart + 9).reply.yes);
  execute(one, "drain", kStart + 10);
  one.ends();
  CHECK(!execute(one, "ready", kStart + 11).reply.yes && !execute(one, "resume", kStart + 12).reply.yes);
}

// Commands reach either process in any order, and each process learns of the other's late. In the end both
// hold the latest command for each leaf and the latest of drain and resume.
void twoProcessesConverge(unsigned seed) {
  std::mt19937 random(seed);
  auto older = process(kStart, 1);
  auto younger = process(kStart + 60 * kSec, 2);
  older.serves();
  younger.serves();
  std::map<std::string, bool> out;
  bool drained = false;
  Nanos now = kStart + 61 * kSec;
  for (int i = 0; i < 60; ++i) {
    now += static_cast<Nanos>(random() % 3) * kMs + 1;
    auto& to = random() % 2 == 0 ? older : younger;
    const std::string id = "s-" + std::to_string(random() % 4);
    const bool off = random() % 2 == 0;
    if (random() % 4 == 0) {
      execute(to, off ? "drain" : "resume", now);
      drained = off;
    } else {
      execute(to, (off ? "disable-server " : "enable-server ") + id, now);
      out[id] = off;
    }
    if (random() % 5 == 0) younger.heard(older.record({}, now), now);
    if (random() % 5 == 0) older.heard(younger.record({}, now), now);
  }
  const auto first = older.record({}, now);
  const auto second = younger.record({}, now);
  younger.heard(first, now);
  older.heard(second, now);
  for (const auto& [id, off] : out) CHECK(older.holds().out(id) == off && younger.holds().out(id) == off);
  CHECK(older.drained() == drained && younger.drained() == drained);
}

void youngerProcessTakesOver() {
  auto older = process(kStart, 1);
  // Without another process it waits for the list, up to kMaxStartNs, but not for connections.
  CHECK(!older.mayServe({}, kStart) && !older.mayServe({false, true}, kStart + Operation::kMaxStartNs - 1));
  CHECK(older.mayServe({true, false}, kStart) && older.mayServe({}, kStart + Operation::kMaxStartNs));
  older.serves();
  const Nanos now = kStart + 100 * kSec;
  auto younger = process(now, 2);
  younger.heard(older.record("[list]", now), now);
  CHECK(younger.accompanied(now) && !younger.followed(now));
  CHECK(!younger.mayServe({}, now + kSec) && !younger.mayServe({true, false}, now + kSec));
  CHECK(younger.mayServe({true, true}, now + kSec) && younger.mayServe({}, now + Operation::kMaxStartNs));
  older.heard(younger.record({}, now), now);
  CHECK(!older.followed(now));  // it does not accept clients yet
  younger.serves();
  older.heard(younger.record({}, now), now);
  older.ends();
  CHECK(older.followed(now) && older.takesClients(now));  // the younger process does
  CHECK(!older.followed(now + Operation::kPeerTimeoutNs + 1) &&
        !older.takesClients(now + Operation::kPeerTimeoutNs +
                            1));  // its records have stopped: it counts as dead
  auto foreign = younger.record({}, now);
  foreign.aggregator = "n1";
  foreign.drained = {true, now + 1};
  CHECK(!older.heard(foreign, now).clients && !older.drained());
}

void coldSendsAreReportedOnce() {
  auto older = process(kStart, 1);
  auto younger = process(kStart + kSec, 2);
  const Nanos now = kStart + 30 * kSec;
  older.sent("warm", now - kColdFor, now);
  older.sent("old", 0, now);
  older.sent("cold", now - kSec, now);
  older.sent("cold", now - kSec, now + 1);
  const auto sends = younger.heard(older.record({}, now + 1), now + 1).coldSends;
  CHECK(sends.size() == 2 && sends[0].instance == "cold" && sends[1].at == now + 1);
  CHECK(younger.heard(older.record({}, now + 2), now + 2).coldSends.empty());
  CHECK(older.record({}, now + 2 + kColdFor).coldSends.empty());  // sends older than kColdFor are dropped
  for (int i = 0; i < 1000; ++i) older.sent("cold", now, now + i);
  CHECK(older.record({}, now + 1000).coldSends.at("cold").size() == ColdSends::kMost);
}

void holdsAreBounded() {
  Holds holds;
  for (std::size_t i = 0; i < Holds::kMost; ++i) CHECK(holds.set(std::to_string(i), true, kStart));
  CHECK(!holds.set("more", true, kStart) && holds.set("more", false, kStart));
  for (std::size_t i = 0; i < Holds::kMost; ++i) holds.set(std::to_string(i), false, kStart);
  CHECK(holds.set("more", true, kStart + Holds::kRetentionNs + 2) && holds.all().size() == 1);
}

// A leaf taken out by operators stays draining whatever server lists say. When it is put back it counts as
// cold: from its announced start time if it has restarted, else from the time it was put back.
void holdsOverrideServerLists() {
  Holds holds;
  platform::Directory directory(&holds);
  const auto list = [&](ServerState state, Nanos startedAt, bool full) {
    platform::NodeEntry entry;
    entry.instance = "s-1";
    entry.state = state;
    entry.startedAt = startedAt;
    return directory
        .apply({1, full, false, {entry}},
               full ? ServerListUpdate::Scope::full : ServerListUpdate::Scope::changes)
        .entries.at(0);
  };
  CHECK(list(ServerState::up, 0, true).state == ServerState::up);
  holds.set("s-1", true, kStart);
  CHECK(directory.moved({"s-1", "unknown"}).entries.size() == 1);
  CHECK(directory.find("s-1")->entry.state == ServerState::draining && directory.serving() == 0);
  CHECK(list(ServerState::up, 0, false).state == ServerState::draining);
  CHECK(list(ServerState::gone, 0, false).state == ServerState::gone);
  CHECK(list(ServerState::up, 0, true).state == ServerState::draining);
  std::string why;
  const auto handed = platform::readNodeList(directory.text(7, {}), {}, why);
  CHECK(handed &&
        handed->entries.at(0).state == ServerState::up);  // as announced, without the operators' hold
  holds.set("s-1", false, kStart + 5 * kSec);
  const auto back = directory.moved({"s-1"}).entries.at(0);
  CHECK(back.state == ServerState::up && back.startedAt == kStart + 5 * kSec);
  CHECK(list(ServerState::up, kStart + 3 * kSec, false).startedAt == kStart + 3 * kSec);
}

void corruptedRecordsAreRejected() {
  auto one = process(kStart, 77);
  one.serves();
  execute(one, "disable-server s-1", kStart + 1);
  execute(one, "drain", kStart + 2);
  one.sent("s-2", kStart, kStart + 3);
  const std::string text = ops::writeRecord(one.record(R"({"a":"b\n"})", kStart + 4));
  const auto whole = ops::readRecord(text);
  const auto& record = std::get<Record>(whole);
  CHECK(record.aggregator == "n0" && record.process.pid == 77 && record.phase == Phase::serving);
  CHECK(record.holds.at("s-1").out() && record.drained.on && record.coldSends.at("s-2").size() == 1);
  CHECK(record.list == R"({"a":"b\n"})" && record.writtenAt == kStart + 4);
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    CHECK(std::holds_alternative<std::string>(ops::readRecord(std::string_view(text).substr(0, cut))));
  std::mt19937 random(5);
  for (int i = 0; i < 5000; ++i) {
    auto altered = text;
    altered[random() % altered.size()] ^= static_cast<char>(1 + random() % 127);
    const auto read = ops::readRecord(
        altered);  // readable only if the change kept the meaning: the case of a checksum digit
    CHECK(std::holds_alternative<std::string>(read) || ops::writeRecord(std::get<Record>(read)) == text);
  }
  const auto newer = ops::readRecord("topazweir-state 2 0 0\n");
  CHECK(std::get<std::string>(newer).find("version 2") != std::string::npos);
}

}  // namespace
}  // namespace topazweir::test

int main() {
  using namespace topazweir::test;
  parsesCommandLines();
  commandsAreIdempotent();
  for (unsigned seed = 1; seed <= 500; ++seed) twoProcessesConverge(seed);
  youngerProcessTakesOver();
  coldSendsAreReportedOnce();
  holdsAreBounded();
  holdsOverrideServerLists();
  corruptedRecordsAreRejected();
}
