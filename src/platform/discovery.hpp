// Follows discovery's list of nodes by its watch. A fault on the way keeps the last good list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "broker/log.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"
#include "platform/directory.hpp"
#include "platform/retry_pace.hpp"

namespace topazweir::platform {

// Cuts the objects out of a stream of them, however they are laid out: on one line each or indented, with
// empty lines between, cut at any byte. Holds at most one object.
class ListCutter {
 public:
  explicit ListCutter(std::size_t most) : most_(most) {}
  void add(std::string_view bytes) { text_ += bytes; }
  std::optional<std::string> next();                 // none: more is needed, or there is a fault
  std::string_view fault() const { return fault_; }  // empty: none
  bool midway() const { return depth_ > 0; }         // an object has begun

 private:
  std::size_t most_;
  std::string text_;
  std::string_view fault_;
  std::size_t read_ = 0, start_ = 0;  // looked at so far, the object's first byte
  int depth_ = 0;
  bool inText_ = false, escaped_ = false;
};

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
  void retry(std::string_view why, bool refused = false);
  void drop();
  void watchSilence(Nanos most);
  void onUp(net::Connection& connection) override;
  void onData(net::Connection& connection) override;
  void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
  void heard();
  bool takeLists();

  net::Loop& loop_;
  broker::Log& log_;
  Poco::Net::SocketAddress address_;
  std::vector<std::string> zones_;
  std::int64_t generation_;
  RetryPace pace_;
  Told told_;
  std::shared_ptr<net::Connection> connection_;
  http::Parser parser_{http::Side::response, kLimits};
  ListCutter lists_{kMostList};
  net::Loop::TimerId timer_;

  static constexpr std::size_t kMostList = 1024 * 1024;
  static constexpr http::Limits kLimits{16 * 1024, kMostList};
};

}  // namespace topazweir::platform
