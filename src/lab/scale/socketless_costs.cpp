#include "lab/scale/socketless_costs.hpp"

#include <unistd.h>

#include <deque>
#include <filesystem>
#include <memory>

#include "agreement/file_store.hpp"
#include "agreement/follower.hpp"
#include "agreement/voter.hpp"
#include "fleet/codec.hpp"
#include "lab/scale/claims.hpp"
#include "membership/detector.hpp"
#include "membership/limit_sharing.hpp"
#include "membership/membership_state.hpp"

namespace topazweir::lab::scale {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSec = 1000 * kMs;
constexpr double kMemberBudgetBytesPerS = 6000;  // target limit for the traffic of one member
constexpr double kChangeIntervalSeconds = 86'400.0 / 7800;
constexpr double kTargetMembers = 2000;
constexpr double kPollIntervalSeconds = 5;
constexpr int kRounds = 25;
constexpr int kVoterRounds = 7;

constexpr const char* kFleetName = "dawa-collect";

std::string encodeAnswer(const agreement::Register& held, std::uint64_t known) {
  membership::Message answer{.kind = membership::Kind::followReply, .sender = memberName(0)};
  answer.from = "10.24.117.83:9400";
  answer.payload = agreement::encodeFollowerReply(held, true, known);
  return fleet::framed(fleet::encode(answer, kFleetName));
}

void applyAnswer(std::string_view answer, agreement::Follower& follower) {
  const auto read = fleet::decode(answer.substr(fleet::kFrameHead), kFleetName);
  if (const auto* message = std::get_if<membership::Message>(&read)) follower.take(message->payload, 1);
}

// Costs of three voters with a file store each, connected without sockets: CPU time in microseconds. `leader`
// and `follower` are the medians over all changes, the cost of appending; `snapshot` is the most expensive
// turn of the leader, in which it writes a snapshot of all keys.
struct VoterCost {
  double leader = 0, follower = 0, snapshot = 0;
};

VoterCost measureVoterCost(int keys, const std::filesystem::path& directory) {
  constexpr std::size_t kVoters = 3;
  constexpr int kChanges = 600;  // a voter writes a snapshot every 512 changes, so one is included
  std::vector<std::unique_ptr<agreement::FileStore>> stores;
  std::vector<std::unique_ptr<agreement::Voter>> voters;
  std::vector<std::vector<double>> turns(kVoters);    // us of each turn, by voter
  std::vector<std::vector<double>> changes(kVoters);  // us of each change, by voter
  std::vector<double> currentChangeCost(kVoters, 0);
  const auto addCost = [&](std::size_t voter, double from) {
    const double time = threadCpuMicros() - from;
    turns[voter].push_back(time);
    currentChangeCost[voter] += time;
  };
  struct QueuedMessage {
    std::size_t from, to;
    std::string bytes;
  };
  std::deque<QueuedMessage> messageQueue;
  Nanos now = kSec;
  const auto held = registerOf(keys);
  for (std::size_t i = 0; i < kVoters; ++i) {
    stores.push_back(
        std::make_unique<agreement::FileStore>((directory / fmt::format("voter-{}-{}", keys, i)).string()));
    stores[i]->setTerm(1);
    stores[i]->put({static_cast<std::uint64_t>(keys), 1, 1, held.write()}, 0);
    agreement::VoterOptions options{.self = i + 1, .voters = {1, 2, 3}};
    options.seed = i + 1;
    voters.push_back(std::make_unique<agreement::Voter>(options, *stores[i], now));
  }
  const auto enqueue = [&](std::size_t from, agreement::Voter::Step step) {
    for (auto& out : step.out) messageQueue.push_back({from, out.to - 1, std::move(out.bytes)});
  };
  const auto deliver = [&] {
    while (!messageQueue.empty()) {
      const auto next = std::move(messageQueue.front());
      messageQueue.pop_front();
      const double from = threadCpuMicros();
      auto step = voters[next.to]->received(next.from + 1, next.bytes, now);
      addCost(next.to, from);
      enqueue(next.to, std::move(step));
    }
  };
  const auto tick = [&] {
    now += 50 * kMs;
    for (std::size_t i = 0; i < kVoters; ++i) enqueue(i, voters[i]->tick(now));
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
    std::fill(currentChangeCost.begin(), currentChangeCost.end(), 0);
    const auto key = keyOf(i % keys);
    const auto* at = voters[leader]->held().find(key);
    const agreement::Command command{key, valueOf(i % keys, i + 1), at ? at->fence : 0};
    const double from = threadCpuMicros();
    auto step = voters[leader]->propose(command, 1, now);
    addCost(leader, from);
    if (step) enqueue(leader, std::move(*step));
    deliver();
    for (std::size_t k = 0; k < kVoters; ++k) changes[k].push_back(currentChangeCost[k]);
    if (i % 16 == 15) tick();
  }
  VoterCost out;
  out.leader = summarise(changes[leader]).median;
  for (std::size_t i = 0; i < kVoters; ++i)
    if (i != leader) out.follower += summarise(changes[i]).median / (kVoters - 1);
  out.snapshot = summarise(turns[leader]).max;
  return out;
}

membership::Detector makeDetector(int members) {
  membership::Settings settings;
  membership::Detector detector(settings, memberRecord(0, "127.64.1.1:9400"));
  detector.join({}, kSec);
  membership::Message fullExchange{.kind = membership::Kind::syncReply, .sender = memberName(1)};
  for (int i = 1; i < members; ++i)
    fullExchange.news.push_back(
        memberRecord(i, fmt::format("10.{}.{}.{}:9400", 20 + i % 6, i / 200, i % 200 + 1)));
  detector.received(fullExchange, kSec);
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

void measureRegister() {
  constexpr int kLargest = 9900;
  // Encode and decode times are fitted from here on; with fewer keys the data fits into a core's own cache.
  constexpr int kMinFittedSize = 2400;
  // Snapshot times are fitted from here on; snapshots are written through the operating system's cache.
  constexpr int kMinSnapshotFittedKeys = 5000;
  const std::vector<int> sizes{200,  400,  800,  1600,    kMinFittedSize, 3300, kMinSnapshotFittedKeys,
                               6000, 7000, 8000, kLargest};
  const auto directory =
      std::filesystem::temp_directory_path() / fmt::format("topazweir-scale-{}", ::getpid());
  std::filesystem::create_directories(directory);
  std::vector<agreement::Register> held;
  std::vector<std::string> answers;
  std::vector<std::vector<VoterCost>> voters(sizes.size());
  std::vector<std::function<double()>> writes, reads;
  for (const int keys : sizes) {
    held.push_back(registerOf(keys));
    answers.push_back(encodeAnswer(held.back(), 0));
  }
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const int times = std::max(1, 6600 / sizes[i]);
    writes.push_back([&, i, times] {
      return meanCostMicros(times, [&] { static_cast<void>(encodeAnswer(held[i], 0)); });
    });
    reads.push_back([&, i, times] {
      return meanCostMicros(times, [&] {
        agreement::Follower fresh({}, kSec, 0);
        applyAnswer(answers[i], fresh);
      });
    });
  }
  const auto write = measureInRounds(kRounds, writes), read = measureInRounds(kRounds, reads);
  for (int round = 0; round < kVoterRounds; ++round)
    for (std::size_t i = 0; i < sizes.size(); ++i) voters[i].push_back(measureVoterCost(sizes[i], directory));
  std::error_code ignored;
  std::filesystem::remove_all(directory, ignored);

  fmt::print("register by keys: an answer to a member that follows, as today; a change at a voter\n");
  fmt::print("{:>6} {:>9} {:>9} {:>9} {:>8} {:>7} {:>9} {:>11} {:>10} {:>7} {:>12}\n", "keys", "bytes",
             "none new", "write us", "read us", "spread", "snapshot", "us, leader", "us, other", "spread",
             "us, snapshot");
  ScalingFit bytes, writeUs, readUs, snapshot, voterSnapshot, leader{FitModel::constant},
      other{FitModel::constant};
  std::vector<double> measured;
  double emptyAnswerBytes = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto summariseCost = [&](double VoterCost::*part) {
      std::vector<double> values;
      for (const auto& cost : voters[i]) values.push_back(cost.*part);
      return summarise(std::move(values));
    };
    const auto l = summariseCost(&VoterCost::leader), o = summariseCost(&VoterCost::follower),
               s = summariseCost(&VoterCost::snapshot);
    const double size = sizes[i], fullBytes = static_cast<double>(answers[i].size()),
                 snapshotBytes = static_cast<double>(held[i].write().size());
    emptyAnswerBytes = static_cast<double>(encodeAnswer(held[i], held[i].commands()).size());
    fmt::print(
        "{:>6} {:>9.0f} {:>9.0f} {:>9.0f} {:>8.0f} {:>6.0f}% {:>9.0f} {:>11.1f} {:>10.1f} {:>6.0f}% "
        "{:>12.0f}\n",
        sizes[i], fullBytes, emptyAnswerBytes, write[i].min, read[i].min,
        100 * std::max(write[i].relativeSpread(), read[i].relativeSpread()), snapshotBytes, l.min, o.min,
        100 * std::max(l.relativeSpread(), o.relativeSpread()), s.min);
    measured = {fullBytes, write[i].min, read[i].min, snapshotBytes, l.min, o.min, s.min};
    if (sizes[i] == kLargest) break;
    bytes.add(size, fullBytes);
    snapshot.add(size, snapshotBytes);
    leader.add(size, l.min);
    other.add(size, o.min);
    if (sizes[i] < kMinFittedSize) continue;
    writeUs.add(size, write[i].min);
    readUs.add(size, read[i].min);
    if (sizes[i] >= kMinSnapshotFittedKeys) voterSnapshot.add(size, s.min);
  }
  bytes.compare("bytes of an answer", kLargest, measured[0]);
  writeUs.compare("us to write it", kLargest, measured[1]);
  readUs.compare("us to read it", kLargest, measured[2]);
  snapshot.compare("bytes of a snapshot", kLargest, measured[3]);
  leader.compare("us a change, leader", kLargest, measured[4]);
  other.compare("us a change, other voter", kLargest, measured[5]);
  voterSnapshot.compare("us of a voter's snapshot, each 512 changes", kLargest, measured[6]);

  // Changes come every 11 s and members poll every 5 s, so each member fetches each change once, with the
  // whole register, at its next poll.
  const double pollsPerS = 1 / kPollIntervalSeconds,
               fetchesPerS = std::min(pollsPerS, 1 / kChangeIntervalSeconds);
  fmt::print("\nat {} members, a change every {:.1f} s, asked every {} s (computed from the rows above)\n",
             kTargetMembers, kChangeIntervalSeconds, kPollIntervalSeconds);
  fmt::print("{:>6} {:>16} {:>20} {:>18} {:>16} {:>18}\n", "keys", "bytes/s a member", "MB/s off all voters",
             "MB/s a voter of 3", "us/s a member", "cores a voter of 3");
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const double each =
        fetchesPerS * static_cast<double>(answers[i].size()) + (pollsPerS - fetchesPerS) * emptyAnswerBytes;
    fmt::print("{:>6} {:>16.0f} {:>20.1f} {:>18.1f} {:>16.0f} {:>18.3f}\n", sizes[i], each,
               kTargetMembers * each / 1e6, kTargetMembers * each / 3e6, fetchesPerS * read[i].min,
               kTargetMembers * fetchesPerS * write[i].min / 3e6);
  }
  const double maxKeys = (kMemberBudgetBytesPerS / fetchesPerS - bytes.fit().intercept) / bytes.fit().slope;
  fmt::print("6 KB/s a member is crossed at {:.0f} keys\n", maxKeys);
}

void measureFullExchange() {
  constexpr int kLargest = 2000;
  constexpr int kMinFittedSize = 500;  // below it the data fits into a core's own cache
  const std::vector<int> sizes{125, 250, kMinFittedSize, 700, 1000, 1400, kLargest};
  std::vector<membership::Detector> detectors;
  std::vector<membership::Message> messages;
  std::vector<std::string> frames;
  std::vector<std::function<double()>> costs;  // encode, decode and merge for each size
  for (const int members : sizes) {
    detectors.push_back(makeDetector(members));
    membership::Message fullExchange{.kind = membership::Kind::syncReply, .sender = memberName(1)};
    fullExchange.from = "10.24.117.83:9400";
    for (const auto& [name, member] : detectors.back().view()) fullExchange.news.push_back(member.record);
    frames.push_back(fleet::framed(fleet::encode(fullExchange, kFleetName)));
    messages.push_back(std::move(fullExchange));
  }
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const int times = std::max(1, 4000 / sizes[i]);
    costs.push_back([&, i, times] {
      return meanCostMicros(times, [&] { static_cast<void>(fleet::encode(messages[i], kFleetName)); });
    });
    costs.push_back([&, i, times] {
      return meanCostMicros(times, [&] {
        static_cast<void>(fleet::decode(std::string_view(frames[i]).substr(fleet::kFrameHead), kFleetName));
      });
    });
    costs.push_back([&, i, times] {
      return meanCostMicros(times, [&] { detectors[i].received(messages[i], 2 * kSec); });
    });
  }
  const auto cost = measureInRounds(kRounds, costs);
  fmt::print("a full exchange by members: one message with all records, as it is sent, read and taken\n");
  fmt::print("{:>8} {:>10} {:>8} {:>10} {:>10} {:>10} {:>7}\n", "members", "bytes", "/member", "write us",
             "read us", "take us", "spread");
  ScalingFit bytes, write, read, merge;
  std::vector<double> measured;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto &w = cost[3 * i], &r = cost[3 * i + 1], &t = cost[3 * i + 2];
    const double size = sizes[i], sent = static_cast<double>(frames[i].size());
    fmt::print("{:>8} {:>10.0f} {:>8.1f} {:>10.0f} {:>10.0f} {:>10.0f} {:>6.0f}%\n", sizes[i], sent,
               sent / size, w.min, r.min, t.min,
               100 * std::max({w.relativeSpread(), r.relativeSpread(), t.relativeSpread()}));
    measured = {sent, w.min, r.min, t.min};
    if (sizes[i] == kLargest) break;
    bytes.add(size, sent);
    if (sizes[i] < kMinFittedSize) continue;
    write.add(size, w.min);
    read.add(size, r.min);
    merge.add(size, t.min);
  }
  bytes.compare("bytes of an exchange, one way", kLargest, measured[0]);
  write.compare("us to write it", kLargest, measured[1]);
  read.compare("us to read it", kLargest, measured[2]);
  merge.compare("us to take it", kLargest, measured[3]);
  // Each member sends one request and answers one request in 30 s: two messages out, two in.
  constexpr double kMessagesPerSecond = 2.0 / 30;
  fmt::print(
      "\nat {} members, one asked and one answered each 30 s: {:.0f} bytes/s out, as many in, {:.0f} us/s\n",
      kLargest, kMessagesPerSecond * measured[0],
      kMessagesPerSecond * (measured[1] + measured[2] + measured[3]));
  fmt::print("6 KB/s out is crossed by exchanges alone at {:.0f} members\n",
             (kMemberBudgetBytesPerS / kMessagesPerSecond - bytes.fit().intercept) / bytes.fit().slope);
}

void measureDetectorCosts() {
  constexpr int kLargest = 2000;
  constexpr int kMinFittedSize = 500;  // below it the data fits into a core's own cache
  const std::vector<int> sizes{125, 250, kMinFittedSize, 700, 1000, 1400, kLargest};
  const std::vector<std::string> voters{memberName(1), memberName(2), memberName(3)},
      unknownVoters{"a", "b", "c"};
  std::vector<membership::Detector> detectors;
  std::vector<membership::LimitSharing> sharers(sizes.size(), membership::LimitSharing(60 * kSec, 1));
  // For each size: tick, membership state, limit sharing, membership state in a minority.
  std::vector<std::function<double()>> costs;
  std::vector<Nanos> clocks(sizes.size(), 2 * kSec);
  for (const int members : sizes) detectors.push_back(makeDetector(members));
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    auto& detector = detectors[i];
    // 30 periods, including a full exchange. Each probe is answered, so no member is suspected.
    auto& now = clocks[i];
    costs.push_back([&] {
      return meanCostMicros(300, [&] {
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
      return meanCostMicros(100, [&] { static_cast<void>(membership::standing(detector, voters, true)); });
    });
    costs.push_back([&, i] {
      return meanCostMicros(20, [&] { static_cast<void>(sharers[i].now(detector, clocks[i])); });
    });
    costs.push_back([&] {
      return meanCostMicros(100,
                            [&] { static_cast<void>(membership::standing(detector, unknownVoters, true)); });
    });
  }
  const auto cost = measureInRounds(kRounds, costs);
  fmt::print("a member's own work by members, without sockets: us each; ten ticks a period\n");
  fmt::print("{:>8} {:>9} {:>10} {:>10} {:>12} {:>7}\n", "members", "tick us", "standing", "sharers",
             "in minority", "spread");
  ScalingFit shared, minority;
  std::vector<double> measured;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    const auto &t = cost[4 * i], &s = cost[4 * i + 1], &h = cost[4 * i + 2], &m = cost[4 * i + 3];
    fmt::print("{:>8} {:>9.1f} {:>10.2f} {:>10.1f} {:>12.1f} {:>6.0f}%\n", sizes[i], t.min, s.min, h.min,
               m.min, 100 * h.relativeSpread());
    measured = {t.min, h.min, m.min};
    if (sizes[i] == kLargest || sizes[i] < kMinFittedSize) continue;
    shared.add(sizes[i], h.min);
    minority.add(sizes[i], m.min);
  }
  checkClaim(10 * measured[0] <= measured[1], "a tick costs less than a tenth of the sharers");
  shared.compare("us of the sharers", kLargest, measured[1]);
  minority.compare("us of the standing, in a minority", kLargest, measured[2]);
  fmt::print("\nat {} members and a period of 1 s: {:.2f}% of a core for ticks, {:.2f}% for the sharers\n",
             kLargest, 10 * measured[0] / 1e4, 10 * measured[1] / 1e4);
}

}  // namespace topazweir::lab::scale
