// Follows discovery's list of nodes with a watch (a response that stays open and carries updates). On any
// failure the last good list stays in force.
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
#include "platform/discovery_retry_policy.hpp"

namespace topazweir::platform {

// Splits a byte stream into its JSON objects, whatever their layout (one per line, indented, with empty lines
// between) and wherever reads cut them. Buffers at most one object, of up to `maxBytes`.
class JsonObjectSplitter {
 public:
  explicit JsonObjectSplitter(std::size_t maxBytes) : maxBytes_(maxBytes) {}
  void add(std::string_view bytes) { buffer_ += bytes; }
  // The next complete object; none: more input is needed, or there is a fault.
  std::optional<std::string> next();
  std::string_view fault() const { return fault_; }  // empty: none
  bool insideObject() const { return depth_ > 0; }   // an object has begun and is incomplete

 private:
  std::size_t maxBytes_;
  std::string buffer_;
  std::string_view fault_;
  std::size_t scanned_ = 0;      // bytes of the buffer scanned so far
  std::size_t objectStart_ = 0;  // offset of the current object's first byte
  int depth_ = 0;
  bool inString_ = false;
  bool escaped_ = false;
};

// Client of the discovery service: requests the list, keeps the watch open, and retries with back-off and a
// hedged request.
class Discovery {
 public:
  using OnList = std::function<void(const NodeList&)>;
  // Connects at once. `generation`: of the list that is known already, 0 for none. `onList` is called with
  // each list that arrives.
  Discovery(net::Loop& loop, broker::Log& log, Poco::Net::SocketAddress address,
            std::vector<std::string> zones, std::int64_t generation, DiscoveryRetryPolicy pace,
            OnList onList);
  ~Discovery();
  // Follows the agent at this address from now on; the lists received so far stay in force.
  void moveTo(Poco::Net::SocketAddress address);

 private:
  // One request for the list which, once answered, becomes the watch. Owns its connection and its timer. It
  // is destroyed by Discovery::onFailure, promote or closeAll.
  class WatchRequest : net::Connection::Owner {
   public:
    explicit WatchRequest(Discovery& discovery);
    ~WatchRequest() override;
    // Restarts the timer that ends the request, or hedges it, when no data arrives for `timeout`.
    void startTimeout(Nanos timeout);
    bool answered() const { return answered_; }
    void setAnswered() { answered_ = true; }

   private:
    struct Failure {
      std::string why;
      bool refused = false;  // discovery itself answered with an error status
    };
    void onUp(net::Connection& connection) override;
    void onData(net::Connection& connection) override;
    void onEnd(net::Connection& connection, net::ConnectionEnd end) override;
    std::optional<Failure> consume(std::string& input);
    std::optional<Failure> consumeLists();

    Discovery& discovery_;
    http::Parser parser_{http::MessageKind::response, kHttpLimits};
    JsonObjectSplitter lists_{kMaxListBytes};
    bool answered_ = false;  // with a whole list, or with whitespace that says there is no newer one
    net::Loop::TimerId timer_;
    std::shared_ptr<net::Connection> connection_;
  };

  void closeAll();
  void requestAfter(Nanos wait);
  void onActivity(WatchRequest& request);
  void promote(WatchRequest& request);
  void onListReceived(WatchRequest& request, NodeList list);
  void onTimeout(WatchRequest& request);
  void onFailure(const WatchRequest& request, std::string_view why, bool refused = false);

  net::Loop& loop_;
  broker::Log& log_;
  Poco::Net::SocketAddress address_;
  std::vector<std::string> zones_;
  std::int64_t generation_;
  DiscoveryRetryPolicy pace_;
  OnList onList_;
  std::unique_ptr<WatchRequest> current_;  // the latest request, later the watch
  // An older request that keeps its place in discovery's queue until one of the two is answered.
  std::unique_ptr<WatchRequest> older_;
  net::Loop::TimerId retryTimer_;  // to the next request

  static constexpr std::size_t kMaxListBytes = 1024 * 1024;
  static constexpr http::Limits kHttpLimits{16 * 1024, kMaxListBytes};
};

}  // namespace topazweir::platform
