// What members say to each other about changes, as bytes: a kind, a checksum (XXH3, 32 bits) of the rest, and
// the fields in MessagePack. Bounded by kMostMessage; texts and lists by the limits beside the fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace topazweir::dissemination {

enum class Kind : std::uint8_t {
  beat = 1,  // of a parent, or of one that was looked at
  changes,   // of a parent
  report,    // of a child: a subscription, its renewal, a look
  refuse,    // of one that takes no more children
  offer,     // of a parent to a child that the log doesn't reach
  ask,       // for pieces of a snapshot
  piece,
  nothing,  // instead of pieces: it has not got that snapshot, or no bytes to spend on it
  bye,      // of a child that has left
  counts,   // of a voter to the leader: as a report
};

struct Beat {
  std::uint64_t number = 0;
  std::uint32_t mark = 0;   // short hash of position and digest: the same, or ask
  std::uint32_t age = 0;    // in kAgeUnit; kNever
  std::uint16_t every = 0;  // in kAgeUnit: when the next is due
  static constexpr std::uint32_t kNever = 0xffffffff;
};
inline constexpr std::int64_t kAgeUnit = 10'000'000;

struct Changes {
  std::uint64_t from = 0;    // number before the first of them
  std::uint64_t digest = 0;  // after the last
  std::vector<std::string> commands;
};

struct Report {
  static constexpr std::uint8_t kSubscribe = 1, kMissing = 2, kLook = 4, kUrgent = 8, kDiverged = 16;
  static constexpr std::uint8_t kContradicted = 32;  // it has a later generation than all fresh news
  std::uint8_t flags = 0;
  std::uint64_t generation = 0, number = 0, digest = 0;
  std::uint64_t early =
      0;  // with kMissing: it has changes that go on from here, which came too early; 0: none
  std::uint64_t members = 0, lowGeneration = 0, lowNumber = 0, level = 0;
  std::vector<std::tuple<std::string, std::uint64_t, std::uint64_t>> slowest;  // name, generation, number
};

struct Offer {
  std::uint64_t generation = 0, number = 0, digest = 0;
  std::uint64_t hash = 0, size = 0;  // of the snapshot's bytes
};

struct Ask {
  std::uint64_t number = 0, hash = 0;
  std::uint32_t pieceBytes = 0, first = 0, count = 0;
  static constexpr std::uint32_t kMostCount = 16, kMostPiece = 8192;
};

struct Piece {
  std::uint64_t number = 0, hash = 0;
  std::uint32_t index = 0;
  std::string bytes;
};

struct Nothing {
  std::uint64_t hash = 0;
  bool busy = false;  // it has it; later
};

// The kind of a whole message; none: cut off, altered, oversized or of no known kind.
std::optional<Kind> kindOf(std::string_view bytes);

std::string write(const Beat& message);
std::string write(const Changes& message);
std::string write(const Report& message, Kind kind = Kind::report);
std::string write(const Offer& message);
std::string write(const Ask& message);
std::string write(const Piece& message);
std::string write(const Nothing& message);
std::string writeBare(Kind kind);  // refuse, bye

// Of bytes that kindOf() has taken; none: fields of other types or sizes.
std::optional<Beat> readBeat(std::string_view bytes);
std::optional<Changes> readChanges(std::string_view bytes);
std::optional<Report> readReport(std::string_view bytes);
std::optional<Offer> readOffer(std::string_view bytes);
std::optional<Ask> readAsk(std::string_view bytes);
std::optional<Piece> readPiece(std::string_view bytes);
std::optional<Nothing> readNothing(std::string_view bytes);

}  // namespace topazweir::dissemination
