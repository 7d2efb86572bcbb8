// Day-to-day operation, wired together: operators' calls and the other processes of this aggregator on one
// side, what they have to move on the other. Decides nothing: src/operation does.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "operation/operation.hpp"
#include "ops/line_server.hpp"
#include "ops/state_folder.hpp"

namespace topazweir::ops {

// The aggregator, as operation moves it.
class Host {
 public:
  virtual ~Host() = default;
  virtual bool listed(std::string_view instance) const = 0;  // has discovery ever named this leaf?
  virtual void moved(const std::vector<std::string>& leafs) = 0;
  virtual void sentElsewhere(const operation::ColdSends::Send& send) = 0;
  virtual void clientsChanged() = 0;    // takesClients() or drained() may be another
  virtual void share(bool shared) = 0;  // limits with another process, or no longer
  virtual operation::Prepared prepare(
      bool follows) = 0;                 // for taking clients; asked again until it is enough
  virtual void serve() = 0;              // take clients from now on
  virtual std::string list() const = 0;  // of leafs, in discovery's form
  // Calls that are not operation's; none: the line is no such call.
  virtual std::optional<std::string> answer(std::string_view line) const = 0;
};

struct Options {
  std::string aggregator;             // its name
  Nanos coldFor = 0;                  // how long a leaf that has started is cold
  std::optional<std::string> folder;  // where the processes of the aggregator meet; none: there is one alone
};

class Side {
 public:
  Side(net::Loop& loop, broker::Log& log, Options options);
  ~Side();
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  // Another process is there: clients wait until this one is prepared.
  bool follows() const { return operation_.accompanied(loop_.now()); }
  // The list of leafs that the other process had; empty: none.
  const std::string& inheritedList() const { return inheritedList_; }
  void sent(const std::string& instance, Nanos startedAt) {
    operation_.sent(instance, startedAt, loop_.now());
  }

  // From now on; `host` must outlive this. Takes calls where an address is named, throws Poco::Exception
  // where that can't be had.
  void run(Host& host, const std::string& address, std::size_t places);
  void ends();   // SIGTERM
  void ended();  // all that was taken has its answer

  const operation::Operation& operation() const { return operation_; }
  bool takesClients() const { return operation_.takesClients(loop_.now()); }
  bool followed() const { return operation_.followed(loop_.now()); }
  LineCounters lines() const { return server_ ? server_->counters() : LineCounters{}; }
  std::uint64_t refused() const { return refused_; }  // calls answered NAK
  std::string print() const;                          // counters, as "name value" lines

 private:
  Side(net::Loop& loop, broker::Log& log, Options options, operation::ProcessId self);
  std::string answer(std::string_view line);
  void carryOut(const operation::Change& change);
  void prepare();
  void look();
  void write();

  net::Loop& loop_;
  broker::Log& log_;
  operation::Operation operation_;
  std::optional<StateFolder> folder_;
  std::optional<LineServer> server_;
  Host* host_ = nullptr;
  std::string inheritedList_;
  Nanos inheritedAt_ = 0;
  std::vector<operation::ColdSends::Send> inheritedSends_;
  std::uint64_t refused_ = 0;
  Nanos writtenAt_ = 0;
  net::Loop::TimerId lookTimer_{}, prepareTimer_{};
};

}  // namespace topazweir::ops
