#include "net/udp_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Observer.h>

namespace topazweir::net {

using Observer = Poco::Observer<UdpSocket, Poco::Net::ReadableNotification>;

UdpSocket::UdpSocket(Loop& loop, const Poco::Net::SocketAddress& address, ReceiveHandler onReceive)
    : loop_(loop), onReceive_(std::move(onReceive)), socket_(address, false), buffer_(kMost, '\0') {
  socket_.setBlocking(false);
  loop_.addEventHandler(socket_, Observer(*this, &UdpSocket::onReadable));
}

UdpSocket::~UdpSocket() { loop_.removeEventHandler(socket_, Observer(*this, &UdpSocket::onReadable)); }

bool UdpSocket::send(std::string_view bytes, const Poco::Net::SocketAddress& to) {
  try {
    return socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), to) == static_cast<int>(bytes.size());
  } catch (const Poco::Exception&) {  // buffer full or no route: the same as a datagram lost in transit
    return false;
  }
}

void UdpSocket::onReadable(Poco::Net::ReadableNotification* event) {
  event->release();
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    Poco::Net::SocketAddress from;
    int size = -1;
    try {
      size = socket_.receiveFrom(buffer_.data(), static_cast<int>(buffer_.size()), from);
    } catch (const Poco::Exception&) {  // an ICMP error for a datagram sent earlier
      continue;
    }
    if (size < 0) return;
    onReceive_(std::string_view(buffer_.data(), static_cast<std::size_t>(size)), from);
  }
}

}  // namespace topazweir::net
