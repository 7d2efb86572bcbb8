// The fleet service: connects the failure detector, the Raft group and the dissemination of its register to
// sockets, timers, the log and the operators' calls. The decisions are made in src/membership, src/agreement
// and src/dissemination.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "agreement/follower.hpp"
#include "broker/log.hpp"
#include "config/membership_config.hpp"
#include "dissemination/disseminator.hpp"
#include "fleet/raft_group.hpp"
#include "fleet/streams.hpp"
#include "membership/limit_sharing.hpp"
#include "membership/load_meter.hpp"
#include "membership/membership_state.hpp"
#include "net/udp_socket.hpp"

namespace topazweir::fleet {

// What the fleet service needs from its aggregator.
class Host {
 public:
  virtual ~Host() = default;
  virtual membership::LoadMeter::Totals load() const = 0;
  // Called when this member's share of the fleet-wide sending limits changes.
  virtual void shares(const membership::Share& share) = 0;
  // Whether another process of this aggregator is running, which may still hold the address.
  virtual bool accompanied() const = 0;
};

struct Counters {
  // Datagrams and their bytes.
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
  // Messages that could not be decoded, by reason (see DecodeError).
  std::uint64_t broken = 0;
  std::uint64_t foreign = 0;
  std::uint64_t otherVersion = 0;
  std::uint64_t unsent = 0;            // datagrams that the socket did not accept
  std::uint64_t votersDiffer = 0;      // Raft messages ignored since the sender has another list of voters
  std::uint64_t registerAsked = 0;     // requests to a voter for the whole register
  std::uint64_t registersAdopted = 0;  // registers adopted from a voter's reply, since they were newer
  std::uint64_t changesForeign = 0;    // dissemination messages of senders that are not known members
};

// Appended to a member's version, as build metadata of semantic versioning, if it can read the
// dissemination's messages. Members without it are left out of the tree; they would count these messages as
// malformed.
inline constexpr std::string_view kDisseminationSuffix = "+d1";

class FleetService {
 public:
  // `initialShare`: the share of fleet-wide limits, with this aggregator's index, until other members are
  // known. Nothing is sent before start().
  FleetService(net::Loop& loop, broker::Log& log, const config::MembershipConfig& config,
               const std::string& version, std::uint64_t seed, membership::Share initialShare, Host& host);
  ~FleetService();
  FleetService(const FleetService&) = delete;
  FleetService& operator=(const FleetService&) = delete;

  // Starts listening and joins the fleet. If another process of this aggregator still holds the address, this
  // is retried until it is free. Throws config::ConfigError if it cannot listen on the address otherwise, or
  // if the voter's persistent state cannot be used.
  void start();
  // Sets the duty that this member announces.
  void says(membership::Duty duty) { detector_.says(duty); }
  void leave();  // announces that this member leaves, then stops
  void stop();   // stops without an announcement: another process continues for this aggregator

  // Proposes a change of the register; false: this member is not the leader.
  bool propose(const agreement::Command& command);
  // Number of commands applied to the register held here.
  std::uint64_t commands() const { return raftGroup_ || follower_ ? currentRegister().commands() : 0; }

  // Answers the operators' calls "members", "members explain NAME" and "members register". None: the line is
  // another call.
  std::optional<std::string> answer(std::string_view line) const;
  const config::MembershipConfig& config() const { return config_; }
  const membership::Detector& detector() const { return detector_; }
  membership::MembershipState standing() const { return membershipState_; }
  const RaftGroup* raftGroup() const { return raftGroup_ ? &*raftGroup_ : nullptr; }  // null: not a voter
  const dissemination::Disseminator* disseminator() const { return disseminator_.get(); }  // null: no voters
  // Position of the register held here.
  dissemination::Position position() const;
  // Time since a voter that knew of a leader last confirmed the register held here; negative: never.
  Nanos registerAge() const;
  const Counters& counters() const { return counters_; }
  const StreamExchanges* streams() const { return streams_ ? &*streams_ : nullptr; }  // null: not listening
  std::string print() const;  // counters, as "name value" lines

 private:
  bool openSockets();
  void retryStart();
  void openRaftGroup();
  void joinFleet();
  void tick();
  std::optional<membership::Message> decodeMessage(std::string_view bytes);
  void onDatagram(std::string_view bytes);
  std::string onStreamMessage(std::string_view bytes);
  void applyStep(membership::Step step, std::string* reply = nullptr);
  void send(const membership::Out& out);
  void onRaftMessage(const membership::Message& message);
  void sendRaftMessages(const std::vector<RaftGroup::Out>& messages);
  std::string voterAddress(const std::string& voter) const;
  std::uint64_t commandsKnownTo(const membership::Message& request) const;
  std::string replyToFollower(const membership::Message& request);
  void onDisseminationMessage(const membership::Message& message);
  void tickDissemination();
  void forwardApplied();
  void sendDissemination(const std::vector<dissemination::Out>& messages);
  void updateDisseminationView();
  void pollVoters();
  void onFollowerReply(const membership::Message& reply);
  bool leaderKnown() const;
  bool holdsRegister() const { return raftGroup_ || follower_; }
  const agreement::Register& currentRegister() const;
  void logRegisterChanges();
  void logDisseminationChanges();
  void updateMembershipState();
  std::string membersText() const;
  std::string explainMember(const std::string& name) const;
  std::string registerText() const;
  std::string propagationText() const;

  net::Loop& loop_;
  broker::Log& log_;
  config::MembershipConfig config_;
  Host& host_;
  membership::Detector detector_;
  membership::LoadMeter loadMeter_;
  membership::LimitSharing sharers_;
  membership::Share share_;
  std::uint64_t seed_;
  membership::MembershipState membershipState_ = membership::MembershipState::isolated;
  std::optional<net::UdpSocket> datagrams_;
  std::optional<StreamExchanges> streams_;
  std::optional<RaftGroup> raftGroup_;  // if this is a voter
  // If voters are configured. Members that are not voters get the register by dissemination, and request it
  // from a voter (follower_) only while the dissemination does not reach them.
  std::unique_ptr<dissemination::Disseminator> disseminator_;
  std::optional<agreement::Follower> follower_;  // if this is not a voter
  Nanos startedAt_ = 0;
  bool viewChanged_ = false;  // since the dissemination got the view
  // Values as last logged.
  std::string loggedCoordinator_;  // with its fence
  std::string parent_;
  std::uint64_t loggedDiverged_ = 0;
  bool storeWorked_ = true;
  bool stale_ = false;
  Counters counters_;
  net::Loop::TimerId timer_{};
};

}  // namespace topazweir::fleet
