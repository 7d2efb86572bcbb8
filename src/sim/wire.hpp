// Translates between the simulator's line protocol and the events and actions of the decision module. Makes
// no decisions of its own.
//
// The input is a sequence of batches: a "batch" line with the time, one line an event, and "your_turn". Each
// line is a kind followed by space-separated name=value fields. The reply to a batch is one line an action
// and an "end" line.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "topazweir/aggregator.hpp"

namespace topazweir::wire {

// Thrown for a malformed line. The text names the line number and, where there is one, the field.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The name=value fields of one line, in input order; a view into that line. Of a repeated name the first
// field counts. Getters without a default throw WireError if the field is missing; all getters but `text`
// throw it if the value does not parse.
class Fields {
 public:
  // Throws WireError if an item has no '='.
  explicit Fields(std::string_view rest);
  bool has(std::string_view name) const;
  std::string_view text(std::string_view name) const;
  std::int64_t integer(std::string_view name) const;
  std::int64_t integer(std::string_view name, std::int64_t absent) const;
  double number(std::string_view name, double absent) const;
  std::string_view text(std::string_view name, std::string_view absent) const;
  bool flag(std::string_view name, bool absent) const;

 private:
  const std::string_view* find(std::string_view name) const;
  std::vector<std::pair<std::string_view, std::string_view>> pairs_;
};

// Builds the settings of an aggregator from the fields of its "up" line. Unset fields get defaults; the
// result is not validated (see findFault).
Settings readSettings(const Fields& info);

// Runs the simulated aggregators: reads batches of events and writes the actions they lead to.
class Host {
 public:
  // Handles batches until the end of the input. Throws WireError on a malformed line or an unfinished batch.
  void run(std::istream& in, std::ostream& out);

 private:
  // One simulated aggregator, from its "up" line to its "teardown".
  struct Instance {
    std::unique_ptr<Aggregator> aggregator;  // null if the settings are invalid
    std::string fault;                       // why the settings are invalid; empty if they are valid
    std::vector<Event> events;               // of the current batch, not yet handled
  };

  void handleLine(std::string_view line, std::istream& in, std::ostream& out);
  void startInstance(const Fields& fields);
  // Reads the "m" lines that follow a "list" line.
  void readServerList(const Fields& fields, std::istream& in);
  // Queues an event for the instance that the line names.
  void queueEvent(std::string_view kind, const Fields& fields);
  // Hands an instance its events of the batch and writes its actions.
  void handleEvents(std::int64_t who, std::ostream& out);
  void finishBatch(std::ostream& out);

  std::map<std::int64_t, Instance> instances_;  // by the number in the field `who`
  std::vector<std::int64_t> pending_;  // instances with events in this batch, ordered by their first event
  std::map<std::int64_t, std::vector<ServerEntry>> serverLists_;  // by the number that "view" lines refer to
  Nanos now_ = 0;
  std::int64_t lineNumber_ = 0;
  bool inBatch_ = false;
};

}  // namespace topazweir::wire
