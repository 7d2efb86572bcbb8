#include "platform/discovery.hpp"

namespace topazweir::platform {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kConnectTime = 500 * kMs;
constexpr Nanos kSilence = 2800 * kMs;  // a sound watch says something every 2 s
}  // namespace

Discovery::Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
                     std::vector<std::string> zones, std::int64_t generation, RetryPace pace, Told told)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      zones_(std::move(zones)),
      generation_(generation),
      pace_(std::move(pace)),
      told_(std::move(told)) {
  connect();
}

Discovery::~Discovery() { drop(); }

void Discovery::drop() {
  loop_.cancel(timer_);
  if (connection_) connection_->close();
  connection_.reset();
}

void Discovery::moveTo(Poco::Net::SocketAddress address) {
  if (address == address_) return;
  address_ = std::move(address);
  drop();
  pace_.succeeded();
  connect();
}

void Discovery::connect() {
  parser_ = http::Parser(http::Side::response, kLimits);
  lines_.clear();
  connection_ = net::Connection::connect(loop_, address_, kConnectTime, *this);
}

void Discovery::retry(std::string_view why) {
  log_.line("discovery.lost", why);
  drop();
  timer_ = loop_.after(pace_.next(), [this] { connect(); });
}

// A watch whose other end has vanished stays open and silent: it is opened anew.
void Discovery::watchSilence(Nanos most) {
  loop_.cancel(timer_);
  timer_ = loop_.after(most, [this] { retry("silent"); });
}

void Discovery::onUp(net::Connection& connection) {
  connection.write("GET /discovery/hosts?watch=1&from=" + std::to_string(generation_) +
                   " HTTP/1.1\r\nHost: " + address_.toString() + "\r\n\r\n");
  watchSilence(pace_.patience());
}

void Discovery::onData(net::Connection& connection) {
  watchSilence(kSilence);
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
    auto list = readNodeList(line, zones_, why);
    if (!list) {
      retry("bad list: " + why);
      return false;
    }
    pace_.succeeded();
    list->stale = list->generation < generation_;
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
