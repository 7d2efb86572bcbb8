#include "lab/fake_grpc.hpp"

#include <Poco/Observer.h>

#include <algorithm>
#include <cstring>

namespace topazweir::lab {

namespace {

constexpr std::size_t kPrefixBytes = 5;  // a flag and a 32-bit length
constexpr Nanos kConnectTimeout = 1'000'000'000;
constexpr int kMaxStreams = 10'000;
constexpr int kWindowBytes = 1024 * 1024;

// Copies the next bytes of a text, at most `most`, and counts them in `sent`.
http2::BodyRead copyNext(const std::string& text, std::size_t& sent, char* to, std::size_t most) {
  http2::BodyRead out;
  out.size = std::min(most, text.size() - sent);
  std::memcpy(to, text.data() + sent, out.size);
  sent += out.size;
  return out;
}

// A message of zeros, 64 KiB with its prefix.
const std::string kZeroMessage = lengthPrefixed(std::string(64 * 1024 - kPrefixBytes, '\0'));

}  // namespace

std::string lengthPrefixed(const std::string& body) {
  std::string out(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(body.size() >> shift);
  return out + body;
}

FakeGrpcServer::FakeGrpcServer(net::Loop& loop, std::string name) : loop_(loop), name_(std::move(name)) {
  listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  listener_.listen();
  listener_.setBlocking(false);
  loop_.addEventHandler(listener_, Poco::Observer(*this, &FakeGrpcServer::onAccept));
}

FakeGrpcServer::~FakeGrpcServer() {
  loop_.removeEventHandler(listener_, Poco::Observer(*this, &FakeGrpcServer::onAccept));
}

void FakeGrpcServer::onAccept(Poco::Net::ReadableNotification* event) {
  event->release();
  auto peer = std::make_unique<Peer>();
  http2::Limits limits;
  limits.streams = kMaxStreams;
  limits.window = kWindowBytes;
  peer->session = http2::Session::accept(loop_, listener_.acceptConnection(), limits, *this);
  peers_[peer->session.get()] = std::move(peer);
}

FakeGrpcServer::Call* FakeGrpcServer::find(http2::Session& session, http2::StreamId id) {
  const auto peer = peers_.find(&session);
  if (peer == peers_.end()) return nullptr;
  const auto at = peer->second->calls.find(id);
  return at == peer->second->calls.end() ? nullptr : &at->second;
}

void FakeGrpcServer::onHead(http2::Session& session, http2::StreamId id, calls::Fields head, bool end) {
  ++calls_;
  auto& call = peers_.at(&session)->calls[id];
  if (const auto bytes = calls::find(head, "x-bytes"))
    call.zeros = std::stoull(std::string(*bytes)) / kZeroMessage.size() * kZeroMessage.size();
  call.open = calls::find(head, "x-open").has_value();
  if (call.open) session.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}});
  if (end) onEnd(session, id, {});
}

void FakeGrpcServer::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  if (auto* call = find(session, id)) {
    call->body.append(bytes);
    if (call->open) session.resume(id);
  }
  session.consume(id, bytes.size());
}

void FakeGrpcServer::onEnd(http2::Session& session, http2::StreamId id, calls::Fields) {
  if (auto* call = find(session, id)) {
    call->ended = true;
    if (call->open) return session.resume(id);
  }
  const auto answer = [this, &session, id] {
    if (find(session, id)) session.respond(id, {{":status", "200"}, {"content-type", "application/grpc"}});
  };
  delay > 0 ? static_cast<void>(loop_.after(delay, answer)) : answer();
}

void FakeGrpcServer::onClosed(http2::Session& session, http2::StreamId id, std::uint32_t) {
  if (const auto peer = peers_.find(&session); peer != peers_.end()) peer->second->calls.erase(id);
}

http2::BodyRead FakeGrpcServer::onReadBody(http2::Session& session, http2::StreamId id, char* to,
                                           std::size_t most) {
  auto* call = find(session, id);
  if (!call) return {0, http2::BodyRead::Then::end, {}};
  http2::BodyRead out;
  if (call->zeros > 0) {
    // `zeros` is the rest of a whole number of messages, which gives the position within the present one.
    const auto at = static_cast<std::size_t>((kZeroMessage.size() - call->zeros % kZeroMessage.size()) %
                                             kZeroMessage.size());
    out.size = std::min({most, kZeroMessage.size() - at, static_cast<std::size_t>(call->zeros)});
    std::memcpy(to, kZeroMessage.data() + at, out.size);
    call->zeros -= out.size;
    if (call->zeros > 0) return out;
  } else {
    out = copyNext(call->body, call->sent, to, most);
    if (call->sent < call->body.size()) return out;
    if (!call->ended) {
      out.then = http2::BodyRead::Then::wait;
      return out;
    }
  }
  out.then = http2::BodyRead::Then::trailers;
  out.last = {{"grpc-status", "0"}, {"x-server", name_}};
  return out;
}

void FakeGrpcServer::onGone(http2::Session& session, net::ConnectionEnd) {
  const auto at = peers_.find(&session);
  if (at == peers_.end()) return;
  // The session calls this: it must outlive the call.
  const std::shared_ptr<Peer> peer = std::move(at->second);
  peers_.erase(at);
  loop_.soon([peer] {});
}

FakeGrpcClient::FakeGrpcClient(net::Loop& loop, const std::string& address) : loop_(loop), address_(address) {
  session_ = http2::Session::connect(loop, Poco::Net::SocketAddress(address), kConnectTimeout, {}, *this);
}

void FakeGrpcClient::call(const std::string& path, const std::string& body, const calls::Fields& metadata,
                          Done done) {
  calls::Fields head = {{":method", "POST"},
                        {":scheme", "http"},
                        {":path", path},
                        {":authority", address_},
                        {"content-type", "application/grpc"},
                        {"te", "trailers"}};
  head.insert(head.end(), metadata.begin(), metadata.end());
  const auto id = session_->request(head, false);
  if (id < 0) return done({});
  openCalls_[id] = {lengthPrefixed(body), {}, 0, loop_.now(), std::move(done)};
}

http2::BodyRead FakeGrpcClient::onReadBody(http2::Session&, http2::StreamId id, char* to, std::size_t most) {
  const auto at = openCalls_.find(id);
  if (at == openCalls_.end()) return {0, http2::BodyRead::Then::end, {}};
  auto out = copyNext(at->second.request, at->second.sent, to, most);
  if (at->second.sent == at->second.request.size()) out.then = http2::BodyRead::Then::end;
  return out;
}

void FakeGrpcClient::onHead(http2::Session&, http2::StreamId id, calls::Fields head, bool end) {
  if (end) finish(id, head);
}

void FakeGrpcClient::onData(http2::Session& session, http2::StreamId id, std::string_view bytes) {
  if (const auto at = openCalls_.find(id); at != openCalls_.end()) at->second.response.append(bytes);
  session.consume(id, bytes.size());
}

void FakeGrpcClient::onEnd(http2::Session&, http2::StreamId id, calls::Fields trailers) {
  finish(id, trailers);
}
void FakeGrpcClient::onClosed(http2::Session&, http2::StreamId id, std::uint32_t) { finish(id, {}); }

void FakeGrpcClient::onGone(http2::Session&, net::ConnectionEnd) {
  while (!openCalls_.empty()) finish(openCalls_.begin()->first, {});
}

void FakeGrpcClient::finish(http2::StreamId id, const calls::Fields& trailers) {
  const auto at = openCalls_.find(id);
  if (at == openCalls_.end()) return;
  const OpenCall call = std::move(at->second);
  openCalls_.erase(at);
  Reply reply;
  if (const auto code = calls::parseStatusCode(calls::find(trailers, "grpc-status").value_or("")))
    reply.status = static_cast<int>(*code);
  reply.message = calls::find(trailers, "grpc-message").value_or("");
  reply.trailers = trailers;
  reply.body = call.response.substr(std::min(kPrefixBytes, call.response.size()));
  reply.took = loop_.now() - call.startedAt;
  call.done(reply);
}

}  // namespace topazweir::lab
