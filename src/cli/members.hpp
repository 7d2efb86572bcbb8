// `topazweir members`: compares the membership views of running aggregators, queried over their operators'
// addresses.
#pragma once

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

#include "cli/options.hpp"

namespace topazweir::cli {

// One aggregator's answer to the operators' call "members", whose format src/fleet defines.
struct MembershipView {
  struct Row {
    std::string name, state, duty, since, incarnation, zone, version, address, open, refused;
  };
  std::string address;   // operators' address of the aggregator
  std::string fault;     // why there is no valid answer; empty: there is one
  std::string self;      // the aggregator's member name
  std::string standing;  // whether it is in the majority, in the minority or isolated
  std::vector<Row> rows;
  // How far the register has been replicated, as reported by a voter that aggregates the counts of all
  // members. Fields are empty if the answer lacks them, such as one from an older version.
  std::string leader;    // the Raft leader's member name; "-": none
  std::string alive;     // members known to be alive
  std::string position;  // of its own register: GENERATION/NUMBER
  std::string low;       // low watermark, the position that all counted members have: GENERATION/NUMBER
  std::string counted;   // members included in the counts
  std::string level;     // counted members that have the position
  std::vector<std::pair<std::string, std::string>> behind;  // slowest members: name, GENERATION/NUMBER
};

// Parses an answer; `address` is only stored. An answer that is not positive sets `fault`.
MembershipView parseView(const std::string& address, const std::string& answer);
// Formats a table of all members in any view. Where the views differ on a member, it has one row for each
// view, marked by '!'.
std::string compare(const std::vector<MembershipView>& views);

// Queries the aggregators and prints the comparison, or the evidence about one member. Returns the exit code:
// kFailed if an aggregator does not answer or the views differ; with a member, if no aggregator knows it.
int members(const Options& options, std::ostream& out);

}  // namespace topazweir::cli
