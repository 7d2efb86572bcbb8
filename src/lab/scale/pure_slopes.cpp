#include "lab/scale/pure_slopes.hpp"

#include <unistd.h>

#include <deque>
#include <filesystem>
#include <memory>

#include "agreement/file_store.hpp"
#include "agreement/follower.hpp"
#include "agreement/voter.hpp"
#include "fleet/codec.hpp"
#include "lab/scale/report.hpp"
#include "membership/detector.hpp"
#include "membership/sharers.hpp"
#include "membership/standing.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr Nanos kMs = 1'000'000, kSec = 1000 * kMs;
constexpr double kBytesAMember = 6000;  // a second, of the target
constexpr double kSecondsAChange = 86'400.0 / 7800;
constexpr double kMembers = 2000;
constexpr double kPollSeconds = 5;
constexpr int kRounds = 25, kVoterRounds = 7;

constexpr const char* kFleet = "dawa-collect";

std::string answerOf(const agreement::Register& held, std::uint64_t known) {
  membership::Message answer{.kind = membership::Kind::followReply, .sender = memberName(0)};
  answer.from = "10.24.117.83:9400";
  answer.payload = agreement::answerToFollower(held, true, known);
  return fleet::framed(fleet::encode(answer, kFleet));
}

void take(std::string_view answer, agreement::Follower& follower) {
  const auto read = fleet::decode(answer.substr(fleet::kFrameHead), kFleet);
  if (const auto* message = std::get_if<membership::Message>(&read)) follower.take(message->payload, 1);
}

// Three voters, each with its file, joined without a wire: microseconds of processor time. The middle change
// is what appending costs; the dearest of the leader's turns has written a snapshot of all keys.
struct VoterCost {
  double leader = 0, follower = 0, snapshot = 0;
};

VoterCost voterCost(int keys, const std::filesystem::path& folder) {
  constexpr std::size_t kVoters = 3;
  constexpr int kChanges = 600;  // one snapshot among them, each 512
  std::vector<std::unique_ptr<agreement::FileStore>> stores;
  std::vector<std::unique_ptr<agreement::Voter>> voters;
  std::vector<std::vector<double>> turns(kVoters), changes(kVoters);  // us, of one turn; of one change
  std::vector<double> spent(kVoters, 0);
  const auto spend = [&](std::size_t voter, double from) {
    const double time = threadMicros() - from;
    turns[voter].push_back(time);
    spent[voter] += time;
  };
  struct Mail {
    std::size_t from, to;
    std::string bytes;
  };
  std::deque<Mail> mail;
  Nanos now = kSec;
  const auto held = registerOf(keys);
  for (std::size_t i = 0; i < kVoters; ++i) {
    stores.push_back(
        std::make_unique<agreement::FileStore>((folder / fmt::format("voter-{}-{}", keys, i)).string()));
    stores[i]->setTerm(1);
    stores[i]->put({static_cast<std::uint64_t>(keys), 1, 1, held.write()}, 0);
    agreement::VoterOptions options{.self = i + 1, .voters = {1, 2, 3}};
    options.seed = i + 1;
    voters.push_back(std::make_unique<agreement::Voter>(options, *stores[i], now));
  }
  const auto carry = [&](std::size_t from, agreement::Voter::Step step) {
    for (auto& out : step.out) mail.push_back({from, out.to - 1, std::move(out.bytes)});
  };
  const auto deliver = [&] {
    while (!mail.empty()) {
      const auto next = std::move(mail.front());
      mail.pop_front();
      const double from = threadMicros();
      auto step = voters[next.to]->received(next.from + 1, next.bytes, now);
      spend(next.to, from);
      carry(next.to, std::move(step));
    }
  };
  const auto tick = [&] {
    now += 50 * kMs;
    for (std::size_t i = 0; i < kVoters; ++i) carry(i, voters[i]->tick(now));
    deliver();
  };
  std::size_t leader = kVoters;
  for (int i = 0; i < 400 && leader == kVoters; ++i) {
    tick();
    for (std::size_t k = 0; k < kVoters; ++k)
      if (voters[k]->leads()) leader = k;
  }
  if (leader == kVoters) return {};
  for (auto& turn : turns) turn.clear();
  for (int i = 0; i < kChanges; ++i) {
    std::fill(spent.begin(), spent.end(), 0);
    const auto key = keyOf(i % keys);
    const auto* at = voters[leader]->held().find(key);
    const agreement::Command command{key, valueOf(i % keys, i + 1), at ? at->fence : 0};
    const double from = threadMicros();
    auto step = voters[leader]->propose(command, 1, now);
    spend(leader, from);
    if (step) carry(leader, std::move(*step));
    deliver();
    for (std::size_t k = 0; k < kVoters; ++k) changes[k].push_back(spent[k]);
    if (i % 16 == 15) tick();
  }
  VoterCost out;
  out.leader = repeated(changes[leader]).middle;
  for (std::size_t i = 0; i < kVoters; ++i)
    if (i != leader) out.follower += repeated(changes[i]).middle / (kVoters - 1);
  out.snapshot = repeated(turns[leader]).most;
  return out;
}

membership::Detector detectorOf(int members) {
  membership::Settings settings;
  membership::Detector detector(settings, memberRecord(0, "127.64.1.1:9400"));
  detector.join({}, kSec);
  membership::Message all{.kind = membership::Kind::syncReply, .sender = memberName(1)};
  for (int i = 1; i < members; ++i)
    all.news.push_back(memberRecord(i, fmt::format("10.{}.{}.{}:9400", 20 + i % 6, i / 200, i % 200 + 1)));
  detector.received(all, kSec);
  return detector;
}

}  // namespace

std::string zoneOf(int member) {
  static const char* kZones[] = {"eu-central-1a", "eu-central-1b", "us-east-2a",
                                 "us-east-2b",    "ap-south-1a",   "ap-south-1b"};
  return kZones[member % 6];
}
std::string memberName(int member) { return fmt::format("agg-{:04}.{}", member, zoneOf(member)); }
membership::Record memberRecord(int member, const std::string& address) {
  membership::Record out{memberName(member), address, zoneOf(member), "1.14.2+g7051536"};
  out.published = {1, membership::Duty::serving};
  return out;
}
std::string keyOf(int key) {
  return fmt::format("leaf/{}/cell-{:04}/replica-{}", zoneOf(key), key / 3, key % 3);
}
std::string valueOf(int key, int revision) {
  return fmt::format("10.{}.{}.{}:9500 serving weight=100 revision={}", 20 + key % 6, key / 200,
                     key % 200 + 1, 100'000 + revision);
}

agreement::Register registerOf(int keys) {
  agreement::Register out;
  for (int i = 0; i < keys; ++i) out.apply({keyOf(i), valueOf(i, 0), 0});
  return out;
}

void registerSlopes() {
  constexpr int kLargest = 9900;
  // Below these keys times are those of a core's own cache; a snapshot is written through the system's.
  constexpr int kOutOfCache = 2400, kSnapshotFrom = 5000;
  const std::vector<int> sizes{200,           400,  800,  1600, kOutOfCache, 3300,
                               kSnapshotFrom, 6000, 7000, 8000, kLargest};
  const auto folder = std::filesystem::temp_directory_path() / fmt::format("topazweir-scale-{}", ::getpid());
  std::filesystem::create_directories(folder);
  std::vector<agreement::Register> held;
  std::vector<std::string> answers;
  std::vector<std::vector<VoterCost>> voters(sizes.size());
  std::vector<std::function<double()>> writes, reads;
  for (const int keys : sizes) held.push_back(registerOf(keys)), answers.push_back(answerOf(held.back(), 0));
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const int times = std::max(1, 6600 / sizes[i]);
    writes.push_back(
        [&, i, times] { return costOf(times, [&] { static_cast<void>(answerOf(held[i], 0)); }); });
    reads.push_back([&, i, times] {
      return costOf(times, [&] {
        agreement::Follower fresh({}, kSec, 0);
        take(answers[i], fresh);
      });
    });
  }
  const auto write = inRounds(kRounds, writes), read = inRounds(kRounds, reads);
  for (int round = 0; round < kVoterRounds; ++round)
    for (std::size_t i = 0; i < sizes.size(); ++i) voters[i].push_back(voterCost(sizes[i], folder));
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);

  fmt::print("register by keys: an answer to a member that follows, as today; a change at a voter\n");
  fmt::print("{:>6} {:>9} {:>9} {:>9} {:>8} {:>7} {:>9} {:>11} {:>10} {:>7} {:>12}\n", "keys", "bytes",
             "none new", "write us", "read us", "spread", "snapshot", "us, leader", "us, other", "spread",
             "us, snapshot");
  Slope bytes, writeUs, readUs, snapshot, voterSnapshot, leader{Model::constant}, other{Model::constant};
  std::vector<double> came;
  double nothing = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto of = [&](double VoterCost::*part) {
      std::vector<double> values;
      for (const auto& cost : voters[i]) values.push_back(cost.*part);
      return repeated(std::move(values));
    };
    const auto l = of(&VoterCost::leader), o = of(&VoterCost::follower), s = of(&VoterCost::snapshot);
    const double size = sizes[i], whole = static_cast<double>(answers[i].size()),
                 raft = static_cast<double>(held[i].write().size());
    nothing = static_cast<double>(answerOf(held[i], held[i].commands()).size());
    fmt::print(
        "{:>6} {:>9.0f} {:>9.0f} {:>9.0f} {:>8.0f} {:>6.0f}% {:>9.0f} {:>11.1f} {:>10.1f} {:>6.0f}% "
        "{:>12.0f}\n",
        sizes[i], whole, nothing, write[i].least, read[i].least,
        100 * std::max(write[i].spread(), read[i].spread()), raft, l.least, o.least,
        100 * std::max(l.spread(), o.spread()), s.least);
    came = {whole, write[i].least, read[i].least, raft, l.least, o.least, s.least};
    if (sizes[i] == kLargest) break;
    bytes.add(size, whole), snapshot.add(size, raft);
    leader.add(size, l.least), other.add(size, o.least);
    if (sizes[i] < kOutOfCache) continue;
    writeUs.add(size, write[i].least), readUs.add(size, read[i].least);
    if (sizes[i] >= kSnapshotFrom) voterSnapshot.add(size, s.least);
  }
  bytes.compare("bytes of an answer", kLargest, came[0]);
  writeUs.compare("us to write it", kLargest, came[1]);
  readUs.compare("us to read it", kLargest, came[2]);
  snapshot.compare("bytes of a snapshot", kLargest, came[3]);
  leader.compare("us a change, leader", kLargest, came[4]);
  other.compare("us a change, other voter", kLargest, came[5]);
  voterSnapshot.compare("us of a voter's snapshot, each 512 changes", kLargest, came[6]);

  // A change every 11 s, asked for every 5 s: each change is fetched whole once by each, at the next
  // question.
  const double questions = 1 / kPollSeconds, changed = std::min(questions, 1 / kSecondsAChange);
  fmt::print("\nat {} members, a change every {:.1f} s, asked every {} s (computed from the rows above)\n",
             kMembers, kSecondsAChange, kPollSeconds);
  fmt::print("{:>6} {:>16} {:>20} {:>18} {:>16} {:>18}\n", "keys", "bytes/s a member", "MB/s off all voters",
             "MB/s a voter of 3", "us/s a member", "cores a voter of 3");
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double each = changed * static_cast<double>(answers[i].size()) + (questions - changed) * nothing;
    fmt::print("{:>6} {:>16.0f} {:>20.1f} {:>18.1f} {:>16.0f} {:>18.3f}\n", sizes[i], each,
               kMembers * each / 1e6, kMembers * each / 3e6, changed * read[i].least,
               kMembers * changed * write[i].least / 3e6);
  }
  const double crossed = (kBytesAMember / changed - bytes.fit().intercept) / bytes.fit().slope;
  fmt::print("6 KB/s a member is crossed at {:.0f} keys\n", crossed);
}

void exchangeSlopes() {
  constexpr int kLargest = 2000, kOutOfCache = 500;
  const std::vector<int> sizes{125, 250, kOutOfCache, 700, 1000, 1400, kLargest};
  std::vector<membership::Detector> detectors;
  std::vector<membership::Message> messages;
  std::vector<std::string> wires;
  std::vector<std::function<double()>> costs;  // write, read and take of each
  for (const int members : sizes) {
    detectors.push_back(detectorOf(members));
    membership::Message all{.kind = membership::Kind::syncReply, .sender = memberName(1)};
    all.from = "10.24.117.83:9400";
    for (const auto& [name, member] : detectors.back().view()) all.news.push_back(member.record);
    wires.push_back(fleet::framed(fleet::encode(all, kFleet)));
    messages.push_back(std::move(all));
  }
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const int times = std::max(1, 4000 / sizes[i]);
    costs.push_back([&, i, times] {
      return costOf(times, [&] { static_cast<void>(fleet::encode(messages[i], kFleet)); });
    });
    costs.push_back([&, i, times] {
      return costOf(times, [&] {
        static_cast<void>(fleet::decode(std::string_view(wires[i]).substr(fleet::kFrameHead), kFleet));
      });
    });
    costs.push_back(
        [&, i, times] { return costOf(times, [&] { detectors[i].received(messages[i], 2 * kSec); }); });
  }
  const auto cost = inRounds(kRounds, costs);
  fmt::print("a full exchange by members: one message with all records, as it is sent, read and taken\n");
  fmt::print("{:>8} {:>10} {:>8} {:>10} {:>10} {:>10} {:>7}\n", "members", "bytes", "/member", "write us",
             "read us", "take us", "spread");
  Slope bytes, write, read, taken;
  std::vector<double> came;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto &w = cost[3 * i], &r = cost[3 * i + 1], &t = cost[3 * i + 2];
    const double size = sizes[i], sent = static_cast<double>(wires[i].size());
    fmt::print("{:>8} {:>10.0f} {:>8.1f} {:>10.0f} {:>10.0f} {:>10.0f} {:>6.0f}%\n", sizes[i], sent,
               sent / size, w.least, r.least, t.least, 100 * std::max({w.spread(), r.spread(), t.spread()}));
    came = {sent, w.least, r.least, t.least};
    if (sizes[i] == kLargest) break;
    bytes.add(size, sent);
    if (sizes[i] < kOutOfCache) continue;
    write.add(size, w.least), read.add(size, r.least), taken.add(size, t.least);
  }
  bytes.compare("bytes of an exchange, one way", kLargest, came[0]);
  write.compare("us to write it", kLargest, came[1]);
  read.compare("us to read it", kLargest, came[2]);
  taken.compare("us to take it", kLargest, came[3]);
  // Each asks once in 30 s and is asked once: two messages out, two in.
  constexpr double kAWay = 2.0 / 30;
  fmt::print(
      "\nat {} members, one asked and one answered each 30 s: {:.0f} bytes/s out, as many in, {:.0f} us/s\n",
      kLargest, kAWay * came[0], kAWay * (came[1] + came[2] + came[3]));
  fmt::print("6 KB/s out is crossed by exchanges alone at {:.0f} members\n",
             (kBytesAMember / kAWay - bytes.fit().intercept) / bytes.fit().slope);
}

void detectorCosts() {
  constexpr int kLargest = 2000, kOutOfCache = 500;
  const std::vector<int> sizes{125, 250, kOutOfCache, 700, 1000, 1400, kLargest};
  const std::vector<std::string> voters{memberName(1), memberName(2), memberName(3)}, gone{"a", "b", "c"};
  std::vector<membership::Detector> detectors;
  std::vector<membership::Sharers> sharers(sizes.size(), membership::Sharers(60 * kSec, 1));
  std::vector<std::function<double()>> costs;  // tick, standing, sharers, standing in a minority
  std::vector<Nanos> clocks(sizes.size(), 2 * kSec);
  for (const int members : sizes) detectors.push_back(detectorOf(members));
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    auto& detector = detectors[i];
    // 30 periods, with a full exchange; each probe is answered, so that nobody is suspected.
    auto& now = clocks[i];
    costs.push_back([&] {
      return costOf(300, [&] {
        const auto step = detector.tick(now += 100 * kMs);
        for (const auto& out : step.out)
          if (out.message.kind == membership::Kind::ping)
            detector.received({.kind = membership::Kind::ack,
                               .sender = out.message.about,
                               .from = out.to,
                               .about = out.message.about,
                               .sequence = out.message.sequence},
                              now);
      });
    });
    costs.push_back([&] {
      return costOf(100, [&] { static_cast<void>(membership::standing(detector, voters, true)); });
    });
    costs.push_back(
        [&, i] { return costOf(20, [&] { static_cast<void>(sharers[i].now(detector, clocks[i])); }); });
    costs.push_back(
        [&] { return costOf(100, [&] { static_cast<void>(membership::standing(detector, gone, true)); }); });
  }
  const auto cost = inRounds(kRounds, costs);
  fmt::print("a member's own work by members, without sockets: us each; ten ticks a period\n");
  fmt::print("{:>8} {:>9} {:>10} {:>10} {:>12} {:>7}\n", "members", "tick us", "standing", "sharers",
             "in minority", "spread");
  Slope shared, minority;
  std::vector<double> came;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto &t = cost[4 * i], &s = cost[4 * i + 1], &h = cost[4 * i + 2], &m = cost[4 * i + 3];
    fmt::print("{:>8} {:>9.1f} {:>10.2f} {:>10.1f} {:>12.1f} {:>6.0f}%\n", sizes[i], t.least, s.least,
               h.least, m.least, 100 * h.spread());
    came = {t.least, h.least, m.least};
    if (sizes[i] == kLargest || sizes[i] < kOutOfCache) continue;
    shared.add(sizes[i], h.least), minority.add(sizes[i], m.least);
  }
  claim(10 * came[0] <= came[1], "a tick costs less than a tenth of the sharers");
  shared.compare("us of the sharers", kLargest, came[1]);
  minority.compare("us of the standing, in a minority", kLargest, came[2]);
  fmt::print("\nat {} members and a period of 1 s: {:.2f}% of a core for ticks, {:.2f}% for the sharers\n",
             kLargest, 10 * came[0] / 1e4, 10 * came[1] / 1e4);
}

}  // namespace topazweir::lab::scale
