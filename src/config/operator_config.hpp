// The operator file (HCL): logging and the parts that run beside or without the platform's part.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/features_config.hpp"
#include "config/grpc_config.hpp"
#include "config/membership_config.hpp"
#include "config/reader.hpp"
#include "config/snmp_config.hpp"
#include "telemetry/log_writer.hpp"

namespace topazweir::config {

// A block that is absent from the file leaves its part switched off.
struct OperatorConfig {
  telemetry::LogOptions log;
  std::optional<FeaturesConfig> features;
  std::optional<SnmpConfig> snmp;
  std::optional<GrpcConfig> grpc;
  std::optional<MembershipConfig> membership;
  std::vector<Setting> settings;  // effective settings, in the order in which they were read
};

// Parses the operator file. Decision settings and the seed are taken from `platform`; `file` is the name used
// in errors. Throws ConfigError, which names file, line, column and key; unknown keys are errors.
OperatorConfig readOperator(std::string_view hcl, const std::string& file, const PlatformConfig& platform);

// Returns the configuration used in place of the platform's where there is none: the default rules of docs/.
PlatformConfig standalone(std::uint64_t seed);

}  // namespace topazweir::config
