// The command line of topazweir.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace topazweir::cli {

struct Options {
  enum class Command { run, check, explain, demo, members } command = Command::run;
  std::string config;        // the platform's file; empty: the one that NODE_CONFIG names
  std::string operatorFile;  // empty: none
  std::string platformText;  // content used in place of the platform's file; set only by the demo
  std::string operatorText;  // content used in place of the operator file; set only by the demo
  // Files that configure a single front, from before the operator file existed.
  std::string features;
  std::string snmp;
  std::string file;                  // check, explain: the operator file
  std::vector<std::string> request;  // explain: the path, then metadata as "key=value"
  std::string authority;             // explain
  std::vector<std::string> ops;      // members: operators' addresses of running aggregators
  std::string member;                // members explain: the member's name
  bool watch = false;                // members: repeat until interrupted
  int port = 0;                      // demo: the first of consecutive ports; 0: any free ports
  bool once = false;                 // demo: send the queries and end
};

// `options` is empty when the program should end with `exit`: after help, the version or a usage error, which
// have been printed.
struct ParsedArguments {
  std::optional<Options> options;
  int exit = 0;
};
ParsedArguments parseArguments(int count, char** arguments);

// Exit codes.
inline constexpr int kSucceeded = 0;
inline constexpr int kFailed = 1;
inline constexpr int kUsageError = 2;  // wrong arguments or a faulty file

}  // namespace topazweir::cli
