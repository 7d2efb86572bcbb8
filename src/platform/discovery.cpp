#include "platform/discovery.hpp"

#include <utility>

namespace topazweir::platform {

namespace {
bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
}  // namespace

std::optional<std::string> JsonObjectSplitter::next() {
  for (; scanned_ < buffer_.size(); ++scanned_) {
    const char c = buffer_[scanned_];
    if (depth_ == 0) {
      if (isBlank(c)) continue;
      if (c != '{') {
        fault_ = "not a JSON object";
        return std::nullopt;
      }
      objectStart_ = scanned_;
      depth_ = 1;
    } else if (inString_) {
      if (!std::exchange(escaped_, c == '\\' && !escaped_) && c == '"') inString_ = false;
    } else if (c == '"') {
      inString_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && --depth_ == 0) {
      const auto object = buffer_.substr(objectStart_, scanned_ + 1 - objectStart_);
      buffer_.erase(0, scanned_ + 1);
      scanned_ = 0;
      return object;
    }
  }
  if (depth_ == 0) {  // only whitespace
    buffer_.clear();
    scanned_ = 0;
  }
  if (buffer_.size() > maxBytes_) fault_ = "too long";
  return std::nullopt;
}

Discovery::WatchRequest::WatchRequest(Discovery& discovery)
    : discovery_(discovery),
      connection_(net::Connection::connect(discovery_.loop_, discovery_.address_,
                                           DiscoveryRetryPolicy::kConnectTimeoutNs, *this)) {}

Discovery::WatchRequest::~WatchRequest() {
  discovery_.loop_.cancel(timer_);
  connection_->close();
}

// Before the first data this detects a late answer. After it, it detects a watch whose peer has vanished,
// since such a connection stays open and carries nothing.
void Discovery::WatchRequest::startTimeout(Nanos timeout) {
  discovery_.loop_.cancel(timer_);
  timer_ = discovery_.loop_.after(timeout, [this] { discovery_.onTimeout(*this); });
}

void Discovery::WatchRequest::onUp(net::Connection& connection) {
  connection.write("GET /discovery/hosts?watch=1&from=" + std::to_string(discovery_.generation_) +
                   " HTTP/1.1\r\nHost: " + discovery_.address_.toString() + "\r\n\r\n");
  startTimeout(discovery_.pace_.answerTimeout(discovery_.loop_.now()));
}

void Discovery::WatchRequest::onData(net::Connection& connection) {
  if (const auto failure = consume(connection.input()))
    discovery_.onFailure(*this, failure->why, failure->refused);
}

// Lists that have arrived are applied before an error or the end of the watch is reported, even when both
// come in the same read.
std::optional<Discovery::WatchRequest::Failure> Discovery::WatchRequest::consume(std::string& input) {
  const auto progress = parser_.parse(input);
  const bool malformed = progress == http::Parser::Progress::fault;
  if (parser_.headSeen() && (!malformed || parser_.bodySeen())) {
    if (const int status = parser_.head(input).status; status != 200)
      return Failure{"status " + std::to_string(status), true};
    const auto body = parser_.takeBody(input);
    // Only body data outside an incomplete list counts as a sign of life: a partial head, or a partial list
    // that keeps growing, must not keep the watch alive although the connection is busy.
    const bool alive = !body.empty() && !lists_.insideObject();
    if (alive) discovery_.onActivity(*this);
    lists_.add(body);
    if (auto failure = consumeLists()) return failure;
    if (alive && !lists_.insideObject()) discovery_.promote(*this);
  }
  if (malformed) return Failure{std::string(parser_.fault().why)};
  if (progress == http::Parser::Progress::complete) return Failure{"the watch has ended"};
  return std::nullopt;
}

std::optional<Discovery::WatchRequest::Failure> Discovery::WatchRequest::consumeLists() {
  while (const auto text = lists_.next()) {
    std::string why;
    auto list = readNodeList(*text, discovery_.zones_, why);
    if (!list) return Failure{"bad list: " + why};
    discovery_.onListReceived(*this, std::move(*list));
  }
  if (!lists_.fault().empty()) return Failure{"bad list: " + std::string(lists_.fault())};
  return std::nullopt;
}

void Discovery::WatchRequest::onEnd(net::Connection&, net::ConnectionEnd end) {
  discovery_.onFailure(*this, nameOf(end));
}

Discovery::Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
                     std::vector<std::string> zones, std::int64_t generation, DiscoveryRetryPolicy pace,
                     OnList onList)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      zones_(std::move(zones)),
      generation_(generation),
      pace_(std::move(pace)),
      onList_(std::move(onList)) {
  pace_.recordMove(loop_.now());  // a new process has the same deadline for its first list
  current_ = std::make_unique<WatchRequest>(*this);
}

Discovery::~Discovery() { closeAll(); }

void Discovery::closeAll() {
  loop_.cancel(retryTimer_);
  current_.reset();
  older_.reset();
}

void Discovery::moveTo(Poco::Net::SocketAddress address) {
  if (address == address_) return;
  address_ = std::move(address);
  closeAll();
  pace_.recordMove(loop_.now());
  current_ = std::make_unique<WatchRequest>(*this);
}

void Discovery::requestAfter(Nanos wait) {
  retryTimer_ = loop_.after(wait, [this] { current_ = std::make_unique<WatchRequest>(*this); });
}

// Partial data on the older request counts only once the list is complete: until then the current request may
// be answered sooner.
void Discovery::onActivity(WatchRequest& request) {
  if (&request != current_.get()) return;
  pace_.recordData(loop_.now());
  request.startTimeout(DiscoveryRetryPolicy::kWatchIdleTimeoutNs);
}

// The first list, or whitespace that says there is no newer one, makes a request the watch and closes the
// other one. So a list from an older request never arrives after that of a newer one.
void Discovery::promote(WatchRequest& request) {
  if (&request == older_.get()) {
    loop_.cancel(retryTimer_);
    current_ = std::move(older_);
  }
  older_.reset();
  request.setAnswered();
  onActivity(request);
}

void Discovery::onListReceived(WatchRequest& request, NodeList list) {
  promote(request);
  pace_.recordSuccess();
  list.stale = list.generation < generation_;
  generation_ = list.generation;
  onList_(list);
}

// Hedges a request that was not answered in time: it stays open and the next one is sent beside it.
void Discovery::onTimeout(WatchRequest& request) {
  const Nanos keptFor =
      &request == current_.get() && !request.answered() ? pace_.keptRequestTimeout(older_ != nullptr) : 0;
  if (keptFor == 0) return onFailure(request, "silent");
  log_.line("discovery.hedged", "no answer yet; sending another request beside the open one");
  older_ = std::move(current_);
  older_->startTimeout(keptFor);
  requestAfter(pace_.nextWait(loop_.now()));
}

void Discovery::onFailure(const WatchRequest& request, std::string_view why, bool refused) {
  log_.line("discovery.lost", why);
  if (&request == older_.get()) return older_.reset();  // the requests beside it continue
  current_.reset();
  requestAfter(pace_.nextWait(loop_.now(), refused));
}

}  // namespace topazweir::platform
