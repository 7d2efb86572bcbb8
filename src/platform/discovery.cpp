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

Discovery::Call::Call(Discovery& discovery)
    : discovery_(discovery),
      connection_(
          net::Connection::connect(discovery_.loop_, discovery_.address_, RetryPace::kConnectTime, *this)) {}

Discovery::Call::~Call() {
  discovery_.loop_.cancel(timer_);
  connection_->close();
}

// Before the first word: an answer is late. Behind it: a watch whose other end has vanished stays open and
// silent.
void Discovery::Call::waitForWord(Nanos most) {
  discovery_.loop_.cancel(timer_);
  timer_ = discovery_.loop_.after(most, [this] { discovery_.silent(*this); });
}

void Discovery::Call::onUp(net::Connection& connection) {
  connection.write("GET /discovery/hosts?watch=1&from=" + std::to_string(discovery_.generation_) +
                   " HTTP/1.1\r\nHost: " + discovery_.address_.toString() + "\r\n\r\n");
  waitForWord(discovery_.pace_.patience(discovery_.loop_.now()));
}

void Discovery::Call::onData(net::Connection& connection) {
  if (const auto fault = take(connection.input())) discovery_.ended(*this, fault->why, fault->refused);
}

// Lists that have come in are applied before what ends the watch, be it in the same read.
std::optional<Discovery::Call::Fault> Discovery::Call::take(std::string& input) {
  const auto progress = parser_.parse(input);
  const bool broken = progress == http::Parser::Progress::fault;
  if (parser_.headSeen() && (!broken || parser_.bodySeen())) {
    if (const int status = parser_.head(input).status; status != 200)
      return Fault{"status " + std::to_string(status), true};
    const auto body = parser_.takeBody(input);
    // A word is a byte of the body that can belong to a list: half a head, or half a list that grows for
    // ever, is no life, though the connection be busy.
    const bool word = !body.empty() && !lists_.midway();
    if (word) discovery_.heard(*this);
    lists_.add(body);
    if (auto fault = takeLists()) return fault;
    if (word && !lists_.midway()) discovery_.won(*this);
  }
  if (broken) return Fault{std::string(parser_.fault().why)};
  if (progress == http::Parser::Progress::complete) return Fault{"the watch has ended"};
  return std::nullopt;
}

std::optional<Discovery::Call::Fault> Discovery::Call::takeLists() {
  while (const auto text = lists_.next()) {
    std::string why;
    auto list = readNodeList(*text, discovery_.zones_, why);
    if (!list) return Fault{"bad list: " + why};
    discovery_.told(*this, std::move(*list));
  }
  if (!lists_.fault().empty()) return Fault{"bad list: " + std::string(lists_.fault())};
  return std::nullopt;
}

void Discovery::Call::onEnd(net::Connection&, net::ConnectionEnd end) {
  discovery_.ended(*this, nameOf(end));
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
  call_ = std::make_unique<Call>(*this);
}

Discovery::~Discovery() { drop(); }

void Discovery::drop() {
  loop_.cancel(timer_);
  call_.reset();
  kept_.reset();
}

void Discovery::moveTo(Poco::Net::SocketAddress address) {
  if (address == address_) return;
  address_ = std::move(address);
  drop();
  pace_.moved(loop_.now());
  call_ = std::make_unique<Call>(*this);
}

void Discovery::callAfter(Nanos wait) {
  timer_ = loop_.after(wait, [this] { call_ = std::make_unique<Call>(*this); });
}

// What the kept call says counts once it is whole: till then the other one may be sooner.
void Discovery::heard(Call& call) {
  if (&call != call_.get()) return;
  pace_.heard(loop_.now());
  call.waitForWord(RetryPace::kSilence);
}

// The first list, or the word that there is none, makes a call the watch; the other one is not needed. So no
// list of an older call comes behind that of a newer one.
void Discovery::won(Call& call) {
  if (&call == kept_.get()) {
    loop_.cancel(timer_);
    call_ = std::move(kept_);
  }
  kept_.reset();
  call.setAnswered();
  heard(call);
}

void Discovery::told(Call& call, NodeList list) {
  won(call);
  pace_.succeeded();
  list.stale = list.generation < generation_;
  generation_ = list.generation;
  told_(list);
}

void Discovery::silent(Call& call) {
  const Nanos place = &call == call_.get() && !call.answered() ? pace_.keepPlace(kept_ != nullptr) : 0;
  if (place == 0) return ended(call, "silent");
  log_.line("discovery.hedged", "no answer yet, asked again beside it");
  kept_ = std::move(call_);
  kept_->waitForWord(place);
  callAfter(pace_.next(loop_.now()));
}

void Discovery::ended(const Call& call, std::string_view why, bool refused) {
  log_.line("discovery.lost", why);
  if (&call == kept_.get()) return kept_.reset();  // the calls beside it go on
  call_.reset();
  callAfter(pace_.next(loop_.now(), refused));
}

}  // namespace topazweir::platform
