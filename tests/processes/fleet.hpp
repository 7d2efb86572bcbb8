// A fleet of real processes that know each other, each behind a relay of its own; asked over their operators'
// addresses what they hold.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "cli/members.hpp"
#include "lab/stand_in.hpp"
#include "ops_call.hpp"
#include "process.hpp"
#include "relay.hpp"
#include "steps.hpp"

namespace topazweir::test {

class FleetWorld : public Stage {
 public:
  static constexpr Nanos kPeriod = 200'000'000;
  static constexpr const char* kFleet = "test";

  // `voters`: the first ones. All draws come from the seed, which a failure prints.
  FleetWorld(std::string program, const std::string& name, int voters, std::uint64_t seed)
      : program_(std::move(program)), folder_(scratchFolder(name)), voters_(voters), random_(seed) {
    seed_ = seed;
  }

  // Starts a member, or a further process of it beside the one that runs.
  Process& start(int i, const std::string& fleet = kFleet, const std::string& zone = "a") {
    auto& member = members_[i];
    if (!member.relay)
      member.relay = std::make_unique<Relay>(
          loop, front(i), hears(i), kFleet, [this, i](const auto& from) { return path(numberOf(from), i); },
          random_());
    const auto file = folder_ + "/" + nameOf(i);
    std::ofstream(file + ".json")
        << R"({"name":")" << nameOf(i) << R"(","listen":")" << address(i, 3) << R"(","ops":")" << ops(i)
        << R"(","discovery":")" << address(i, 5)
        << R"(","settings":{"familyInfo":{"slabs":1},"profiles":[{"name":"s","aimNs":1000000000,"deadlineNs":2000000000}]}})";
    std::ofstream operatorFile(file + ".hcl");
    operatorFile << "membership {\n  fleet = \"" << fleet << "\"\n  listen = \"" << hears(i)
                 << "\"\n  advertise = \"" << front(i) << "\"\n  zone = \"" << zone
                 << "\"\n  periodMs = " << kPeriod / 1'000'000
                 << "\n  syncMs = 2000\n  forgetMs = 60000\n  seeds = [";
    for (std::size_t k = 0; k < seeds.size(); ++k)
      operatorFile << (k > 0 ? ", " : "") << '"' << front(seeds[k]) << '"';
    operatorFile << "]\n  fanOut = " << fanOut
                 << "\n  changeBytesPerS = 65536\n";  // beats go by the period, a fifth of the usual one
    for (int v = 0; v < voters_; ++v)
      operatorFile << "  voter \"" << nameOf(v) << "\" { address = \"" << front(v) << "\" }\n";
    if (keepsState) operatorFile << "  state = \"" << folder_ << "/state\"\n";
    operatorFile << "}\n";
    operatorFile.close();
    Process::Plan plan;
    plan.program = program_;
    plan.words = {"run", "--config", file + ".json", "--operator", file + ".hcl"};
    plan.log = file + ".log";
    plan.set = {{"NODE_CONFIG", std::nullopt},
                {"NODE_LISTEN", std::nullopt},
                {"NODE_OPS", std::nullopt},
                {"NODE_SOCKET_FD", std::nullopt}};
    member.process = std::make_unique<Process>(plan);
    return *member.process;
  }
  void start(int first, int last) {
    for (int i = first; i <= last; ++i) start(i);
  }
  Process& process(int i) { return *members_.at(i).process; }

  // What each of them holds, asked at once; one that does not answer has an empty view.
  std::map<int, cli::View> views(const std::vector<int>& who) {
    std::map<int, std::unique_ptr<OpsCall>> calls;
    for (const int i : who) calls[i] = std::make_unique<OpsCall>(loop, ops(i), "members");
    until("answers of members", [&] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& c) { return c.second->over(); });
    });
    std::map<int, cli::View> out;
    for (const auto& [i, call] : calls) out[i] = cli::readView(ops(i), call->answer());
    return out;
  }
  // Waits until all of `who` hold each of `about` to be in one of the states; one that is unknown is "".
  void untilHeld(const std::string& what, const std::vector<int>& who, const std::vector<int>& about,
                 const std::set<std::string>& states) {
    const Nanos end = loop.now() + kLimit;
    while (true) {
      std::string wrong;
      for (const auto& [i, view] : views(who))
        for (const int k : about)
          if (states.count(stateOf(view, k)) == 0)
            wrong = nameOf(i) + " holds " + nameOf(k) + " for \"" + stateOf(view, k) + "\"";
      if (wrong.empty()) return;
      if (loop.now() > end) fail(what + ": " + wrong);
      runFor(kPeriod / 2);
    }
  }
  void untilOneView(const std::string& what, const std::vector<int>& who) {
    untilHeld(what, who, who, {"alive"});
  }
  void untilStanding(const std::string& what, const std::vector<int>& who, const std::string& standing) {
    const Nanos end = loop.now() + kLimit;
    while (true) {
      std::string wrong;
      for (const auto& [i, view] : views(who))
        if (view.standing != standing) wrong = nameOf(i) + " stands at \"" + view.standing + "\"";
      if (wrong.empty()) return;
      if (loop.now() > end) fail(what + ": " + wrong);
      runFor(kPeriod / 2);
    }
  }
  struct Led {
    std::string coordinator;
    long fence = 0, commands = 0;
    bool operator==(const Led&) const = default;
  };
  // Who coordinates by a voter's register; nobody where it does not answer.
  Led led(int i) {
    const auto answer = call(i, "members register");
    Led out;
    std::istringstream lines(answer);
    for (std::string line; std::getline(lines, line);) {
      std::sscanf(line.c_str(), "ACK commands=%ld", &out.commands);
      char name[64] = {};
      if (std::sscanf(line.c_str(), "role/coordinator fence=%ld %63s", &out.fence, name) == 2)
        out.coordinator = name;
    }
    return out;
  }
  // From whom a member that is no voter has its register; age in s, below 0: nobody has ever vouched for it.
  struct Follows {
    std::string parent;  // empty: none
    double age = -1;
  };
  Follows follows(int i) {
    const auto answer = call(i, "members register");
    Follows out;
    char name[64] = {};
    const auto at = answer.find(" age=");
    if (at == std::string::npos) return out;
    std::sscanf(answer.c_str() + at, " age=%lf", &out.age);
    if (const auto parent = answer.find(" parent="); parent != std::string::npos)
      std::sscanf(answer.c_str() + parent, " parent=%63s", name);
    if (std::string(name) != "-") out.parent = name;
    return out;
  }
  // Waits for a condition that is asked of the processes.
  void untilTrue(const std::string& what, const std::function<bool()>& holds) {
    for (const Nanos end = loop.now() + kLimit; !holds(); runFor(kPeriod / 2))
      if (loop.now() > end) fail(what);
  }
  // Waits until each of them holds this, or what came later.
  bool untilHeldBy(const std::vector<int>& who, const Led& least) {
    for (const Nanos end = loop.now() + kLimit; loop.now() < end; runFor(kPeriod / 2))
      if (std::all_of(who.begin(), who.end(), [&](int i) { return led(i).commands >= least.commands; }))
        return true;
    return false;
  }
  // Waits until all of them name one of themselves, under a fence over this one, and reach a majority.
  Led untilLed(const std::string& what, const std::vector<int>& who, long over) {
    const Nanos end = loop.now() + kLimit;
    while (true) {
      std::set<std::string> names;
      std::set<long> fences;
      for (const int i : who) {
        const auto one = led(i);
        names.insert(one.coordinator), fences.insert(one.fence);
      }
      const int name = numberOf(*names.begin());
      const bool among = std::find(who.begin(), who.end(), name) != who.end();
      if (names.size() == 1 && fences.size() == 1 && among && *fences.begin() > over) return led(who.front());
      if (loop.now() > end) fail(what + ": no one coordinator over fence " + std::to_string(over));
      runFor(kPeriod / 2);
    }
  }
  std::string stateFile(int i) const { return folder_ + "/state/voter." + kFleet + "." + nameOf(i); }
  static std::string stateOf(const cli::View& view, int i) {
    for (const auto& row : view.rows)
      if (row.name == nameOf(i)) return row.state;
    return {};
  }
  std::string call(int i, const std::string& line) {
    OpsCall asked(loop, ops(i), line);
    until("an answer to " + line, [&] { return asked.over(); });
    return asked.answer();
  }
  // A counter of the process, from GET /counters.
  long counter(int i, const std::string& name) {
    lab::Client client(loop, address(i, 3), "GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    client.stopsLoop = false;
    until("/counters", [&] { return client.done(); });
    const auto at = ("\n" + client.body).find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::atol(client.body.c_str() + at + name.size() + 1);
  }

  void untilCounted(int i, const std::string& name, long least) {
    const Nanos end = loop.now() + kLimit;
    while (counter(i, name) < least) {
      if (loop.now() > end) fail(name + " of " + nameOf(i) + " stays under " + std::to_string(least));
      runFor(kPeriod / 2);
    }
  }

  static std::string nameOf(int i) { return "n" + std::to_string(i); }
  static int numberOf(const std::string& name) { return name.empty() ? -1 : std::atoi(name.c_str() + 1); }
  std::string front(int i) const { return address(i, 1); }  // of its relay: what the others are told
  std::string hears(int i) const { return address(i, 2); }
  std::string ops(int i) const { return address(i, 4); }
  static std::vector<int> range(int first, int last) {
    std::vector<int> out;
    for (int i = first; i <= last; ++i) out.push_back(i);
    return out;
  }
  [[noreturn]] void fail(const std::string& why) {
    std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed_), why.c_str());
    for (const auto& [i, member] : members_) {
      const auto& lines = member.process->lines();
      for (std::size_t k = lines.size() > kShown ? lines.size() - kShown : 0; k < lines.size(); ++k)
        std::fprintf(stderr, "  %s: %s\n", nameOf(i).c_str(), lines[k].c_str());
    }
    std::_Exit(1);
  }

  std::function<Path(int from, int to)> path = [](int, int) { return Path{}; };
  std::vector<int> seeds{0, 1};
  bool keepsState = false;  // the voters agree, and keep their word
  int fanOut = 8;           // of the dissemination

 private:
  static constexpr Nanos kLimit = 90'000'000'000;
  static constexpr std::size_t kShown = 6;
  struct Member {
    std::unique_ptr<Relay> relay;
    std::unique_ptr<Process> process;
  };
  // Each member has an address of the loopback net for itself, and each run of the test another net: no port
  // is drawn that somebody else may have.
  static std::string address(int i, int port) {
    const int run = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + run % 128) + "." + std::to_string(run / 128 % 250) + "." +
           std::to_string(1 + i) + ":" + std::to_string(7000 + port);
  }

  std::string program_, folder_;
  int voters_;
  std::mt19937_64 random_;
  std::uint64_t seed_ = 0;
  std::map<int, Member> members_;
};

}  // namespace topazweir::test
