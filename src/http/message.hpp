// HTTP/1.1 messages: a parser that works in place on the connection's input, and the writing of heads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace topazweir::http {

enum class Side { request, response };

struct Limits {
  std::size_t head = 16 * 1024;
  std::size_t body = 64 * 1024;
};

// Views into the input; they hold until that is touched.
struct Head {
  std::string_view method, target;  // of a request
  int status = 0;                   // of a response
  bool keepAlive = true;
  std::vector<std::pair<std::string_view, std::string_view>> fields;

  // The value of a field, by its name in any case; none when absent.
  std::optional<std::string_view> field(std::string_view name) const;
};

struct Fault {
  int status = 400;  // what a server answers to it
  std::string_view why;
};

// Reads one message at the front of a growing input. It remembers how far it has come as offsets, so the
// input may move. A chunked body is joined in place behind the head.
class Parser {
 public:
  enum class Progress { more, complete, fault };

  explicit Parser(Side side, Limits limits = {}) : side_(side), limits_(limits) {}

  Progress parse(std::string& input);
  // The input has ended: completes a response whose body lasts until then.
  bool finishAtEnd();
  const Fault& fault() const { return fault_; }
  bool headSeen() const { return stage_ != Stage::head; }
  bool bodySeen() const { return bodyEnd_ > bodyAt_; }  // some of it, be it before a fault
  // Valid once the head has been seen, until the input is touched.
  Head head(const std::string& input) const;
  std::string_view body(const std::string& input) const;
  // Cuts what has come of the body out of the input: for bodies without an end.
  std::string takeBody(std::string& input);
  // Drops the message from the input and starts anew.
  void next(std::string& input);

 private:
  enum class Stage { head, length, chunkSize, chunkData, chunkEnd, trailer, untilEnd, done, fault };
  struct Span {
    std::size_t at = 0, size = 0;
    std::string_view in(const std::string& input) const { return std::string_view(input).substr(at, size); }
  };

  bool parseHead(const std::string& input);
  bool parseStartLine(const std::string& input, Span line);
  bool parseField(const std::string& input, Span line);
  bool chooseBody(const std::string& input);
  bool parseChunks(std::string& input);  // false: needs more, or a fault
  bool fail(int status, std::string_view why);
  std::optional<Span> line(const std::string& input, std::size_t from, std::size_t most);

  Side side_;
  Limits limits_;
  Stage stage_ = Stage::head;
  Fault fault_;
  Span method_, target_;
  int status_ = 0;
  bool http10_ = false, keepAlive_ = true;
  std::vector<std::pair<Span, Span>> fields_;
  std::size_t searched_ = 0;  // for the end of the head or of a line
  std::size_t bodyAt_ = 0;    // the body starts here ...
  std::size_t bodyEnd_ = 0;   // ... and what has come of it ends here
  std::size_t read_ = 0;      // parsed so far: behind bodyEnd_ where chunks are being joined
  std::size_t left_ = 0;      // of the body or of the chunk
};

std::string_view reason(int status);
bool equalFold(std::string_view a, std::string_view b);

struct Response {
  int status = 200;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
};

// The head of a response with such a body.
std::string writeHead(const Response& response, bool close);
// Seconds with decimals, for Retry-After; at least a millisecond.
std::string seconds(std::int64_t nanos);

}  // namespace topazweir::http
