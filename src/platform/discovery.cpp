#include "platform/discovery.hpp"

#include <utility>

namespace topazweir::platform {

namespace {
bool isBlank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
}  // namespace

std::optional<std::string> ListCutter::next() {
  for (; read_ < text_.size(); ++read_) {
    const char c = text_[read_];
    if (depth_ == 0) {
      if (isBlank(c)) continue;
      if (c != '{') {
        fault_ = "not a JSON object";
        return std::nullopt;
      }
      start_ = read_, depth_ = 1;
    } else if (inText_) {
      if (!std::exchange(escaped_, c == '\\' && !escaped_) && c == '"') inText_ = false;
    } else if (c == '"') {
      inText_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && --depth_ == 0) {
      const auto list = text_.substr(start_, read_ + 1 - start_);
      text_.erase(0, read_ + 1);
      read_ = 0;
      return list;
    }
  }
  if (depth_ == 0) text_.clear(), read_ = 0;  // blanks
  if (text_.size() > most_) fault_ = "too long";
  return std::nullopt;
}

Discovery::Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
                     std::vector<std::string> zones, std::int64_t generation, RetryPace pace, Told told)
    : loop_(loop),
      log_(log),
      address_(std::move(address)),
      zones_(std::move(zones)),
      generation_(generation),
      pace_(std::move(pace)),
      told_(std::move(told)) {
  pace_.moved(loop_.now());  // what counts as told to a new process is as urgent
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
  pace_.moved(loop_.now());
  connect();
}

void Discovery::connect() {
  parser_ = http::Parser(http::Side::response, kLimits);
  lists_ = ListCutter(kMostList);
  connection_ = net::Connection::connect(loop_, address_, RetryPace::kConnectTime, *this);
}

void Discovery::retry(std::string_view why, bool refused) {
  log_.line("discovery.lost", why);
  drop();
  timer_ = loop_.after(pace_.next(loop_.now(), refused), [this] { connect(); });
}

// A watch whose other end has vanished stays open and silent: it is opened anew.
void Discovery::watchSilence(Nanos most) {
  loop_.cancel(timer_);
  timer_ = loop_.after(most, [this] { retry("silent"); });
}

void Discovery::onUp(net::Connection& connection) {
  connection.write("GET /discovery/hosts?watch=1&from=" + std::to_string(generation_) +
                   " HTTP/1.1\r\nHost: " + address_.toString() + "\r\n\r\n");
  watchSilence(pace_.patience(loop_.now()));
}

// Lists that have come in are applied before what ends the watch, be it in the same read.
void Discovery::onData(net::Connection& connection) {
  const auto progress = parser_.parse(connection.input());
  const bool fault = progress == http::Parser::Progress::fault;
  if (parser_.headSeen() && (!fault || parser_.bodySeen())) {
    if (const int status = parser_.head(connection.input()).status; status != 200)
      return retry("status " + std::to_string(status), true);
    const auto body = parser_.takeBody(connection.input());
    if (!body.empty()) heard();
    lists_.add(body);
    if (!takeLists()) return;
  }
  if (fault) return retry(parser_.fault().why);
  if (progress == http::Parser::Progress::complete) retry("the watch has ended");
}

// A word is a byte of the body that can belong to a list: half a head, or half a list that grows for ever, is
// no life, though the connection be busy.
void Discovery::heard() {
  if (lists_.midway()) return;
  pace_.heard(loop_.now());
  watchSilence(RetryPace::kSilence);
}

bool Discovery::takeLists() {
  while (const auto text = lists_.next()) {
    std::string why;
    auto list = readNodeList(*text, zones_, why);
    if (!list) {
      retry("bad list: " + why);
      return false;
    }
    heard();
    pace_.succeeded();
    list->stale = list->generation < generation_;
    generation_ = list->generation;
    told_(*list);
  }
  if (!lists_.fault().empty()) {
    retry("bad list: " + std::string(lists_.fault()));
    return false;
  }
  return true;
}

void Discovery::onEnd(net::Connection&, net::ConnectionEnd end) { retry(nameOf(end)); }

}  // namespace topazweir::platform
