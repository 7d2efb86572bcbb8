#include "lab/scale/real.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include "lab/scale/pure_slopes.hpp"

namespace topazweir::lab::scale {

namespace {

std::string at(int process, int port) { return fmt::format("127.67.0.{}:{}", process + 1, port); }

void writeFiles(const std::string& stem, int i, const HollowOptions& fleet) {
  std::ofstream(stem + ".json") << fmt::format(
      R"({{"name":"real-{}","listen":"{}","ops":"{}","discovery":"{}","settings":{{"familyInfo":{{"slabs":1}},)"
      R"("profiles":[{{"name":"search","aimNs":1000000000,"deadlineNs":2000000000}}]}}}})",
      i, at(i, fleet.port + 1), at(i, fleet.port + 2), at(i, fleet.port + 3));
  std::ofstream file(stem + ".hcl");
  file << fmt::format("membership {{\n  fleet = \"{}\"\n  listen = \"{}\"\n  periodMs = {}\n", kFleet,
                      at(i, fleet.port), fleet.period / 1'000'000);
  for (int v = 0; v < fleet.voters; ++v)
    file << fmt::format("  voter \"{}\" {{ address = \"{}\" }}\n", memberName(v), addressOf(v, fleet.port));
  file << "}\n";
}

std::string answerOf(const std::string& address, const std::string& line) {
  const Poco::Timespan limit(5, 0);
  std::string out;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), limit);
    socket.setReceiveTimeout(limit);
    const auto whole = line + "\n";
    socket.sendBytes(whole.data(), static_cast<int>(whole.size()));
    socket.shutdownSend();
    char buffer[16'384];
    for (int size = 0; (size = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
      out.append(buffer, static_cast<std::size_t>(size));
  } catch (const Poco::Exception&) {  // not yet there, or no longer
  }
  return out;
}

}  // namespace

RealProcesses::RealProcesses(const std::string& program, int count, const HollowOptions& fleet,
                             const std::string& folder) {
  if (::access(program.c_str(), X_OK) != 0) throw std::runtime_error("no program: " + program);
  for (int i = 0; i < count; ++i) {
    const auto stem = fmt::format("{}/real-{}", folder, i);
    writeFiles(stem, i, fleet);
    ops_.push_back(at(i, fleet.port + 2));
    std::vector<std::string> words{program, "run", "--config", stem + ".json", "--operator", stem + ".hcl"};
    std::vector<char*> pointers;
    for (auto& word : words) pointers.push_back(word.data());
    pointers.push_back(nullptr);
    const auto log = stem + ".log";
    const pid_t parent = ::getpid(), id = ::fork();
    if (id < 0) throw std::runtime_error("no process");
    if (id == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // however this program ends, they end
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      if (::getppid() != parent || file < 0) ::_exit(127);
      ::dup2(file, STDOUT_FILENO);
      ::dup2(file, STDERR_FILENO);
      ::execv(pointers[0], pointers.data());
      ::_exit(127);
    }
    ids_.push_back(id);
  }
}

RealProcesses::~RealProcesses() {
  for (const auto id : ids_) ::kill(id, SIGKILL);
  for (const auto id : ids_)
    while (::waitpid(id, nullptr, 0) < 0 && errno == EINTR) continue;
}

std::vector<std::string> RealProcesses::ask(const std::string& line) const {
  std::vector<std::string> out;
  for (const auto& address : ops_) out.push_back(answerOf(address, line));
  return out;
}

long RealProcesses::least(const std::string& line, const std::string& name) const {
  long out = -1;
  bool first = true;
  for (const auto& answer : ask(line)) {
    const auto head = answer.substr(0, answer.find('\n'));
    const auto at = head.find(" " + name + "=");
    const long value = at == std::string::npos ? -1 : std::atol(head.c_str() + at + name.size() + 2);
    out = first ? value : std::min(out, value);
    first = false;
  }
  return out;
}

}  // namespace topazweir::lab::scale
