#include "agreement/voter.hpp"

#include <algorithm>
#include <deque>
#include <random>
#include <stdexcept>
#include <utility>

#include "agreement/messages.hpp"
#include "agreement/raft_c.hpp"

namespace topazweir::agreement {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr raft_term kFirstTerm = 1;  // of the entry with the initial configuration
}  // namespace

// Implements libraft's I/O and state machine interfaces. Each request is carried out at once, but its
// completion callback is deferred to runDeferred(): the library does not allow it within the requesting call.
struct Voter::Impl {
  Impl(const VoterOptions& voterOptions, Store& voterStore, Nanos startTime)
      : options(voterOptions), store(voterStore), now(startTime), random(voterOptions.seed) {
    raft_configuration_init(&voters);
    for (const auto id : options.voters)
      if (raft_configuration_add(&voters, id, std::to_string(id).c_str(), RAFT_VOTER) != 0)
        throw std::runtime_error("voter " + std::to_string(id) + " is listed twice, or is 0");
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb done) { self(i).deferred.push_back([i, done] { done(i); }); };
    io.load = load;
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
      self(i).onTick = tick;
      self(i).onReceive = receive;
      return 0;
    };
    io.bootstrap = bootstrap;
    io.recover = [](raft_io*, const raft_configuration*) { return static_cast<int>(RAFT_IOERR); };
    io.set_term = [](raft_io* i, raft_term term) { return self(i).check(self(i).store.setTerm(term)); };
    io.set_vote = [](raft_io* i, raft_id id) { return self(i).check(self(i).store.setVote(id)); };
    io.send = send;
    io.append = append;
    io.truncate = [](raft_io* i, raft_index from) { return self(i).check(self(i).store.truncate(from)); };
    io.snapshot_put = putSnapshot;
    io.snapshot_get = getSnapshot;
    io.time = [](raft_io* i) { return static_cast<raft_time>(self(i).now / kMs); };
    io.random = [](raft_io* i, int least, int most) {
      return least + static_cast<int>(self(i).random() % static_cast<unsigned>(std::max(1, most - least)));
    };
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = apply;
    fsm.snapshot = takeSnapshot;
    fsm.restore = restore;
    check(raft_init(&raft, &io, &fsm, options.self, std::to_string(options.self).c_str()) == 0);
    raft_set_election_timeout(&raft, static_cast<unsigned>(options.electionTimeout / kMs));
    raft_set_heartbeat_timeout(&raft, static_cast<unsigned>(options.heartbeatInterval / kMs));
    // The library's default would wait 30 s for a snapshot that was lost in transit.
    raft_set_install_snapshot_timeout(&raft, static_cast<unsigned>(2 * options.electionTimeout / kMs));
    raft_set_snapshot_threshold(&raft, options.snapshotEvery);
    raft_set_snapshot_trailing(&raft, options.trailing);
    // With pre-vote, a voter that returns from a partition does not depose the leader.
    raft_set_pre_vote(&raft, true);
    const auto& state = store.state();
    const bool empty = state.term == 0 && state.entries.empty() && state.snapshot.index == 0;
    if (empty) check(raft_bootstrap(&raft, &voters) == 0);
    check(raft_start(&raft) == 0);
    runDeferred();
    if (failed) {
      const std::string why = raft_errmsg(&raft);
      close();
      throw std::runtime_error("the voter's store cannot be used: " + why);
    }
  }
  ~Impl() { close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void close() {
    if (std::exchange(closed, true)) return;
    raft_close(&raft, nullptr);
    runDeferred();
    raft_configuration_close(&voters);
  }

  static Impl& self(raft_io* i) { return *static_cast<Impl*>(i->impl); }
  static Impl& self(raft_fsm* f) { return *static_cast<Impl*>(f->data); }
  // Returns the library's status for the result of an operation; a failure is permanent.
  int check(bool success) {
    failed = failed || !success;
    return success ? 0 : RAFT_IOERR;
  }
  void runDeferred() {
    while (!deferred.empty()) {
      const auto next = std::move(deferred.front());
      deferred.pop_front();
      next();
    }
  }
  // Runs `action` and all callbacks that follow from it; returns what they have produced.
  Step advance(Nanos time, const std::function<void()>& action) {
    now = std::max(now, time);
    if (!failed) action();
    runDeferred();
    return std::exchange(step, {});
  }

  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                  raft_entry** entries, std::size_t* count) {
    const auto& state = self(i).store.state();
    *term = state.term;
    *vote = state.vote;
    *first = state.firstIndex;
    *snapshot = state.snapshot.index > 0 ? self(i).allocateCopy(state.snapshot) : nullptr;
    // The entries are encoded and decoded as a message, so that their memory is laid out as the library
    // expects it.
    raft_message message{};
    raft_append_entries request{};
    std::vector<raft_entry> views;
    for (const auto& e : state.entries)
      views.push_back({e.term,
                       static_cast<unsigned short>(e.type),
                       {const_cast<char*>(e.bytes.data()), e.bytes.size()},
                       nullptr});
    request.entries = views.data();
    request.n_entries = static_cast<unsigned>(views.size());
    message.type = RAFT_IO_APPEND_ENTRIES;
    message.append_entries = request;
    raft_message copied{};
    if (!readMessage(writeMessage(message), self(i).voters, copied)) return self(i).check(false);
    *entries = copied.append_entries.entries;
    *count = copied.append_entries.n_entries;
    return 0;
  }
  static int bootstrap(raft_io* i, const raft_configuration* voters) {
    raft_buffer buffer{};
    if (raft_configuration_encode(voters, &buffer) != 0) return self(i).check(false);
    const Entry first{kFirstTerm, RAFT_CHANGE, {static_cast<const char*>(buffer.base), buffer.len}};
    raft_free(buffer.base);
    return self(i).check(self(i).store.setTerm(kFirstTerm) && self(i).store.append({first}));
  }
  // libraft 0.15 acknowledges every accepted AppendEntries request with the index of its last entry, even if
  // its log has further entries after those of the request. Another leader may have left them, and the
  // current leader would count them as replicated. As in figure 2 of the paper, only the index up to which
  // the request has shown the logs to match is acknowledged.
  static int send(raft_io* i, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    auto corrected = *message;
    if (corrected.type == RAFT_IO_APPEND_ENTRIES_RESULT && corrected.append_entries_result.rejected == 0) {
      auto& last = corrected.append_entries_result.last_log_index;
      last = std::min(last, self(i).matchIndex);
    }
    self(i).step.out.push_back({message->server_id, writeMessage(corrected)});
    self(i).deferred.push_back([=] { done(request, 0); });
    return 0;
  }
  static int append(raft_io* i, raft_io_append* request, const raft_entry* entries, unsigned count,
                    raft_io_append_cb done) {
    std::vector<Entry> added;
    for (unsigned k = 0; k < count; ++k)
      added.push_back({entries[k].term,
                       entries[k].type,
                       {static_cast<const char*>(entries[k].buf.base), entries[k].buf.len}});
    const int status = self(i).check(self(i).store.append(added));
    self(i).deferred.push_back([=] { done(request, status); });
    return 0;
  }
  static int putSnapshot(raft_io* i, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* from, raft_io_snapshot_put_cb done) {
    Snapshot snapshot{from->index, from->term, from->configuration_index, {}};
    for (unsigned k = 0; k < from->n_bufs; ++k)
      snapshot.bytes.append(static_cast<const char*>(from->bufs[k].base), from->bufs[k].len);
    const int status = self(i).check(self(i).store.put(snapshot, trailing));
    self(i).deferred.push_back([=] { done(request, status); });
    return 0;
  }
  static int getSnapshot(raft_io* i, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    auto* copied = self(i).allocateCopy(self(i).store.state().snapshot);
    self(i).deferred.push_back([=] { done(request, copied, 0); });
    return 0;
  }
  // A copy whose memory the library frees.
  raft_snapshot* allocateCopy(const Snapshot& from) const {
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    out->index = from.index;
    out->term = from.term;
    out->configuration_index = from.configurationIndex;
    copyConfiguration(voters, out->configuration);
    out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    out->bufs[0] = bufferOf(from.bytes);
    out->n_bufs = 1;
    return out;
  }

  static int apply(raft_fsm* f, const raft_buffer* buffer, void** result) {
    auto& impl = self(f);
    auto command = deserializeCommand({static_cast<const char*>(buffer->base), buffer->len});
    impl.lastResult = command ? impl.held.apply(*command) : Result{};
    if (command) impl.step.applied.push_back(std::move(*command));
    *result = &impl.lastResult;
    return 0;
  }
  static int takeSnapshot(raft_fsm* f, raft_buffer** buffers, unsigned* count) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*buffers)[0] = bufferOf(self(f).held.write());
    *count = 1;
    return 0;
  }
  static int restore(raft_fsm* f, raft_buffer* buffer) {
    auto read = Register::read({static_cast<const char*>(buffer->base), buffer->len});
    if (!read) return RAFT_MALFORMED;
    self(f).held = std::move(*read);
    self(f).step.applied.clear();
    raft_free(buffer->base);
    return 0;
  }

  // Removes the entries that this voter's snapshot already contains from a request. They are committed and so
  // match any leader's log, but are no longer there to compare with: the library would reject the request,
  // the leader would send a snapshot older than the voter's own, and this would repeat for ever.
  void skipSnapshotEntries(raft_append_entries& request) const {
    const auto& snapshot = store.state().snapshot;
    if (request.prev_log_index >= snapshot.index) return;
    const auto skipped = static_cast<unsigned>(
        std::min<std::uint64_t>(snapshot.index - request.prev_log_index, request.n_entries));
    request.prev_log_index = snapshot.index;
    request.prev_log_term = snapshot.term;
    if (skipped == request.n_entries && skipped > 0) {
      raft_free(request.entries[0].batch);
      raft_free(request.entries);
      request.entries = nullptr;
    } else {
      std::copy(request.entries + skipped, request.entries + request.n_entries, request.entries);
    }
    request.n_entries -= skipped;
  }
  // Sets matchIndex, up to which the request shows the logs to match if it is accepted, and limits the commit
  // index to it. The library would limit it to the voter's last entry, whichever leader wrote that.
  void limitCommitIndex(raft_message& message) {
    matchIndex = 0;
    if (message.type == RAFT_IO_INSTALL_SNAPSHOT) matchIndex = message.install_snapshot.last_index;
    if (message.type != RAFT_IO_APPEND_ENTRIES) return;
    auto& request = message.append_entries;
    skipSnapshotEntries(request);
    matchIndex = request.prev_log_index + request.n_entries;
    request.leader_commit = std::min(request.leader_commit, matchIndex);
  }

  struct Proposal {
    struct raft_apply request {};
    Impl* impl = nullptr;
    std::uint64_t token = 0;
  };
  bool propose(const Command& command, std::uint64_t token) {
    auto proposal = std::make_unique<Proposal>();
    proposal->impl = this;
    proposal->token = token;
    proposal->request.data = proposal.get();
    const auto buffer = bufferOf(serializeCommand(command));
    const auto done = [](struct raft_apply* request, int status, void* result) {
      const std::unique_ptr<Proposal> owned(static_cast<Proposal*>(request->data));
      const auto value = status == 0 ? *static_cast<Result*>(result) : Result{};
      owned->impl->step.outcomes.push_back({owned->token, status != 0, value});
    };
    if (raft_apply(&raft, &proposal->request, &buffer, 1, done) != 0) {
      raft_free(buffer.base);
      return false;
    }
    static_cast<void>(proposal.release());  // freed with its outcome
    return true;
  }

  VoterOptions options;
  Store& store;
  Nanos now;
  std::mt19937_64 random;
  raft_configuration voters{};
  raft_io io{};
  raft_fsm fsm{};
  struct raft raft {};
  raft_io_tick_cb onTick = nullptr;
  raft_io_recv_cb onReceive = nullptr;
  Register held;
  Result lastResult;
  raft_index matchIndex = 0;  // last index shown to match by the request that is being handled
  Step step;                  // what the current call returns
  std::deque<std::function<void()>> deferred;  // completion callbacks
  bool failed = false;  // the store or the library has failed; the voter no longer takes part
  bool closed = false;
};

Voter::Voter(const VoterOptions& options, Store& store, Nanos now)
    : impl_(std::make_unique<Impl>(options, store, now)) {}
Voter::~Voter() = default;

Voter::Step Voter::tick(Nanos now) {
  return impl_->advance(now, [&] { impl_->onTick(&impl_->io); });
}

Voter::Step Voter::received(VoterId from, std::string_view bytes, Nanos now) {
  return impl_->advance(now, [&] {
    raft_message message{};
    const auto& voters = impl_->options.voters;
    const bool known = std::find(voters.begin(), voters.end(), from) != voters.end();
    if (!known || !readMessage(bytes, impl_->voters, message)) return;
    const auto address = std::to_string(from);
    message.server_id = from;
    message.server_address = address.c_str();
    impl_->limitCommitIndex(message);
    impl_->onReceive(&impl_->io, &message);
  });
}

std::optional<Voter::Step> Voter::propose(const Command& command, std::uint64_t token, Nanos now) {
  bool accepted = false;
  auto step = impl_->advance(now, [&] { accepted = impl_->propose(command, token); });
  return accepted ? std::optional(std::move(step)) : std::nullopt;
}

bool Voter::leads() const { return !impl_->failed && raft_state(&impl_->raft) == RAFT_LEADER; }
VoterId Voter::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&impl_->raft, &id, &address);
  return id;
}
std::uint64_t Voter::term() const { return impl_->raft.current_term; }
bool Voter::works() const { return !impl_->failed && raft_state(&impl_->raft) != RAFT_UNAVAILABLE; }
const Register& Voter::held() const { return impl_->held; }

}  // namespace topazweir::agreement
