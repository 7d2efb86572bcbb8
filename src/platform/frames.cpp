#include "platform/frames.hpp"

#include <algorithm>
#include <array>

namespace topazweir::platform {

namespace {

// A value has at most 64 KiB; a length above this limit means that the peer is broken.
constexpr std::size_t kMaxFrameBytes = 128 * 1024;
constexpr std::size_t kLengthBytes = 4;

std::string encodeFrame(char letter, std::string_view rest) {
  const auto size = rest.size() + 1;
  std::string out;
  out.reserve(kLengthBytes + size);
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(size >> shift & 255U);
  out += letter;
  return out += rest;
}

}  // namespace

FrameRead readFrame(std::string_view input) {
  if (input.size() < kLengthBytes) return {};
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) size = size << 8 | static_cast<unsigned char>(input[i]);
  if (size < 1 || size > kMaxFrameBytes) return {std::nullopt, true};
  if (input.size() < kLengthBytes + size) return {};
  return {Frame{input[kLengthBytes], input.substr(kLengthBytes + 1, size - 1), kLengthBytes + size}, false};
}

std::optional<Reply> readReply(std::string_view rest) {
  const auto end = rest.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  std::array<std::string_view, 3> words;  // id, status, score; the load report follows
  std::string_view line = rest.substr(0, end);
  for (auto& word : words) {
    const auto space = std::min(line.find(' '), line.size());
    if (space == 0) return std::nullopt;
    word = line.substr(0, space);
    line.remove_prefix(std::min(space + 1, line.size()));
  }
  Reply reply{words[0], Outcome::delivered, rest.substr(end + 1)};
  if (words[1] == "failed") {
    reply.outcome = Outcome::error;
  } else if (words[1] == "full") {
    reply.outcome = Outcome::rejected;
  } else if (words[1] != "done") {
    return std::nullopt;
  }
  return reply;
}

std::string_view partIdOfBrokenReply(std::string_view input) {
  if (input.size() < kLengthBytes + 1 || input[kLengthBytes] != 'R') return {};
  const auto rest = input.substr(kLengthBytes + 1);
  return rest.substr(0, std::min(rest.find(' '), rest.size()));
}

std::string writeCall(std::string_view partId, int shard, Nanos wait, std::string_view query) {
  std::string rest(partId);
  rest += ' ' + std::to_string(shard) + " d=" + std::to_string(std::max<Nanos>(1, wait / 1'000'000)) + ' ' +
          std::to_string(query.size()) + '\n';
  rest += query;
  return encodeFrame('S', rest);
}

std::string writeCancel(std::string_view partId) { return encodeFrame('C', partId); }

}  // namespace topazweir::platform
