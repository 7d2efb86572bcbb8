#include "ops/operator_service.hpp"

#include <unistd.h>

namespace topazweir::ops {

namespace {
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kReadIntervalNs = 100 * kMs;    // between reads of the other processes' records
constexpr Nanos kWriteIntervalNs = 1000 * kMs;  // between writes of an unchanged record
constexpr Nanos kPrepareIntervalNs = 20 * kMs;  // between readiness checks while starting
}  // namespace

OperatorService::OperatorService(net::Loop& loop, broker::Log& log, Options options)
    : OperatorService(loop, log, std::move(options), operation::ProcessId{loop.now(), ::getpid()}) {}

OperatorService::OperatorService(net::Loop& loop, broker::Log& log, Options options,
                                 operation::ProcessId self)
    : loop_(loop), log_(log), operation_(options.aggregator, self, options.warmUpTime) {
  if (!options.folder) return;
  folder_.emplace(log_, *options.folder, self);
  folder_->read([this](const auto& record) {
    const auto change = operation_.heard(record, loop_.now());
    inheritedSends_.insert(inheritedSends_.end(), change.coldSends.begin(), change.coldSends.end());
    if (record.writtenAt <= inheritedAt_ ||
        loop_.now() - record.writtenAt > operation::Operation::kPeerTimeoutNs)
      return;
    inheritedAt_ = record.writtenAt;
    inheritedList_ = record.list;
  });
}

OperatorService::~OperatorService() {
  loop_.cancel(readTimer_);
  loop_.cancel(prepareTimer_);
}

void OperatorService::run(Host& host, const std::string& address, std::size_t places) {
  host_ = &host;
  for (const auto& send : inheritedSends_) host_->recordSendByOtherProcess(send);
  inheritedSends_.clear();
  if (!address.empty())
    server_.emplace(loop_, log_, Poco::Net::SocketAddress(address), places,
                    [this](std::string_view line) { return answer(line); });
  host_->share(follows());
  prepare();
  if (folder_) readRecords();
}

void OperatorService::prepare() {
  const auto prepared = host_->prepare(follows());
  if (!operation_.mayServe(prepared, loop_.now())) {
    prepareTimer_ = loop_.after(kPrepareIntervalNs, [this] { prepare(); });
    return;
  }
  log_.line("operation.serving", std::string("list=") + (prepared.list ? "told" : "known") +
                                     " connected=" + (prepared.connected ? "yes" : "no") +
                                     " follows=" + (follows() ? "yes" : "no"));
  operation_.serves();
  host_->serve();
  host_->clientsChanged();
  write();
}

std::string OperatorService::answer(std::string_view line) {
  if (const auto other = host_->answer(line)) return *other;
  const auto read = operation::parseCommand(line);
  operation::Answered answered;
  if (const auto* why = std::get_if<std::string>(&read)) {
    answered.reply = {false, *why};
  } else {
    const auto& call = std::get<operation::Call>(read);
    answered = operation_.call(call, host_->listed(call.instance), loop_.now());
  }
  if (!answered.reply.yes) ++refused_;
  auto text = answered.reply.text();
  log_.line("ops.call", std::string(line) + " -> " + text.substr(0, text.size() - 1));
  carryOut(answered.change);
  if (!answered.change.leafs.empty() || answered.change.clients)
    write();  // persisted before the caller reads the ACK
  return text;
}

void OperatorService::carryOut(const operation::Change& change) {
  if (!change.leafs.empty()) {
    for (const auto& leaf : change.leafs)
      log_.line("operation.server",
                leaf + (operation_.holds().out(leaf) ? " out of service" : " in service"));
    host_->moved(change.leafs);
  }
  for (const auto& send : change.coldSends) host_->recordSendByOtherProcess(send);
  if (change.clients) host_->clientsChanged();
}

void OperatorService::readRecords() {
  readTimer_ = loop_.after(kReadIntervalNs, [this] { readRecords(); });
  folder_->read([this](const auto& record) { carryOut(operation_.heard(record, loop_.now())); });
  const bool accompanied = follows();
  host_->share(accompanied);
  if (accompanied || loop_.now() - writtenAt_ >= kWriteIntervalNs) write();
  if (!accompanied) folder_->tidy(loop_.now());
}

void OperatorService::write() {
  if (!folder_) return;
  writtenAt_ = loop_.now();
  folder_->write(operation_.record(host_->list(), writtenAt_));
}

void OperatorService::ends() {
  operation_.ends();
  if (host_) write();
}

void OperatorService::ended() {
  operation_.ended();
  if (host_) write();
}

std::string OperatorService::print() const {
  const auto line = [](const char* name, std::uint64_t value) {
    return std::string(name) + ' ' + std::to_string(value) + '\n';
  };
  const auto counters = lines();
  return line("ops_calls", counters.lines) + line("ops_calls_refused", refused_) +
         line("ops_callers_dropped", counters.dropped) +
         line("servers_out_of_service", operation_.holds().countOut()) +
         line("drained", operation_.drained());
}

}  // namespace topazweir::ops
