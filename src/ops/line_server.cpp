#include "ops/line_server.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <vector>

#include "operation/command.hpp"

namespace topazweir::ops {

namespace {
constexpr Nanos kSweepIntervalNs = 50'000'000;
constexpr int kBacklog = 512;  // connections queued by the kernel
}  // namespace

LineServer::LineServer(net::Loop& loop, broker::Log& log, const Poco::Net::SocketAddress& address,
                       std::size_t places, Answer answer)
    : loop_(loop),
      log_(log),
      places_(std::max<std::size_t>(1, places)),
      answer_(std::move(answer)),
      listener_(loop, address, kBacklog, [this] { accept(); }) {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
}

LineServer::~LineServer() {
  loop_.cancel(sweepTimer_);
  for (auto& [key, caller] : callers_) caller.connection->close();
}

void LineServer::accept() {
  while (true) {
    // At the limit, and no caller may be dropped yet: connections wait in the kernel's queue until the next
    // sweep.
    if (inUse() >= places_ && !makeRoom()) return listener_.watch(false);
    std::shared_ptr<net::Connection> connection;
    try {
      const auto socket = listener_.accept();
      if (!socket) return;
      connection = net::Connection::adopt(loop_, *socket, *this);
    } catch (const Poco::Exception& error) {
      log_.line("ops.accept_failed", error.displayText());
      return;
    }
    auto* key = connection.get();
    callers_[key] = Caller{std::move(connection), loop_.now()};
    if (key->readAvailable()) onData(*key);  // the line usually arrives with the connection
  }
}

// Connections that hold a descriptor: unanswered callers, and answered ones not yet closed.
std::size_t LineServer::inUse() {
  std::erase_if(closing_, [](const auto& weak) {
    const auto connection = weak.lock();
    return !connection || connection->ended();
  });
  return callers_.size() + closing_.size();
}

// Protects callers against others that send nothing or half a line, or never close. Closes an answered
// connection first, else drops the oldest caller that has exceeded kLineTimeoutUnderLoadNs.
bool LineServer::makeRoom() {
  for (const auto& weak : closing_) {
    const auto connection = weak.lock();
    if (!connection || connection->ended() || !connection->flushed()) continue;
    connection->close();
    return true;
  }
  Caller* oldest = nullptr;
  for (auto& [key, caller] : callers_)
    if (loop_.now() - caller.since >= kLineTimeoutUnderLoadNs && (!oldest || caller.since < oldest->since))
      oldest = &caller;
  if (!oldest) return false;
  refuse(*oldest, "the line did not come in, and others wait");
  return true;
}

void LineServer::onData(net::Connection& connection) {
  const auto at = callers_.find(&connection);
  if (at == callers_.end()) return;
  const std::string_view input = connection.input();
  const auto end = std::min(input.find('\n'), input.size());
  if (end > operation::kMaxLineBytes) return refuse(at->second, "the line is too long");
  if (end < input.size()) answer(at->second, input.substr(0, end));
}

void LineServer::answer(Caller& caller, std::string_view line) {
  const auto connection = caller.connection;
  callers_.erase(connection.get());
  ++counters_.lines;
  connection->write(answer_(line));
  connection->input().clear();  // one line per connection: the rest is not read
  connection->closeGracefully();
  closing_.push_back(connection);
}

void LineServer::refuse(Caller& caller, const char* why) {
  const auto connection = caller.connection;
  callers_.erase(connection.get());
  ++counters_.dropped;
  log_.line("ops.dropped", why);
  connection->write(operation::Reply{false, why}.text());
  connection->close();
}

void LineServer::onEnd(net::Connection& connection, net::ConnectionEnd) {
  if (callers_.erase(&connection) > 0) ++counters_.dropped;
}

void LineServer::sweep() {
  sweepTimer_ = loop_.after(kSweepIntervalNs, [this] { sweep(); });
  std::vector<net::Connection*> late;
  for (const auto& [key, caller] : callers_)
    if (loop_.now() - caller.since > kLineTimeoutNs) late.push_back(key);
  for (auto* key : late) refuse(callers_.at(key), "the line did not come in");
  listener_.watch(true);
}

}  // namespace topazweir::ops
