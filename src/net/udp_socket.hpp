// A non-blocking UDP socket on the event loop.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <string>
#include <string_view>

#include "net/loop.hpp"

namespace topazweir::net {

class UdpSocket {
 public:
  using ReceiveHandler = std::function<void(std::string_view bytes, const Poco::Net::SocketAddress& from)>;

  // Binds to `address`; throws Poco::Exception if that fails.
  UdpSocket(Loop& loop, const Poco::Net::SocketAddress& address, ReceiveHandler onReceive);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Returns false if the local network stack did not accept the datagram. Delivery is never guaranteed.
  bool send(std::string_view bytes, const Poco::Net::SocketAddress& to);
  Poco::Net::SocketAddress address() const { return socket_.address(); }

  // Largest payload of a datagram over IPv4.
  static constexpr std::size_t kMost = 65'507;
  // Datagrams read per readable event; further ones wait so that other events of the loop are handled.
  static constexpr int kMaxDatagramsPerEvent = 256;

 private:
  void onReadable(Poco::Net::ReadableNotification* event);

  Loop& loop_;
  ReceiveHandler onReceive_;
  Poco::Net::DatagramSocket socket_;
  std::string buffer_;
};

}  // namespace topazweir::net
