// Summary of a request's attempts for log lines.
#pragma once

#include <string>

#include "broker/open_requests.hpp"

namespace topazweir::broker {

// "id=... class=... after_ms=... in=DELIVERED/PARTS attempts=N", followed by "OUTCOME=N" for each outcome of
// its ended attempts.
std::string history(const OpenRequest& open, const Settings& settings, Nanos now);

}  // namespace topazweir::broker
