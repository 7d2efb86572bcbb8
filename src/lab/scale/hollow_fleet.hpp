// Starts and controls the processes of a fleet of hollow members: one process for each voter and each
// dedicated relay, many members per process for the rest.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/scale/hollow_members.hpp"

namespace topazweir::lab::scale {

// Sums over processes, except for the minima and maxima, which are named so.
struct ProcessStats {
  double cpuMicros = 0;
  double maxRssKib = 0;  // above that of a process before its members start
  double rssKib = 0;
  double running = 0;                 // members
  double minAlive = 0, maxAlive = 0;  // number of members that a member considers alive
  double sent = 0, sentBytes = 0, received = 0, receivedBytes = 0;  // datagrams
  double unsent = 0, malformedMessages = 0;
  double connected = 0, accepted = 0, droppedExchanges = 0, streamSentBytes = 0, streamReceivedBytes = 0;
  double minCommands = 0, maxCommands = 0;  // applied to a member's register
  double maxLoopDelayMs = 0;                // largest delay of an event loop since the previous query
  double changesProposed = 0;
  double registerRequests = 0;  // full registers requested from voters
  // Differences of the counters since `before`; gauges keep their present values.
  ProcessStats operator-(const ProcessStats& before) const;
  ProcessStats& operator+=(const ProcessStats& other);
};

class HollowFleet {
 public:
  // Prints the resources that it will use. Throws std::runtime_error if they exceed half of the machine's
  // memory, two hundred processes or the descriptor limit.
  HollowFleet(const HollowOptions& options, int membersPerProcess);
  ~HollowFleet();  // ends its processes by closing their input, and waits for them
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  // Sends a command to all processes and returns their answers in order. Throws std::runtime_error if a
  // process has exited, does not answer or reports a failure.
  std::vector<std::string> sendToAll(const std::string& line);
  std::string sendToVoter(int i, const std::string& line);
  // Starts all members, spread over `overSeconds`, and waits until each considers all others alive. Returns
  // false if that takes longer than the limit.
  bool startAndConverge(double overSeconds, double limitSeconds);
  // The two steps of startAndConverge(), for fleets that run concurrently.
  void start(double overSeconds);
  bool waitUntilConverged(double limitSeconds);
  ProcessStats voterStats();
  ProcessStats otherStats();  // of all non-voters, including dedicated relays
  ProcessStats relayStats();
  // Polls the condition; false if it does not hold within the limit.
  bool waitUntil(double limitSeconds, const std::function<bool()>& condition);
  int leader();  // index of the voter that leads the Raft group; -1: none
  void sleep(double seconds) const;
  static double unixSeconds();  // the same clock as the members' event loops

  // When each member declared the watched member failed: seconds after the time given to "watch", sorted.
  std::vector<double> failureDetectionTimes();
  // By number of the change: the times at which the voters and the other members applied it, in seconds after
  // the time given to "record".
  struct Arrivals {
    std::map<long, std::vector<double>> voters, others;
  };
  Arrivals arrivals();

  // The registers of the running members of one or several processes.
  struct RegisterSummary {
    int firstMember = 0;  // index of the process's first member
    double minCommands = 0, maxCommands = 0;
    double maxAgeSeconds = 0;        // above 10^5: the freshness of one was never confirmed
    double minFence = 0;             // of the coordinator's role
    std::set<std::string> hashes{};  // of the distinct contents
  };
  std::vector<RegisterSummary> registerSummaries();  // by process
  // The most bytes that a single voter or other member sent or received in any one second.
  struct PeakTraffic {
    double voterSent = 0, voterReceived = 0, memberSent = 0, memberReceived = 0;
  };
  PeakTraffic takePeakTraffic();  // since the previous call; the first call starts the measurement

 private:
  struct Process {
    pid_t pid = -1;
    int commandFd = -1, answerFd = -1;
    int firstMember = 0, memberCount = 0;
    std::string unreadInput;
    double baseRssKib = 0;  // before its members start
  };
  void checkLimits(int membersPerProcess) const;
  void spawn(int firstMember, int memberCount);
  void serializeCommand(Process& process, const std::string& line) const;
  std::string readAnswer(Process& process) const;
  ProcessStats sumStats(std::size_t from, std::size_t to);

  // Voters and dedicated relays have a process each.
  int dedicatedProcesses() const { return options_.voters + options_.relays; }

  HollowOptions options_;
  double startedAt_ = 0, startSpreadSeconds_ = 0;
  std::vector<Process> processes_;  // the voters' first, then the dedicated relays'
};

}  // namespace topazweir::lab::scale
