// The file that switches the SNMP agent on: read and checked here.
#pragma once

#include "config/config.hpp"
#include "config/reader.hpp"

namespace topazweir::config {

struct Snmp {
  std::string listen;     // a loopback address and port
  std::string community;  // that a manager must name
};

// Throws ConfigError.
Snmp readSnmp(std::string_view json);
Snmp readSnmp(const Reader& json);

}  // namespace topazweir::config
