// MessagePack encoding of the values that voters store and send.
#pragma once

#include <cstddef>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace topazweir::agreement {

// None if the bytes are truncated, of another type or followed by further bytes, or if a string in them is
// longer than `maxStringBytes`.
template <class Value>
std::optional<Value> unpack(std::string_view bytes, std::size_t maxStringBytes) {
  constexpr std::size_t kMaxArrayItems = 1 << 16;
  constexpr std::size_t kMaxDepth = 8;
  try {
    std::size_t end = 0;
    const msgpack::unpack_limit limit(kMaxArrayItems, 0, maxStringBytes, 0, 0, kMaxDepth);
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limit);
    if (end != bytes.size()) return std::nullopt;
    return handle.get().as<Value>();
  } catch (const std::exception&) {  // the library throws on malformed input
    return std::nullopt;
  }
}

template <class Value>
std::string pack(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

}  // namespace topazweir::agreement
