// The processes of hollow members, as the scale runs hold them: voters one each, the others many to a
// process.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/scale/hollow.hpp"

namespace topazweir::lab::scale {

// Sums over processes; what is the least or most is said so.
struct Stat {
  double cpuMicros = 0, maxRss = 0, rss = 0;  // KiB
  double running = 0, leastAlive = 0, mostAlive = 0;
  double sent = 0, sentBytes = 0, received = 0, receivedBytes = 0, unsent = 0, brokenMessages = 0;
  double connected = 0, accepted = 0, leftOut = 0, streamSent = 0, streamReceived = 0;
  double leastCommands = 0, mostCommands = 0;
  double latest = 0;               // ms by which a loop was late, at most, since the last look
  double proposed = 0, asked = 0;  // changes; whole registers asked for at a voter
  Stat operator-(const Stat& before) const;
  Stat& operator+=(const Stat& other);
};

class Herd {
 public:
  // Prints what it will use. Throws std::runtime_error, in words, where that is over half of the machine's
  // memory, two hundred processes or the limit of descriptors.
  Herd(const HollowOptions& options, int perProcess);
  ~Herd();  // ends what it has started, by closing its input
  Herd(const Herd&) = delete;
  Herd& operator=(const Herd&) = delete;

  // To all processes; one answer each, in their order. Throws where one has ended or has failed.
  std::vector<std::string> all(const std::string& line);
  std::string voter(int i, const std::string& line);
  // Starts all over this time, and waits until all know all; false: not within the limit.
  bool meet(double overSeconds, double limitSeconds);
  // The same in two steps, for fleets side by side.
  void begin(double overSeconds);
  bool met(double limitSeconds);
  Stat voters(), others();  // relays are among the others
  Stat relays();
  bool wait(double limitSeconds, const std::function<bool()>& what);
  int leader();  // -1: none
  void sleep(double seconds) const;
  static double now();  // seconds of Unix time, as the members' loops have it

  // Seconds after `since` at which the members hold this one to have failed.
  std::vector<double> seen();
  // By number of the change: seconds of each voter's and each other member's taking it, after `epoch`.
  struct Arrivals {
    std::map<long, std::vector<double>> voters, others;
  };
  Arrivals arrivals();

  // Of one process's members that run, or of several.
  struct Registers {
    int first = 0;                   // member of the process
    double least = 0, most = 0;      // commands
    double age = 0;                  // s, the greatest; over 10^5: one was never vouched for
    double fence = 0;                // of the coordinator's role, the least
    std::set<std::string> hashes{};  // of those that differ
  };
  std::vector<Registers> registers();  // by process
  struct Metered {                     // bytes of the one that had most in any second
    double voterSent = 0, voterReceived = 0, memberSent = 0, memberReceived = 0;
  };
  Metered metered();  // since the last call; the first one begins

 private:
  struct Process {
    pid_t id = -1;
    int to = -1, from = -1;
    int first = 0, count = 0;
    std::string input;
    double baseRss = 0;
  };
  void check(int perProcess) const;
  void spawn(int first, int count);
  void tell(Process& process, const std::string& line) const;
  std::string hear(Process& process) const;
  Stat stat(std::size_t from, std::size_t to);

  int alone() const { return options_.voters + options_.relays; }  // members with a process of their own

  HollowOptions options_;
  double begun_ = 0, over_ = 0;
  std::vector<Process> processes_;  // the voters' first
};

}  // namespace topazweir::lab::scale
