// grpc.health.v1.Health (grpc/health/v1/health.proto) for the broker's own routes: the few bytes of its
// messages, and what each service is said to be. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace topazweir::grpc {

inline constexpr std::string_view kHealthService = "grpc.health.v1.Health";

enum class Serving : std::uint8_t { unknown = 0, serving = 1, notServing = 2, serviceUnknown = 3 };

// The service named in one length-prefixed HealthCheckRequest; none: malformed.
std::optional<std::string> readHealthRequest(std::string_view body);
// A length-prefixed HealthCheckResponse.
std::string writeHealthResponse(Serving status);

}  // namespace topazweir::grpc
