#include "dissemination/messages.hpp"

#include <xxhash.h>

#include <cstring>

#include "agreement/packing.hpp"
#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

namespace {

constexpr std::size_t kHead = 5;  // kind, checksum
constexpr std::size_t kMostName = 256;

using BeatFields = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint16_t>;
using ChangesFields = std::tuple<std::uint64_t, std::uint64_t, std::vector<std::string>>;
using ReportFields = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                std::vector<std::tuple<std::string, std::uint64_t, std::uint64_t>>>;
using OfferFields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t>;
using AskFields = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using PieceFields = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::string>;
using NothingFields = std::tuple<std::uint64_t, bool>;

std::uint32_t checksum(Kind kind, std::string_view body) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(body.data(), body.size(), static_cast<std::uint64_t>(kind)));
}

template <class Fields>
std::string frame(Kind kind, const Fields& fields) {
  const std::string body = agreement::pack(fields);
  const std::uint32_t sum = checksum(kind, body);
  std::string out(1, static_cast<char>(kind));
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>((sum >> shift) & 0xff);
  return out + body;
}

template <class Fields>
std::optional<Fields> fields(std::string_view bytes, std::size_t most) {
  return agreement::unpack<Fields>(bytes.substr(kHead), most);
}

}  // namespace

std::optional<Kind> kindOf(std::string_view bytes) {
  if (bytes.size() <= kHead || bytes.size() > kMostMessage) return std::nullopt;
  const auto kind = static_cast<Kind>(bytes[0]);
  if (kind < Kind::beat || kind > Kind::counts) return std::nullopt;
  std::uint32_t sum = 0;
  for (int i = 0; i < 4; ++i)
    sum |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[static_cast<std::size_t>(1 + i)]))
           << (8 * i);
  if (sum != checksum(kind, bytes.substr(kHead))) return std::nullopt;
  return kind;
}

std::string write(const Beat& m) { return frame(Kind::beat, BeatFields(m.number, m.mark, m.age, m.every)); }
std::string write(const Changes& m) {
  return frame(Kind::changes, ChangesFields(m.from, m.digest, m.commands));
}
std::string write(const Report& m, Kind kind) {
  return frame(kind, ReportFields(m.flags, m.generation, m.number, m.digest, m.early, m.members,
                                  m.lowGeneration, m.lowNumber, m.level, m.slowest));
}
std::string write(const Offer& m) {
  return frame(Kind::offer, OfferFields(m.generation, m.number, m.digest, m.hash, m.size));
}
std::string write(const Ask& m) {
  return frame(Kind::ask, AskFields(m.number, m.hash, m.pieceBytes, m.first, m.count));
}
std::string write(const Piece& m) {
  return frame(Kind::piece, PieceFields(m.number, m.hash, m.index, m.bytes));
}
std::string write(const Nothing& m) { return frame(Kind::nothing, NothingFields(m.hash, m.busy)); }
std::string writeBare(Kind kind) { return frame(kind, std::tuple<std::uint8_t>(0)); }

std::optional<Beat> readBeat(std::string_view bytes) {
  const auto f = fields<BeatFields>(bytes, 0);
  if (!f) return std::nullopt;
  return Beat{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f)};
}

std::optional<Changes> readChanges(std::string_view bytes) {
  auto f = fields<ChangesFields>(bytes, kMostMessage);
  if (!f || std::get<2>(*f).empty()) return std::nullopt;
  return Changes{std::get<0>(*f), std::get<1>(*f), std::move(std::get<2>(*f))};
}

std::optional<Report> readReport(std::string_view bytes) {
  auto f = fields<ReportFields>(bytes, kMostName);
  if (!f || std::get<9>(*f).size() > kSlowest) return std::nullopt;
  return Report{std::get<0>(*f), std::get<1>(*f),           std::get<2>(*f), std::get<3>(*f),
                std::get<4>(*f), std::get<5>(*f),           std::get<6>(*f), std::get<7>(*f),
                std::get<8>(*f), std::move(std::get<9>(*f))};
}

std::optional<Offer> readOffer(std::string_view bytes) {
  const auto f = fields<OfferFields>(bytes, 0);
  if (!f) return std::nullopt;
  return Offer{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<Ask> readAsk(std::string_view bytes) {
  const auto f = fields<AskFields>(bytes, 0);
  if (!f) return std::nullopt;
  return Ask{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<Piece> readPiece(std::string_view bytes) {
  auto f = fields<PieceFields>(bytes, Ask::kMostPiece);
  if (!f) return std::nullopt;
  return Piece{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::move(std::get<3>(*f))};
}

std::optional<Nothing> readNothing(std::string_view bytes) {
  const auto f = fields<NothingFields>(bytes, 0);
  if (!f) return std::nullopt;
  return Nothing{std::get<0>(*f), std::get<1>(*f)};
}

}  // namespace topazweir::dissemination
