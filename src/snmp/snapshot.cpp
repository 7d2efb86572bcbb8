// The mapping of figures to the objects of TOPAZWEIR-MIB.
#include "snmp/snapshot.hpp"

#include <algorithm>
#include <initializer_list>

namespace topazweir::snmp {

namespace {

// Groups and tables by their number below the module's objects.
enum Group : unsigned long {
  kScalars = 1,
  kEnds = 2,
  kTenants = 3,
  kNodes = 4,
  kCalls = 5,
  kStatuses = 6,
  kOperation = 7,
  kMembership = 8,
  kMembers = 9,
  kConnections = 10
};

Gauge gauge(double value) { return {static_cast<std::uint32_t>(std::clamp(value, 0.0, 4294967295.0))}; }
Gauge gauge(std::size_t value) { return gauge(static_cast<double>(value)); }

class Writer {
 public:
  explicit Writer(Snapshot& out) : out_(out) {}
  void scalar(unsigned long number, Value value, Group group = kScalars) {
    put({group, number, 0}, std::move(value));
  }
  // Columns are numbered from 2, since column 1 is the index.
  void row(Group table, std::size_t index, std::initializer_list<Value> columns) {
    unsigned long column = 2;
    for (const auto& value : columns) put({table, 1, column++, index}, value);
  }

 private:
  void put(std::initializer_list<unsigned long> tail, Value value) {
    Oid id = kRoot;
    id.push_back(1);
    id.insert(id.end(), tail);
    out_.emplace(std::move(id), std::move(value));
  }
  Snapshot& out_;
};

void addOperation(Writer& writer, const OperationFigures& f) {
  unsigned long number = 0;
  for (const auto value : {f.calls, f.refused, f.dropped})
    writer.scalar(++number, Counter{value}, kOperation);
  writer.scalar(++number, gauge(f.serversOut), kOperation);
  writer.scalar(++number, gauge(f.drained ? 1.0 : 0.0), kOperation);
}

void addConnections(Writer& writer, const ConnectionFigures& f) {
  unsigned long number = 0;
  writer.scalar(++number, gauge(f.connections), kConnections);
  for (const auto value :
       {f.rejected, f.unfinishedShed, f.refusedAhead, f.idleClosed, f.stalledClosed, f.clientsLeft})
    writer.scalar(++number, Counter{value}, kConnections);
  for (const auto value : {f.bufferedBytes, f.bufferedPeakBytes, f.bufferLimitBytes})
    writer.scalar(++number, gauge(value), kConnections);
}

void addMembership(Writer& writer, const MembershipFigures& f) {
  unsigned long number = 0;
  for (const auto value : {f.alive, f.members.size()}) writer.scalar(++number, gauge(value), kMembership);
  writer.scalar(++number, static_cast<std::int32_t>(f.standing), kMembership);
  writer.scalar(++number, gauge(f.doubts), kMembership);
  for (const auto value : {f.sent, f.received, f.unread, f.votersDiffer, f.decided})
    writer.scalar(++number, Counter{value}, kMembership);
  writer.scalar(++number, gauge(f.leads ? 1.0 : 0.0), kMembership);
  constexpr double kNeverConfirmed = 4294967295.0;  // the MIB's value for an absent age
  writer.scalar(++number, gauge(f.held.ageMs ? static_cast<double>(*f.held.ageMs) : kNeverConfirmed),
                kMembership);
  for (const auto value : {f.held.position, f.held.low}) writer.scalar(++number, Counter{value}, kMembership);
  for (const auto value : {f.held.counted, f.held.level})
    writer.scalar(++number, gauge(static_cast<std::size_t>(value)), kMembership);
  for (std::size_t i = 0; i < f.members.size(); ++i) {
    const auto& m = f.members[i];
    writer.row(kMembers, i + 1,
               {m.name, static_cast<std::int32_t>(m.state), static_cast<std::int32_t>(m.duty), m.address,
                m.zone, m.version, Counter{m.incarnation}, Gauge{m.open}, Gauge{m.refusedPermille}});
  }
}

void addCalls(Writer& writer, const CallFigures& f) {
  unsigned long number = 0;
  for (const auto value : {f.calls, f.malformed, f.unrouted, f.shed, f.cancelled, f.floods, f.healthChecks,
                           f.cutAtDrain, f.answered, f.refused, f.failed, f.furtherAttempts})
    writer.scalar(++number, Counter{value}, kCalls);
  for (const auto value : {f.open, f.clientConnections, f.clientStreams, f.bufferedBytes})
    writer.scalar(++number, gauge(value), kCalls);
  for (std::size_t i = 0; i < f.statuses.size(); ++i)
    writer.row(kStatuses, i + 1, {f.statuses[i].name, Counter{f.statuses[i].count}});
}

}  // namespace

Snapshot takeSnapshot(const broker::Broker& broker, const std::vector<NodeRow>& nodes, const Parts& parts) {
  Snapshot out;
  Writer writer(out);
  const auto& c = broker.counters();
  unsigned long number = 0;
  for (const auto value : {c.taken, c.turnedAway, c.invalid, c.answered, c.answeredPartial, c.refused,
                           c.failed, c.abandoned, c.sent, c.furtherAttempts})
    writer.scalar(++number, Counter{value});
  for (const auto value : {broker.open(), broker.held(), broker.terms().maxOpen})
    writer.scalar(++number, gauge(value));
  for (std::size_t i = 0; i < c.ends.size(); ++i)
    writer.row(kEnds, i + 1, {std::string(broker::kOutcomeNames[i]), Counter{c.ends[i]}});
  for (std::size_t i = 0; i < c.tenants.size(); ++i) {
    const auto& t = c.tenants[i];
    const auto& contract = broker.terms().contracts[i];
    writer.row(kTenants, i + 1,
               {t.name, gauge(contract.share * 1000), gauge(contract.quotaPerS * 1000), gauge(broker.rate(i)),
                Counter{t.taken}, Counter{t.answered}, Counter{t.refused}, Counter{t.failed},
                Counter{t.overQuota}, Counter{t.furtherAttempts}});
  }
  for (const auto& node : nodes)
    writer.row(kNodes, static_cast<std::size_t>(node.index),
               {node.name, static_cast<std::int32_t>(node.state) + 1, static_cast<std::int32_t>(node.cell),
                gauge(static_cast<double>(node.startedAt) / 1e9)});
  if (parts.operation) addOperation(writer, *parts.operation);
  if (parts.membership) addMembership(writer, *parts.membership);
  if (parts.calls) addCalls(writer, *parts.calls);
  if (parts.connections) addConnections(writer, *parts.connections);
  return out;
}

}  // namespace topazweir::snmp
