// Follows discovery's list of nodes by its watch. A fault on the way keeps the last good list.
#pragma once

#include <functional>
#include <memory>

#include "broker/log.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"
#include "platform/directory.hpp"
#include "platform/retry_pace.hpp"

namespace topazweir::platform {

class Discovery : private net::Connection::Owner {
 public:
  using Told = std::function<void(const NodeList&)>;
  Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
            std::vector<std::string> zones, std::int64_t generation, RetryPace pace, Told told);
  ~Discovery() override;
  // From now on the agent at this address is followed; what has been told so far still holds.
  void moveTo(Poco::Net::SocketAddress address);

 private:
  void connect();
  void retry(std::string_view why);
  void drop();
  void watchSilence(Nanos most);
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  bool takeLines();

  net::Loop& loop_;
  broker::Log& log_;
  Poco::Net::SocketAddress address_;
  std::vector<std::string> zones_;
  std::int64_t generation_;
  RetryPace pace_;
  Told told_;
  std::shared_ptr<net::Connection> connection_;
  http::Parser parser_{http::Side::response, kLimits};
  std::string lines_;
  net::Loop::TimerId timer_;

  static constexpr std::size_t kMostLine = 1024 * 1024;
  static constexpr http::Limits kLimits{16 * 1024, kMostLine};
};

}  // namespace topazweir::platform
