// Messages between members about the replicated log, and their encoding: a kind byte, a checksum (the lower
// 32 bits of XXH3) of the rest, and the fields as a MessagePack array. Bounded by kMaxMessageBytes; strings
// and lists by the limits beside the fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace topazweir::dissemination {

enum class Kind : std::uint8_t {
  heartbeat = 1,  // parent to child, or the answer to a probe
  changes,        // parent to child
  report,         // child to parent: subscription, its renewal, or a probe of a possible parent
  refuse,         // answer of a member that admits no more children
  offer,          // parent to a child that the log tail does not reach: a snapshot is available
  pieceRequest,   // for pieces of a snapshot
  piece,
  unavailable,  // instead of pieces: the snapshot is not here, or there is no budget to send it
  unsubscribe,  // of a child that has left its parent
  counts,       // voter to leader, with the fields of a report
};

struct Heartbeat {
  std::uint64_t number = 0;
  std::uint32_t mark = 0;   // short hash of position and digest; a child with another mark is not in sync
  std::uint32_t age = 0;    // of the state, in units of kAgeUnitNs; or kNever
  std::uint16_t every = 0;  // time until the next heartbeat, in units of kAgeUnitNs
  static constexpr std::uint32_t kNever = 0xffffffff;
};
inline constexpr std::int64_t kAgeUnitNs = 10'000'000;

struct Changes {
  std::uint64_t from = 0;    // number before the first command
  std::uint64_t digest = 0;  // of the register after the last command
  std::vector<std::string> commands;
};

struct Report {
  // Flags.
  static constexpr std::uint8_t kSubscribe = 1;      // start or renewal of a subscription
  static constexpr std::uint8_t kMissing = 2;        // changes are missing: send them again
  static constexpr std::uint8_t kProbe = 4;          // answer with a heartbeat, without a subscription
  static constexpr std::uint8_t kUrgent = 8;         // no other parent was found
  static constexpr std::uint8_t kDiverged = 16;      // the register's digest did not match the parent's
  static constexpr std::uint8_t kContradicted = 32;  // all fresh state has an earlier generation than this
  std::uint8_t flags = 0;
  std::uint64_t generation = 0, number = 0, digest = 0;
  // With kMissing: number from which buffered out-of-order changes continue; 0: none.
  std::uint64_t firstOutOfOrder = 0;
  std::uint64_t members = 0, lowGeneration = 0, lowNumber = 0, level = 0;      // of the subtree
  std::vector<std::tuple<std::string, std::uint64_t, std::uint64_t>> slowest;  // name, generation, number
};

struct Offer {
  std::uint64_t generation = 0, number = 0, digest = 0;
  std::uint64_t hash = 0, size = 0;  // of the snapshot's bytes
};

struct PieceRequest {
  std::uint64_t number = 0, hash = 0;  // of the snapshot
  std::uint32_t pieceBytes = 0;
  std::uint32_t first = 0;  // index of the first piece
  std::uint32_t count = 0;  // of consecutive pieces
  static constexpr std::uint32_t kMaxCount = 16;
  static constexpr std::uint32_t kMaxPieceBytes = 8192;
};

struct Piece {
  std::uint64_t number = 0, hash = 0;  // of the snapshot
  std::uint32_t index = 0;
  std::string bytes;
};

struct Unavailable {
  std::uint64_t hash = 0;  // of the snapshot
  bool busy = false;       // the snapshot is here, but cannot be sent now
};

// The kind of an intact message; none: truncated, corrupted, oversized or of an unknown kind.
std::optional<Kind> kindOf(std::string_view bytes);

std::string write(const Heartbeat& message);
std::string write(const Changes& message);
std::string write(const Report& message, Kind kind = Kind::report);
std::string write(const Offer& message);
std::string write(const PieceRequest& message);
std::string write(const Piece& message);
std::string write(const Unavailable& message);
std::string writeBare(Kind kind);  // kinds without fields: refuse, unsubscribe

// Decode bytes that kindOf() has accepted; none: missing fields, wrong types or sizes beyond the limits.
std::optional<Heartbeat> readHeartbeat(std::string_view bytes);
std::optional<Changes> readChanges(std::string_view bytes);
std::optional<Report> readReport(std::string_view bytes);
std::optional<Offer> readOffer(std::string_view bytes);
std::optional<PieceRequest> readPieceRequest(std::string_view bytes);
std::optional<Piece> readPiece(std::string_view bytes);
std::optional<Unavailable> readUnavailable(std::string_view bytes);

}  // namespace topazweir::dissemination
