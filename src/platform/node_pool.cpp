#include "platform/node_pool.hpp"

#include <algorithm>
#include <vector>

#include "platform/frames.hpp"

namespace topazweir::platform {

namespace {
constexpr Nanos kSweep = 1'000'000'000;
// An idle connection is given up well before the node's machine closes it: a request written to it from then
// on would end as a reset.
constexpr double kIdleShare = 0.8;
}  // namespace

struct NodePool::Link : net::Connection::Owner {
  NodePool& pool;
  ServerId server;
  Nanos startedAt;  // of the process behind it
  std::shared_ptr<net::Connection> connection;
  std::map<std::string, broker::AttemptId, std::less<>> outs;  // by the part's id
  Nanos lastUsed = 0;

  Link(NodePool& owner, ServerId to, Nanos started) : pool(owner), server(to), startedAt(started) {}
  ~Link() override {
    if (connection) connection->close();
  }
  void onUp(net::Connection&) override { pool.onUp(*this); }
  void onData(net::Connection&) override { pool.onData(*this); }
  void onEnd(net::Connection&, net::ConnectionEnd end) override { pool.onEnd(*this, end); }
};

NodePool::NodePool(net::Loop& loop, broker::Log& log, const Directory& directory, Options options,
                   Ended ended)
    : loop_(loop), log_(log), directory_(directory), options_(options), ended_(std::move(ended)) {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

NodePool::~NodePool() {
  loop_.cancel(sweepTimer_);
  for (auto& [id, out] : outs_) loop_.cancel(out.timer);
}

// A connection with room: one that is up before one that is coming up; else a new one.
NodePool::Link* NodePool::linkFor(const Directory::Node& node) {
  Link* best = nullptr;
  for (auto& [key, link] : links_) {
    if (link->server != node.id || link->outs.size() >= options_.streams) continue;
    if (!best || (link->connection->up() && !best->connection->up())) best = key;
  }
  if (best) return best;
  if (links_.size() >= options_.mostConnections) {
    log_.line("node.connection_limit", node.entry.instance);
    return nullptr;
  }
  auto link = std::make_shared<Link>(*this, node.id, node.entry.startedAt);
  link->connection = net::Connection::connect(loop_, node.entry.address, options_.connectTime, *link);
  ++opened_;
  return links_.emplace(link.get(), link).first->first;
}

void NodePool::start(broker::AttemptOrder order) {
  const auto id = order.id;
  const auto* node = directory_.find(order.server);
  auto* link = node ? linkFor(*node) : nullptr;
  // The same part may not be out twice on a connection: its answers could not be told apart.
  if (!link || link->outs.count(order.partId) > 0) return ended_(id, Outcome::connectFailed, {});
  link->outs[order.partId] = id;
  link->lastUsed = loop_.now();
  const auto timer = loop_.after(order.wait, [this, id] { timedOut(id); });
  Out& out = outs_[id] = Out{std::move(order), links_.at(link), 0, timer};
  if (link->connection->up()) write(out);
}

void NodePool::write(Out& out) {
  auto& connection = *out.link->connection;
  const Nanos left = std::max<Nanos>(0, out.timer.first - loop_.now());
  connection.write(writeCall(out.order.partId, out.order.shard, left, *out.order.query));
  out.frameEnd = connection.queued();
}

void NodePool::release(const Out& out) {
  loop_.cancel(out.timer);
  out.link->outs.erase(out.order.partId);
  out.link->lastUsed = loop_.now();
}

void NodePool::cancel(const broker::AttemptId& id) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  const Out out = std::move(at->second);
  outs_.erase(at);
  release(out);
  if (out.frameEnd > 0) out.link->connection->write(writeCancel(out.order.partId));
}

void NodePool::finish(const broker::AttemptId& id, Outcome outcome, std::string value) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  release(at->second);
  outs_.erase(at);
  ended_(id, outcome, std::move(value));
}

void NodePool::timedOut(const broker::AttemptId& id) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  const auto link = at->second.link;
  if (at->second.frameEnd > 0) link->connection->write(writeCancel(at->second.order.partId));
  finish(id, Outcome::timedOut, {});
}

void NodePool::onUp(Link& link) {
  for (const auto& [partId, id] : link.outs) write(outs_.at(id));
}

void NodePool::onData(Link& link) {
  const auto self = links_.at(&link);  // an outcome may lead to its end
  auto& input = link.connection->input();
  std::size_t used = 0;
  while (!link.connection->ended()) {
    const auto read = readFrame(std::string_view(input).substr(used));
    if (!read.frame && !read.fault) break;
    if (read.fault) return link.connection->end(net::ConnectionEnd::badPeer);
    used += read.frame->size;
    if (read.frame->letter == 'F') {
      log_.line("node.fault", read.frame->rest.substr(0, 200));
      return link.connection->end(net::ConnectionEnd::peerFault);
    }
    const auto reply = read.frame->letter == 'R' ? readReply(read.frame->rest) : std::nullopt;
    if (!reply) return link.connection->end(net::ConnectionEnd::badPeer);
    const auto out = link.outs.find(reply->id);
    if (out == link.outs.end()) continue;  // given up on meanwhile
    const auto id = out->second;
    finish(id, reply->outcome, std::string(reply->value));
  }
  if (link.connection->ended()) return;
  input.erase(0, used);
  link.connection->resume();
}

void NodePool::onEnd(Link& link, net::ConnectionEnd end) {
  const auto at = links_.find(&link);
  if (at == links_.end()) return;
  const auto self = at->second;
  links_.erase(at);
  const auto* node = directory_.find(link.server);
  if (end != net::ConnectionEnd::closedHere)
    log_.line("node.connection_ended", (node ? node->entry.instance : std::string("?")) + " end=" +
                                           nameOf(end) + " attempts=" + std::to_string(link.outs.size()));
  std::vector<std::pair<broker::AttemptId, Outcome>> ended;
  for (const auto& [partId, id] : link.outs) {
    const auto frameEnd = outs_.at(id).frameEnd;
    ended.emplace_back(id, net::outcomeOf(end, frameEnd > 0 && link.connection->written() >= frameEnd));
  }
  for (const auto& [id, outcome] : ended) finish(id, outcome, {});
}

void NodePool::listChanged() {
  std::vector<std::shared_ptr<Link>> stale;
  for (const auto& [key, link] : links_) {
    const auto* node = directory_.find(link->server);
    const bool left = !node || node->entry.state != ServerState::up;
    // A process that has started since knows nothing of this connection, even where no reset came through.
    if (node && node->entry.startedAt > link->startedAt) {
      stale.push_back(link);
    } else if (left && link->outs.empty()) {
      stale.push_back(link);
    }
  }
  for (const auto& link : stale)
    link->connection->end(link->outs.empty() ? net::ConnectionEnd::closedHere : net::ConnectionEnd::replaced);
}

void NodePool::sweep() {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
  if (options_.idle <= 0) return;
  const auto most = static_cast<Nanos>(kIdleShare * static_cast<double>(options_.idle));
  std::vector<std::shared_ptr<Link>> idle;
  for (const auto& [key, link] : links_)
    if (link->outs.empty() && loop_.now() - link->lastUsed > most) idle.push_back(link);
  for (const auto& link : idle) link->connection->end(net::ConnectionEnd::closedHere);
}

}  // namespace topazweir::platform
