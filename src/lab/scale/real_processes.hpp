// Real processes of `topazweir run` that join a fleet of hollow members.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "lab/scale/hollow_members.hpp"

namespace topazweir::lab::scale {

class RealProcesses {
 public:
  // Starts `count` processes, with their configuration and log files in `directory`. Throws
  // std::runtime_error if they cannot be started.
  RealProcesses(const std::string& program, int count, const HollowOptions& fleet,
                const std::string& directory);
  ~RealProcesses();  // kills the processes and waits for them
  RealProcesses(const RealProcesses&) = delete;
  RealProcesses& operator=(const RealProcesses&) = delete;

  // Sends an operator command to each process; an empty answer means that the process did not answer.
  std::vector<std::string> sendToAll(const std::string& command) const;
  // The least value of `key=` over the first lines of all answers; -1: missing in one of them.
  long minValue(const std::string& command, const std::string& key) const;

 private:
  std::vector<pid_t> pids_;
  std::vector<std::string> operatorAddresses_;
};

}  // namespace topazweir::lab::scale
