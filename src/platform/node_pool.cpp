#include "platform/node_pool.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "platform/frames.hpp"

namespace topazweir::platform {

namespace {
constexpr Nanos kSweep = 1'000'000'000;
// An idle connection is given up well before the node's machine closes it: a request written to it from then
// on would end as a reset.
constexpr double kIdleShare = 0.8;
// A node writes an answer in one go: what has not come in whole by then never will.
constexpr Nanos kFrameTime = 100'000'000;
// An attempt given up on after this long, and so many times what answers take lately, with nothing heard on
// its connection since, speaks against that connection.
constexpr Nanos kSilent = 100'000'000;
constexpr double kSilentTimes = 6, kMeanStep = 0.05;
// A connection suspected and heard after all was a slow node's: so much more time from then on. One that was
// rightly ended takes that back.
constexpr double kPatienceStep = 1.5, kMostPatience = 8;
constexpr int kFewAnswers = 20;      // fewer say nothing of the mean
constexpr Nanos kLook = 25'000'000;  // how often connections are looked at for that
// Parts that were out on a connection, remembered to tell a late or doubled answer from one to a strange id.
constexpr std::size_t kOverKept = 512;
}  // namespace

struct NodePool::Link : net::Connection::Owner {
  NodePool& pool;
  ServerId server;
  Nanos startedAt;  // of the process behind it
  std::shared_ptr<net::Connection> connection;
  std::map<std::string, broker::AttemptId, std::less<>> outs;  // by the part's id
  std::deque<broker::AttemptId> waiting;                       // of these, what has not left, in order
  std::deque<std::string> over;                                // ids of parts that were out before
  Nanos lastUsed = 0, heardAt = 0;
  Nanos answeredSentAt = 0;         // when the youngest part that it has answered was sent
  Nanos waitsSince = 0;             // it has attempts out and has said nothing
  bool suspect = false;             // silent where it should have answered
  bool spoilt = false;              // it sent what cannot be read: of no further use
  std::string culprit;              // the part whose answer was that, if it can be told
  net::Loop::TimerId frameTimer{};  // running while a frame is incomplete
  bool midFrame = false;

  Link(NodePool& owner, ServerId to, Nanos started) : pool(owner), server(to), startedAt(started) {}
  ~Link() override {
    pool.loop_.cancel(frameTimer);
    if (connection) connection->close();
  }
  bool wasOut(std::string_view partId) const {
    return std::find(over.begin(), over.end(), partId) != over.end();
  }
  // Guards against parts that would wait behind what never ends, or could not be told from earlier ones.
  bool takes(std::string_view partId, std::size_t streams) const {
    return outs.size() < streams && !suspect && !spoilt && !midFrame && !connection->peerLeft() &&
           outs.count(partId) == 0 && !wasOut(partId);
  }
  void onUp(net::Connection&) override { pool.onUp(*this); }
  void onData(net::Connection&) override { pool.onData(*this); }
  void onFlushed(net::Connection&) override { pool.writeWaiting(*this); }
  void onEnd(net::Connection&, net::ConnectionEnd end) override { pool.onEnd(*this, end); }
};

NodePool::NodePool(net::Loop& loop, broker::Log& log, const Directory& directory, Options options,
                   Ended ended)
    : loop_(loop), log_(log), directory_(directory), options_(options), ended_(std::move(ended)) {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  lookTimer_ = loop_.after(kLook, [this] { endSilent(); });
}

NodePool::~NodePool() {
  loop_.cancel(sweepTimer_);
  loop_.cancel(lookTimer_);
  for (auto& [id, out] : outs_) loop_.cancel(out.timer);
}

// A connection with room: one that is up before one that is coming up; else a new one.
NodePool::Link* NodePool::linkFor(const Directory::Node& node, std::string_view partId) {
  Link* best = nullptr;
  for (auto& [key, link] : links_) {
    if (link->server != node.id || !link->takes(partId, options_.streams)) continue;
    if (!best || (link->connection->up() && !best->connection->up())) best = key;
  }
  if (best && !closedMeanwhile(*best)) return best;
  if (links_.size() >= options_.mostConnections && !makeRoom()) {
    log_.line("node.connection_limit", node.entry.instance);
    return nullptr;
  }
  return open(node);
}

// Guards attempts against a connection that the node's machine has closed while it rested, which the loop has
// not come to yet: what is written to it may have run, as far as can be told.
bool NodePool::closedMeanwhile(Link& link) {
  if (!link.connection->up() || !link.outs.empty()) return false;
  if (link.connection->readMore()) {  // words on parts that are over; the loop will not speak of them again
    const std::weak_ptr<Link> weak = links_.at(&link);
    loop_.soon([this, weak] {
      const auto self = weak.lock();
      if (self && links_.count(self.get()) > 0) onData(*self);
    });
  }
  return link.connection->peerLeft();
}

NodePool::Link* NodePool::open(const Directory::Node& node) {
  auto link = std::make_shared<Link>(*this, node.id, node.entry.startedAt);
  link->connection = net::Connection::connect(loop_, node.entry.address, options_.connectTime, *link);
  ++opened_;
  return links_.emplace(link.get(), link).first->first;
}

void NodePool::connectAll() {
  std::set<ServerId> linked;
  for (const auto& [key, link] : links_) linked.insert(link->server);
  for (const auto& [id, node] : directory_.all()) {
    if (links_.size() >= options_.mostConnections) return;
    const bool wanted = node.entry.state == ServerState::up && linked.count(id) == 0;
    if (wanted && connectedAhead_.insert(id).second) open(node)->lastUsed = loop_.now();
  }
}

bool NodePool::settled() const {
  return std::all_of(links_.begin(), links_.end(),
                     [](const auto& link) { return link.second->connection->up(); });
}

// Guards queries of a large fleet, which take turns over more nodes than there are descriptors: the
// connection that has been idle for longest gives way, and only what is in use holds a place.
bool NodePool::makeRoom() {
  const Link* oldest = nullptr;
  for (const auto& [key, link] : links_)
    if (link->outs.empty() && (!oldest || link->lastUsed < oldest->lastUsed)) oldest = key;
  if (!oldest) return false;
  oldest->connection->end(net::ConnectionEnd::closedHere);
  return true;
}

void NodePool::start(broker::AttemptOrder order) {
  const auto id = order.id;
  const auto* node = directory_.find(order.server);
  // Guards the rule on leaving nodes, whatever is asked.
  const bool serves = node && node->entry.state == ServerState::up;
  auto* link = serves ? linkFor(*node, order.partId) : nullptr;
  if (!link) return ended_(id, Outcome::notSent, {});  // our own limit: nothing that the node is to blame for
  link->outs[order.partId] = id;
  link->lastUsed = loop_.now();
  const auto timer = loop_.after(order.wait, [this, id] { timedOut(id); });
  outs_[id] = Out{std::move(order), links_.at(link), 0, 0, timer};
  link->waiting.push_back(id);
  if (link->connection->up()) writeWaiting(*link);
}

// As long as the connection takes them at once; what stands behind is written when it has.
void NodePool::writeWaiting(Link& link) {
  while (!link.waiting.empty() && link.connection->flushed()) {
    const auto id = link.waiting.front();
    link.waiting.pop_front();
    Out& out = outs_.at(id);
    if (const Nanos by = out.order.writeBy; by == 0 || loop_.now() <= by) {
      write(out);
      continue;
    }
    const std::weak_ptr<Link> weak = out.link;  // from the loop: this may be called from within start()
    loop_.soon([this, weak, id] {
      if (!weak.expired()) finish(id, Outcome::notSent, {});
    });
  }
}

void NodePool::write(Out& out) {
  auto& connection = *out.link->connection;
  const Nanos left = std::max<Nanos>(0, out.timer.first - loop_.now());
  connection.write(writeCall(out.order.partId, out.order.shard, left, *out.order.query));
  out.frameEnd = connection.queued();
  out.queuedAt = loop_.now();
  if (out.link->outs.size() == 1) out.link->waitsSince = out.queuedAt;
}

void NodePool::release(const Out& out) {
  loop_.cancel(out.timer);
  Link& link = *out.link;
  link.outs.erase(out.order.partId);
  if (out.frameEnd == 0) {
    std::erase(link.waiting, out.order.id);
  } else {
    link.over.push_back(out.order.partId);
  }
  if (link.over.size() > kOverKept) link.over.pop_front();
  link.lastUsed = loop_.now();
}

// Guards against connections that stay open and are dead: one that was silent for all the time that an
// attempt was given gets no further parts, and is closed when nothing waits on it.
void NodePool::giveUp(const broker::AttemptId& id) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  const Out out = std::move(at->second);
  outs_.erase(at);
  release(out);
  if (out.frameEnd == 0) return;
  const auto& link = out.link;
  const Nanos age = loop_.now() - out.queuedAt;
  link->suspect = link->suspect || (link->heardAt < out.queuedAt && age >= silentLimit());
  link->connection->write(writeCancel(out.order.partId));
  if (link->suspect && link->outs.empty()) link->connection->end(net::ConnectionEnd::closedHere);
}

Nanos NodePool::silentLimit() const {
  return static_cast<Nanos>(patience_ * std::max(static_cast<double>(kSilent), kSilentTimes * meanAnswer_));
}

// Guards sound nodes against connections that have fallen silent: what is out there would count against the
// node, and keep it set aside, until the clients' time is up. Such a connection gets no more parts, and it
// ends when the node has answered on another one what was sent well after: otherwise the node may just be
// slow, and to ask anew would be a storm, more so when every aggregator does.
void NodePool::endSilent() {
  lookTimer_ = loop_.after(kLook, [this] { endSilent(); });
  if (answers_ < kFewAnswers) return;
  std::map<ServerId, Nanos> answered;
  for (const auto& [key, link] : links_)
    answered[link->server] = std::max(answered[link->server], link->answeredSentAt);
  std::vector<std::shared_ptr<Link>> mute;
  for (const auto& [key, link] : links_) {
    if (!link->connection->up() || link->outs.empty() || loop_.now() - link->waitsSince <= silentLimit())
      continue;
    link->suspect = true;
    if (answered[link->server] - link->waitsSince > static_cast<Nanos>(meanAnswer_)) mute.push_back(link);
  }
  for (const auto& link : mute) {
    patience_ = std::max(1.0, patience_ / kPatienceStep);
    link->connection->end(net::ConnectionEnd::silent);
  }
}

void NodePool::cancel(const broker::AttemptId& id) { giveUp(id); }

void NodePool::finish(const broker::AttemptId& id, Outcome outcome, std::string value) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  release(at->second);
  outs_.erase(at);
  ended_(id, outcome, std::move(value));
}

void NodePool::timedOut(const broker::AttemptId& id) {
  giveUp(id);
  ended_(id, Outcome::timedOut, {});
}

void NodePool::onUp(Link& link) {
  link.waitsSince = loop_.now();
  writeWaiting(link);
}

// All that has come is read before any of it is acted on. Good answers before a spoilt one count, and so does
// one with noise behind it; but the module may answer with new parts, and these must not go to a connection
// that is already known to be of no use.
void NodePool::onData(Link& link) {
  const auto self = links_.at(&link);  // an outcome may lead to its end
  auto& input = link.connection->input();
  struct Arrived {
    broker::AttemptId id;
    Outcome outcome;
    std::string value;
  };
  std::vector<Arrived> arrived;
  std::size_t used = 0;
  auto end = net::ConnectionEnd::badPeer;
  while (!link.spoilt) {
    const auto waiting = std::string_view(input).substr(used);
    const auto read = readFrame(waiting);
    if (!read.frame && !read.fault) break;
    const char letter = read.frame ? read.frame->letter : '\0';
    if (letter == 'F') {
      log_.line("node.fault", read.frame->rest.substr(0, 200));
      end = net::ConnectionEnd::peerFault;
    }
    const auto reply = letter == 'R' ? readReply(read.frame->rest) : std::nullopt;
    const auto out = reply ? link.outs.find(reply->id) : link.outs.end();
    if (out != link.outs.end()) {
      const auto id = out->second;
      const bool twice =
          std::any_of(arrived.begin(), arrived.end(), [&](const auto& a) { return a.id == id; });
      if (!twice) {
        arrived.push_back({id, reply->outcome, std::string(reply->value)});
        link.answeredSentAt = std::max(link.answeredSentAt, outs_.at(id).queuedAt);
        const auto took = static_cast<double>(loop_.now() - outs_.at(id).queuedAt);
        meanAnswer_ += (answers_ == 0 ? 1 : kMeanStep) * (took - meanAnswer_);
        answers_ = std::min(answers_ + 1, kFewAnswers);
      }
    } else if (!reply || !link.wasOut(reply->id)) {  // else given up on meanwhile, or answered before
      link.spoilt = true;
      link.culprit = partOf(waiting);
      break;
    }
    used += read.frame->size;
  }
  if (used > 0) {
    if (link.suspect) patience_ = std::min(kMostPatience, patience_ * kPatienceStep);
    link.heardAt = link.waitsSince = loop_.now();
    link.suspect = link.midFrame = false;
    input.erase(0, used);
  }
  watchFrame(link);
  for (auto& a : arrived) finish(a.id, a.outcome, std::move(a.value));
  if (link.spoilt) return link.connection->end(end);
  link.connection->resume();
}

// Guards against a frame that never ends, whose claimed length swallows all that follows it.
void NodePool::watchFrame(Link& link) {
  const bool begun = !link.connection->input().empty() && !link.spoilt;
  if (begun && link.midFrame) return;
  loop_.cancel(link.frameTimer);
  link.midFrame = begun;
  if (!begun) return;
  link.frameTimer = loop_.after(kFrameTime, [this, &link] {
    const auto self = links_.at(&link);
    // Timers go before sockets: on a machine that stood still the rest may be here.
    const Nanos heardAt = link.heardAt;
    if (link.connection->readMore()) onData(link);
    if (links_.count(self.get()) == 0 || link.heardAt != heardAt) return;
    link.spoilt = true;
    link.culprit = partOf(link.connection->input());
    link.connection->end(net::ConnectionEnd::badPeer);
  });
}

void NodePool::onEnd(Link& link, net::ConnectionEnd end) {
  const auto at = links_.find(&link);
  if (at == links_.end()) return;
  const auto self = at->second;
  links_.erase(at);
  loop_.cancel(link.frameTimer);
  const auto* node = directory_.find(link.server);
  if (end != net::ConnectionEnd::closedHere)
    log_.line("node.connection_ended", (node ? node->entry.instance : std::string("?")) + " end=" +
                                           nameOf(end) + " attempts=" + std::to_string(link.outs.size()));
  std::vector<std::pair<broker::AttemptId, Outcome>> ended;
  for (const auto& [partId, id] : link.outs) {
    const auto frameEnd = outs_.at(id).frameEnd;
    const bool blamed = partId == link.culprit || link.outs.size() == 1;
    const auto cause = end == net::ConnectionEnd::badPeer && !blamed ? net::ConnectionEnd::beside : end;
    ended.emplace_back(id, net::outcomeOf(cause, frameEnd > 0 && link.connection->written() >= frameEnd));
  }
  for (const auto& [id, outcome] : ended) finish(id, outcome, {});
}

// A process that has started since knows nothing of this connection, even where no reset came through.
bool NodePool::replaced(const Link& link) const {
  const auto* node = directory_.find(link.server);
  return node && node->entry.startedAt > link.startedAt;
}

bool NodePool::serves(const Link& link) const {
  const auto* node = directory_.find(link.server);
  return node && node->entry.state == ServerState::up && !replaced(link);
}

bool NodePool::useless(const Link& link) const {
  return replaced(link) || (link.outs.empty() && !serves(link));
}

void NodePool::listChanged() {
  // Called back first: what they answer may go elsewhere, and their connections have less to wait for.
  std::vector<broker::AttemptId> back;
  for (const auto& [key, link] : links_) {
    if (!serves(*link)) back.insert(back.end(), link->waiting.begin(), link->waiting.end());
  }
  for (const auto& id : back) finish(id, Outcome::notSent, {});
  std::vector<std::shared_ptr<Link>> stale;
  for (const auto& [key, link] : links_)
    if (useless(*link)) stale.push_back(link);
  for (const auto& link : stale)
    link->connection->end(link->outs.empty() ? net::ConnectionEnd::closedHere : net::ConnectionEnd::replaced);
}

void NodePool::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  listChanged();  // what still had attempts out when its node left
  if (options_.idle <= 0) return;
  const auto most = static_cast<Nanos>(kIdleShare * static_cast<double>(options_.idle));
  std::vector<std::shared_ptr<Link>> idle;
  for (const auto& [key, link] : links_)
    if (link->outs.empty() && loop_.now() - link->lastUsed > most) idle.push_back(link);
  for (const auto& link : idle) link->connection->end(net::ConnectionEnd::closedHere);
}

}  // namespace topazweir::platform
