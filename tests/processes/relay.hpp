// What stands between two members of a fleet: each hears behind a relay of its own, which knows the sender
// and the kind, and drops, delays, repeats or cuts what goes on, one way or both.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <random>

#include "fleet/codec.hpp"
#include "net/connection.hpp"
#include "net/datagrams.hpp"
#include "net/listener.hpp"

namespace topazweir::test {

struct Path {
  bool cut = false;
  bool untold = false;   // messages of the dissemination alone are dropped: as to and from a member before it
  bool unasked = false;  // questions for the whole register alone are
  double lost = 0, twice = 0;  // shares of datagrams
  Nanos most = 0;              // each takes a drawn time up to this: they overtake each other
};

class Relay : net::Connection::Owner {
 public:
  using Paths = std::function<Path(const std::string& from)>;  // to the member behind this relay

  // `fleet`: of the messages that are read for their sender. Others are handed on from "".
  Relay(net::Loop& loop, const std::string& front, const std::string& member, std::string fleet, Paths paths,
        std::uint64_t seed)
      : loop_(loop),
        member_(member),
        fleet_(std::move(fleet)),
        paths_(std::move(paths)),
        random_(seed),
        datagrams_(loop, Poco::Net::SocketAddress(front), [this](auto bytes, const auto&) { take(bytes); }),
        listener_(loop, Poco::Net::SocketAddress(front), 64, [this] { accept(); }) {}
  ~Relay() override {
    for (auto& stream : streams_) {
      stream.asking->close();
      if (stream.asked) stream.asked->close();
    }
  }

 private:
  struct Stream {
    std::shared_ptr<net::Connection> asking, asked;
    std::string input;
  };
  // What is to become of a message on its way.
  Path pathOf(std::string_view bytes) const {
    const auto read = fleet::decode(bytes, fleet_);
    const auto* message = std::get_if<membership::Message>(&read);
    auto path = paths_(message ? message->sender : std::string());
    if (!message) return path;
    path.cut = path.cut || (path.untold && message->kind == membership::Kind::dissemination) ||
               (path.unasked && message->kind == membership::Kind::follow);
    return path;
  }
  bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
  void take(std::string_view bytes) {
    const auto path = pathOf(bytes);
    if (path.cut || chance(path.lost)) return;
    for (int copies = chance(path.twice) ? 2 : 1; copies > 0; --copies)
      loop_.after(std::uniform_int_distribution<Nanos>(0, path.most)(random_),
                  [this, whole = std::string(bytes)] { datagrams_.send(whole, member_); });
  }
  void accept() {
    while (auto socket = listener_.accept())
      streams_.push_back({net::Connection::adopt(loop_, *socket, *this), nullptr, {}});
  }
  std::list<Stream>::iterator find(const net::Connection& c) {
    return std::find_if(streams_.begin(), streams_.end(),
                        [&](const Stream& s) { return s.asking.get() == &c || s.asked.get() == &c; });
  }
  void onData(net::Connection& c) override {
    const auto at = find(c);
    if (at == streams_.end()) return;
    const auto bytes = std::exchange(c.input(), {});
    c.resume();
    if (at->asked.get() == &c) return at->asking->write(bytes);
    at->input += bytes;
    const auto length = fleet::lengthOf(at->input);
    if (at->asked || length == std::string_view::npos || at->input.size() < fleet::kFrameHead + length)
      return;
    if (pathOf(std::string_view(at->input).substr(fleet::kFrameHead, length)).cut)
      return;  // silent: whoever asks gives up by itself
    at->asked = net::Connection::connect(loop_, member_, 1'000'000'000, *this);
  }
  void onUp(net::Connection& c) override {
    if (const auto at = find(c); at != streams_.end()) c.write(at->input);
  }
  void onEnd(net::Connection& c, net::ConnectionEnd) override {
    const auto at = find(c);
    if (at == streams_.end()) return;
    const auto stream = *at;
    streams_.erase(at);
    if (stream.asking.get() != &c) return stream.asking->closeGently();
    if (stream.asked) stream.asked->close();
  }

  net::Loop& loop_;
  Poco::Net::SocketAddress member_;
  std::string fleet_;
  Paths paths_;
  std::mt19937_64 random_;
  net::Datagrams datagrams_;
  net::Listener listener_;
  std::list<Stream> streams_;
};

}  // namespace topazweir::test
