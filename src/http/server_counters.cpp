#include "http/server_counters.hpp"

namespace topazweir::http {

std::string print(const ServerCounters& counters, const std::string& prefix) {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    out += prefix + name + ' ' + std::to_string(value) + '\n';
  };
  line("accepted", counters.accepted);
  line("requests", counters.requests);
  line("clients_left", counters.clientsLeft);
  line("idle_closed", counters.idleClosed);
  line("unfinished_shed", counters.unfinishedShed);
  line("refused_ahead", counters.refusedAhead);
  line("stalled_closed", counters.stalledClosed);
  for (const auto& [status, count] : counters.rejected)
    line("rejected{status=" + std::to_string(status) + "}", count);
  return out;
}

}  // namespace topazweir::http
