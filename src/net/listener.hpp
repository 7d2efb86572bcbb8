// A listening TCP socket on the event loop. It reports pending connections; the owner calls accept().
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <optional>

#include "net/loop.hpp"

namespace topazweir::net {

class Listener {
 public:
  // Binds and listens; throws Poco::Exception if that fails. The port is not shared with another process,
  // which would receive half of the connections. `onPending` is called while connections may be pending,
  // until watch(false) or until accept() has returned all of them.
  Listener(Loop& loop, const Poco::Net::SocketAddress& address, int backlog, std::function<void()> onPending);
  ~Listener() { watch(false); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Turns the reporting of pending connections on or off.
  void watch(bool on);
  // Returns nullopt if no connection is pending. Throws Poco::Exception when out of descriptors.
  std::optional<Poco::Net::StreamSocket> accept();
  Poco::Net::SocketAddress address() const { return socket_.address(); }

 private:
  void onReadable(Poco::Net::ReadableNotification* event);

  Loop& loop_;
  std::function<void()> onPending_;
  Poco::Net::ServerSocket socket_;
  bool watching_ = false;
};

}  // namespace topazweir::net
