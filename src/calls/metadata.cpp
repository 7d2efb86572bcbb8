#include "calls/metadata.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "calls/timeout.hpp"

namespace topazweir::calls {

namespace {

constexpr std::string_view kPushbackField = "grpc-retry-pushback-ms";
constexpr std::string_view kPreviousAttemptsField = "grpc-previous-rpc-attempts";
constexpr std::string_view kTimeoutField = "grpc-timeout";

// Connection-specific fields, which must not be forwarded (RFC 9113 section 8.2.2).
bool hopByHop(std::string_view name) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade", "te"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

}  // namespace

std::size_t sizeOf(const Fields& fields) {
  std::size_t sum = fields.capacity() * sizeof(Field);
  for (const auto& field : fields) sum += field.name.size() + field.value.size();
  return sum;
}

std::optional<std::string_view> find(const Fields& fields, std::string_view name) {
  for (const auto& f : fields)
    if (f.name == name) return f.value;
  return std::nullopt;
}

bool isGrpc(const Fields& head) {
  constexpr std::string_view kType = "application/grpc";
  const auto type = find(head, "content-type").value_or("");
  if (type.substr(0, kType.size()) != kType) return false;
  return type.size() == kType.size() || type[kType.size()] == '+' || type[kType.size()] == ';';
}

std::optional<Path> parsePath(std::string_view path) {
  if (path.empty() || path.front() != '/') return std::nullopt;
  path.remove_prefix(1);
  const auto slash = path.rfind('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == path.size()) return std::nullopt;
  const Path out{path.substr(0, slash), path.substr(slash + 1)};
  for (const char c : path)
    if (c <= ' ' || c > '~') return std::nullopt;
  return out;
}

std::optional<Refusal> validateRequest(const Fields& request) {
  if (!isGrpc(request)) return Refusal{415, Code::internal, "the content type is not application/grpc"};
  if (find(request, ":method") != "POST") return Refusal{405, Code::internal, "calls are sent as POST"};
  if (!parsePath(find(request, ":path").value_or("")))
    return Refusal{200, Code::unimplemented, "the path is not /Service/Method"};
  if (const auto timeout = find(request, kTimeoutField); timeout && !parseTimeout(*timeout))
    return Refusal{200, Code::internal, "grpc-timeout is malformed"};
  if (const auto te = find(request, "te"); !te || *te != "trailers")
    return Refusal{200, Code::internal, "te: trailers is missing: some hop drops trailers"};
  return std::nullopt;
}

Fields toBackend(const Fields& request, std::string_view authority, int attempt, Nanos left) {
  const auto given = [&](std::string_view name) { return std::string(find(request, name).value_or("")); };
  Fields out;
  out.reserve(request.size() + 3);
  out.push_back({":method", "POST"});
  out.push_back({":scheme", "http"});
  out.push_back({":path", given(":path")});
  const auto name = given(":authority");
  out.push_back({":authority", name.empty() ? std::string(authority) : name});
  out.push_back({"te", "trailers"});
  out.push_back({std::string(kTimeoutField), formatTimeout(left)});
  // Attempts made by the client or an earlier hop are added to this hop's.
  int before = 0;
  if (const auto told = find(request, kPreviousAttemptsField))
    std::from_chars(told->data(), told->data() + told->size(), before);
  before = std::clamp(before, 0, 1'000'000);
  if (before + attempt > 0)
    out.push_back({std::string(kPreviousAttemptsField), std::to_string(before + attempt)});
  for (const auto& f : request)
    if (f.name.front() != ':' && !hopByHop(f.name) && f.name != kTimeoutField &&
        f.name != kPreviousAttemptsField)
      out.push_back(f);
  return out;
}

Fields toClient(const Fields& response) {
  Fields out;
  out.reserve(response.size());
  for (const auto& f : response)
    if (!hopByHop(f.name)) out.push_back(f);
  return out;
}

std::string encodeMessage(std::string_view words) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : words) {
    const auto byte = static_cast<unsigned char>(c);
    if (c >= ' ' && c <= '~' && c != '%') {
      out += c;
    } else {
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
  }
  return out;
}

Pushback parsePushback(const Fields& trailers) {
  const auto text = find(trailers, kPushbackField);
  if (!text) return {};
  Nanos millis = -1;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), millis);
  const bool whole = error == std::errc{} && end == text->data() + text->size();
  if (!whole || millis < 0 || millis > 24 * 3600 * 1000) return {true, true, 0};
  return {true, false, millis * 1'000'000};
}

Field writePushback(Nanos wait) {
  return {std::string(kPushbackField), std::to_string((wait + 999'999) / 1'000'000)};
}

Fields makeStatusTrailers(Code code, std::string_view words, std::optional<Nanos> retryAfter) {
  Fields out{{"grpc-status", std::to_string(static_cast<int>(code))}};
  if (!words.empty()) out.push_back({"grpc-message", encodeMessage(words)});
  if (retryAfter) out.push_back(writePushback(*retryAfter));
  return out;
}

}  // namespace topazweir::calls
