#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace topazweir::http {

namespace {

bool isTokenCharacter(char c) {
  const bool alnum = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
  return alnum || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}
char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

// Parses digits of the base. The whole text must be digits: no sign, no blanks, no trailing characters.
std::optional<std::size_t> parseNumber(std::string_view text, int base) {
  std::size_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || text.front() == '-' || error != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

// Empty lines skipped before a request: four of CR LF.
constexpr std::size_t kMaxEmptyLinesBytes = 8;
// Skipped messages of this size are removed from the buffer.
constexpr std::size_t kMaxSkippedBytes = 16 * 1024;
// Longest line with the size of a chunk and its extensions.
constexpr std::size_t kMaxChunkLineBytes = 256;

}  // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return toLower(x) == toLower(y); });
}

std::optional<std::string_view> Head::field(std::string_view name) const {
  for (const auto& [key, value] : fields)
    if (equalIgnoringCase(key, name)) return value;
  return std::nullopt;
}

bool Parser::fail(int status, std::string_view why) {
  fault_ = {status, why};
  stage_ = Stage::fault;
  return false;
}

std::optional<Parser::Span> Parser::findLine(const std::string& input, std::size_t from,
                                             std::size_t maxSize) {
  const auto end = input.find("\r\n", std::max(from, searchFrom_));
  if (end == std::string::npos ? input.size() - from > maxSize : end - from > maxSize) {
    fail(400, "a line is too long");
    return std::nullopt;
  }
  if (end == std::string::npos) {
    searchFrom_ = std::max(from, input.size() - std::min<std::size_t>(input.size(), 1));
    return std::nullopt;
  }
  searchFrom_ = 0;
  return Span{from, end - from};
}

Parser::Progress Parser::parse(std::string& input) {
  if (stage_ == Stage::head && !parseHead(input))
    return stage_ == Stage::fault ? Progress::fault : Progress::more;
  if (stage_ == Stage::length) {
    bodyEnd_ = std::min(input.size(), bodyStart_ + remaining_);
    parsedEnd_ = bodyEnd_;
    if (bodyEnd_ - bodyStart_ == remaining_) stage_ = Stage::done;
  } else if (stage_ == Stage::untilEnd) {
    bodyEnd_ = parsedEnd_ = input.size();
    if (bodyEnd_ - bodyStart_ > limits_.body) fail(413, "the body is too long");
  } else if (stage_ != Stage::done && stage_ != Stage::fault) {
    while (parseChunkElement(input)) {
    }
    // What frames the chunks is removed, so that a body in small chunks takes no more memory than its bytes.
    if (stage_ != Stage::fault && parsedEnd_ > bodyEnd_) {
      input.erase(bodyEnd_, parsedEnd_ - bodyEnd_);
      parsedEnd_ = bodyEnd_;
      searchFrom_ = 0;
    }
  }
  return stage_ == Stage::done    ? Progress::complete
         : stage_ == Stage::fault ? Progress::fault
                                  : Progress::more;
}

bool Parser::finishAtEof() {
  if (stage_ == Stage::untilEnd) stage_ = Stage::done;
  return stage_ == Stage::done;
}

bool Parser::parseHead(const std::string& input) {
  // Empty lines before a request are skipped, as RFC 9112, section 2.2, recommends.
  std::size_t start = messageStart_;
  while (input.compare(start, 2, "\r\n") == 0 && start < messageStart_ + kMaxEmptyLinesBytes) start += 2;
  const auto end = input.find("\r\n\r\n", std::max(start, searchFrom_));
  if (std::min(end, input.size()) - messageStart_ > limits_.head) return fail(431, "the head is too long");
  if (end == std::string::npos) {
    searchFrom_ = std::max<std::size_t>(messageStart_ + 3, input.size()) - 3;
    return false;
  }
  searchFrom_ = 0;
  for (std::size_t at = start; at < end + 2;) {
    const auto lineEnd = input.find("\r\n", at);
    const Span span{at, lineEnd - at};
    const auto text = span.in(input);
    // A bare CR, LF or NUL is a line end to some parsers and not to others, which allows request smuggling.
    for (const char c : text)
      if ((static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f)
        return fail(400, "a control character in the head");
    if (at == start ? !parseStartLine(input, span) : !parseField(input, span)) return false;
    at = lineEnd + 2;
  }
  bodyStart_ = bodyEnd_ = parsedEnd_ = end + 4;
  return determineBodyFraming(input);
}

bool Parser::parseStartLine(const std::string& input, Span line) {
  const auto text = line.in(input);
  const auto firstSpace = text.find(' ');
  if (firstSpace == std::string_view::npos) return fail(400, "the start line is malformed");
  std::string_view version;
  if (side_ == MessageKind::request) {
    const auto secondSpace = text.find(' ', firstSpace + 1);
    if (secondSpace == std::string_view::npos || secondSpace == firstSpace + 1 ||
        !isToken(text.substr(0, firstSpace)))
      return fail(400, "the request line is malformed");
    method_ = {line.offset, firstSpace};
    target_ = {line.offset + firstSpace + 1, secondSpace - firstSpace - 1};
    version = text.substr(secondSpace + 1);
    if (target_.in(input).front() != '/' && target_.in(input) != "*")
      return fail(400, "the request target is malformed");
  } else {
    version = text.substr(0, firstSpace);
    const auto status = parseNumber(text.substr(firstSpace + 1, 3), 10);
    const bool codeEnds =
        text.size() == firstSpace + 4 || (text.size() > firstSpace + 4 && text[firstSpace + 4] == ' ');
    if (!status || *status < 100 || *status > 599 || !codeEnds)
      return fail(400, "the status line is malformed");
    status_ = static_cast<int>(*status);
  }
  http10_ = version == "HTTP/1.0";
  if (version != "HTTP/1.1" && !http10_)
    return fail(version.substr(0, 5) == "HTTP/" ? 505 : 400, "the protocol's version is not supported");
  return true;
}

bool Parser::parseField(const std::string& input, Span line) {
  const auto text = line.in(input);
  const auto colon = text.find(':');
  // A blank before the colon and a folded line are rejected, since parsers disagree on their meaning.
  if (colon == std::string_view::npos || !isToken(text.substr(0, colon)))
    return fail(400, "a field is malformed");
  if (fields_.size() == limits_.fields) return fail(431, "too many header fields");
  const auto value = trim(text.substr(colon + 1));
  const auto at = value.empty() ? line.offset + colon
                                : line.offset + static_cast<std::size_t>(value.data() - text.data());
  fields_.push_back({Span{line.offset, colon}, Span{at, value.size()}});
  return true;
}

// Determines how the body is delimited. Guards against request smuggling: a message whose length two parsers
// could read differently, because it has two lengths or both kinds of framing, is rejected.
bool Parser::determineBodyFraming(const std::string& input) {
  std::optional<std::size_t> length;
  bool chunked = false;
  bool close = false;
  bool keepAlive = false;
  bool hostSeen = false;
  for (const auto& [key, value] : fields_) {
    const auto name = key.in(input);
    const auto text = value.in(input);
    if (equalIgnoringCase(name, "Content-Length")) {
      if (length) return fail(400, "Content-Length is given twice");
      length = parseNumber(text, 10);
      if (!length) return fail(400, "Content-Length is malformed");
    } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
      if (chunked || !equalIgnoringCase(text, "chunked") || http10_)
        return fail(400, "Transfer-Encoding is not supported");
      chunked = true;
    } else if (equalIgnoringCase(name, "Connection")) {
      for (std::string_view rest = text; !rest.empty();) {
        const auto comma = std::min(rest.find(','), rest.size());
        const auto option = trim(rest.substr(0, comma));
        close = close || equalIgnoringCase(option, "close");
        keepAlive = keepAlive || equalIgnoringCase(option, "keep-alive");
        rest.remove_prefix(std::min(comma + 1, rest.size()));
      }
    } else if (equalIgnoringCase(name, "Host")) {
      if (hostSeen) return fail(400, "Host is given twice");
      hostSeen = true;
    }
  }
  if (length && chunked) return fail(400, "Content-Length beside Transfer-Encoding");
  if (side_ == MessageKind::request && !hostSeen && !http10_) return fail(400, "Host is missing");
  keepAlive_ = !close && (!http10_ || keepAlive);
  if (length && *length > limits_.body) return fail(413, "the body is too long");
  remaining_ = length.value_or(0);
  const bool noBody = status_ == 204 || status_ == 304 || (status_ >= 100 && status_ < 200);
  if (chunked) {
    stage_ = Stage::chunkSize;
  } else if (side_ == MessageKind::response && !length && !noBody) {
    stage_ = Stage::untilEnd;
    keepAlive_ = false;
  } else {
    if (noBody) remaining_ = 0;
    stage_ = Stage::length;
  }
  return true;
}

bool Parser::parseChunkElement(std::string& input) {
  if (stage_ == Stage::chunkSize) {
    const auto found = findLine(input, parsedEnd_, kMaxChunkLineBytes);
    if (!found) return false;
    const auto text = found->in(input);
    const auto size = parseNumber(trim(text.substr(0, text.find(';'))), 16);
    if (!size || text.find('\n') != std::string_view::npos) return fail(400, "a chunk's size is malformed");
    if (*size > limits_.body - std::min(limits_.body, bodyEnd_ - bodyStart_))
      return fail(413, "the body is too long");
    parsedEnd_ = found->offset + found->size + 2;
    remaining_ = *size;
    stage_ = *size == 0 ? Stage::trailer : Stage::chunkData;
  } else if (stage_ == Stage::chunkData) {
    const auto count = std::min(remaining_, input.size() - parsedEnd_);
    if (parsedEnd_ != bodyEnd_)
      std::copy(input.begin() + static_cast<std::ptrdiff_t>(parsedEnd_),
                input.begin() + static_cast<std::ptrdiff_t>(parsedEnd_ + count),
                input.begin() + static_cast<std::ptrdiff_t>(bodyEnd_));
    parsedEnd_ += count;
    bodyEnd_ += count;
    remaining_ -= count;
    if (remaining_ > 0) return false;
    stage_ = Stage::chunkEnd;
  } else if (stage_ == Stage::chunkEnd) {
    if (input.size() - parsedEnd_ < 2) return false;
    if (input.compare(parsedEnd_, 2, "\r\n") != 0) return fail(400, "a chunk's end is malformed");
    parsedEnd_ += 2;
    stage_ = Stage::chunkSize;
  } else if (stage_ == Stage::trailer) {
    const auto found = findLine(input, parsedEnd_, limits_.head);
    if (!found) return false;
    parsedEnd_ = found->offset + found->size + 2;
    if (found->size == 0) stage_ = Stage::done;
  }
  return stage_ != Stage::done;
}

Head Parser::head(const std::string& input) const {
  Head head;
  head.method = method_.in(input);
  head.target = target_.in(input);
  head.status = status_;
  head.keepAlive = keepAlive_;
  head.fields.reserve(fields_.size());
  for (const auto& [key, value] : fields_) head.fields.emplace_back(key.in(input), value.in(input));
  return head;
}

std::string_view Parser::body(const std::string& input) const {
  return std::string_view(input).substr(bodyStart_, bodyEnd_ - bodyStart_);
}

std::string Parser::takeBody(std::string& input) {
  std::string taken(body(input));
  input.erase(bodyStart_, parsedEnd_ - bodyStart_);
  bodyEnd_ = parsedEnd_ = bodyStart_;
  searchFrom_ = 0;
  return taken;
}

void Parser::next(std::string& input) {
  input.erase(0, parsedEnd_);
  *this = Parser(side_, limits_);
}

void Parser::skip(std::string& input) {
  const auto skipped = parsedEnd_;
  if (skipped == input.size() || skipped >= kMaxSkippedBytes) return next(input);
  *this = Parser(side_, limits_);
  messageStart_ = skipped;
}

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 406:
      return "Not Acceptable";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

std::string formatHead(const Response& response, bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + ' ';
  out += reason(response.status);
  out += "\r\nContent-Length: " + std::to_string(response.body.size());
  if (!response.contentType.empty()) out += "\r\nContent-Type: " + response.contentType;
  for (const auto& [name, value] : response.fields) out += "\r\n" + name + ": " + value;
  if (close) out += "\r\nConnection: close";
  out += "\r\n\r\n";
  return out;
}

std::string seconds(std::int64_t nanos) {
  std::array<char, 32> text{};
  const auto millis = std::max<std::int64_t>(1, (nanos + 999'999) / 1'000'000);
  std::snprintf(text.data(), text.size(), "%lld.%03lld", static_cast<long long>(millis / 1000),
                static_cast<long long>(millis % 1000));
  return text.data();
}

}  // namespace topazweir::http
