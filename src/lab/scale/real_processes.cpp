#include "lab/scale/real_processes.hpp"

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

#include "lab/scale/socketless_costs.hpp"

namespace topazweir::lab::scale {

namespace {

std::string processAddress(int process, int port) { return fmt::format("127.67.0.{}:{}", process + 1, port); }

void writeFiles(const std::string& stem, int i, const HollowOptions& fleet) {
  std::ofstream(stem + ".json") << fmt::format(
      R"({{"name":"real-{}","listen":"{}","ops":"{}","discovery":"{}","settings":{{"familyInfo":{{"slabs":1}},)"
      R"("profiles":[{{"name":"search","aimNs":1000000000,"deadlineNs":2000000000}}]}}}})",
      i, processAddress(i, fleet.port + 1), processAddress(i, fleet.port + 2),
      processAddress(i, fleet.port + 3));
  std::ofstream file(stem + ".hcl");
  file << fmt::format("membership {{\n  fleet = \"{}\"\n  listen = \"{}\"\n  periodMs = {}\n",
                      kHollowFleetName, processAddress(i, fleet.port), fleet.period / 1'000'000);
  for (int v = 0; v < fleet.voters; ++v)
    file << fmt::format("  voter \"{}\" {{ address = \"{}\" }}\n", memberName(v),
                        memberAddress(v, fleet.port));
  file << "}\n";
}

std::string queryOperator(const std::string& address, const std::string& command) {
  const Poco::Timespan limit(5, 0);
  std::string out;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), limit);
    socket.setReceiveTimeout(limit);
    const auto request = command + "\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    socket.shutdownSend();
    char buffer[16'384];
    for (int size = 0; (size = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
      out.append(buffer, static_cast<std::size_t>(size));
  } catch (const Poco::Exception&) {  // the process does not listen yet, or has exited
  }
  return out;
}

}  // namespace

RealProcesses::RealProcesses(const std::string& program, int count, const HollowOptions& fleet,
                             const std::string& directory) {
  if (::access(program.c_str(), X_OK) != 0) throw std::runtime_error("cannot execute " + program);
  for (int i = 0; i < count; ++i) {
    const auto stem = fmt::format("{}/real-{}", directory, i);
    writeFiles(stem, i, fleet);
    operatorAddresses_.push_back(processAddress(i, fleet.port + 2));
    std::vector<std::string> arguments{program,        "run",        "--config",
                                       stem + ".json", "--operator", stem + ".hcl"};
    std::vector<char*> pointers;
    for (auto& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    const auto log = stem + ".log";
    const pid_t parent = ::getpid(), id = ::fork();
    if (id < 0) throw std::runtime_error("cannot fork a real process");
    if (id == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child is killed however this program ends
      const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      if (::getppid() != parent || file < 0) ::_exit(127);
      ::dup2(file, STDOUT_FILENO);
      ::dup2(file, STDERR_FILENO);
      ::execv(pointers[0], pointers.data());
      ::_exit(127);
    }
    pids_.push_back(id);
  }
}

RealProcesses::~RealProcesses() {
  for (const auto id : pids_) ::kill(id, SIGKILL);
  for (const auto id : pids_)
    while (::waitpid(id, nullptr, 0) < 0 && errno == EINTR) continue;
}

std::vector<std::string> RealProcesses::sendToAll(const std::string& command) const {
  std::vector<std::string> out;
  for (const auto& address : operatorAddresses_) out.push_back(queryOperator(address, command));
  return out;
}

long RealProcesses::minValue(const std::string& command, const std::string& key) const {
  long out = -1;
  bool first = true;
  for (const auto& answer : sendToAll(command)) {
    const auto firstLine = answer.substr(0, answer.find('\n'));
    const auto at = firstLine.find(" " + key + "=");
    const long value = at == std::string::npos ? -1 : std::atol(firstLine.c_str() + at + key.size() + 2);
    out = first ? value : std::min(out, value);
    first = false;
  }
  return out;
}

}  // namespace topazweir::lab::scale
