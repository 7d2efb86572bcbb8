// Serialisation of libraft's messages, and copies of its structures allocated as libraft expects.
#pragma once

#include <string>
#include <string_view>

#include "agreement/raft_c.hpp"

namespace topazweir::agreement {

std::string writeMessage(const raft_message& message);
// False: malformed. What is allocated for `message` is owned by the library once the message has been passed
// to it. The configuration is not sent: messages that contain one get a copy of `voters`.
bool readMessage(std::string_view bytes, const raft_configuration& voters, raft_message& message);

// A copy of the bytes that the library can free; its base is null if out of memory.
raft_buffer bufferOf(std::string_view bytes);
// Copies the configuration; false: out of memory.
bool copyConfiguration(const raft_configuration& from, raft_configuration& to);

}  // namespace topazweir::agreement
