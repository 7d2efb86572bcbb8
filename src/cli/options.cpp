// Parsing of the command line with CLI11.
#include "cli/options.hpp"

#include <CLI/CLI.hpp>

#include "cli/version.hpp"
#include "config/reader.hpp"

namespace topazweir::cli {

namespace {

void addRunOptions(CLI::App& app, Options& options) {
  app.add_option("--config", options.config, "the platform's configuration (JSON); default: $NODE_CONFIG");
  app.add_option("--operator", options.operatorFile,
                 "the operator file (HCL): log, features, snmp, grpc, membership");
  app.add_option("--features", options.features, "enables the OGC front (JSON)");
  app.add_option("--snmp", options.snmp, "enables the SNMP agent (JSON)");
}

}  // namespace

ParsedArguments parseArguments(int count, char** arguments) {
  Options options;
  CLI::App app(
      "topazweir: a broker between the services of many teams\n"
      "Without a sub-command it serves, as with `run`.",
      "topazweir");
  app.set_version_flag("--version", std::string("topazweir ") + kVersion);
  app.require_subcommand(0, 1);
  app.footer(
      "Exit codes: 0 success, 1 failure while running, 2 usage error or faulty file.\n"
      "Signals while serving: TERM drains and ends, HUP rereads the files, USR1 prints the counters.");
  addRunOptions(app, options);

  auto* run = app.add_subcommand("run", "serve until SIGTERM");
  addRunOptions(*run, options);
  auto* check = app.add_subcommand("check", "validate an operator file and print the effective settings");
  check->add_option("FILE", options.file, "the operator file (HCL)")->required();
  check->add_option("--config", options.config, "the platform's configuration it is used with");
  auto* explain = app.add_subcommand("explain", "which route, pool and limits a call would get, and why");
  explain->add_option("FILE", options.file, "the operator file (HCL)")->required();
  explain->add_option("REQUEST", options.request, "/package.Service/Method, then metadata as key=value")
      ->required();
  explain->add_option("--authority", options.authority, "the call's :authority");
  explain->add_option("--config", options.config, "the platform's configuration it is used with");
  auto* demo =
      app.add_subcommand("demo", "serve on loopback with fake servers in the same process, until Ctrl-C");
  demo->add_option("--port", options.port, "the first of five consecutive ports; 0: any free ports")
      ->check(CLI::Range(0, 65530));
  demo->add_flag("--once", options.once, "send one query through each front, then end");

  auto* members = app.add_subcommand(
      "members", "the membership views of running aggregators, compared; exit code 1 if they differ");
  members->add_option("--ops", options.ops, "operators' address of an aggregator; repeat to compare several")
      ->required()
      ->check([](const std::string& address) {
        return config::isAddress(address) ? "" : "not an address and port such as 127.0.0.1:9100: " + address;
      });
  members->add_flag("--watch", options.watch, "repeat every second until interrupted");
  auto* evidence = members->add_subcommand("explain", "the evidence for the state of one member");
  evidence->add_option("NAME", options.member, "the member's name")->required();

  try {
    app.parse(count, arguments);
  } catch (const CLI::Success& success) {  // help or the version
    app.exit(success);
    return {std::nullopt, kSucceeded};
  } catch (const CLI::ParseError& error) {
    app.exit(error);
    return {std::nullopt, kUsageError};
  }
  options.command = *check     ? Options::Command::check
                    : *explain ? Options::Command::explain
                    : *demo    ? Options::Command::demo
                    : *members ? Options::Command::members
                               : Options::Command::run;
  return {options, kSucceeded};
}

}  // namespace topazweir::cli
