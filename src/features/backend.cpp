// Connection pool and attempts towards feature servers.
#include "features/backend.hpp"

#include <Poco/Net/SocketAddress.h>

#include "features/geojson.hpp"

namespace topazweir::features {

namespace {
// Limits of one page (head and body) and of all pages of an attempt, so that an endless response cannot
// exhaust the memory.
constexpr http::Limits kPageLimitBytes{16 * 1024, 1024 * 1024};
constexpr std::size_t kMaxAttemptBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxPages = 1000;
constexpr Nanos kIdleTimeout = 5'000'000'000;  // 5 s; short, since the servers' own idle timeout is not known
// 150 ms. A response that has begun and makes no progress for this long is taken to be incomplete for good.
constexpr Nanos kStallTimeout = 150'000'000;
}  // namespace

// A connection carries one exchange at a time and is kept open for the next one.
struct Backend::PooledConnection : net::Connection::Owner {
  Backend& backend;
  ServerId server;
  std::shared_ptr<net::Connection> connection;
  http::Parser parser{http::MessageKind::response, kPageLimitBytes};
  std::optional<broker::AttemptId> attempt;
  net::Loop::TimerId idleTimer{};
  net::Loop::TimerId stallTimer{};

  PooledConnection(Backend& owner, ServerId to) : backend(owner), server(to) {}
  ~PooledConnection() override {
    backend.loop_.cancel(idleTimer);
    backend.loop_.cancel(stallTimer);
    if (connection) connection->close();
  }
  void onUp(net::Connection&) override { backend.writeRequest(*this); }
  void onData(net::Connection&) override { backend.onData(*this); }
  void onEnd(net::Connection&, net::ConnectionEnd end) override { backend.onEnd(*this, end); }
};

Backend::Backend(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config,
                 OnAttemptEnded onAttemptEnded)
    : loop_(loop),
      log_(log),
      maxConnections_(config.maxSockets / 2),
      connectTimeout_(config.connectTimeout),
      onAttemptEnded_(std::move(onAttemptEnded)) {}

Backend::~Backend() {
  for (auto& [id, attempt] : attempts_) loop_.cancel(attempt.timeout);
}

ServerListUpdate Backend::listUpdate(const std::vector<config::BranchGroup>& groups,
                                     ServerListUpdate::Scope scope) {
  ServerListUpdate update;
  update.scope = scope;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    for (const auto& server : groups[g].servers) {
      const int group = static_cast<int>(g);
      const auto id = ids_.try_emplace({group, server.address}, ids_.size() + 1).first->second;
      servers_[id] = Server{server.address};
      ServerEntry entry;
      entry.server = id;
      entry.cell = group;
      entry.state = server.state;
      update.entries.push_back(entry);
    }
  }
  return update;
}

void Backend::start(broker::AttemptOrder order) {
  const auto id = order.id;
  if (servers_.count(order.server) == 0) return onAttemptEnded_(id, Outcome::connectFailed, {});
  Attempt attempt;
  attempt.target = *order.query;
  attempt.timeout = loop_.after(order.wait, [this, id] { finish(id, Outcome::timedOut, {}, "silence"); });
  attempt.order = std::move(order);
  sendRequest(attempts_.insert_or_assign(id, std::move(attempt)).first->second);
}

void Backend::sendRequest(Attempt& attempt) {
  attempt.visited.insert(attempt.target);
  attempt.requestEnd = 0;
  std::shared_ptr<PooledConnection> pooled;
  for (const auto& [key, candidate] : connections_)
    if (candidate->server == attempt.order.server && !candidate->attempt && candidate->connection->up())
      pooled = candidate;
  if (!pooled) {
    if (connections_.size() >= maxConnections_) {
      const auto id = attempt.order.id;
      return finish(id, Outcome::notSent, {}, "connection limit");
    }
    pooled = std::make_shared<PooledConnection>(*this, attempt.order.server);
    const Poco::Net::SocketAddress address(servers_.at(attempt.order.server).address);
    pooled->connection = net::Connection::connect(loop_, address, connectTimeout_, *pooled);
    connections_[pooled.get()] = pooled;
  }
  loop_.cancel(pooled->idleTimer);
  pooled->attempt = attempt.order.id;
  attempt.connection = pooled;
  if (pooled->connection->up()) writeRequest(*pooled);
}

void Backend::writeRequest(PooledConnection& pooled) {
  if (!pooled.attempt) return;
  Attempt& attempt = attempts_.at(*pooled.attempt);
  if (const Nanos by = attempt.order.writeBy; by > 0 && loop_.now() > by) {
    const auto id = *pooled.attempt;
    // An attempt that has asked for a page before this one has run.
    const auto outcome = attempt.visited.size() > 1 ? Outcome::error : Outcome::notSent;
    return finish(id, outcome, {}, "the time to send it has run out");
  }
  pooled.connection->write("GET " + attempt.target +
                           " HTTP/1.1\r\nHost: " + servers_.at(pooled.server).address +
                           "\r\nAccept: application/geo+json, application/json\r\n\r\n");
  attempt.requestEnd = pooled.connection->queued();
}

void Backend::close(PooledConnection& pooled) {
  pooled.connection->close();
  connections_.erase(&pooled);
}

// In HTTP/1.1 a request can only be cancelled by closing its connection.
void Backend::cancel(const broker::AttemptId& id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const auto pooled = found->second.connection;
  loop_.cancel(found->second.timeout);
  attempts_.erase(found);
  if (pooled && pooled->attempt == id) close(*pooled);
}

void Backend::finish(const broker::AttemptId& id, Outcome outcome, std::string value, std::string_view why) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  if (outcome != Outcome::delivered)
    log_.line("feature.attempt_failed", servers_.at(at->second.order.server).address + " " +
                                            broker::kOutcomeNames[static_cast<std::size_t>(outcome)] + ": " +
                                            std::string(why));
  cancel(id);
  onAttemptEnded_(id, outcome, std::move(value));
}

void Backend::onData(PooledConnection& pooled) {
  const auto self = connections_.at(&pooled);
  auto& input = pooled.connection->input();
  const auto progress = pooled.parser.parse(input);
  loop_.cancel(pooled.stallTimer);
  if (progress == http::Parser::Progress::fault)
    return pooled.connection->end(net::ConnectionEnd::protocolError);
  if (progress == http::Parser::Progress::more) {
    // A response that stalls fails the attempt early enough to leave time for a retry.
    pooled.stallTimer =
        loop_.after(kStallTimeout, [&pooled] { pooled.connection->end(net::ConnectionEnd::protocolError); });
    return pooled.connection->resume();
  }
  // A response without a request.
  if (!pooled.attempt) return pooled.connection->end(net::ConnectionEnd::protocolError);
  const auto head = pooled.parser.head(input);
  const int status = head.status;
  const bool keep = head.keepAlive;
  const std::string body(pooled.parser.body(input));
  const auto id = *pooled.attempt;
  pooled.parser.next(input);
  pooled.attempt.reset();
  // Extra bytes after the response do not invalidate it, but would corrupt the next one on this connection.
  if (keep && status >= 200 && input.empty()) {
    const std::weak_ptr<PooledConnection> weak = self;
    pooled.idleTimer = loop_.after(kIdleTimeout, [this, weak] {
      if (const auto idle = weak.lock(); idle && !idle->attempt) close(*idle);
    });
  } else {
    close(pooled);
  }
  onResponse(id, status, body);
}

void Backend::onResponse(const broker::AttemptId& id, int status, std::string_view body) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  const bool single = at->second.order.query->find("/items?") == std::string::npos;
  if (status == 429 || status == 503) {
    // Rejected without having run, unless earlier pages have already cost the server work.
    const bool firstPage = at->second.visited.size() == 1;
    return finish(id, firstPage ? Outcome::rejected : Outcome::error, {}, "status " + std::to_string(status));
  }
  // The group does not have this feature.
  if (single && status == 404) return finish(id, Outcome::delivered, {}, {});
  if (status != 200) return finish(id, Outcome::error, {}, "status " + std::to_string(status));
  if (!single) return onPage(id, body);
  if (!isFeature(body)) return finish(id, Outcome::error, {}, "no GeoJSON feature");
  finish(id, Outcome::delivered, std::string(body), {});
}

// Collects the features of a page and requests the next one. The part is delivered only with its last page.
void Backend::onPage(const broker::AttemptId& id, std::string_view body) {
  Attempt& attempt = attempts_.at(id);
  auto page = readPage(body);
  if (!page) return finish(id, Outcome::error, {}, "no GeoJSON feature collection");
  for (auto& feature : page->features) {
    attempt.bytes += feature.size() + 1;
    attempt.features.push_back(std::move(feature));
  }
  if (attempt.bytes > kMaxAttemptBytes)
    return finish(id, Outcome::error, {}, "the response is larger than 4 MiB");
  if (page->next.empty()) return finish(id, Outcome::delivered, join(attempt.features), {});
  const auto next = resolveNext(page->next, attempt.target, servers_.at(attempt.order.server).address);
  if (!next) return finish(id, Outcome::error, {}, "a next link to another host");
  if (attempt.visited.count(*next) > 0) return finish(id, Outcome::error, {}, "a loop of next links");
  if (attempt.visited.size() >= kMaxPages) return finish(id, Outcome::error, {}, "too many pages");
  attempt.target = *next;
  sendRequest(attempt);
}

void Backend::onEnd(PooledConnection& pooled, net::ConnectionEnd end) {
  const auto at = connections_.find(&pooled);
  if (at == connections_.end()) return;
  const auto self = at->second;
  connections_.erase(at);
  if (!pooled.attempt) return;
  const auto id = *pooled.attempt;
  // The body may be delimited by the end of the connection.
  if (end == net::ConnectionEnd::peerClosed && pooled.parser.finishAtEof()) {
    const int status = pooled.parser.head(pooled.connection->input()).status;
    return onResponse(id, status, pooled.parser.body(pooled.connection->input()));
  }
  const Attempt& attempt = attempts_.at(id);
  // An attempt that has delivered a page has run, even if the connection for a further page fails.
  const bool written = attempt.requestEnd > 0 && pooled.connection->written() >= attempt.requestEnd;
  const auto outcome = attempt.visited.size() > 1 ? net::outcomeOf(net::ConnectionEnd::reset, true)
                                                  : net::outcomeOf(end, written);
  finish(id, outcome, {}, net::nameOf(end));
}

std::optional<std::string> resolveNext(std::string_view href, std::string_view base, std::string_view host) {
  constexpr std::string_view kScheme = "http://";
  // The target is put into a request line, so it must not contain blanks or control characters.
  for (const char c : href)
    if (c <= ' ' || c > '~') return std::nullopt;
  href = href.substr(0, href.find('#'));
  if (href.empty()) return std::nullopt;
  if (href.substr(0, kScheme.size()) == kScheme) {
    href.remove_prefix(kScheme.size());
    const auto slash = std::min(href.find_first_of("/?"), href.size());
    if (href.substr(0, slash) != host) return std::nullopt;
    href.remove_prefix(slash);
    return std::string(href.empty() || href.front() != '/' ? "/" : "").append(href);
  }
  if (href.substr(0, 2) == "//" ||
      href.substr(0, href.find_first_of("/?")).find(':') != std::string_view::npos)
    return std::nullopt;
  if (href.front() == '/') return std::string(href);
  const auto path = base.substr(0, base.find('?'));
  if (href.front() == '?') return std::string(path) + std::string(href);
  return std::string(path.substr(0, path.rfind('/') + 1)) + std::string(href);
}

}  // namespace topazweir::features
