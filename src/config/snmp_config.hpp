// Configuration of the SNMP agent: a JSON file of its own (--snmp) or the block `snmp` of the operator file.
#pragma once

#include "config/config.hpp"
#include "config/reader.hpp"

namespace topazweir::config {

struct SnmpConfig {
  std::string listen;     // loopback address:port, UDP
  std::string community;  // community string that requests must carry
};

// Reads the agent's configuration. Throws ConfigError.
SnmpConfig readSnmp(std::string_view json);
SnmpConfig readSnmp(const Reader& reader);

}  // namespace topazweir::config
