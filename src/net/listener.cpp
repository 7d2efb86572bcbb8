#include "net/listener.hpp"

#include <Poco/Observer.h>

namespace topazweir::net {

Listener::Listener(Loop& loop, const Poco::Net::SocketAddress& address, int backlog,
                   std::function<void()> onPending)
    : loop_(loop), onPending_(std::move(onPending)) {
  socket_.bind(address, true, false);
  socket_.listen(backlog);
  socket_.setBlocking(false);
  watch(true);
}

void Listener::watch(bool on) {
  if (watching_ == on) return;
  const Poco::Observer<Listener, Poco::Net::ReadableNotification> observer(*this, &Listener::onReadable);
  on ? loop_.addEventHandler(socket_, observer) : loop_.removeEventHandler(socket_, observer);
  watching_ = on;
}

void Listener::onReadable(Poco::Net::ReadableNotification* event) {
  event->release();
  onPending_();
}

std::optional<Poco::Net::StreamSocket> Listener::accept() {
  if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return std::nullopt;
  return socket_.acceptConnection();
}

}  // namespace topazweir::net
