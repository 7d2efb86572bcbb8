#include "grpc/health.hpp"

namespace topazweir::grpc {

namespace {

// Length-Prefixed-Message of gRPC: a compressed flag and four bytes of length.
constexpr std::size_t kPrefixBytes = 5;
// The field `service` of HealthCheckRequest.
constexpr std::uint64_t kServiceField = 1;
// Wire types of protobuf.
constexpr std::uint64_t kVarint = 0;
constexpr std::uint64_t kFixed64 = 1;
constexpr std::uint64_t kLengthDelimited = 2;
constexpr std::uint64_t kFixed32 = 5;

// Removes a protobuf varint from the front of `bytes`. No value: it is truncated or too long.
std::optional<std::uint64_t> readVarint(std::string_view& bytes) {
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

std::optional<std::string> parseHealthRequest(std::string_view body) {
  if (body.size() < kPrefixBytes || body.front() != 0)
    return std::nullopt;  // compressed requests are not supported
  std::size_t length = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) length = length << 8 | static_cast<unsigned char>(body[i]);
  body.remove_prefix(kPrefixBytes);
  if (length != body.size()) return std::nullopt;
  std::string service;
  while (!body.empty()) {
    const auto tag = readVarint(body);
    if (!tag) return std::nullopt;
    const auto wireType = *tag & 7;
    if (wireType == kVarint) {
      if (!readVarint(body)) return std::nullopt;
    } else if (wireType == kFixed64 || wireType == kFixed32) {
      const std::size_t size = wireType == kFixed64 ? 8 : 4;
      if (body.size() < size) return std::nullopt;
      body.remove_prefix(size);
    } else if (wireType == kLengthDelimited) {
      const auto size = readVarint(body);
      if (!size || *size > body.size()) return std::nullopt;
      if (*tag >> 3 == kServiceField) service = body.substr(0, *size);
      body.remove_prefix(static_cast<std::size_t>(*size));
    } else {
      return std::nullopt;
    }
  }
  return service;
}

std::string serializeHealthResponse(Serving status) {
  const std::string prefix{'\0', '\0', '\0', '\0', '\2'};
  // Field 1 (status), a varint.
  return prefix + '\x08' + static_cast<char>(status);
}

}  // namespace topazweir::grpc
