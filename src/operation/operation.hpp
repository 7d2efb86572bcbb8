// The state of one aggregator in day-to-day operation: does it take clients, which leafs are out, which other
// processes of it are there. Pure: calls, records of other processes and `now` in, decisions out.
#pragma once

#include <map>
#include <optional>

#include "operation/call.hpp"
#include "operation/record.hpp"

namespace topazweir::operation {

// What has to be carried out after a call or a record.
struct Change {
  std::vector<std::string> leafs;            // taken out, or back in service
  bool clients = false;                      // takesClients() or sendsAway() may be another than before
  std::vector<ColdSends::Send> coldSends{};  // that another process has made, for the module's ceilings
};

struct Answered {
  Reply reply;
  Change change;
};

// What a process waits for before it takes clients.
struct Prepared {
  bool list = false;       // of leafs: discovery's, or the one that the other process last had
  bool connected = false;  // to the leafs, as far as they can be reached; only where it follows another one
};

class Operation {
 public:
  Operation(std::string aggregator, ProcessId self, Nanos coldFor);

  // `listed`: discovery has named the leaf. Calls are idempotent.
  Answered call(const Call& call, bool listed, Nanos now);
  // What another process has written. Foreign and own records change nothing.
  Change heard(const Record& record, Nanos now);
  void sent(const std::string& instance, Nanos startedAt, Nanos now) { cold_.note(instance, startedAt, now); }

  // May a process that is starting take clients now? When it is prepared, and in any case after
  // kLongestStart: what discovery has to say counts as told from its first moment, whatever an older list
  // says, but a silent discovery must not keep it from serving. Only one that follows another waits for
  // connections.
  bool mayServe(const Prepared& prepared, Nanos now) const;
  void serves();
  void ends() { phase_ = Phase::ending; }
  void ended() { phase_ = Phase::ended; }

  Phase phase() const { return phase_; }
  const Holds& holds() const { return holds_; }
  bool drained() const { return drained_.on; }
  // What /up says: the aggregator, not just this process, takes clients.
  bool takesClients(Nanos now) const;
  // Another process of this aggregator, younger and alive, takes clients: this one need not.
  bool followed(Nanos now) const { return other(now, true); }
  // Another process of this aggregator is alive: limits hold for both together.
  bool accompanied(Nanos now) const { return other(now, false); }
  Record record(std::string list, Nanos now);

  static constexpr Nanos kAlive = 3'000'000'000;         // since the last record: longer, and it has died
  static constexpr Nanos kLongestStart = 3'000'000'000;  // half of what the operators wait for the yes

 private:
  struct Peer {
    Phase phase = Phase::starting;
    Nanos heardAt = 0;
  };
  bool other(Nanos now, bool youngerServing) const;
  Reply ready() const;
  Answered move(const Call& call, bool listed, Nanos now);
  Answered turn(bool drained, Nanos now);

  std::string aggregator_;
  ProcessId self_;
  Phase phase_ = Phase::starting;
  Holds holds_;
  Switch drained_;
  ColdSends cold_;
  std::map<ProcessId, Peer> peers_;  // bounded: those that have died are forgotten
};

}  // namespace topazweir::operation
