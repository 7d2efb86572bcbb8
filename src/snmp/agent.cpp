// The agent on net-snmp's library.
#include "snmp/agent.hpp"

// net-snmp requires this order of includes.
// clang-format off
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
#include <net-snmp/agent/net-snmp-agent-includes.h>
// clang-format on

#include <Poco/Net/DatagramSocketImpl.h>
#include <Poco/Observer.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace topazweir::snmp {

namespace {

constexpr const char* kAgentName = "topazweir";

Oid oidOf(const netsnmp_variable_list& variable) {
  return Oid(variable.name, variable.name + variable.name_length);
}

// Writes a value into a variable of the reply.
struct ValueWriter {
  netsnmp_variable_list* to;
  void operator()(const Counter& c) const {
    counter64 value{};
    value.high = c.value >> 32;
    value.low = c.value & 0xffffffffU;
    snmp_set_var_typed_value(to, ASN_COUNTER64, &value, sizeof value);
  }
  void operator()(const Gauge& g) const {
    snmp_set_var_typed_integer(to, ASN_GAUGE, static_cast<long>(g.value));
  }
  void operator()(std::int32_t value) const { snmp_set_var_typed_integer(to, ASN_INTEGER, value); }
  void operator()(const std::string& text) const {
    snmp_set_var_typed_value(to, ASN_OCTET_STR, text.data(), text.size());
  }
};

// Answers GET and GETNEXT from the snapshot. The library translates GETBULK into several GETNEXT.
int handle(netsnmp_mib_handler*, netsnmp_handler_registration* registration, netsnmp_agent_request_info* info,
           netsnmp_request_info* requests) {
  const auto& snapshot = static_cast<const Agent*>(registration->my_reg_void)->snapshot();
  for (auto* request = requests; request; request = request->next) {
    if (request->processed) continue;
    const auto oid = oidOf(*request->requestvb);
    if (info->mode == MODE_GET) {
      const auto at = snapshot.find(oid);
      if (at == snapshot.end()) {
        netsnmp_set_request_error(info, request, SNMP_NOSUCHINSTANCE);
      } else {
        std::visit(ValueWriter{request->requestvb}, at->second);
      }
    } else if (info->mode == MODE_GETNEXT) {
      const auto at = snapshot.upper_bound(oid);
      if (at == snapshot.end()) continue;  // the library continues with the next module
      snmp_set_var_objid(request->requestvb, at->first.data(), at->first.size());
      std::visit(ValueWriter{request->requestvb}, at->second);
    }
  }
  return SNMP_ERR_NOERROR;
}

// A Poco socket for an existing descriptor, which it takes ownership of.
struct AdoptedSocket : Poco::Net::Socket {
  explicit AdoptedSocket(int fd) : Socket(new Poco::Net::DatagramSocketImpl(fd)) {}
};

// Finds the agent's UDP socket among the library's descriptors, which include a pipe. Returns -1 if there is
// none.
int agentDescriptor() {
  fd_set set;
  FD_ZERO(&set);
  int count = 0;
  int block = 1;
  timeval wait{};
  snmp_select_info(&count, &set, &wait, &block);
  for (int fd = 0; fd < count; ++fd) {
    int type = 0;
    socklen_t size = sizeof type;
    if (FD_ISSET(fd, &set) && ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM)
      return fd;
  }
  return -1;
}

}  // namespace

Agent::Agent(net::Loop& loop, broker::Log& log, const config::SnmpConfig& config,
             SnapshotSource snapshotSource)
    : loop_(loop), log_(log), snapshotSource_(std::move(snapshotSource)) {
  // The library must not read or write files, and only the configuration given here applies.
  netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, NETSNMP_DS_LIB_DONT_READ_CONFIGS, 1);
  netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, NETSNMP_DS_LIB_DONT_PERSIST_STATE, 1);
  netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, NETSNMP_DS_LIB_DISABLE_PERSISTENT_LOAD, 1);
  netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, NETSNMP_DS_LIB_DISABLE_PERSISTENT_SAVE, 1);
  ::setenv("MIBS", "", 1);  // no MIB files are parsed: the agent works with numeric identifiers
  netsnmp_ds_set_string(NETSNMP_DS_LIBRARY_ID, NETSNMP_DS_LIB_PERSISTENT_DIR, "/dev/null");
  netsnmp_ds_set_boolean(NETSNMP_DS_APPLICATION_ID, NETSNMP_DS_AGENT_ROLE, 0);
  netsnmp_ds_set_string(NETSNMP_DS_APPLICATION_ID, NETSNMP_DS_AGENT_PORTS, ("udp:" + config.listen).c_str());
  // Otherwise the library logs a line for every datagram.
  netsnmp_ds_set_boolean(NETSNMP_DS_APPLICATION_ID, NETSNMP_DS_AGENT_DONT_LOG_TCPWRAPPERS_CONNECTS, 1);
  snmp_disable_log();
  init_agent(kAgentName);
  auto* registration =
      netsnmp_create_handler_registration(kAgentName, handle, kRoot.data(), kRoot.size(), HANDLER_CAN_RONLY);
  registration->my_reg_void = this;
  netsnmp_register_handler(registration);
  // Requests must carry the community and come from loopback, and can read only objects of this module.
  std::string access = "rocommunity " + config.community + " 127.0.0.0/8 ";
  for (const auto number : kRoot) access += '.' + std::to_string(number);
  netsnmp_config_remember(access.data());
  init_snmp(kAgentName);
  const int fd = init_master_agent() == 0 ? agentDescriptor() : -1;
  if (fd < 0) throw config::ConfigError("key snmp.listen: cannot listen on " + config.listen);
  // The event loop gets a duplicate descriptor, since both the library and the Poco socket close theirs.
  socket_ = AdoptedSocket(::dup(fd));
  watchSocket(true);
  log_.line("snmp.started", "listen=" + config.listen);
}

Agent::~Agent() {
  watchSocket(false);
  shutdown_master_agent();
  snmp_shutdown(kAgentName);
  shutdown_agent();
}

void Agent::watchSocket(bool on) {
  const Poco::Observer<Agent, Poco::Net::ReadableNotification> observer(*this, &Agent::onReadable);
  on ? loop_.addEventHandler(*socket_, observer) : loop_.removeEventHandler(*socket_, observer);
}

void Agent::onReadable(Poco::Net::ReadableNotification* event) {
  event->release();
  snapshot_ = snapshotSource_();
  agent_check_and_process(0);  // 0: do not block
}

}  // namespace topazweir::snmp
