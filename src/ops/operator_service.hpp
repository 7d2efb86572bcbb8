// Operator service: connects operator commands and the records of other processes of this aggregator with the
// aggregator (Host). The decisions are made in src/operation.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "operation/operation.hpp"
#include "ops/line_server.hpp"
#include "ops/state_folder.hpp"

namespace topazweir::ops {

// The aggregator, as controlled by operator commands.
class Host {
 public:
  virtual ~Host() = default;
  // Whether discovery has ever announced this leaf.
  virtual bool listed(std::string_view instance) const = 0;
  // The leafs were taken out of service or put back.
  virtual void moved(const std::vector<std::string>& leafs) = 0;
  // Another process has sent to a cold leaf.
  virtual void recordSendByOtherProcess(const operation::ColdSends::Send& send) = 0;
  virtual void clientsChanged() = 0;  // takesClients() or drained() may have changed
  // Whether the limits are shared with another process.
  virtual void share(bool shared) = 0;
  // Prepares for accepting clients and reports the progress; polled until it suffices.
  virtual operation::Readiness prepare(bool follows) = 0;
  virtual void serve() = 0;              // accept clients from now on
  virtual std::string list() const = 0;  // the list of leafs, in discovery's format
  // Answers other commands; nullopt if the line is none of them.
  virtual std::optional<std::string> answer(std::string_view line) const = 0;
};

// Configuration of the service.
struct Options {
  std::string aggregator;             // name of the aggregator
  Nanos warmUpTime = 0;               // how long a leaf is cold after its start
  std::optional<std::string> folder;  // state folder shared by the processes; none: single process
};

class OperatorService {
 public:
  OperatorService(net::Loop& loop, broker::Log& log, Options options);
  ~OperatorService();
  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  // Whether another process of this aggregator is alive; clients then wait until this one is prepared.
  bool follows() const { return operation_.accompanied(loop_.now()); }
  // The list of leafs taken over from the other process; empty: none.
  const std::string& inheritedList() const { return inheritedList_; }
  // A send to a leaf, recorded while the leaf is cold.
  void sent(const std::string& instance, Nanos startedAt) {
    operation_.sent(instance, startedAt, loop_.now());
  }

  // Starts the service; `host` must outlive it. Listens for commands if `address` is not empty; throws
  // Poco::Exception if it cannot. `places`: limit on concurrent command connections.
  void run(Host& host, const std::string& address, std::size_t places);
  void ends();   // graceful shutdown has begun (SIGTERM)
  void ended();  // all requests taken have their final answer

  const operation::Operation& operation() const { return operation_; }
  bool takesClients() const { return operation_.takesClients(loop_.now()); }
  bool followed() const { return operation_.followed(loop_.now()); }
  LineCounters lines() const { return server_ ? server_->counters() : LineCounters{}; }
  std::uint64_t refused() const { return refused_; }  // commands answered NAK
  std::string print() const;                          // counters as "name value" lines

 private:
  OperatorService(net::Loop& loop, broker::Log& log, Options options, operation::ProcessId self);
  std::string answer(std::string_view line);
  void carryOut(const operation::Change& change);
  void prepare();
  void readRecords();
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
  net::Loop::TimerId readTimer_{};
  net::Loop::TimerId prepareTimer_{};
};

}  // namespace topazweir::ops
