// Frames between aggregators and nodes: a four-byte big-endian length, a one-letter type, the payload. The
// length counts the letter and the payload.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "topazweir/aggregator.hpp"

namespace topazweir::platform {

struct Frame {
  char letter = 0;        // type: S call, C cancel, R reply, F fault
  std::string_view rest;  // payload, a view into the input
  std::size_t size = 0;   // of the whole frame with its length field, in bytes
};

// The result of reading one frame.
struct FrameRead {
  std::optional<Frame> frame;  // none and no fault: more input is needed
  bool fault = false;          // the length is zero or above the limit
};

// Reads the frame at the front of the input.
FrameRead readFrame(std::string_view input);

// A decoded reply; its views point into the input.
struct Reply {
  std::string_view id;  // of the part
  Outcome outcome = Outcome::delivered;
  std::string_view value;
};

// Decodes the payload of an `R` frame; none when it is malformed. The load report in it is not interpreted,
// so an unreadable report does not invalidate the answer that carries it.
std::optional<Reply> readReply(std::string_view rest);
// The part id of an incomplete or malformed reply at the front of the input, as far as it has arrived; empty
// if there is none.
std::string_view partIdOfBrokenReply(std::string_view input);

// Encodes the call of one part. `wait`: time left for the answer, sent in whole milliseconds, at least 1.
std::string writeCall(std::string_view partId, int shard, Nanos wait, std::string_view query);
// Encodes the cancellation of one part.
std::string writeCancel(std::string_view partId);

}  // namespace topazweir::platform
