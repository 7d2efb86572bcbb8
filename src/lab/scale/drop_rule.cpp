#include "lab/scale/drop_rule.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

#include "lab/scale/hollow.hpp"

namespace topazweir::lab::scale {

namespace {

int cutRegion = -1, cutMembers = 0;  // region: -1: none
bool inside = false;                 // this process's members

bool across(const sockaddr* to) {
  if (cutRegion < 0 || !to || to->sa_family != AF_INET) return false;
  const auto* address = reinterpret_cast<const sockaddr_in*>(to);
  const int member = memberAt(ntohl(address->sin_addr.s_addr));
  return member >= 0 && member < cutMembers && (regionOf(member) == cutRegion) != inside;
}

}  // namespace

int regionOf(int member) { return member % (2 * kRegions) / 2; }

void DropRule::cut(int region, int own, int members) {
  cutRegion = region, cutMembers = members;
  inside = regionOf(own) == region;
}
void DropRule::heal() { cutRegion = -1; }

}  // namespace topazweir::lab::scale

// In front of the C library's, for all that is linked into this program.
extern "C" {

ssize_t sendto(int socket, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t length) {
  if (topazweir::lab::scale::across(to)) return static_cast<ssize_t>(size);
  return ::syscall(SYS_sendto, socket, bytes, size, flags, to, length);
}

int connect(int socket, const sockaddr* to, socklen_t length) {
  if (topazweir::lab::scale::across(to)) {
    errno = ENETUNREACH;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_connect, socket, to, length));
}

}  // extern "C"
