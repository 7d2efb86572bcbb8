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
constexpr int kRuns = 7;

// One that followed would have taken: a command is one key's new value.
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

// Three voters, each with its file, joined without a wire: processor time a change, of the leader and of the
// mean follower, with two snapshots of all keys in it.
struct VoterCost {
  double leader = 0, follower = 0, fileBytes = 0;
};

VoterCost voterCost(int keys, const std::filesystem::path& folder) {
  constexpr std::size_t kVoters = 3;
  constexpr int kChanges = 1024;
  std::vector<std::unique_ptr<agreement::FileStore>> stores;
  std::vector<std::unique_ptr<agreement::Voter>> voters;
  std::vector<double> spent(kVoters, 0);
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
      spent[next.to] += threadMicros() - from;
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
  std::fill(spent.begin(), spent.end(), 0);
  for (int i = 0; i < kChanges; ++i) {
    const auto key = keyOf(i % keys);
    const auto* at = voters[leader]->held().find(key);
    const agreement::Command command{key, valueOf(i % keys, i + 1), at ? at->fence : 0};
    const double from = threadMicros();
    auto step = voters[leader]->propose(command, 1, now);
    spent[leader] += threadMicros() - from;
    if (step) carry(leader, std::move(*step));
    deliver();
    if (i % 16 == 15) tick();
  }
  VoterCost out;
  out.leader = spent[leader] / kChanges;
  for (std::size_t i = 0; i < kVoters; ++i)
    if (i != leader) out.follower += spent[i] / kChanges / (kVoters - 1);
  out.fileBytes =
      static_cast<double>(std::filesystem::file_size(folder / fmt::format("voter-{}-{}", keys, leader)));
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
  fmt::print("register by keys: an answer to a member that follows, as today; a change at a voter\n");
  fmt::print("{:>6} {:>10} {:>10} {:>9} {:>9} {:>7} {:>10} {:>11} {:>12} {:>10}\n", "keys", "bytes",
             "bytes,same", "write us", "read us", "spread", "snapshot", "leader us/c", "follower us/c",
             "file bytes");
  Slope bytes, write, read, snapshot, leader, follower;
  std::vector<double> came;
  const auto folder = std::filesystem::temp_directory_path() / fmt::format("topazweir-scale-{}", ::getpid());
  std::filesystem::create_directories(folder);
  constexpr int kLargest = 9900;
  double nothing = 0;
  for (const int keys : {200, 400, 800, 1600, 3300, kLargest}) {
    const auto held = registerOf(keys);
    const auto answer = answerOf(held, 0);
    nothing = static_cast<double>(answerOf(held, held.commands()).size());
    const int times = std::max(1, 6600 / keys);
    std::string out;
    const auto w = costOf(kRuns, times, [&] { out = answerOf(held, 0); });
    const auto r = costOf(kRuns, times, [&] {
      agreement::Follower fresh({}, kSec);
      take(answer, fresh);
    });
    const auto voter = voterCost(keys, folder);
    const double size = keys, whole = static_cast<double>(answer.size()),
                 raft = static_cast<double>(held.write().size());
    fmt::print(
        "{:>6} {:>10.0f} {:>10.0f} {:>9.0f} {:>9.0f} {:>6.0f}% {:>10.0f} {:>11.1f} {:>12.1f} {:>10.0f}\n",
        keys, whole, nothing, w.least, r.least, 100 * std::max(w.spread(), r.spread()), raft, voter.leader,
        voter.follower, voter.fileBytes);
    std::fflush(stdout);
    if (keys == kLargest) {
      came = {whole, w.least, r.least, raft, voter.leader, voter.follower};
      break;
    }
    bytes.add(size, whole), write.add(size, w.least), read.add(size, r.least), snapshot.add(size, raft);
    leader.add(size, voter.leader), follower.add(size, voter.follower);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  bytes.compare("bytes of an answer", kLargest, came[0]);
  write.compare("us to write it", kLargest, came[1]);
  read.compare("us to read it", kLargest, came[2]);
  snapshot.compare("bytes of a snapshot", kLargest, came[3]);
  leader.compare("us a change, leader", kLargest, came[4]);
  follower.compare("us a change, other voter", kLargest, came[5]);

  // A change every 11 s, asked for every 5 s: each change is fetched whole once by each, at the next
  // question.
  const double questions = 1 / kPollSeconds, changed = std::min(questions, 1 / kSecondsAChange);
  const auto aMember = [&](double keys) {
    return changed * bytes.at(keys) + (questions - changed) * nothing;
  };
  fmt::print("\nat {} members, a change every {:.1f} s, asked every {} s (computed from the slopes above)\n",
             kMembers, kSecondsAChange, kPollSeconds);
  fmt::print("{:>6} {:>16} {:>20} {:>18} {:>16} {:>18}\n", "keys", "bytes/s a member", "MB/s off all voters",
             "MB/s a voter of 3", "us/s a member", "cores a voter of 3");
  for (const double keys : {200.0, 1000.0, 3300.0, 9900.0})
    fmt::print("{:>6.0f} {:>16.0f} {:>20.1f} {:>18.1f} {:>16.0f} {:>18.2f}\n", keys, aMember(keys),
               kMembers * aMember(keys) / 1e6, kMembers * aMember(keys) / 3e6, changed * read.at(keys),
               kMembers * changed * write.at(keys) / 3e6);
  const double crossed = (kBytesAMember / changed - bytes.fit().intercept) / bytes.fit().slope;
  fmt::print("6 KB/s a member is crossed at {:.0f} keys\n", crossed);
}

void exchangeSlopes() {
  fmt::print("a full exchange by members: one message with all records, as it is sent, read and taken\n");
  fmt::print("{:>8} {:>10} {:>8} {:>10} {:>10} {:>10} {:>7}\n", "members", "bytes", "/member", "write us",
             "read us", "take us", "spread");
  Slope bytes, write, read, take;
  constexpr int kLargest = 2000;
  std::vector<double> came;
  for (const int members : {125, 250, 500, 1000, kLargest}) {
    auto detector = detectorOf(members);
    membership::Message all{.kind = membership::Kind::syncReply, .sender = memberName(1)};
    all.from = "10.24.117.83:9400";
    for (const auto& [name, member] : detector.view()) all.news.push_back(member.record);
    const auto wire = fleet::framed(fleet::encode(all, kFleet));
    const int times = std::max(1, 4000 / members);
    std::string out;
    const auto w = costOf(kRuns, times, [&] { out = fleet::encode(all, kFleet); });
    const auto r = costOf(kRuns, times, [&] {
      static_cast<void>(fleet::decode(std::string_view(wire).substr(fleet::kFrameHead), kFleet));
    });
    const auto t = costOf(kRuns, times, [&] { detector.received(all, 2 * kSec); });
    const double size = members, sent = static_cast<double>(wire.size());
    fmt::print("{:>8} {:>10.0f} {:>8.1f} {:>10.0f} {:>10.0f} {:>10.0f} {:>6.0f}%\n", members, sent,
               sent / size, w.least, r.least, t.least, 100 * std::max({w.spread(), r.spread(), t.spread()}));
    std::fflush(stdout);
    if (members == kLargest) {
      came = {sent, w.least, r.least, t.least};
      break;
    }
    bytes.add(size, sent), write.add(size, w.least), read.add(size, r.least), take.add(size, t.least);
  }
  bytes.compare("bytes of an exchange, one way", kLargest, came[0]);
  write.compare("us to write it", kLargest, came[1]);
  read.compare("us to read it", kLargest, came[2]);
  take.compare("us to take it", kLargest, came[3]);
  // Each asks once in 30 s and is asked once: two messages out, two in.
  constexpr double kAWay = 2.0 / 30;
  fmt::print(
      "\nat {} members, one asked and one answered each 30 s: {:.0f} bytes/s out, as many in, {:.0f} us/s\n",
      kLargest, kAWay * came[0], kAWay * (came[1] + came[2] + came[3]));
  fmt::print("6 KB/s out is crossed by exchanges alone at {:.0f} members\n",
             (kBytesAMember / kAWay - bytes.fit().intercept) / bytes.fit().slope);
}

void detectorCosts() {
  fmt::print("a member's own work by members, without sockets: us each; ten ticks a period\n");
  fmt::print("{:>8} {:>9} {:>10} {:>10} {:>12} {:>7}\n", "members", "tick us", "standing", "sharers",
             "in minority", "spread");
  Slope tick, agreed, sharers, minority;
  constexpr int kLargest = 2000;
  std::vector<double> came;
  for (const int members : {125, 250, 500, 1000, kLargest}) {
    auto detector = detectorOf(members);
    Nanos now = 2 * kSec;
    // An answered probe a period, so that nobody is suspected.
    const auto t = costOf(kRuns, 200, [&] {
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
    const std::vector<std::string> voters{memberName(1), memberName(2), memberName(3)}, gone{"a", "b", "c"};
    membership::Sharers all(60 * kSec, 1);
    const auto s =
        costOf(kRuns, 100, [&] { static_cast<void>(membership::standing(detector, voters, true)); });
    const auto m = costOf(kRuns, 100, [&] { static_cast<void>(membership::standing(detector, gone, true)); });
    const auto h = costOf(kRuns, 100, [&] { static_cast<void>(all.now(detector, now += kMs)); });
    fmt::print("{:>8} {:>9.1f} {:>10.2f} {:>10.1f} {:>12.1f} {:>6.0f}%\n", members, t.least, s.least, h.least,
               m.least, 100 * std::max({t.spread(), h.spread()}));
    std::fflush(stdout);
    if (members == kLargest) {
      came = {t.least, h.least, m.least};
      break;
    }
    const double size = members;
    tick.add(size, t.least), sharers.add(size, h.least), minority.add(size, m.least);
  }
  tick.compare("us of the detector's tick", kLargest, came[0]);
  sharers.compare("us of the sharers", kLargest, came[1]);
  minority.compare("us of the standing, in a minority", kLargest, came[2]);
  fmt::print("\nat {} members and a period of 1 s: {:.2f}% of a core for ticks, {:.2f}% for the sharers\n",
             kLargest, 10 * came[0] / 1e4, 10 * came[1] / 1e4);
}

}  // namespace topazweir::lab::scale
