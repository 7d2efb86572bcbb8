// A process of the program, started by a test with its own folder, environment and log file, and controlled
// by signals to its process id. It is killed when the test ends.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../check.hpp"

namespace topazweir::test {

// Creates a temporary folder for this test process; it is removed at exit, also after a failed CHECK.
inline std::string temporaryFolder(const std::string& name) {
  static std::vector<std::string> folders;
  if (folders.empty())
    std::atexit([] {
      std::error_code ignored;
      for (const auto& path : folders) std::filesystem::remove_all(path, ignored);
    });
  const char* parent = std::getenv("TMPDIR");
  folders.push_back(std::string(parent ? parent : "/tmp") + "/topazweir-test-" + name + "." +
                    std::to_string(::getpid()));
  std::filesystem::create_directories(folders.back());
  return folders.back();
}

class Process {
 public:
  struct Plan {
    std::string program;
    std::vector<std::string> words;  // command line arguments, without the program's name
    std::map<std::string, std::optional<std::string>> set;  // environment variables; none: unset
    std::string log;                                        // file for standard error
    int descriptor = -1;                                    // inherited as descriptor 3; negative: none
  };

  explicit Process(const Plan& plan) : logFile_(plan.log) {
    child_ = ::fork();
    CHECK(child_ >= 0);
    if (child_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // do not outlive a failed test
    const int log = ::open(plan.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDERR_FILENO);
    if (plan.descriptor >= 0) ::dup2(plan.descriptor, 3);
    for (int fd = plan.descriptor >= 0 ? 4 : 3; fd < 1024; ++fd) ::close(fd);  // close the test's own sockets
    for (const auto& [key, value] : plan.set)
      value ? ::setenv(key.c_str(), value->c_str(), 1) : ::unsetenv(key.c_str());
    std::vector<char*> arguments{const_cast<char*>(plan.program.c_str())};
    for (const auto& word : plan.words) arguments.push_back(const_cast<char*>(word.c_str()));
    arguments.push_back(nullptr);
    ::execv(plan.program.c_str(), arguments.data());
    std::_Exit(127);
  }
  ~Process() {
    if (child_ > 0 && !exitCode_) {
      ::kill(child_, SIGKILL);
      ::waitpid(child_, nullptr, 0);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) {
    if (!over()) ::kill(child_, number);
  }
  void terminate() { signal(SIGTERM); }
  void kill() { signal(SIGKILL); }
  void stop() { signal(SIGSTOP); }
  void resume() { signal(SIGCONT); }
  pid_t id() const { return child_; }

  // The exit code, or 128 plus the signal's number; none while the process runs.
  std::optional<int> exited() {
    int status = 0;
    if (!exitCode_ && ::waitpid(child_, &status, WNOHANG) == child_)
      exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return exitCode_;
  }
  bool over() { return exited().has_value(); }

  // Reads the complete lines that have been logged since the last call.
  std::vector<std::string> readNewLines() {
    std::ifstream in(logFile_, std::ios::binary);
    in.seekg(static_cast<std::streamoff>(readBytes_));
    std::vector<std::string> out;
    for (std::string line; std::getline(in, line) && !in.eof();) {
      readBytes_ += line.size() + 1;
      out.push_back(line);
      lines_.push_back(std::move(line));
    }
    return out;
  }
  const std::vector<std::string>& lines() {  // all complete lines logged so far
    readNewLines();
    return lines_;
  }
  // Whether a logged line contains the text.
  bool said(const std::string& text) {
    const auto& all = lines();
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& l) { return l.find(text) != std::string::npos; });
  }
  long openDescriptors() const {
    std::error_code ignored;
    long count = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(child_) + "/fd", ignored))
      count += !entry.path().empty();
    return count;
  }

 private:
  pid_t child_ = -1;
  std::optional<int> exitCode_;
  std::string logFile_;
  std::size_t readBytes_ = 0;
  std::vector<std::string> lines_;
};

}  // namespace topazweir::test
