// Encoding and decoding of the dissemination messages.
#include "dissemination/messages.hpp"

#include <xxhash.h>

#include <cstring>

#include "agreement/packing.hpp"
#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

// Positional fields of a message. An array with fewer elements is malformed, whereas msgpack-c alone would
// decode missing fields as zero; additional elements, which later versions may append, are ignored.
template <class Fields>
struct Positional {
  Fields fields;
};

}  // namespace topazweir::dissemination

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Fields>
  struct convert<topazweir::dissemination::Positional<Fields>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      topazweir::dissemination::Positional<Fields>& to) const {
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

constexpr std::size_t kHeaderBytes = 5;  // kind (1), checksum (4)
constexpr std::size_t kMaxNameBytes = 256;

using HeartbeatFields = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint16_t>;
using ChangesFields = std::tuple<std::uint64_t, std::uint64_t, std::vector<std::string>>;
using SlowestFields = std::tuple<std::string, std::uint64_t, std::uint64_t>;
template <class Slowest>
using ReportOf = std::tuple<std::uint8_t, std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                            std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t, std::vector<Slowest>>;
using ReportFields = ReportOf<SlowestFields>;
using OfferFields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t>;
using PieceRequestFields =
    std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using PieceFields = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::string>;
using UnavailableFields = std::tuple<std::uint64_t, bool>;

std::uint32_t checksum(Kind kind, std::string_view body) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(body.data(), body.size(), static_cast<std::uint64_t>(kind)));
}

template <class Fields>
std::string encode(Kind kind, const Fields& fields) {
  const std::string body = agreement::pack(fields);
  const std::uint32_t sum = checksum(kind, body);
  std::string out(1, static_cast<char>(kind));
  for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>((sum >> shift) & 0xff);
  return out + body;
}

template <class Fields>
std::optional<Fields> decode(std::string_view bytes) {
  auto read = agreement::unpack<Positional<Fields>>(bytes.substr(kHeaderBytes), kMaxMessageBytes);
  return read ? std::optional(std::move(read->fields)) : std::nullopt;
}

}  // namespace

std::optional<Kind> kindOf(std::string_view bytes) {
  if (bytes.size() <= kHeaderBytes || bytes.size() > kMaxMessageBytes) return std::nullopt;
  const auto kind = static_cast<Kind>(bytes[0]);
  if (kind < Kind::heartbeat || kind > Kind::counts) return std::nullopt;
  std::uint32_t sum = 0;
  for (int i = 0; i < 4; ++i)
    sum |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[static_cast<std::size_t>(1 + i)]))
           << (8 * i);
  if (sum != checksum(kind, bytes.substr(kHeaderBytes))) return std::nullopt;
  return kind;
}

std::string write(const Heartbeat& m) {
  return encode(Kind::heartbeat, HeartbeatFields(m.number, m.mark, m.age, m.every));
}
std::string write(const Changes& m) {
  return encode(Kind::changes, ChangesFields(m.from, m.digest, m.commands));
}
std::string write(const Report& m, Kind kind) {
  return encode(kind, ReportFields(m.flags, m.generation, m.number, m.digest, m.firstOutOfOrder, m.members,
                                   m.lowGeneration, m.lowNumber, m.level, m.slowest));
}
std::string write(const Offer& m) {
  return encode(Kind::offer, OfferFields(m.generation, m.number, m.digest, m.hash, m.size));
}
std::string write(const PieceRequest& m) {
  return encode(Kind::pieceRequest, PieceRequestFields(m.number, m.hash, m.pieceBytes, m.first, m.count));
}
std::string write(const Piece& m) {
  return encode(Kind::piece, PieceFields(m.number, m.hash, m.index, m.bytes));
}
std::string write(const Unavailable& m) {
  return encode(Kind::unavailable, UnavailableFields(m.hash, m.busy));
}
std::string writeBare(Kind kind) { return encode(kind, std::tuple<std::uint8_t>(0)); }

std::optional<Heartbeat> readHeartbeat(std::string_view bytes) {
  const auto f = decode<HeartbeatFields>(bytes);
  if (!f) return std::nullopt;
  return Heartbeat{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f)};
}

std::optional<Changes> readChanges(std::string_view bytes) {
  auto f = decode<ChangesFields>(bytes);
  if (!f || std::get<2>(*f).empty()) return std::nullopt;
  return Changes{std::get<0>(*f), std::get<1>(*f), std::move(std::get<2>(*f))};
}

std::optional<Report> readReport(std::string_view bytes) {
  const auto f = decode<ReportOf<Positional<SlowestFields>>>(bytes);
  if (!f || std::get<9>(*f).size() > kMaxSlowest) return std::nullopt;
  Report out{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f),
             std::get<5>(*f), std::get<6>(*f), std::get<7>(*f), std::get<8>(*f), {}};
  for (const auto& slowest : std::get<9>(*f)) {
    if (std::get<0>(slowest.fields).size() > kMaxNameBytes) return std::nullopt;
    out.slowest.push_back(slowest.fields);
  }
  return out;
}

std::optional<Offer> readOffer(std::string_view bytes) {
  const auto f = decode<OfferFields>(bytes);
  if (!f) return std::nullopt;
  return Offer{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<PieceRequest> readPieceRequest(std::string_view bytes) {
  const auto f = decode<PieceRequestFields>(bytes);
  if (!f) return std::nullopt;
  return PieceRequest{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::get<3>(*f), std::get<4>(*f)};
}

std::optional<Piece> readPiece(std::string_view bytes) {
  auto f = decode<PieceFields>(bytes);
  if (!f || std::get<3>(*f).size() > PieceRequest::kMaxPieceBytes) return std::nullopt;
  return Piece{std::get<0>(*f), std::get<1>(*f), std::get<2>(*f), std::move(std::get<3>(*f))};
}

std::optional<Unavailable> readUnavailable(std::string_view bytes) {
  const auto f = decode<UnavailableFields>(bytes);
  if (!f) return std::nullopt;
  return Unavailable{std::get<0>(*f), std::get<1>(*f)};
}

}  // namespace topazweir::dissemination
