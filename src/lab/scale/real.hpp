// A few real processes of `topazweir run` that are members of a fleet of hollow ones.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "lab/scale/hollow.hpp"

namespace topazweir::lab::scale {

class RealProcesses {
 public:
  // Started at once; their files go into the folder. Throws std::runtime_error where they can't be started.
  RealProcesses(const std::string& program, int count, const HollowOptions& fleet, const std::string& folder);
  ~RealProcesses();  // ends what it has started, and waits for it
  RealProcesses(const RealProcesses&) = delete;
  RealProcesses& operator=(const RealProcesses&) = delete;

  // Each one's answer to an operators' call; empty: it did not answer.
  std::vector<std::string> ask(const std::string& line) const;
  // The number behind `name=` in the first line of each one's answer: the least of them; -1: one has none.
  long least(const std::string& line, const std::string& name) const;

 private:
  std::vector<pid_t> ids_;
  std::vector<std::string> ops_;  // addresses
};

}  // namespace topazweir::lab::scale
