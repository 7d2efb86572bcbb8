#include "platform/discovery.hpp"

#include <algorithm>

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kConnectTime = 1000 * kMs, kFirstWait = 100 * kMs, kLongestWait = 1000 * kMs;
constexpr Nanos kSilence = 8000 * kMs;  // a sound watch says something every 2 s
}  // namespace

Discovery::Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
                     std::vector<std::string> zones, std::int64_t generation, Told told)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      zones_(std::move(zones)),
      generation_(generation),
      told_(std::move(told)) {
  connect();
}

Discovery::~Discovery() {
  loop_.cancel(timer_);
  if (connection_) connection_->close();
}

void Discovery::connect() {
  parser_ = http::Parser(http::Side::response, kLimits);
  lines_.clear();
  connection_ = net::Connection::connect(loop_, address_, kConnectTime, *this);
}

void Discovery::retry(std::string_view why) {
  log_.line("discovery.lost", why);
  loop_.cancel(timer_);
  if (connection_) connection_->close();
  connection_.reset();
  wait_ = std::clamp(wait_ * 2, kFirstWait, kLongestWait);
  timer_ = loop_.after(wait_, [this] { connect(); });
}

// A watch whose other end has vanished stays open and silent: it is opened anew.
void Discovery::watchSilence() {
  timer_ = loop_.after(kSilence / 4,
                       [this] { loop_.now() - heardAt_ > kSilence ? retry("silent") : watchSilence(); });
}

void Discovery::onUp(net::Connection& connection) {
  connection.write("GET /discovery/hosts?watch=1&from=" + std::to_string(generation_) +
                   " HTTP/1.1\r\nHost: " + address_.toString() + "\r\n\r\n");
  heardAt_ = loop_.now();
  watchSilence();
}

void Discovery::onData(net::Connection& connection) {
  heardAt_ = loop_.now();
  const auto progress = parser_.parse(connection.input());
  if (progress == http::Parser::Progress::fault) return retry(parser_.fault().why);
  if (!parser_.headSeen()) return;
  if (const int status = parser_.head(connection.input()).status; status != 200)
    return retry("status " + std::to_string(status));
  lines_ += parser_.takeBody(connection.input());
  if (!takeLines()) return;
  if (progress == http::Parser::Progress::complete) retry("the watch has ended");
}

bool Discovery::takeLines() {
  for (std::size_t end = 0; (end = lines_.find('\n')) != std::string::npos;) {
    const std::string line = lines_.substr(0, end);
    lines_.erase(0, end + 1);
    if (line.find_first_not_of(" \r") == std::string::npos) continue;
    std::string why;
    const auto list = readNodeList(line, zones_, why);
    if (!list) {
      retry("bad list: " + why);
      return false;
    }
    wait_ = 0;
    generation_ = list->generation;
    told_(*list);
  }
  if (lines_.size() > kMostLine) {
    retry("bad list: too long");
    return false;
  }
  return true;
}

void Discovery::onEnd(net::Connection&, net::ConnectionEnd end) { retry(nameOf(end)); }

}  // namespace topazweir::platform
