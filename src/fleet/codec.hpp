// Serialisation of the messages between aggregators, in MessagePack
// (https://github.com/msgpack/msgpack, spec.md). A message is an array: "tw", format version, fleet name,
// kind, sender, from, about, sequence, load, records, payload. Further elements at the end of an array, as a
// later minor version may add, are ignored. Malformed messages, those of another fleet and those of another
// format version are distinguished for the counters.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "membership/record.hpp"

namespace topazweir::fleet {

// Why a message was not decoded: malformed, of another fleet or program, of another format version.
enum class DecodeError { broken, foreign, otherVersion };

inline constexpr int kFormatVersion = 1;
inline constexpr std::size_t kMaxRecords = 8192;                        // in one message
inline constexpr std::size_t kMaxStreamMessageBytes = 2 * 1024 * 1024;  // of one message sent by stream

std::string encode(const membership::Message& message, std::string_view fleet);
// Never throws. Strings over membership::kMostText bytes, unknown states and kinds and numbers out of range
// count as malformed.
std::variant<membership::Message, DecodeError> decode(std::string_view bytes, std::string_view fleet);

// A message as sent by stream: its length in bytes as a 4-byte big-endian number, then the message.
std::string framed(std::string_view message);
// Length in bytes of the message at the start of a stream; npos: not known yet. Lengths over
// kMaxStreamMessageBytes are to be rejected by the caller.
std::size_t messageLength(std::string_view stream);
inline constexpr std::size_t kFrameHead = 4;  // bytes of the length in front of a message

}  // namespace topazweir::fleet
