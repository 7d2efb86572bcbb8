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

class Discovery {
 public:
  using Told = std::function<void(const NodeList&)>;
  Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
            std::vector<std::string> zones, std::int64_t generation, RetryPace pace, Told told);
  ~Discovery();
  // From now on the agent at this address is followed; what has been told so far still holds.
  void moveTo(Poco::Net::SocketAddress address);

 private:
  // One request for the list and, once it has been answered, the watch: owner of its connection and timer. It
  // ends by being destroyed, in Discovery::ended, won or drop.
  class Call : net::Connection::Owner {
   public:
    explicit Call(Discovery& discovery);
    ~Call() override;
    void waitForWord(Nanos most);  // longer is a silence
    bool answered() const { return answered_; }
    void setAnswered() { answered_ = true; }

   private:
    struct Fault {
      std::string why;
      bool refused = false;
    };
    void onUp(net::Connection& connection) override;
    void onData(net::Connection& connection) override;
    void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
    std::optional<Fault> take(std::string& input);
    std::optional<Fault> takeLists();

    Discovery& discovery_;
    http::Parser parser_{http::Side::response, kLimits};
    ListCutter lists_{kMostList};
    bool answered_ = false;  // with a whole list, or the word that there is none
    net::Loop::TimerId timer_;
    std::shared_ptr<net::Connection> connection_;
  };

  void drop();
  void callAfter(Nanos wait);
  void heard(Call& call);
  void won(Call& call);
  void told(Call& call, NodeList list);
  void silent(Call& call);
  void ended(const Call& call, std::string_view why, bool refused = false);

  net::Loop& loop_;
  broker::Log& log_;
  Poco::Net::SocketAddress address_;
  std::vector<std::string> zones_;
  std::int64_t generation_;
  RetryPace pace_;
  Told told_;
  // The call that the pace times, later the watch; and an older one that keeps its place in discovery's queue
  // until one of the two is answered.
  std::unique_ptr<Call> call_, kept_;
  net::Loop::TimerId timer_;  // to the next call

  static constexpr std::size_t kMostList = 1024 * 1024;
  static constexpr http::Limits kLimits{16 * 1024, kMostList};
};

}  // namespace topazweir::platform
