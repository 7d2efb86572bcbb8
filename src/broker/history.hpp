// What became of a request, in words for the log.
#pragma once

#include <string>

#include "broker/open.hpp"

namespace topazweir::broker {

// "id=... class=... after_ms=... in=PARTS/OF attempts=N" and how many of these ended in each way.
std::string history(const OpenRequest& open, const Settings& settings, Nanos now);

}  // namespace topazweir::broker
