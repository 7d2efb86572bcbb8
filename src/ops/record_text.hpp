// Serialises a record as text: a header line with format, version, length and checksum, then a JSON object.
// Pure functions.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "operation/record.hpp"

namespace topazweir::ops {

inline constexpr std::size_t kMostRecord = 4 * 1024 * 1024;  // bytes; a longer record is not read

std::string writeRecord(const operation::Record& record);
// Parses a record. Returns an error message if it is truncated or corrupted, or was written by another
// program or in an unknown version.
std::variant<operation::Record, std::string> readRecord(std::string_view text);

}  // namespace topazweir::ops
