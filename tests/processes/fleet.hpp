// A fleet of aggregator processes, each reached by the others through a relay of its own that injects faults.
// Their state is queried at their operators' addresses.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "cli/members.hpp"
#include "event_loop_test.hpp"
#include "lab/fake_server.hpp"
#include "operator_call.hpp"
#include "process.hpp"
#include "relay.hpp"

namespace topazweir::test {

class FleetProcesses : public Stage {
 public:
  static constexpr Nanos kPeriodNs = 200'000'000;
  static constexpr const char* kFleet = "test";

  // The first `voters` members are voters. All random choices come from the seed, which is printed on a
  // failure.
  FleetProcesses(std::string program, const std::string& name, int voters, std::uint64_t seed)
      : program_(std::move(program)), folder_(temporaryFolder(name)), voters_(voters), random_(seed) {
    seed_ = seed;
  }

  // Starts a member, or restarts it with a new process.
  Process& start(int i, const std::string& fleet = kFleet, const std::string& zone = "a") {
    auto& member = members_[i];
    if (!member.relay)
      member.relay = std::make_unique<Relay>(
          loop, relayAddress(i), listenAddress(i), kFleet,
          [this, i](const auto& from) { return faults(indexOf(from), i); }, random_());
    const auto file = folder_ + "/" + nameOf(i);
    std::ofstream(file + ".json")
        << R"({"name":")" << nameOf(i) << R"(","listen":")" << address(i, 3) << R"(","ops":")"
        << operatorAddress(i) << R"(","discovery":")" << address(i, 5)
        << R"(","settings":{"familyInfo":{"slabs":1},"profiles":[{"name":"s","aimNs":1000000000,"deadlineNs":2000000000}]}})";
    std::ofstream operatorFile(file + ".hcl");
    operatorFile << "membership {\n  fleet = \"" << fleet << "\"\n  listen = \"" << listenAddress(i)
                 << "\"\n  advertise = \"" << relayAddress(i) << "\"\n  zone = \"" << zone
                 << "\"\n  periodMs = " << kPeriodNs / 1'000'000
                 << "\n  syncMs = 2000\n  forgetMs = 60000\n  seeds = [";
    for (std::size_t k = 0; k < seeds.size(); ++k)
      operatorFile << (k > 0 ? ", " : "") << '"' << relayAddress(seeds[k]) << '"';
    // The rate limit allows for heartbeats that are five times as frequent as with the default period.
    operatorFile << "]\n  fanOut = " << fanOut << "\n  changeBytesPerS = 65536\n";
    for (int v = 0; v < voters_; ++v)
      operatorFile << "  voter \"" << nameOf(v) << "\" { address = \"" << relayAddress(v) << "\" }\n";
    if (persistentState) operatorFile << "  state = \"" << folder_ << "/state\"\n";
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

  // The view of each of these members, queried at the same time; empty for a member that does not answer.
  std::map<int, cli::MembershipView> views(const std::vector<int>& observers) {
    std::map<int, std::unique_ptr<OperatorCall>> calls;
    for (const int i : observers)
      calls[i] = std::make_unique<OperatorCall>(loop, operatorAddress(i), "members");
    until("answers of members", [&] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& c) { return c.second->done(); });
    });
    std::map<int, cli::MembershipView> out;
    for (const auto& [i, call] : calls) out[i] = cli::parseView(operatorAddress(i), call->answer());
    return out;
  }
  // Waits until each of `observers` sees each of `subjects` in one of the states; "" is an unknown member.
  void untilStates(const std::string& what, const std::vector<int>& observers,
                   const std::vector<int>& subjects, const std::set<std::string>& states) {
    const Nanos end = loop.now() + kConvergenceLimitNs;
    while (true) {
      std::string wrong;
      for (const auto& [i, view] : views(observers))
        for (const int k : subjects)
          if (states.count(stateOf(view, k)) == 0)
            wrong = nameOf(i) + " sees " + nameOf(k) + " as \"" + stateOf(view, k) + "\"";
      if (wrong.empty()) return;
      if (loop.now() > end) fail(what + ": " + wrong);
      runFor(kPeriodNs / 2);
    }
  }
  void untilAllAlive(const std::string& what, const std::vector<int>& members) {
    untilStates(what, members, members, {"alive"});
  }
  void untilMembershipState(const std::string& what, const std::vector<int>& observers,
                            const std::string& standing) {
    const Nanos end = loop.now() + kConvergenceLimitNs;
    while (true) {
      std::string wrong;
      for (const auto& [i, view] : views(observers))
        if (view.standing != standing)
          wrong = nameOf(i) + " has the membership state \"" + view.standing + "\"";
      if (wrong.empty()) return;
      if (loop.now() > end) fail(what + ": " + wrong);
      runFor(kPeriodNs / 2);
    }
  }
  struct Leadership {
    std::string coordinator;
    long fence = 0, commands = 0;
    bool operator==(const Leadership&) const = default;
  };
  // The coordinator according to a member's register; empty if the member does not answer.
  Leadership leadership(int i) {
    const auto answer = call(i, "members register");
    Leadership out;
    std::istringstream lines(answer);
    for (std::string line; std::getline(lines, line);) {
      std::sscanf(line.c_str(), "ACK commands=%ld", &out.commands);
      char name[64] = {};
      if (std::sscanf(line.c_str(), "role/coordinator fence=%ld %63s", &out.fence, name) == 2)
        out.coordinator = name;
    }
    return out;
  }
  // Where a member that is not a voter gets its register from.
  struct RegisterSource {
    std::string parent;  // empty: none
    double age = -1;     // of the register, in seconds; negative: never confirmed by a voter
  };
  RegisterSource registerSource(int i) {
    const auto answer = call(i, "members register");
    RegisterSource out;
    char name[64] = {};
    const auto at = answer.find(" age=");
    if (at == std::string::npos) return out;
    std::sscanf(answer.c_str() + at, " age=%lf", &out.age);
    if (const auto parent = answer.find(" parent="); parent != std::string::npos)
      std::sscanf(answer.c_str() + parent, " parent=%63s", name);
    if (std::string(name) != "-") out.parent = name;
    return out;
  }
  // Waits until a condition holds that queries the processes.
  void untilTrue(const std::string& what, const std::function<bool()>& holds) {
    for (const Nanos end = loop.now() + kConvergenceLimitNs; !holds(); runFor(kPeriodNs / 2))
      if (loop.now() > end) fail(what);
  }
  // Waits until the register of each of these members is at least as new; false after the limit.
  bool untilRegisterReached(const std::vector<int>& observers, const Leadership& least) {
    for (const Nanos end = loop.now() + kConvergenceLimitNs; loop.now() < end; runFor(kPeriodNs / 2))
      if (std::all_of(observers.begin(), observers.end(),
                      [&](int i) { return leadership(i).commands >= least.commands; }))
        return true;
    return false;
  }
  // Waits until all of these members name the same one of them as coordinator, with the same fence, higher
  // than `minFence`.
  Leadership untilLeader(const std::string& what, const std::vector<int>& observers, long minFence) {
    const Nanos end = loop.now() + kConvergenceLimitNs;
    while (true) {
      std::set<std::string> names;
      std::set<long> fences;
      for (const int i : observers) {
        const auto one = leadership(i);
        names.insert(one.coordinator);
        fences.insert(one.fence);
      }
      const int coordinator = indexOf(*names.begin());
      const bool among = std::find(observers.begin(), observers.end(), coordinator) != observers.end();
      if (names.size() == 1 && fences.size() == 1 && among && *fences.begin() > minFence)
        return leadership(observers.front());
      if (loop.now() > end)
        fail(what + ": no common coordinator with a fence over " + std::to_string(minFence));
      runFor(kPeriodNs / 2);
    }
  }
  std::string stateFile(int i) const { return folder_ + "/state/voter." + kFleet + "." + nameOf(i); }
  static std::string stateOf(const cli::MembershipView& view, int i) {
    for (const auto& row : view.rows)
      if (row.name == nameOf(i)) return row.state;
    return {};
  }
  std::string call(int i, const std::string& line) {
    OperatorCall operatorCall(loop, operatorAddress(i), line);
    until("an answer to " + line, [&] { return operatorCall.done(); });
    return operatorCall.answer();
  }
  // A counter of the process, from GET /counters.
  long counter(int i, const std::string& name) {
    lab::Client client(loop, address(i, 3), "GET /counters HTTP/1.1\r\nHost: a\r\n\r\n");
    client.stopsLoop = false;
    until("/counters", [&] { return client.done(); });
    const auto at = ("\n" + client.body).find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::atol(client.body.c_str() + at + name.size() + 1);
  }

  // Waits until the counter has at least this value.
  void untilCounter(int i, const std::string& name, long least) {
    const Nanos end = loop.now() + kConvergenceLimitNs;
    while (counter(i, name) < least) {
      if (loop.now() > end) fail(name + " of " + nameOf(i) + " stays below " + std::to_string(least));
      runFor(kPeriodNs / 2);
    }
  }

  static std::string nameOf(int i) { return "n" + std::to_string(i); }
  static int indexOf(const std::string& name) { return name.empty() ? -1 : std::atoi(name.c_str() + 1); }
  std::string relayAddress(int i) const { return address(i, 1); }  // of its relay, announced to the others
  std::string listenAddress(int i) const { return address(i, 2); }
  std::string operatorAddress(int i) const { return address(i, 4); }
  static std::vector<int> range(int first, int last) {
    std::vector<int> out;
    for (int i = first; i <= last; ++i) out.push_back(i);
    return out;
  }
  // Prints the reason and the last log lines of all members, and ends the test.
  [[noreturn]] void fail(const std::string& why) {
    std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed_), why.c_str());
    for (const auto& [i, member] : members_) {
      const auto& lines = member.process->lines();
      for (std::size_t k = lines.size() > kMaxShownLines ? lines.size() - kMaxShownLines : 0;
           k < lines.size(); ++k)
        std::fprintf(stderr, "  %s: %s\n", nameOf(i).c_str(), lines[k].c_str());
    }
    std::_Exit(1);
  }

  std::function<Path(int from, int to)> faults = [](int, int) { return Path{}; };  // on each path
  std::vector<int> seeds{0, 1};
  bool persistentState = false;  // voters get a state folder and form a Raft group
  int fanOut = 8;                // of the dissemination

 private:
  static constexpr Nanos kConvergenceLimitNs = 90'000'000'000;
  static constexpr std::size_t kMaxShownLines = 6;  // of each member's log
  static constexpr int kBasePort = 7000;
  struct Member {
    std::unique_ptr<Relay> relay;
    std::unique_ptr<Process> process;
  };
  // Each member has its own loopback address, in a subnet chosen by the process id, so that fixed ports do
  // not collide with other processes or concurrent runs.
  static std::string address(int i, int port) {
    const int run = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + run % 128) + "." + std::to_string(run / 128 % 250) + "." +
           std::to_string(1 + i) + ":" + std::to_string(kBasePort + port);
  }

  std::string program_, folder_;
  int voters_;
  std::mt19937_64 random_;
  std::uint64_t seed_ = 0;
  std::map<int, Member> members_;
};

}  // namespace topazweir::test
