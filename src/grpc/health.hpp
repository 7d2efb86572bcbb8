// Messages of grpc.health.v1.Health (grpc/health/v1/health.proto), encoded by hand: the broker answers health
// checks for the services of its own routes. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace topazweir::grpc {

inline constexpr std::string_view kHealthService = "grpc.health.v1.Health";

// HealthCheckResponse.ServingStatus, with its values on the wire.
enum class Serving : std::uint8_t { unknown = 0, serving = 1, notServing = 2, serviceUnknown = 3 };

// The service named in a body of one length-prefixed HealthCheckRequest; empty: the server as a whole. No
// value: the body is malformed or compressed.
std::optional<std::string> parseHealthRequest(std::string_view body);
// A length-prefixed HealthCheckResponse.
std::string serializeHealthResponse(Serving status);

}  // namespace topazweir::grpc
