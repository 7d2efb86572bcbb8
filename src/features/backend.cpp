#include "features/backend.hpp"

#include <Poco/Net/SocketAddress.h>

#include "features/geojson.hpp"

namespace topazweir::features {

namespace {
// A page, and all that an attempt may gather: what a server sends without end must not eat the memory.
constexpr http::Limits kLimits{16 * 1024, 1024 * 1024};
constexpr std::size_t kMostBytes = 4 * 1024 * 1024, kMostPages = 1000;
constexpr Nanos kIdle = 5'000'000'000;  // short: the servers' own limit is not known
constexpr Nanos kStall = 150'000'000;  // a response that has begun and gets no further for so long never will
}  // namespace

// A connection carries one exchange at a time and is kept for the next one.
struct Backend::Link : net::Connection::Owner {
  Backend& backend;
  ServerId server;
  std::shared_ptr<net::Connection> connection;
  http::Parser parser{http::Side::response, kLimits};
  std::optional<broker::AttemptId> attempt;
  net::Loop::TimerId idle{}, stall{};

  Link(Backend& owner, ServerId to) : backend(owner), server(to) {}
  ~Link() override {
    backend.loop_.cancel(idle);
    backend.loop_.cancel(stall);
    if (connection) connection->close();
  }
  void onUp(net::Connection&) override { backend.write(*this); }
  void onData(net::Connection&) override { backend.onData(*this); }
  void onEnd(net::Connection&, net::ConnectionEnd end) override { backend.onEnd(*this, end); }
};

Backend::Backend(net::Loop& loop, broker::Log& log, const config::FeaturesConfig& config, Ended ended)
    : loop_(loop),
      log_(log),
      mostLinks_(config.maxSockets / 2),
      connectTimeout_(config.connectTimeout),
      ended_(std::move(ended)) {}

Backend::~Backend() {
  for (auto& [id, out] : outs_) loop_.cancel(out.timer);
}

ListNews Backend::servers(const std::vector<config::BranchGroup>& groups, ListNews::Scope scope) {
  ListNews news;
  news.scope = scope;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    for (const auto& server : groups[g].servers) {
      const int group = static_cast<int>(g);
      const auto id = ids_.try_emplace({group, server.address}, ids_.size() + 1).first->second;
      servers_[id] = Server{server.address};
      ServerEntry entry;
      entry.server = id;
      entry.cell = group;
      entry.state = server.state;
      news.entries.push_back(entry);
    }
  }
  return news;
}

void Backend::start(broker::AttemptOrder order) {
  const auto id = order.id;
  if (servers_.count(order.server) == 0) return ended_(id, Outcome::connectFailed, {});
  Out out;
  out.target = *order.query;
  out.timer = loop_.after(order.wait, [this, id] { finish(id, Outcome::timedOut, {}, "silence"); });
  out.order = std::move(order);
  ask(outs_.insert_or_assign(id, std::move(out)).first->second);
}

void Backend::ask(Out& out) {
  out.visited.insert(out.target);
  out.requestEnd = 0;
  std::shared_ptr<Link> link;
  for (const auto& [key, free] : links_)
    if (free->server == out.order.server && !free->attempt && free->connection->up()) link = free;
  if (!link) {
    if (links_.size() >= mostLinks_) {
      const auto id = out.order.id;
      return finish(id, Outcome::notSent, {}, "connection limit");
    }
    link = std::make_shared<Link>(*this, out.order.server);
    const Poco::Net::SocketAddress address(servers_.at(out.order.server).address);
    link->connection = net::Connection::connect(loop_, address, connectTimeout_, *link);
    links_[link.get()] = link;
  }
  loop_.cancel(link->idle);
  link->attempt = out.order.id;
  out.link = link;
  if (link->connection->up()) write(*link);
}

void Backend::write(Link& link) {
  if (!link.attempt) return;
  Out& out = outs_.at(*link.attempt);
  link.connection->write("GET " + out.target + " HTTP/1.1\r\nHost: " + servers_.at(link.server).address +
                         "\r\nAccept: application/geo+json, application/json\r\n\r\n");
  out.requestEnd = link.connection->queued();
}

void Backend::drop(Link& link) {
  link.connection->close();
  links_.erase(&link);
}

// HTTP/1.1 has no way to call a request off but to end its connection.
void Backend::cancel(const broker::AttemptId& id) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  const auto link = at->second.link;
  loop_.cancel(at->second.timer);
  outs_.erase(at);
  if (link && link->attempt == id) drop(*link);
}

void Backend::finish(const broker::AttemptId& id, Outcome outcome, std::string value, std::string_view why) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  if (outcome != Outcome::delivered)
    log_.line("feature.attempt_failed", servers_.at(at->second.order.server).address + " " +
                                            broker::kOutcomeNames[static_cast<std::size_t>(outcome)] + ": " +
                                            std::string(why));
  cancel(id);
  ended_(id, outcome, std::move(value));
}

void Backend::onData(Link& link) {
  const auto self = links_.at(&link);
  auto& input = link.connection->input();
  const auto progress = link.parser.parse(input);
  loop_.cancel(link.stall);
  if (progress == http::Parser::Progress::fault) return link.connection->end(net::ConnectionEnd::badPeer);
  if (progress == http::Parser::Progress::more) {
    // Guards against answers that begin and never end: the attempt fails while there is time for another.
    link.stall = loop_.after(kStall, [&link] { link.connection->end(net::ConnectionEnd::badPeer); });
    return link.connection->resume();
  }
  if (!link.attempt) return link.connection->end(net::ConnectionEnd::badPeer);  // nobody has asked
  const auto head = link.parser.head(input);
  const int status = head.status;
  const bool keep = head.keepAlive;
  const std::string body(link.parser.body(input));
  const auto id = *link.attempt;
  link.parser.next(input);
  link.attempt.reset();
  // What came behind the response belongs to nobody: it does not spoil that, but would spoil the next one.
  if (keep && status >= 200 && input.empty()) {
    const std::weak_ptr<Link> weak = self;
    link.idle = loop_.after(kIdle, [this, weak] {
      if (const auto idle = weak.lock(); idle && !idle->attempt) drop(*idle);
    });
  } else {
    drop(link);
  }
  takeResponse(id, status, body);
}

void Backend::takeResponse(const broker::AttemptId& id, int status, std::string_view body) {
  const auto at = outs_.find(id);
  if (at == outs_.end()) return;
  const bool single = at->second.order.query->find("/items?") == std::string::npos;
  if (status == 429 || status == 503) {
    // Turned away unseen; but with pages in, some of the work has been done.
    const bool first = at->second.visited.size() == 1;
    return finish(id, first ? Outcome::rejected : Outcome::error, {}, "status " + std::to_string(status));
  }
  if (single && status == 404) return finish(id, Outcome::delivered, {}, {});  // not in this group
  if (status != 200) return finish(id, Outcome::error, {}, "status " + std::to_string(status));
  if (!single) return takePage(id, body);
  if (!isFeature(body)) return finish(id, Outcome::error, {}, "no GeoJSON feature");
  finish(id, Outcome::delivered, std::string(body), {});
}

// A part is delivered only when its last page is in.
void Backend::takePage(const broker::AttemptId& id, std::string_view body) {
  Out& out = outs_.at(id);
  auto page = readPage(body);
  if (!page) return finish(id, Outcome::error, {}, "no GeoJSON feature collection");
  for (auto& feature : page->features) {
    out.bytes += feature.size() + 1;
    out.features.push_back(std::move(feature));
  }
  if (out.bytes > kMostBytes) return finish(id, Outcome::error, {}, "more than can be held");
  if (page->next.empty()) return finish(id, Outcome::delivered, join(out.features), {});
  const auto next = resolveNext(page->next, out.target, servers_.at(out.order.server).address);
  if (!next) return finish(id, Outcome::error, {}, "a next link to another host");
  if (out.visited.count(*next) > 0) return finish(id, Outcome::error, {}, "a loop of next links");
  if (out.visited.size() >= kMostPages) return finish(id, Outcome::error, {}, "too many pages");
  out.target = *next;
  ask(out);
}

void Backend::onEnd(Link& link, net::ConnectionEnd end) {
  const auto at = links_.find(&link);
  if (at == links_.end()) return;
  const auto self = at->second;
  links_.erase(at);
  if (!link.attempt) return;
  const auto id = *link.attempt;
  if (end == net::ConnectionEnd::peerClosed && link.parser.finishAtEnd()) {  // its body lasted until now
    const int status = link.parser.head(link.connection->input()).status;
    return takeResponse(id, status, link.parser.body(link.connection->input()));
  }
  const Out& out = outs_.at(id);
  // What has brought a page has run, whatever became of the connection for the next one.
  const bool written = out.requestEnd > 0 && link.connection->written() >= out.requestEnd;
  const auto outcome =
      out.visited.size() > 1 ? net::outcomeOf(net::ConnectionEnd::reset, true) : net::outcomeOf(end, written);
  finish(id, outcome, {}, net::nameOf(end));
}

std::optional<std::string> resolveNext(std::string_view href, std::string_view base, std::string_view host) {
  constexpr std::string_view kScheme = "http://";
  for (const char c : href)  // it goes into a request line
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
