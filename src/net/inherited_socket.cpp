#include "net/inherited_socket.hpp"

#include <Poco/Net/ServerSocketImpl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

namespace topazweir::net {

namespace {

// Poco has no public way to make a server socket from a descriptor.
class AdoptedSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  explicit AdoptedSocketImpl(int descriptor) { reset(descriptor); }
};

class AdoptedSocket : public Poco::Net::ServerSocket {
 public:
  explicit AdoptedSocket(int descriptor) : ServerSocket(new AdoptedSocketImpl(descriptor), true) {}
};

}  // namespace

std::optional<std::string> checkInheritedSocket(int descriptor) {
  const auto readOption = [&](int name, int& value) {
    socklen_t size = sizeof value;
    return ::getsockopt(descriptor, SOL_SOCKET, name, &value, &size) == 0;
  };
  int listening = 0;
  int type = 0;
  int domain = 0;
  if (!readOption(SO_ACCEPTCONN, listening))
    return std::string(errno == EBADF ? "is not open" : "is no socket");
  if (!readOption(SO_TYPE, type) || type != SOCK_STREAM || !readOption(SO_DOMAIN, domain) ||
      domain != AF_INET)
    return std::string("is no TCP socket over IPv4");
  if (listening == 0) return std::string("is no listening socket");
  return std::nullopt;
}

Poco::Net::ServerSocket adoptInheritedSocket(int descriptor) { return AdoptedSocket(descriptor); }

}  // namespace topazweir::net
