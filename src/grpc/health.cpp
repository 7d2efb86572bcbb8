#include "grpc/health.hpp"

namespace topazweir::grpc {

namespace {

constexpr std::size_t kPrefix = 5;  // a flag and four bytes of length

// A protobuf varint off the front; none: cut short or too long.
std::optional<std::uint64_t> varint(std::string_view& bytes) {
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < 64 && !bytes.empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    value |= static_cast<std::uint64_t>(byte & 0x7F) << shift;
    if ((byte & 0x80) == 0) return value;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> readHealthRequest(std::string_view body) {
  if (body.size() < kPrefix || body.front() != 0) return std::nullopt;  // compressed requests are not read
  std::size_t length = 0;
  for (std::size_t i = 1; i < kPrefix; ++i) length = length << 8 | static_cast<unsigned char>(body[i]);
  body.remove_prefix(kPrefix);
  if (length != body.size()) return std::nullopt;
  std::string service;
  while (!body.empty()) {
    const auto tag = varint(body);
    if (!tag) return std::nullopt;
    const auto kind = *tag & 7;
    if (kind == 0) {
      if (!varint(body)) return std::nullopt;
    } else if (kind == 1 || kind == 5) {
      const std::size_t size = kind == 1 ? 8 : 4;
      if (body.size() < size) return std::nullopt;
      body.remove_prefix(size);
    } else if (kind == 2) {
      const auto size = varint(body);
      if (!size || *size > body.size()) return std::nullopt;
      if (*tag >> 3 == 1) service = body.substr(0, *size);
      body.remove_prefix(static_cast<std::size_t>(*size));
    } else {
      return std::nullopt;
    }
  }
  return service;
}

std::string writeHealthResponse(Serving status) {
  std::string out{'\0', '\0', '\0', '\0', '\2'};
  return out + '\x08' + static_cast<char>(status);
}

}  // namespace topazweir::grpc
