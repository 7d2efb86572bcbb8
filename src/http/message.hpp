// HTTP/1.1 messages: an incremental parser that works in place on a connection's input buffer, and the
// formatting of response heads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace topazweir::http {

// The kind of message that a parser reads.
enum class MessageKind { request, response };

// Limits of a message.
struct Limits {
  std::size_t head = 16 * 1024;  // bytes
  std::size_t body = 64 * 1024;  // bytes
  // Header fields. Parsed, a field takes many times the four bytes of the shortest one.
  std::size_t fields = 128;
};

// The parsed head of a message. Its members are views into the input buffer and become invalid when that is
// modified.
struct Head {
  std::string_view method, target;  // requests only
  int status = 0;                   // responses only
  bool keepAlive = true;
  std::vector<std::pair<std::string_view, std::string_view>> fields;

  // Returns the value of a header field, or nullopt if it is absent. Names are compared without regard to
  // case.
  std::optional<std::string_view> field(std::string_view name) const;
};

// Why a message is rejected.
struct Fault {
  int status = 400;  // status code of a server's response
  std::string_view why;
};

// Parses the message at the front of an input buffer that grows between calls. The progress is kept as
// offsets, so the buffer may be reallocated. The chunks of a chunked body are joined in place behind the
// head.
class Parser {
 public:
  enum class Progress { more, complete, fault };

  explicit Parser(MessageKind side, Limits limits = {}) : side_(side), limits_(limits) {}

  // Parses what has been appended to the buffer since the last call.
  Progress parse(std::string& input);
  // Tells the parser that the connection has ended. This completes a response whose body extends to the end
  // of the connection. Returns whether the message is complete.
  bool finishAtEof();
  const Fault& fault() const { return fault_; }
  bool headSeen() const { return stage_ != Stage::head; }
  // Some of the body has been parsed, even if a fault followed.
  bool bodySeen() const { return bodyEnd_ > bodyStart_; }
  // Valid once headSeen() is true, and until the buffer is modified.
  Head head(const std::string& input) const;
  std::string_view body(const std::string& input) const;
  // Removes the body parsed so far from the buffer and returns it: for streamed bodies of unlimited length.
  std::string takeBody(std::string& input);
  // Removes the message from the buffer and resets the parser for the next one.
  void next(std::string& input);
  // As next(), but this parser goes on in the same buffer: parsed messages are removed from it together, so
  // that a long row of small ones does not move the rest each time.
  void skip(std::string& input);

 private:
  enum class Stage { head, length, chunkSize, chunkData, chunkEnd, trailer, untilEnd, done, fault };
  // A range of the input buffer.
  struct Span {
    std::size_t offset = 0, size = 0;
    std::string_view in(const std::string& input) const {
      return std::string_view(input).substr(offset, size);
    }
  };

  bool parseHead(const std::string& input);
  bool parseStartLine(const std::string& input, Span line);
  bool parseField(const std::string& input, Span line);
  bool determineBodyFraming(const std::string& input);
  // Parses one element of a chunked body. Returns false if more input is needed, at the end, or after a
  // fault.
  bool parseChunkElement(std::string& input);
  // Records a fault; always returns false.
  bool fail(int status, std::string_view why);
  // Finds the line at `from`, without its CR LF. Returns nullopt if it is incomplete or longer than `maxSize`
  // bytes, which is a fault.
  std::optional<Span> findLine(const std::string& input, std::size_t from, std::size_t maxSize);

  MessageKind side_;
  Limits limits_;
  Stage stage_ = Stage::head;
  Fault fault_;
  Span method_, target_;
  int status_ = 0;
  bool http10_ = false;
  bool keepAlive_ = true;
  std::vector<std::pair<Span, Span>> fields_;
  std::size_t messageStart_ = 0;  // offset of the message; what is before it has been skipped
  std::size_t searchFrom_ = 0;    // offset at which the search for the end of the head or line continues
  std::size_t bodyStart_ = 0;     // offset of the body
  std::size_t bodyEnd_ = 0;       // offset behind the part of the body that has been parsed
  std::size_t parsedEnd_ = 0;     // offset behind all parsed input; beyond bodyEnd_ in a chunked body
  std::size_t remaining_ = 0;     // length of a body with Content-Length, or bytes still to come of the chunk
};

// The reason phrase of a status code.
std::string_view reason(int status);
// Compares ASCII text without regard to case.
bool equalIgnoringCase(std::string_view a, std::string_view b);

struct Response {
  int status = 200;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Formats the head of a response, with the Content-Length of its body. `close`: adds "Connection: close".
std::string formatHead(const Response& response, bool close);
// Formats nanoseconds as seconds with three decimals, for Retry-After. Rounds up to at least one millisecond.
std::string seconds(std::int64_t nanos);

}  // namespace topazweir::http
