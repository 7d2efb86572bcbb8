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
constexpr raft_term kFirstTerm = 1;
}  // namespace

// The library's input and output as it wants them: each request is carried out at once and reported later,
// from drain(), never from within the call that made it.
struct Voter::Impl {
  Impl(const VoterOptions& given, Store& kept, Nanos at)
      : options(given), store(kept), now(at), random(given.seed) {
    raft_configuration_init(&voters);
    for (const auto id : options.voters)
      if (raft_configuration_add(&voters, id, std::to_string(id).c_str(), RAFT_VOTER) != 0)
        throw std::runtime_error("voter " + std::to_string(id) + " stands twice, or is 0");
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb done) { of(i).later.push_back([i, done] { done(i); }); };
    io.load = load;
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb receive) {
      of(i).onTick = tick, of(i).onReceive = receive;
      return 0;
    };
    io.bootstrap = bootstrap;
    io.recover = [](raft_io*, const raft_configuration*) { return static_cast<int>(RAFT_IOERR); };
    io.set_term = [](raft_io* i, raft_term term) { return of(i).must(of(i).store.setTerm(term)); };
    io.set_vote = [](raft_io* i, raft_id id) { return of(i).must(of(i).store.setVote(id)); };
    io.send = send;
    io.append = append;
    io.truncate = [](raft_io* i, raft_index from) { return of(i).must(of(i).store.truncate(from)); };
    io.snapshot_put = putSnapshot;
    io.snapshot_get = getSnapshot;
    io.time = [](raft_io* i) { return static_cast<raft_time>(of(i).now / kMs); };
    io.random = [](raft_io* i, int least, int most) {
      return least + static_cast<int>(of(i).random() % static_cast<unsigned>(std::max(1, most - least)));
    };
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = apply;
    fsm.snapshot = takeSnapshot;
    fsm.restore = restore;
    must(raft_init(&raft, &io, &fsm, options.self, std::to_string(options.self).c_str()) == 0);
    raft_set_election_timeout(&raft, static_cast<unsigned>(options.electionTime / kMs));
    raft_set_heartbeat_timeout(&raft, static_cast<unsigned>(options.heartbeat / kMs));
    // The library would wait half a minute for a snapshot that was lost on the way.
    raft_set_install_snapshot_timeout(&raft, static_cast<unsigned>(2 * options.electionTime / kMs));
    raft_set_snapshot_threshold(&raft, options.snapshotEvery);
    raft_set_snapshot_trailing(&raft, options.trailing);
    raft_set_pre_vote(&raft, true);  // one that was cut off does not unseat a leader when it is back
    const auto& saved = store.saved();
    const bool fresh = saved.term == 0 && saved.entries.empty() && saved.snapshot.index == 0;
    if (fresh) must(raft_bootstrap(&raft, &voters) == 0);
    must(raft_start(&raft) == 0);
    drain();
    if (failed) {
      const std::string why = raft_errmsg(&raft);
      close();
      throw std::runtime_error("the voter's store can't be used: " + why);
    }
  }
  ~Impl() { close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void close() {
    if (std::exchange(closed, true)) return;
    raft_close(&raft, nullptr);
    drain();
    raft_configuration_close(&voters);
  }

  static Impl& of(raft_io* i) { return *static_cast<Impl*>(i->impl); }
  static Impl& of(raft_fsm* f) { return *static_cast<Impl*>(f->data); }
  int must(bool good) {
    failed = failed || !good;
    return good ? 0 : RAFT_IOERR;
  }
  void drain() {
    while (!later.empty()) {
      const auto next = std::move(later.front());
      later.pop_front();
      next();
    }
  }
  Step turn(Nanos at, const std::function<void()>& what) {
    now = std::max(now, at);
    if (!failed) what();
    drain();
    return std::exchange(step, {});
  }

  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                  raft_entry** entries, std::size_t* count) {
    const auto& saved = of(i).store.saved();
    *term = saved.term, *vote = saved.vote, *first = saved.first;
    *snapshot = saved.snapshot.index > 0 ? of(i).copy(saved.snapshot) : nullptr;
    raft_message all{};  // read as a message is, for the memory to be as the library wants it
    raft_append_entries whole{};
    std::vector<raft_entry> views;
    for (const auto& e : saved.entries)
      views.push_back({e.term,
                       static_cast<unsigned short>(e.type),
                       {const_cast<char*>(e.bytes.data()), e.bytes.size()},
                       nullptr});
    whole.entries = views.data(), whole.n_entries = static_cast<unsigned>(views.size());
    all.type = RAFT_IO_APPEND_ENTRIES, all.append_entries = whole;
    raft_message copied{};
    if (!readMessage(writeMessage(all), of(i).voters, copied)) return of(i).must(false);
    *entries = copied.append_entries.entries, *count = copied.append_entries.n_entries;
    return 0;
  }
  static int bootstrap(raft_io* i, const raft_configuration* voters) {
    raft_buffer buffer{};
    if (raft_configuration_encode(voters, &buffer) != 0) return of(i).must(false);
    const Entry first{kFirstTerm, RAFT_CHANGE, {static_cast<const char*>(buffer.base), buffer.len}};
    raft_free(buffer.base);
    return of(i).must(of(i).store.setTerm(kFirstTerm) && of(i).store.append({first}));
  }
  // libraft 0.15 reports its last entry after every request that it has taken, also where later entries than
  // those of the request stand behind it, which another leader may have left there; the leader would count
  // these as its own. Figure 2 of the paper counts what the request has shown to match.
  static int send(raft_io* i, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    auto honest = *message;
    if (honest.type == RAFT_IO_APPEND_ENTRIES_RESULT && honest.append_entries_result.rejected == 0) {
      auto& last = honest.append_entries_result.last_log_index;
      last = std::min(last, of(i).matched);
    }
    of(i).step.out.push_back({message->server_id, writeMessage(honest)});
    of(i).later.push_back([=] { done(request, 0); });
    return 0;
  }
  static int append(raft_io* i, raft_io_append* request, const raft_entry* entries, unsigned count,
                    raft_io_append_cb done) {
    std::vector<Entry> kept;
    for (unsigned k = 0; k < count; ++k)
      kept.push_back({entries[k].term,
                      entries[k].type,
                      {static_cast<const char*>(entries[k].buf.base), entries[k].buf.len}});
    const int status = of(i).must(of(i).store.append(kept));
    of(i).later.push_back([=] { done(request, status); });
    return 0;
  }
  static int putSnapshot(raft_io* i, unsigned trailing, raft_io_snapshot_put* request, const raft_snapshot* s,
                         raft_io_snapshot_put_cb done) {
    Snapshot kept{s->index, s->term, s->configuration_index, {}};
    for (unsigned k = 0; k < s->n_bufs; ++k)
      kept.bytes.append(static_cast<const char*>(s->bufs[k].base), s->bufs[k].len);
    const int status = of(i).must(of(i).store.put(kept, trailing));
    of(i).later.push_back([=] { done(request, status); });
    return 0;
  }
  static int getSnapshot(raft_io* i, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    auto* copied = of(i).copy(of(i).store.saved().snapshot);
    of(i).later.push_back([=] { done(request, copied, 0); });
    return 0;
  }
  raft_snapshot* copy(const Snapshot& from) const {
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    out->index = from.index, out->term = from.term, out->configuration_index = from.configurationIndex;
    copyConfiguration(voters, out->configuration);
    out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    out->bufs[0] = bufferOf(from.bytes);
    out->n_bufs = 1;
    return out;
  }

  static int apply(raft_fsm* f, const raft_buffer* buffer, void** result) {
    auto& self = of(f);
    auto command = readCommand({static_cast<const char*>(buffer->base), buffer->len});
    self.lastResult = command ? self.held.apply(*command) : Result{};
    if (command) self.step.applied.push_back(std::move(*command));
    *result = &self.lastResult;
    return 0;
  }
  static int takeSnapshot(raft_fsm* f, raft_buffer** buffers, unsigned* count) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*buffers)[0] = bufferOf(of(f).held.write());
    *count = 1;
    return 0;
  }
  static int restore(raft_fsm* f, raft_buffer* buffer) {
    auto read = Register::read({static_cast<const char*>(buffer->base), buffer->len});
    if (!read) return RAFT_MALFORMED;
    of(f).held = std::move(*read);
    of(f).step.applied.clear();
    raft_free(buffer->base);
    return 0;
  }

  // What its own snapshot holds was agreed on and matches any leader's log, but is no longer there to compare
  // with: the library would reject the request, be sent a snapshot that is older than its own, and so on for
  // ever.
  void passSnapshot(raft_append_entries& a) const {
    const auto& snapshot = store.saved().snapshot;
    if (a.prev_log_index >= snapshot.index) return;
    const auto passed =
        static_cast<unsigned>(std::min<std::uint64_t>(snapshot.index - a.prev_log_index, a.n_entries));
    a.prev_log_index = snapshot.index, a.prev_log_term = snapshot.term;
    if (passed == a.n_entries && passed > 0) {
      raft_free(a.entries[0].batch);
      raft_free(a.entries);
      a.entries = nullptr;
    } else {
      std::copy(a.entries + passed, a.entries + a.n_entries, a.entries);
    }
    a.n_entries -= passed;
  }
  // Notes up to where an accepted request has shown the logs to match, and bounds the commit index by it: the
  // library would bound it by its last entry, whoever wrote that.
  void bound(raft_message& message) {
    matched = 0;
    if (message.type == RAFT_IO_INSTALL_SNAPSHOT) matched = message.install_snapshot.last_index;
    if (message.type != RAFT_IO_APPEND_ENTRIES) return;
    auto& a = message.append_entries;
    passSnapshot(a);
    matched = a.prev_log_index + a.n_entries;
    a.leader_commit = std::min(a.leader_commit, matched);
  }

  struct Proposal {
    struct raft_apply request {};
    Impl* impl = nullptr;
    std::uint64_t token = 0;
  };
  bool propose(const Command& command, std::uint64_t token) {
    auto proposal = std::make_unique<Proposal>();
    proposal->impl = this, proposal->token = token;
    proposal->request.data = proposal.get();
    const auto buffer = bufferOf(writeCommand(command));
    const auto done = [](struct raft_apply* request, int status, void* result) {
      const std::unique_ptr<Proposal> own(static_cast<Proposal*>(request->data));
      const auto value = status == 0 ? *static_cast<Result*>(result) : Result{};
      own->impl->step.outcomes.push_back({own->token, status != 0, value});
    };
    if (raft_apply(&raft, &proposal->request, &buffer, 1, done) != 0) {
      raft_free(buffer.base);
      return false;
    }
    static_cast<void>(proposal.release());  // given back with its outcome
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
  raft_index matched = 0;  // by the request that is being answered
  Step step;
  std::deque<std::function<void()>> later;
  bool failed = false, closed = false;
};

Voter::Voter(const VoterOptions& options, Store& store, Nanos now)
    : impl_(std::make_unique<Impl>(options, store, now)) {}
Voter::~Voter() = default;

Voter::Step Voter::tick(Nanos now) {
  return impl_->turn(now, [&] { impl_->onTick(&impl_->io); });
}

Voter::Step Voter::received(VoterId from, std::string_view bytes, Nanos now) {
  return impl_->turn(now, [&] {
    raft_message message{};
    const auto& voters = impl_->options.voters;
    const bool known = std::find(voters.begin(), voters.end(), from) != voters.end();
    if (!known || !readMessage(bytes, impl_->voters, message)) return;
    const auto address = std::to_string(from);
    message.server_id = from, message.server_address = address.c_str();
    impl_->bound(message);
    impl_->onReceive(&impl_->io, &message);
  });
}

std::optional<Voter::Step> Voter::propose(const Command& command, std::uint64_t token, Nanos now) {
  bool taken = false;
  auto step = impl_->turn(now, [&] { taken = impl_->propose(command, token); });
  return taken ? std::optional(std::move(step)) : std::nullopt;
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
