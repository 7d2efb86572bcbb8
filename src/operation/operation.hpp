// Operational state of one aggregator process: whether it accepts clients, which leafs are out of service,
// and which other processes of the same aggregator are alive (during an upgrade). Commands, records of other
// processes and the time go in, decisions come out; it does no input or output.
#pragma once

#include <map>
#include <optional>

#include "operation/command.hpp"
#include "operation/record.hpp"

namespace topazweir::operation {

// What the caller has to carry out after a command or a record.
struct Change {
  std::vector<std::string> leafs;  // those taken out of service or put back
  bool clients = false;            // takesClients() or drained() may have changed
  std::vector<ColdSends::Send>
      coldSends{};  // new sends by another process, for the module's slow-start limits
};

// The reply to a command and its effect.
struct Answered {
  Reply reply;
  Change change;
};

// Readiness conditions of a starting process.
struct Readiness {
  bool list = false;       // a list of leafs is known, from discovery or inherited from the other process
  bool connected = false;  // connected to all reachable leafs; needed only if another process is alive
};

class Operation {
 public:
  // `warmUpTime`: how long a leaf is cold after its start.
  Operation(std::string aggregator, ProcessId self, Nanos warmUpTime);

  // Executes a command. `listed`: discovery has announced the leaf. Commands are idempotent.
  Answered call(const Call& call, bool listed, Nanos now);
  // Merges a record written by another process. Records of other aggregators and its own are ignored.
  Change heard(const Record& record, Nanos now);
  // A send to a leaf, recorded while the leaf is cold.
  void sent(const std::string& instance, Nanos startedAt, Nanos now) { cold_.note(instance, startedAt, now); }

  // Whether a starting process may accept clients now: once it is prepared, and in any case after
  // kMaxStartNs, since an unresponsive discovery must not keep it from serving. It prefers to wait for
  // discovery because the announcements of discovery count as known from its first moment, even if an older
  // list differs. It waits for connections only if another process is alive.
  bool mayServe(const Readiness& prepared, Nanos now) const;
  void serves();                           // accepts clients from now on
  void ends() { phase_ = Phase::ending; }  // graceful shutdown has begun
  void ended() { phase_ = Phase::ended; }

  Phase phase() const { return phase_; }
  const Holds& holds() const { return holds_; }
  bool drained() const { return drained_.on; }
  // The answer of /up: whether the aggregator, not just this process, accepts clients.
  bool takesClients(Nanos now) const;
  // Whether a younger process of this aggregator is alive and serving, so that this one need not accept
  // clients.
  bool followed(Nanos now) const { return hasPeer(now, true); }
  // Whether another process of this aggregator is alive; limits then apply to both together.
  bool accompanied(Nanos now) const { return hasPeer(now, false); }
  // This process's record for the others. `list`: of leafs, in discovery's format.
  Record record(std::string list, Nanos now);

  // A process counts as dead once its last record is older.
  static constexpr Nanos kPeerTimeoutNs = 3'000'000'000;
  // Accepts clients at the latest this long after the start: half of how long operators wait for readiness.
  static constexpr Nanos kMaxStartNs = 3'000'000'000;

 private:
  struct Peer {
    Phase phase = Phase::starting;
    Nanos heardAt = 0;
  };
  bool hasPeer(Nanos now, bool youngerServing) const;
  Reply ready() const;
  Answered setServer(const Call& call, bool listed, Nanos now);
  Answered setDrained(bool drained, Nanos now);

  std::string aggregator_;
  ProcessId self_;
  Phase phase_ = Phase::starting;
  Holds holds_;
  Switch drained_;
  ColdSends cold_;
  std::map<ProcessId, Peer> peers_;  // bounded, as dead processes are removed
};

}  // namespace topazweir::operation
