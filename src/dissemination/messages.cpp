#include "dissemination/messages.hpp"

#include <xxhash.h>

#include <cstring>

#include "agreement/packing.hpp"
#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

// Fields as they are read, by their places. Fewer than these are broken, where the library by itself reads
// nought for what is missing; what a later version puts behind them is passed over.
template <class Fields>
struct Known {
  Fields fields;
};

}  // namespace topazweir::dissemination

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Fields>
  struct convert<topazweir::dissemination::Known<Fields>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      topazweir::dissemination::Known<Fields>& to) const {
      if (from.type != msgpack::type::ARRAY || from.via.array.size < std::tuple_size_v<Fields>)
        throw msgpack::type_error();
      return from.convert(to.fields), from;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace topazweir::dissemination {

namespace {

constexpr std::size_t kHead = 5;  // kind, checksum
constexpr std::size_t kMostName = 256;

using BeatFields = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint16_t>;
using ChangesFields = std::tuple<std::uint64_t, std::uint64_t, std::vector<std::string>>;
using SlowestFields = std::tuple<std::string, std::uint64_t, std::uint64_t>;
template <class Slowest>
using ReportOf = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                            std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t, std::vector<Slowest>>;
using ReportFields = ReportOf<SlowestFields>;
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
std::optional<Fields> fields(std::string_view bytes) {
  auto read = agreement::unpack<Known<Fields>>(bytes.substr(kHead), kMostMessage);
  return read ? std::optional(std::move(read->fields)) : std::nullopt;
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
  const auto f = fields<BeatFields>(bytes);
  if (!f) return std::nullopt;
  return Beat{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f)};
}

std::optional<Changes> readChanges(std::string_view bytes) {
  auto f = fields<ChangesFields>(bytes);
  if (!f || std::get<2>(*f).empty()) return std::nullopt;
  return Changes{std::get<0>(*f), std::get<1>(*f), std::move(std::get<2>(*f))};
}

std::optional<Report> readReport(std::string_view bytes) {
  const auto f = fields<ReportOf<Known<SlowestFields>>>(bytes);
  if (!f || std::get<9>(*f).size() > kSlowest) return std::nullopt;
  Report out{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f),
             std::get<5>(*f), std::get<6>(*f), std::get<7>(*f), std::get<8>(*f), {}};
  for (const auto& slowest : std::get<9>(*f)) {
    if (std::get<0>(slowest.fields).size() > kMostName) return std::nullopt;
    out.slowest.push_back(slowest.fields);
  }
  return out;
}

std::optional<Offer> readOffer(std::string_view bytes) {
  const auto f = fields<OfferFields>(bytes);
  if (!f) return std::nullopt;
  return Offer{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<Ask> readAsk(std::string_view bytes) {
  const auto f = fields<AskFields>(bytes);
  if (!f) return std::nullopt;
  return Ask{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<Piece> readPiece(std::string_view bytes) {
  auto f = fields<PieceFields>(bytes);
  if (!f || std::get<3>(*f).size() > Ask::kMostPiece) return std::nullopt;
  return Piece{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::move(std::get<3>(*f))};
}

std::optional<Nothing> readNothing(std::string_view bytes) {
  const auto f = fields<NothingFields>(bytes);
  if (!f) return std::nullopt;
  return Nothing{std::get<0>(*f), std::get<1>(*f)};
}

}  // namespace topazweir::dissemination
