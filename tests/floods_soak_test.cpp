// Drawn floods on all fronts of the real program with 32 MB and 1,024 descriptors, with faulty servers,
// stalls of the process and reloads between them, and a shutdown in the middle of the last one. Usual clients
// of every front get each answer in time, the process stays within its memory and ends by itself.
//   topazweir_floods_soak_test PROGRAM FIRST_SEED SEEDS ROUNDS
#include <random>

#include "processes/grpc_clients.hpp"
#include "processes/hostile_clients.hpp"
#include "processes/limited_process.hpp"

namespace topazweir::test {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::chrono::milliseconds kDeadline{LimitedProcess::kDeadlineMs};

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) out += text;
  return out;
}

class DrawnFloods {
 public:
  DrawnFloods(const char* program, unsigned seed) : world_(program, "soak"), random_(seed), seed_(seed) {}

  // Returns the number of broken rules.
  int play(int rounds) {
    int broken = 0;
    world_.play([&] {
      world_.untilServing();
      UsualClient queries(
          world_.listen, [](int n) { return LimitedProcess::query("u" + std::to_string(n)); }, kDeadline);
      UsualClient features(
          world_.features, [](int) { return LimitedProcess::get("/collections/branches/items"); }, kDeadline);
      UsualCaller calls(world_.grpc, kDeadline);
      std::shared_ptr<void> last;
      for (int round = 0; round < rounds; ++round) {
        const auto flood = drawFlood();
        drawServers();
        world_.runFor(draw(300, 1200) * kMs);
        drawEvent();
        world_.runFor(draw(300, 1500) * kMs);
        if (round + 1 == rounds) last = flood;
      }
      queries.stop();
      features.stop();
      calls.stop();
      world_.until("the usual clients' last answers",
                   [&] { return queries.ended() && features.ended() && calls.ended(); });
      broken += check("platform", queries.soFar()) + check("features", features.soFar()) +
                check("grpc", calls.soFar());
      broken += !world_.withinMemory(what().c_str());
      world_.process->terminate();
      world_.until("the end of the process", [&] { return world_.process->over(); });
      broken += world_.process->exited() != 0;
    });
    if (broken > 0) std::fprintf(stderr, "seed %u, drawn: %s\n", seed_, drawn_.c_str());
    return broken;
  }

 private:
  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  std::string what() const { return "seed " + std::to_string(seed_); }
  int check(const char* front, const UsualResults& results) const {
    results.print((what() + ", " + front).c_str());
    return results.late + results.closed > 0 || results.total() == 0;
  }
  std::shared_ptr<void> note(const std::string& name, std::shared_ptr<void> flood) {
    drawn_ += name + "; ";
    return flood;
  }
  std::shared_ptr<void> drawFlood() { return draw(0, 2) == 0 ? drawCallFlood() : drawRequestFlood(); }

  std::shared_ptr<void> drawRequestFlood() {
    const bool platform = draw(0, 1) == 0;
    const auto address = platform ? world_.listen : world_.features;
    const int count = draw(1, 700);
    const auto body = static_cast<std::size_t>(draw(1, 65'000));
    const auto head = "POST /search HTTP/1.1\r\nHost: a\r\n";
    const auto crowd = [&](const std::string& name, const std::string& bytes, std::size_t most = 1 << 20) {
      return note(name + " x " + std::to_string(count) + (platform ? " platform" : " features"),
                  std::make_shared<Crowd>(address, count, bytes, most));
    };
    switch (draw(0, 7)) {
      case 0:
        return crowd("half a body", head + ("Content-Length: 65000\r\n\r\n" + std::string(body, 'x')));
      case 1:
        return crowd("bytes in chunks of one",
                     head + ("Transfer-Encoding: chunked\r\n\r\n" + repeated("1\r\nx\r\n", body)));
      case 2:
        return crowd("endless trailers",
                     head + ("Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("a: b\r\n", 4 * body)));
      case 3:
        return crowd("short fields", head + repeated("a:\r\n", body / 4));
      case 4:
        return crowd("slow writers", head + ("Content-Length: 65000\r\n\r\n" + std::string(body, 'x')),
                     static_cast<std::size_t>(draw(1, 2000)));
      case 5:
        return crowd("sent ahead",
                     LimitedProcess::query("open") + repeated(LimitedProcess::get("/up"), 4 * body));
      case 6:
        return note("unread",
                    std::make_shared<FullSpeedClient>(
                        address, [](int) { return repeated(LimitedProcess::get("/"), 50'000); }, false));
      default:
        return note("queries at full speed",
                    std::make_shared<FullSpeedClient>(
                        address,
                        [seed = draw(0, 1 << 20)](int n) {
                          return LimitedProcess::query(std::to_string(seed) + "-" + std::to_string(n));
                        },
                        true));
    }
  }

  std::shared_ptr<void> drawCallFlood() {
    const int count = draw(1, 250);
    const int calls = draw(1, 150);
    const auto data = static_cast<std::size_t>(draw(1, 15'000));
    auto fields = RawClient::head();
    if (draw(0, 1) == 0) fields.resize(fields.size() + static_cast<std::size_t>(draw(0, 400)), {"a", ""});
    std::string bytes = preface();
    for (int n = 0; n < calls; ++n)
      bytes += callHead(streamOf(n), fields, false) +
               encodeFrame(kDataFrame, 0, streamOf(n), std::string(data, '\0'));
    if (draw(0, 2) == 0)
      return note("calls at full speed",
                  std::make_shared<FullSpeedClient>(
                      world_.grpc, [fields](int n) { return callHead(streamOf(n), fields, true); },
                      draw(0, 1) == 0, preface()));
    return note("half-sent calls x " + std::to_string(count) + " x " + std::to_string(calls),
                std::make_shared<Crowd>(world_.grpc, count, bytes));
  }

  void drawServers() {
    constexpr std::array<lab::Fault, 6> kFaults = {lab::Fault::none, lab::Fault::none,    lab::Fault::none,
                                                   lab::Fault::slow, lab::Fault::rejects, lab::Fault::silent};
    world_.leafA.fault() = kFaults[static_cast<std::size_t>(draw(0, 5))];
    world_.featureServer.fault() = kFaults[static_cast<std::size_t>(draw(0, 5))];
    world_.backendFault = draw(0, 3) == 0 ? Fault::unresponsive : Fault::none;
  }

  // A stall of the process for up to 0.15 s, a reload, or nothing.
  void drawEvent() {
    const int event = draw(0, 3);
    if (event == 0) world_.process->signal(SIGHUP);
    if (event != 1) return;
    drawn_ += "stall; ";
    world_.process->stop();
    world_.runFor(draw(10, 150) * kMs);
    world_.process->resume();
  }

  LimitedProcess world_;
  std::mt19937 random_;
  unsigned seed_;
  std::string drawn_;
};

}  // namespace
}  // namespace topazweir::test

int main(int count, char** words) {
  using namespace topazweir::test;
  CHECK(count == 5);
  const auto first = static_cast<unsigned>(std::stoul(words[2]));
  const auto seeds = static_cast<unsigned>(std::stoul(words[3]));
  int broken = 0;
  for (unsigned seed = first; seed < first + seeds; ++seed)
    broken += DrawnFloods(words[1], seed).play(std::stoi(words[4]));
  std::printf("%u seeds, %d broken rules\n", seeds, broken);
  return broken > 0 ? 1 : 0;
}
