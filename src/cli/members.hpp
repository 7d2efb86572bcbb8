// `topazweir members`: what running aggregators hold of each other, asked over their operators' addresses.
#pragma once

#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

#include "cli/options.hpp"

namespace topazweir::cli {

// What one aggregator has answered to "members", as src/fleet/side.cpp writes it.
struct View {
  struct Row {
    std::string name, state, duty, since, incarnation, zone, version, address, open, refused;
  };
  std::string asked;           // the operators' address
  std::string fault;           // why there is no answer; empty: there is
  std::string self, standing;  // of the one that was asked
  std::vector<Row> rows;
  // How far the register is in force, as a voter has it by the counts of all; empty: it has not said so, such
  // as one from before them.
  std::string leader, alive, position, low, counted, level;  // position, low: GENERATION/NUMBER
  std::vector<std::pair<std::string, std::string>> behind;   // the slowest: name, GENERATION/NUMBER
};

View readView(const std::string& asked, const std::string& answer);
// A table of all members that any of them names; where they differ, each one's word, marked by '!'.
std::string compare(const std::vector<View>& views);

// Exit code: kFailed where nobody answers, or where views differ.
int members(const Options& options, std::ostream& out);

}  // namespace topazweir::cli
