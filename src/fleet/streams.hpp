// Full exchanges between aggregators: a connection carries one message and gets one back.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fleet/codec.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace topazweir::fleet {

class Streams : private net::Connection::Owner {
 public:
  using Answer = std::function<std::string(std::string_view message)>;  // empty: none, it is hung up
  using Taken = std::function<void(std::string_view reply)>;

  // Throws Poco::Exception where the address can't be had.
  Streams(net::Loop& loop, const Poco::Net::SocketAddress& address, Answer answer, Taken taken);
  ~Streams() override;

  // Over kMostAsked at once it is left out: full exchanges come again.
  void ask(const Poco::Net::SocketAddress& to, std::string_view message);
  void tell(const Poco::Net::SocketAddress& to, std::string_view message);  // no reply is waited for
  std::uint64_t broken() const { return broken_; }  // ended before the message was whole
  struct Counters {
    std::uint64_t connected = 0, accepted = 0, leftOut = 0;  // connections; asked for over kMostAsked
    std::uint64_t sentBytes = 0, receivedBytes = 0;          // with their frames
  };
  const Counters& counters() const { return counters_; }

  static constexpr std::size_t kMostAsked = 16, kMostAsking = 32;  // connections
  static constexpr Nanos kTime = 5'000'000'000;                    // for an exchange

 private:
  struct Exchange {
    std::shared_ptr<net::Connection> connection;
    bool asked = false;  // from here
    bool told = false;   // and no reply comes
    Nanos since = 0;
    std::string input, question;
  };
  void accept();
  Exchange& keep(std::shared_ptr<net::Connection> connection, bool asked);
  std::size_t count(bool asked) const;
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void sweep();

  net::Loop& loop_;
  Answer answer_;
  Taken taken_;
  net::Listener listener_;
  std::map<net::Connection*, Exchange> exchanges_;
  std::uint64_t broken_ = 0;
  Counters counters_;
  net::Loop::TimerId sweepTimer_{};
};

}  // namespace topazweir::fleet
