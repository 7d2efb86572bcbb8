// The agent over loopback with net-snmp's client as the manager: GET of single objects, a walk over all
// objects by GETNEXT and GETBULK, and refusal of SET and of a wrong community.

// net-snmp requires this order of includes.
// clang-format off
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
// clang-format on

#include <Poco/Net/DatagramSocket.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "check.hpp"
#include "net/loop_clock.hpp"
#include "snmp/agent.hpp"

namespace topazweir::test {
namespace {

struct NoBackend : broker::Backend {
  void start(broker::AttemptOrder) override {}
  void cancel(const broker::AttemptId&) override {}
};

// The address of a port that was free just now. Port 0 cannot be used, since the library does not report
// which port it was given.
std::string freeAddress() {
  return Poco::Net::DatagramSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

class Manager {
 public:
  Manager(const std::string& peer, const std::string& community) {
    netsnmp_session session;
    snmp_sess_init(&session);
    std::string address = peer;
    std::string communityText = community;
    session.version = SNMP_VERSION_2c;
    session.peername = address.data();
    session.community = reinterpret_cast<u_char*>(communityText.data());
    session.community_len = communityText.size();
    session.retries = 0;
    session.timeout = 2'000'000;
    handle_ = snmp_sess_open(&session);
    CHECK(handle_);
  }
  ~Manager() { snmp_sess_close(handle_); }
  // Sends a request and returns the first variable of the reply; none for an error or no reply.
  std::optional<std::pair<snmp::Oid, std::string>> request(int kind, const snmp::Oid& id) {
    auto* pdu = snmp_pdu_create(kind);
    if (kind == SNMP_MSG_GETBULK) {
      pdu->non_repeaters = 0;
      pdu->max_repetitions = 1;
    }
    snmp_add_null_var(pdu, id.data(), id.size());
    netsnmp_pdu* reply = nullptr;
    const int status = snmp_sess_synch_response(handle_, pdu, &reply);
    std::optional<std::pair<snmp::Oid, std::string>> out;
    if (status == STAT_SUCCESS && reply->errstat == SNMP_ERR_NOERROR && reply->variables) {
      const auto& v = *reply->variables;
      std::string text = "?";
      if (v.type == ASN_COUNTER64) text = std::to_string(v.val.counter64->high << 32 | v.val.counter64->low);
      if (v.type == ASN_GAUGE || v.type == ASN_INTEGER) text = std::to_string(*v.val.integer);
      if (v.type == ASN_OCTET_STR) text.assign(reinterpret_cast<char*>(v.val.string), v.val_len);
      const bool value = v.type < SNMP_NOSUCHOBJECT;
      if (value) out.emplace(snmp::Oid(v.name, v.name + v.name_length), text);
    }
    if (reply) snmp_free_pdu(reply);
    return out;
  }

 private:
  void* handle_;
};

void agentAnswersManager() {
  net::Loop loop;
  broker::Log log([](auto, auto) {}, [&] { return loop.now(); });
  broker::Terms terms;
  terms.settings.classes = {QueryClass{.name = "a", .aim = 1, .deadline = 2}};
  terms.settings.shards = 1;
  terms.contracts = {{"coast", 0.27, 3}, {"rift", 0.16, 2}};
  terms.maxOpen = 75;
  NoBackend backend;
  net::LoopClock clock(loop, [] {});
  const broker::Broker broker(terms, clock, backend, log);
  const config::SnmpConfig config{freeAddress(), "secret"};
  snmp::CallFigures calls;
  calls.shed = 5'000'000'000;  // beyond 32 bits
  calls.bufferedBytes = 77;
  calls.statuses = {{"OK", 9}, {"CANCELLED", 1}};
  const auto takeSnapshot = [&] {
    snmp::MembershipFigures members{2, 0, 1, 10, 20, 3, 4, 5, true, {}, {}};
    members.held = {1'234, 6'000'000'001, 6'000'000'000, 2'000, 1'999};
    members.members = {{"n1", "127.0.0.1:1", "a", "1", 1, 2, 4, 0, 0},
                       {"n2", "127.0.0.1:2", "b", "1", 3, 2, 6'000'000'000, 7, 250}};
    return snmp::takeSnapshot(broker, {{1, "s-1", ServerState::draining, 3, 5'000'000'000}},
                              {calls, snmp::OperationFigures{7, 2, 1, 3, true}, members,
                               snmp::ConnectionFigures{9, 8, 7, 6, 5, 4, 3, 2, 1, 10}});
  };
  snmp::Agent agent(loop, log, config, takeSnapshot);
  std::atomic<bool> done = false;
  std::thread managerThread([&] {
    const auto oid = [](std::initializer_list<unsigned long> tail) {
      auto id = snmp::kRoot;
      id.insert(id.end(), tail);
      return id;
    };
    Manager manager(config.listen, "secret");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 1, 13, 0}))->second == "75");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 3, 1, 2, 2}))->second == "rift");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 4, 1, 3, 1}))->second == "2");
    CHECK(!manager.request(SNMP_MSG_GET, oid({1, 1, 99, 0})));
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 5, 4, 0}))->second == "5000000000");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 5, 16, 0}))->second == "77");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 6, 1, 2, 2}))->second == "CANCELLED");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 7, 4, 0}))->second == "3");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 8, 7, 0}))->second == "3");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 8, 9, 0}))->second == "5");
    const std::vector<std::string> registerValues{"1234", "6000000001", "6000000000", "2000", "1999"};
    for (std::size_t i = 0; i < registerValues.size(); ++i)
      CHECK(manager.request(SNMP_MSG_GET, oid({1, 8, 11 + i, 0}))->second == registerValues[i]);
    CHECK(!manager.request(SNMP_MSG_GET, oid({1, 8, 16, 0})));
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 9, 1, 3, 2}))->second == "3");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 9, 1, 8, 2}))->second == "6000000000");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 10, 1, 0}))->second == "9");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 10, 4, 0}))->second == "6");
    CHECK(manager.request(SNMP_MSG_GET, oid({1, 10, 10, 0}))->second == "10");
    CHECK(!manager.request(SNMP_MSG_SET, oid({1, 1, 13, 0})));  // read-only
    const auto all = takeSnapshot();
    for (const int kind : {SNMP_MSG_GETNEXT, SNMP_MSG_GETBULK}) {
      auto id = snmp::kRoot;
      for (const auto& [expected, value] : all) {
        const auto next = manager.request(kind, id);
        CHECK(next && next->first == expected);
        id = next->first;
      }
      const auto afterLast = manager.request(kind, id);  // the walk leaves the module
      CHECK(!afterLast || !std::equal(snmp::kRoot.begin(), snmp::kRoot.end(), afterLast->first.begin()));
    }
    CHECK(!Manager(config.listen, "guess").request(SNMP_MSG_GET, oid({1, 1, 13, 0})));
    done = true;
    loop.stop();
  });
  loop.run();
  managerThread.join();
  CHECK(done);
}

}  // namespace
}  // namespace topazweir::test

int main() { topazweir::test::agentAnswersManager(); }
