#include "platform/node_pool.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "platform/frames.hpp"

namespace topazweir::platform {

namespace {
constexpr Nanos kCleanupIntervalNs = 1'000'000'000;
// Share of the idle time-out after which an idle connection is closed from here, well before the node's
// machine closes it: a request written to a closed connection would end as a reset.
constexpr double kIdleTimeoutShare = 0.8;
// A node writes an answer in one go, so a frame that is incomplete for longer never completes.
constexpr Nanos kFrameTimeoutNs = 100'000'000;
// A connection is unresponsive when nothing has arrived on it for this time, or for this many mean response
// times if that is longer, while it has attempts out.
constexpr Nanos kMinUnresponsiveTimeoutNs = 100'000'000;
constexpr double kUnresponsiveMeanMultiple = 6;
constexpr double kMeanAnswerWeight = 0.05;  // of the latest response time in the moving average
// If data arrives on a suspected connection after all, the node was only slow, and the time-out is multiplied
// by this factor from then on, up to a limit. Closing a connection that was indeed dead divides it again.
constexpr double kTimeoutFactorStep = 1.5;
constexpr double kMaxTimeoutFactor = 8;
constexpr int kMinAnswersForMean = 20;  // with fewer the mean response time is not used
constexpr Nanos kUnresponsiveCheckIntervalNs = 25'000'000;
// Finished parts remembered for each connection, to tell a late or duplicate answer from one with an unknown
// id.
constexpr std::size_t kMaxFinishedParts = 512;
}  // namespace

// One connection to a node, with the attempts that it carries.
struct NodePool::Link : net::Connection::Owner {
  NodePool& pool;
  ServerId server;
  Nanos startedAt;  // of the node's process
  std::shared_ptr<net::Connection> connection;
  std::map<std::string, broker::AttemptId, std::less<>> attempts;  // open, by the part's id
  std::deque<broker::AttemptId> unsent;   // of these, those whose frame has not been written, in order
  std::deque<std::string> finishedParts;  // ids of parts sent here whose attempt has ended
  Nanos lastUsed = 0;
  Nanos lastDataAt = 0;
  Nanos newestAnsweredSentAt = 0;   // when the most recently sent part that was answered here was sent
  Nanos waitingSince = 0;           // since when it has had attempts out without any data arriving
  bool suspect = false;             // unresponsive for too long: accepts no further attempts
  bool broken = false;              // it sent something unreadable: accepts no further attempts
  std::string brokenPartId;         // the part whose answer was unreadable, where that is known
  net::Loop::TimerId frameTimer{};  // runs while a frame is incomplete
  bool frameIncomplete = false;

  Link(NodePool& owner, ServerId to, Nanos started) : pool(owner), server(to), startedAt(started) {}
  ~Link() override {
    pool.loop_.cancel(frameTimer);
    if (connection) connection->close();
  }
  bool hasFinished(std::string_view partId) const {
    return std::find(finishedParts.begin(), finishedParts.end(), partId) != finishedParts.end();
  }
  // Whether a further part may be sent here. Not behind a frame that may never complete, and not if the same
  // part was sent here before, since its answers could not be told apart.
  bool accepts(std::string_view partId, std::size_t streams) const {
    return attempts.size() < streams && !suspect && !broken && !frameIncomplete &&
           !connection->hasPeerClosed() && attempts.count(partId) == 0 && !hasFinished(partId);
  }
  void onUp(net::Connection&) override { pool.onUp(*this); }
  void onData(net::Connection&) override { pool.onData(*this); }
  void onFlushed(net::Connection&) override { pool.writeUnsent(*this); }
  void onEnd(net::Connection&, net::ConnectionEnd end) override { pool.onEnd(*this, end); }
};

NodePool::NodePool(net::Loop& loop, broker::Log& log, const Directory& directory, Options options,
                   OnAttemptEnd onAttemptEnd)
    : loop_(loop),
      log_(log),
      directory_(directory),
      options_(options),
      onAttemptEnd_(std::move(onAttemptEnd)) {
  unusedTimer_ = loop_.after(kCleanupIntervalNs, [this] { closeUnused(); });
  unresponsiveTimer_ = loop_.after(kUnresponsiveCheckIntervalNs, [this] { closeUnresponsive(); });
}

NodePool::~NodePool() {
  loop_.cancel(unusedTimer_);
  loop_.cancel(unresponsiveTimer_);
  for (auto& [id, attempt] : pending_) loop_.cancel(attempt.timeout);
}

// Prefers an established connection with room, then one that is being established, else opens a new one. Null
// at the connection limit.
NodePool::Link* NodePool::chooseConnection(const Directory::Node& node, std::string_view partId) {
  Link* best = nullptr;
  for (auto& [key, link] : links_) {
    if (link->server != node.id || !link->accepts(partId, options_.streamsPerConnection)) continue;
    if (!best || (link->connection->up() && !best->connection->up())) best = key;
  }
  if (best && !closedByPeer(*best)) return best;
  if (links_.size() >= options_.maxConnections && !evictIdleLink()) {
    log_.line("node.connection_limit", node.entry.instance);
    return nullptr;
  }
  return openLink(node);
}

// Whether the node's machine has closed an idle connection without the loop having handled that yet. An
// attempt written to such a connection could not be told from one that has run.
bool NodePool::closedByPeer(Link& link) {
  if (!link.connection->up() || !link.attempts.empty()) return false;
  // What this reads concerns finished parts; the loop will not report it again.
  if (link.connection->readAvailable()) {
    const std::weak_ptr<Link> weak = links_.at(&link);
    loop_.soon([this, weak] {
      const auto self = weak.lock();
      if (self && links_.count(self.get()) > 0) onData(*self);
    });
  }
  return link.connection->hasPeerClosed();
}

NodePool::Link* NodePool::openLink(const Directory::Node& node) {
  auto link = std::make_shared<Link>(*this, node.id, node.entry.startedAt);
  link->connection = net::Connection::connect(loop_, node.entry.address, options_.connectTimeout, *link);
  ++opened_;
  return links_.emplace(link.get(), link).first->first;
}

void NodePool::connectAll() {
  std::set<ServerId> connected;
  for (const auto& [key, link] : links_) connected.insert(link->server);
  for (const auto& [id, node] : directory_.all()) {
    if (links_.size() >= options_.maxConnections) return;
    const bool needsConnection = node.entry.state == ServerState::up && connected.count(id) == 0;
    if (needsConnection && connectedAhead_.insert(id).second) openLink(node)->lastUsed = loop_.now();
  }
}

bool NodePool::settled() const {
  return std::all_of(links_.begin(), links_.end(),
                     [](const auto& link) { return link.second->connection->up(); });
}

// Closes the connection that has been idle for longest; false if none is idle. Queries of a large fleet go to
// more nodes in turn than there are descriptors, so only connections in use may hold on to theirs.
bool NodePool::evictIdleLink() {
  const Link* oldest = nullptr;
  for (const auto& [key, link] : links_)
    if (link->attempts.empty() && (!oldest || link->lastUsed < oldest->lastUsed)) oldest = key;
  if (!oldest) return false;
  oldest->connection->end(net::ConnectionEnd::closedLocally);
  return true;
}

void NodePool::start(broker::AttemptOrder order) {
  const auto id = order.id;
  const auto* node = directory_.find(order.server);
  // Nodes that drain or are gone get no attempts, whatever the broker asks for.
  const bool serves = node && node->entry.state == ServerState::up;
  auto* link = serves ? chooseConnection(*node, order.partId) : nullptr;
  if (!link)
    return onAttemptEnd_(id, Outcome::notSent, {});  // our own connection limit: not the node's fault
  link->attempts[order.partId] = id;
  link->lastUsed = loop_.now();
  const auto timeout = loop_.after(order.wait, [this, id] { onAttemptTimeout(id); });
  pending_[id] = PendingAttempt{std::move(order), links_.at(link), 0, 0, timeout};
  link->unsent.push_back(id);
  if (link->connection->up()) writeUnsent(*link);
}

// Writes frames as long as the socket takes them at once; the others follow when it has been flushed.
// Attempts past their writeBy time end as notSent.
void NodePool::writeUnsent(Link& link) {
  while (!link.unsent.empty() && link.connection->flushed()) {
    const auto id = link.unsent.front();
    link.unsent.pop_front();
    PendingAttempt& attempt = pending_.at(id);
    if (const Nanos by = attempt.order.writeBy; by == 0 || loop_.now() <= by) {
      writeFrame(attempt);
      continue;
    }
    const std::weak_ptr<Link> weak = attempt.link;  // deferred: this may run within start()
    loop_.soon([this, weak, id] {
      if (!weak.expired()) finish(id, Outcome::notSent, {});
    });
  }
}

void NodePool::writeFrame(PendingAttempt& attempt) {
  auto& connection = *attempt.link->connection;
  const Nanos timeLeft = std::max<Nanos>(0, attempt.timeout.first - loop_.now());
  connection.write(writeCall(attempt.order.partId, attempt.order.shard, timeLeft, *attempt.order.query));
  attempt.frameEnd = connection.queued();
  attempt.frameWrittenAt = loop_.now();
  if (attempt.link->attempts.size() == 1) attempt.link->waitingSince = attempt.frameWrittenAt;
}

// Detaches an attempt that has ended from its connection.
void NodePool::release(const PendingAttempt& attempt) {
  loop_.cancel(attempt.timeout);
  Link& link = *attempt.link;
  link.attempts.erase(attempt.order.partId);
  if (attempt.frameEnd == 0) {
    std::erase(link.unsent, attempt.order.id);
  } else {
    link.finishedParts.push_back(attempt.order.partId);
  }
  if (link.finishedParts.size() > kMaxFinishedParts) link.finishedParts.pop_front();
  link.lastUsed = loop_.now();
}

// Ends an attempt without an outcome and cancels it at the node. Handles connections that stay open although
// they are dead: one on which nothing arrived for all of the attempt's time gets no further parts, and is
// closed once it has no attempts.
void NodePool::abandon(const broker::AttemptId& id) {
  const auto at = pending_.find(id);
  if (at == pending_.end()) return;
  const PendingAttempt attempt = std::move(at->second);
  pending_.erase(at);
  release(attempt);
  if (attempt.frameEnd == 0) return;
  const auto& link = attempt.link;
  const Nanos age = loop_.now() - attempt.frameWrittenAt;
  link->suspect =
      link->suspect || (link->lastDataAt < attempt.frameWrittenAt && age >= unresponsiveTimeout());
  link->connection->write(writeCancel(attempt.order.partId));
  if (link->suspect && link->attempts.empty()) link->connection->end(net::ConnectionEnd::closedLocally);
}

Nanos NodePool::unresponsiveTimeout() const {
  return static_cast<Nanos>(timeoutFactor_ * std::max(static_cast<double>(kMinUnresponsiveTimeoutNs),
                                                      kUnresponsiveMeanMultiple * meanAnswerNs_));
}

// Handles connections to healthy nodes on which nothing arrives any more: until the clients' deadlines their
// attempts would count against the node and keep it ejected. Such a connection gets no further parts. It is
// closed only once the node has answered on another connection what was sent well after: otherwise the node
// may just be slow, and retries, above all from every aggregator at once, would be a retry storm.
void NodePool::closeUnresponsive() {
  unresponsiveTimer_ = loop_.after(kUnresponsiveCheckIntervalNs, [this] { closeUnresponsive(); });
  if (answerCount_ < kMinAnswersForMean) return;
  std::map<ServerId, Nanos> newestAnsweredSentAt;
  for (const auto& [key, link] : links_)
    newestAnsweredSentAt[link->server] =
        std::max(newestAnsweredSentAt[link->server], link->newestAnsweredSentAt);
  std::vector<std::shared_ptr<Link>> unresponsive;
  for (const auto& [key, link] : links_) {
    if (!link->connection->up() || link->attempts.empty() ||
        loop_.now() - link->waitingSince <= unresponsiveTimeout())
      continue;
    link->suspect = true;
    if (newestAnsweredSentAt[link->server] - link->waitingSince > static_cast<Nanos>(meanAnswerNs_))
      unresponsive.push_back(link);
  }
  for (const auto& link : unresponsive) {
    timeoutFactor_ = std::max(1.0, timeoutFactor_ / kTimeoutFactorStep);
    link->connection->end(net::ConnectionEnd::silent);
  }
}

void NodePool::cancel(const broker::AttemptId& id) { abandon(id); }

void NodePool::finish(const broker::AttemptId& id, Outcome outcome, std::string value) {
  const auto at = pending_.find(id);
  if (at == pending_.end()) return;
  release(at->second);
  pending_.erase(at);
  onAttemptEnd_(id, outcome, std::move(value));
}

void NodePool::onAttemptTimeout(const broker::AttemptId& id) {
  abandon(id);
  onAttemptEnd_(id, Outcome::timedOut, {});
}

void NodePool::onUp(Link& link) {
  link.waitingSince = loop_.now();
  writeUnsent(link);
}

// Reads all input before acting on any of it. Valid answers before an unreadable one count, also if garbage
// follows them; but the decision module may react to them with new parts, and these must not be sent on a
// connection that is already known to be broken.
void NodePool::onData(Link& link) {
  const auto self = links_.at(&link);  // keeps it alive: an outcome may lead to its close
  auto& input = link.connection->input();
  struct Answer {
    broker::AttemptId id;
    Outcome outcome;
    std::string value;
  };
  std::vector<Answer> answers;
  std::size_t consumed = 0;
  auto end = net::ConnectionEnd::protocolError;
  while (!link.broken) {
    const auto unread = std::string_view(input).substr(consumed);
    const auto read = readFrame(unread);
    if (!read.frame && !read.fault) break;
    const char letter = read.frame ? read.frame->letter : '\0';
    if (letter == 'F') {
      log_.line("node.fault", read.frame->rest.substr(0, 200));
      end = net::ConnectionEnd::peerReportedError;
    }
    const auto reply = letter == 'R' ? readReply(read.frame->rest) : std::nullopt;
    const auto attempt = reply ? link.attempts.find(reply->id) : link.attempts.end();
    if (attempt != link.attempts.end()) {
      const auto id = attempt->second;
      const bool duplicate =
          std::any_of(answers.begin(), answers.end(), [&](const auto& answer) { return answer.id == id; });
      if (!duplicate) {
        answers.push_back({id, reply->outcome, std::string(reply->value)});
        const Nanos sentAt = pending_.at(id).frameWrittenAt;
        link.newestAnsweredSentAt = std::max(link.newestAnsweredSentAt, sentAt);
        const auto responseTimeNs = static_cast<double>(loop_.now() - sentAt);
        meanAnswerNs_ += (answerCount_ == 0 ? 1 : kMeanAnswerWeight) * (responseTimeNs - meanAnswerNs_);
        answerCount_ = std::min(answerCount_ + 1, kMinAnswersForMean);
      }
    } else if (!reply || !link.hasFinished(reply->id)) {  // otherwise abandoned meanwhile, or answered before
      link.broken = true;
      link.brokenPartId = partIdOfBrokenReply(unread);
      break;
    }
    consumed += read.frame->size;
  }
  if (consumed > 0) {
    if (link.suspect) timeoutFactor_ = std::min(kMaxTimeoutFactor, timeoutFactor_ * kTimeoutFactorStep);
    link.lastDataAt = loop_.now();
    link.waitingSince = link.lastDataAt;
    link.suspect = false;
    link.frameIncomplete = false;
    input.erase(0, consumed);
  }
  updateFrameTimer(link);
  for (auto& answer : answers) finish(answer.id, answer.outcome, std::move(answer.value));
  if (link.broken) return link.connection->end(end);
  link.connection->resume();
}

// Starts or stops the timer of an incomplete frame. A frame that never completes would swallow all that
// follows as part of its claimed length.
void NodePool::updateFrameTimer(Link& link) {
  const bool incomplete = !link.connection->input().empty() && !link.broken;
  if (incomplete && link.frameIncomplete) return;
  loop_.cancel(link.frameTimer);
  link.frameIncomplete = incomplete;
  if (!incomplete) return;
  link.frameTimer = loop_.after(kFrameTimeoutNs, [this, &link] {
    const auto self = links_.at(&link);
    // Timers run before sockets: after a stall of the process the rest may have arrived already.
    const Nanos lastDataAt = link.lastDataAt;
    if (link.connection->readAvailable()) onData(link);
    if (links_.count(self.get()) == 0 || link.lastDataAt != lastDataAt) return;
    link.broken = true;
    link.brokenPartId = partIdOfBrokenReply(link.connection->input());
    link.connection->end(net::ConnectionEnd::protocolError);
  });
}

void NodePool::onEnd(Link& link, net::ConnectionEnd end) {
  const auto at = links_.find(&link);
  if (at == links_.end()) return;
  const auto self = at->second;
  links_.erase(at);
  loop_.cancel(link.frameTimer);
  const auto* node = directory_.find(link.server);
  if (end != net::ConnectionEnd::closedLocally)
    log_.line("node.connection_ended", (node ? node->entry.instance : std::string("?")) + " end=" +
                                           nameOf(end) + " attempts=" + std::to_string(link.attempts.size()));
  std::vector<std::pair<broker::AttemptId, Outcome>> ended;
  for (const auto& [partId, id] : link.attempts) {
    const auto frameEnd = pending_.at(id).frameEnd;
    const bool atFault = partId == link.brokenPartId || link.attempts.size() == 1;
    const auto cause =
        end == net::ConnectionEnd::protocolError && !atFault ? net::ConnectionEnd::beside : end;
    ended.emplace_back(id, net::outcomeOf(cause, frameEnd > 0 && link.connection->written() >= frameEnd));
  }
  for (const auto& [id, outcome] : ended) finish(id, outcome, {});
}

// Whether the node's process has started after the connection was opened: the new process does not know the
// connection, even if no reset arrived.
bool NodePool::nodeRestarted(const Link& link) const {
  const auto* node = directory_.find(link.server);
  return node && node->entry.startedAt > link.startedAt;
}

bool NodePool::nodeServes(const Link& link) const {
  const auto* node = directory_.find(link.server);
  return node && node->entry.state == ServerState::up && !nodeRestarted(link);
}

bool NodePool::obsolete(const Link& link) const {
  return nodeRestarted(link) || (link.attempts.empty() && !nodeServes(link));
}

void NodePool::onDirectoryChanged() {
  // Withdrawn first: the broker may send these attempts elsewhere, and their connections have less to wait
  // for.
  std::vector<broker::AttemptId> withdrawn;
  for (const auto& [key, link] : links_) {
    if (!nodeServes(*link)) withdrawn.insert(withdrawn.end(), link->unsent.begin(), link->unsent.end());
  }
  for (const auto& id : withdrawn) finish(id, Outcome::notSent, {});
  std::vector<std::shared_ptr<Link>> obsoleteLinks;
  for (const auto& [key, link] : links_)
    if (obsolete(*link)) obsoleteLinks.push_back(link);
  for (const auto& link : obsoleteLinks)
    link->connection->end(link->attempts.empty() ? net::ConnectionEnd::closedLocally
                                                 : net::ConnectionEnd::replaced);
}

void NodePool::closeUnused() {
  unusedTimer_ = loop_.after(kCleanupIntervalNs, [this] { closeUnused(); });
  onDirectoryChanged();  // connections that still had attempts when their node left
  if (options_.idleTimeout <= 0) return;
  const auto maxIdle = static_cast<Nanos>(kIdleTimeoutShare * static_cast<double>(options_.idleTimeout));
  std::vector<std::shared_ptr<Link>> idle;
  for (const auto& [key, link] : links_)
    if (link->attempts.empty() && loop_.now() - link->lastUsed > maxIdle) idle.push_back(link);
  for (const auto& link : idle) link->connection->end(net::ConnectionEnd::closedLocally);
}

}  // namespace topazweir::platform
