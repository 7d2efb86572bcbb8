// Membership, wired together: the detector on one side, sockets and the log on the other. Decides nothing:
// src/membership does.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "agreement/follower.hpp"
#include "broker/log.hpp"
#include "config/membership_config.hpp"
#include "dissemination/disseminator.hpp"
#include "fleet/council.hpp"
#include "fleet/streams.hpp"
#include "membership/load_meter.hpp"
#include "membership/sharers.hpp"
#include "membership/standing.hpp"
#include "net/datagrams.hpp"

namespace topazweir::fleet {

// The aggregator, as the fleet sees and moves it.
class Host {
 public:
  virtual ~Host() = default;
  virtual membership::LoadMeter::Totals load() const = 0;
  virtual void shares(const membership::Share& share) = 0;  // of limits on what all send; called on a change
  virtual bool accompanied() const = 0;  // another process of this aggregator is there: it may still speak
};

struct Counters {
  std::uint64_t sent = 0, received = 0, sentBytes = 0, receivedBytes = 0;  // datagrams
  std::uint64_t broken = 0, foreign = 0, otherVersion = 0, unsent = 0;
  std::uint64_t votersDiffer = 0;    // messages between voters that are configured otherwise
  std::uint64_t registerAsked = 0;   // a voter, for the whole register
  std::uint64_t registerTaken = 0;   // of a voter's answer, since it was later than what is held
  std::uint64_t changesForeign = 0;  // messages of the dissemination by who is no member known here
};

// Behind a member's version, as semantic versioning's build metadata: it reads the dissemination's messages.
// Members without it are left out of the tree; they would count these as broken.
inline constexpr std::string_view kDisseminates = "+d1";

class Side {
 public:
  // `usual`: by how many limits are divided, and this one's place, before anybody is known. Speaks from
  // start() on. Throws config::ConfigError where its address can't be had and no other process of this
  // aggregator is there that may have it.
  Side(net::Loop& loop, broker::Log& log, const config::Membership& config, const std::string& version,
       std::uint64_t seed, membership::Share usual, Host& host);
  ~Side();
  Side(const Side&) = delete;
  Side& operator=(const Side&) = delete;

  void start();
  void says(membership::Duty duty) { detector_.says(duty); }
  void leave();  // in order; says nothing afterwards
  void stop();   // says nothing more: a younger process speaks for this aggregator

  // A change of the register, where this is the voter that leads; false elsewhere.
  bool propose(const agreement::Command& command);
  // Commands in the register as it is held here.
  std::uint64_t commands() const { return council_ || follower_ ? held().commands() : 0; }

  // Calls of operators: "members", "members explain NAME", "members register". None: the line is another
  // call.
  std::optional<std::string> answer(std::string_view line) const;
  const config::Membership& config() const { return config_; }
  const membership::Detector& detector() const { return detector_; }
  membership::Standing standing() const { return standing_; }
  const Council* council() const { return council_ ? &*council_ : nullptr; }  // none: it is no voter
  const dissemination::Disseminator* disseminator() const { return disseminator_.get(); }  // none: no voters
  // Of the register as it is held here, and since when a voter that knew of a leader last vouched for that;
  // negative: never.
  dissemination::Position position() const;
  Nanos registerAge() const;
  const Counters& counters() const { return counters_; }
  const Streams* streams() const { return streams_ ? &*streams_ : nullptr; }  // none: it does not listen
  std::string print() const;  // counters, as "name value" lines

 private:
  bool open();
  void startLater();
  void openCouncil();
  void listen();
  void tick();
  std::optional<membership::Message> read(std::string_view bytes);
  void onDatagram(std::string_view bytes);
  std::string onStream(std::string_view bytes);
  void carryOut(membership::Step step, std::string* reply = nullptr);
  void send(const membership::Out& out);
  void onAgreement(const membership::Message& message);
  void tell(const std::vector<Council::Out>& messages);
  std::string addressOf(const std::string& voter) const;
  std::uint64_t knownTo(const membership::Message& question) const;
  std::string answerTo(const membership::Message& question);
  void onDissemination(const membership::Message& message);
  void disseminate();
  void handOn();
  void tell(const std::vector<dissemination::Out>& messages);
  void showView();
  void follow();
  void takeAnswer(const membership::Message& answer);
  bool led() const;
  bool keepsRegister() const { return council_ || follower_; }
  const agreement::Register& held() const;
  void lookAtRegister();
  void lookAtTree();
  void lookAround();
  std::string table() const;
  std::string explain(const std::string& name) const;
  std::string registered() const;
  std::string inForce() const;

  net::Loop& loop_;
  broker::Log& log_;
  config::Membership config_;
  Host& host_;
  membership::Detector detector_;
  membership::LoadMeter meter_;
  membership::Sharers sharers_;
  membership::Share share_;
  std::uint64_t seed_;
  membership::Standing standing_ = membership::Standing::alone;
  std::optional<net::Datagrams> datagrams_;
  std::optional<Streams> streams_;
  std::optional<Council> council_;  // where it is a voter
  // Where voters are named. The register comes to the others by dissemination; by asking only while that does
  // not reach them.
  std::unique_ptr<dissemination::Disseminator> disseminator_;
  std::optional<agreement::Follower> follower_;  // where it is no voter
  Nanos startedAt_ = 0;
  bool viewChanged_ = false;    // since it was shown to the dissemination
  std::string coordinator_;     // as it was last shown, with its fence
  std::string parent_;          // likewise
  std::uint64_t diverged_ = 0;  // likewise
  bool worked_ = true, stale_ = false;
  Counters counters_;
  net::Loop::TimerId timer_{};
};

}  // namespace topazweir::fleet
