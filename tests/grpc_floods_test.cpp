// The real program with 32 MB and 1,024 descriptors, while clients of the gRPC front misbehave. The process
// stays within its memory, usual clients get the final status of each call in time, and no call is started
// for a client that has left.
#include <cstring>

#include "processes/grpc_clients.hpp"
#include "processes/hostile_clients.hpp"
#include "processes/limited_process.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kAttackNs = 3'500'000'000;
constexpr std::chrono::milliseconds kDeadline{LimitedProcess::kDeadlineMs};

// Plays an attack beside a usual caller. Returns the number of broken rules.
int playAttack(const char* program, const char* name,
               const std::function<std::vector<std::shared_ptr<void>>(const std::string&)>& attack) {
  LimitedProcess world(program, "grpc-floods");
  int broken = 0;
  world.play([&] {
    world.untilServing();
    UsualCaller usual(world.grpc, kDeadline);
    world.until("a first status", [&] { return usual.soFar().total() > 0; });
    {
      const auto attackers = attack(world.grpc);
      world.runFor(kAttackNs);
    }
    usual.stop();
    world.until("the last status", [&] { return usual.ended(); });
    const auto results = usual.soFar();
    results.print(name);
    if (!world.withinMemory(name)) ++broken;
    if (results.late + results.closed > 0 || results.statuses.count(0) == 0) ++broken;
  });
  return broken;
}

int halfSentCallsStayInMemory(const char* program) {
  constexpr int kConnections = 250;
  constexpr int kCalls = 60;
  constexpr std::size_t kDataBytes = 15'000;
  std::string bytes = preface();
  for (int n = 0; n < kCalls; ++n) {
    bytes += callHead(streamOf(n), RawClient::head(), false);
    for (int piece = 0; piece < 4; ++piece)
      bytes +=
          encodeFrame(kDataFrame, 0, streamOf(n),
                      piece == 0 ? std::string(1, '\0') + bigEndian(60'000) + std::string(kDataBytes, 'x')
                                 : std::string(kDataBytes, 'x'));
  }
  return playAttack(program, "half-sent calls", [&](const auto& address) {
    return std::vector<std::shared_ptr<void>>{std::make_shared<Crowd>(address, kConnections, bytes)};
  });
}

int headsOfShortFieldsStayInMemory(const char* program) {
  constexpr int kConnections = 250;
  constexpr int kCalls = 150;
  constexpr int kFields = 440;
  auto fields = RawClient::head();
  for (int i = 0; i < kFields; ++i) fields.push_back({"a", ""});
  std::string bytes = preface();
  for (int n = 0; n < kCalls; ++n) bytes += callHead(streamOf(n), fields, false);
  return playAttack(program, "heads of short fields", [&](const auto& address) {
    return std::vector<std::shared_ptr<void>>{std::make_shared<Crowd>(address, kConnections, bytes)};
  });
}

std::string unsoundCall(int n) {
  return callHead(streamOf(n), {{":method", "POST"}, {":scheme", "http"}, {":path", "nowhere"}}, false);
}

std::string newName(int n) {
  return callHead(streamOf(n), RawClient::head("/n" + std::to_string(n) + ".N/Call"), true);
}

std::string usualCall(int n) {
  return callHead(streamOf(n), RawClient::head(), false) +
         encodeFrame(kDataFrame, kEndStreamFlag, streamOf(n), grpcMessage("m"));
}

std::string resetCall(int n) {
  return callHead(streamOf(n), RawClient::head(), false) +
         encodeFrame(kResetFrame, 0, streamOf(n), bigEndian(kCancel));
}

std::string ping(int) { return encodeFrame(kPingFrame, 0, 0, "12345678"); }

struct FullSpeedCalls {
  const char* name;
  std::string (*next)(int n);
};
constexpr std::array<FullSpeedCalls, 5> kFullSpeedCalls = {{{"unsound calls", unsoundCall},
                                                            {"new names", newName},
                                                            {"calls", usualCall},
                                                            {"reset calls", resetCall},
                                                            {"pings", ping}}};

int playFullSpeed(const char* program, int count, bool reads) {
  constexpr int kCallsPerPiece = 200;
  int broken = 0;
  for (const auto& [name, next] : kFullSpeedCalls) {
    const auto what = std::string(name) + " at full speed" + (reads ? "" : ", answers unread");
    broken += playAttack(program, what.c_str(), [&, next = next](const auto& address) {
      std::vector<std::shared_ptr<void>> out;
      // Streams are numbered on across the connections of a client, which is allowed.
      const auto piece = [next](int n) {
        std::string bytes;
        for (int i = 0; i < kCallsPerPiece; ++i) bytes += next(n * kCallsPerPiece + i);
        return bytes;
      };
      for (int c = 0; c < count; ++c)
        out.push_back(std::make_shared<FullSpeedClient>(address, piece, reads, preface()));
      return out;
    });
  }
  return broken;
}

int callsAtFullSpeedDelayNobody(const char* program) { return playFullSpeed(program, 6, true); }
int unreadStatusesStayInMemory(const char* program) { return playFullSpeed(program, 1, false); }

// A client sends far more calls than its connection carries at once, and leaves.
int nothingIsSentForAClientThatLeftBehindUnreadBytes(const char* program) {
  constexpr std::size_t kAheadBytes = 8 * 1024 * 1024;
  constexpr std::chrono::milliseconds kAllowed{150};  // 0.1 s, and the way to the backend
  constexpr Nanos kMs = 1'000'000;
  int broken = 0;
  LimitedProcess world(program, "grpc-left-behind");
  world.play([&] {
    world.untilServing();
    for (const auto fault : {Fault::none, Fault::unresponsive, Fault::trailersOnly}) {
      world.backendFault = fault;
      std::string bytes = preface();
      for (int n = 0; bytes.size() < kAheadBytes; ++n) bytes += usualCall(n);
      ClientSocket client(world.grpc);
      std::size_t at = 0;
      std::string answers;
      const int before = world.backend.calls;
      world.until("calls sent ahead", [&] {
        const auto sentBefore = at;
        const bool open = client.sendSome(bytes, at) && client.receiveSome(answers);
        return !open || (at == sentBefore && world.backend.calls > before);
      });
      client.receiveSome(answers);
      client.close();
      const auto left = SteadyClock::now();
      world.runFor(2'000 * kMs);
      int after = 0;
      for (const auto& when : world.backend.arrivals()) after += when > left + kAllowed;
      std::fprintf(stderr, "left behind %zu bytes of calls, fault %d: %d calls, %d later than 0.1 s\n", at,
                   static_cast<int>(fault), world.backend.calls - before, after);
      CHECK(!world.process->over());
      broken += after > 0;
    }
  });
  return broken;
}

}  // namespace
}  // namespace topazweir::test

int main(int count, char** words) {
  using namespace topazweir::test;
  CHECK(count > 1);
  const std::vector<std::pair<const char*, int (*)(const char*)>> cases{
      {"halfSentCallsStayInMemory", halfSentCallsStayInMemory},
      {"headsOfShortFieldsStayInMemory", headsOfShortFieldsStayInMemory},
      {"unreadStatusesStayInMemory", unreadStatusesStayInMemory},
      {"callsAtFullSpeedDelayNobody", callsAtFullSpeedDelayNobody},
      {"nothingIsSentForAClientThatLeftBehindUnreadBytes", nothingIsSentForAClientThatLeftBehindUnreadBytes}};
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
