#include "lab/scale/drop_rule.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

#include "lab/scale/hollow_members.hpp"

namespace topazweir::lab::scale {

namespace {

int isolatedRegion = -1;  // -1: no partition
int partitionedMembers = 0;
bool ownMembersIsolated = false;  // whether the members of this process are in the isolated region

bool crossesPartition(const sockaddr* destination) {
  if (isolatedRegion < 0 || !destination || destination->sa_family != AF_INET) return false;
  const auto* address = reinterpret_cast<const sockaddr_in*>(destination);
  const int member = memberOfAddress(ntohl(address->sin_addr.s_addr));
  return member >= 0 && member < partitionedMembers &&
         (regionOf(member) == isolatedRegion) != ownMembersIsolated;
}

}  // namespace

int regionOf(int member) { return member % (2 * kRegions) / 2; }

void DropRule::isolate(int region, int ownMember, int fleetSize) {
  isolatedRegion = region;
  partitionedMembers = fleetSize;
  ownMembersIsolated = regionOf(ownMember) == region;
}
void DropRule::heal() { isolatedRegion = -1; }

}  // namespace topazweir::lab::scale

// These override the C library's functions for everything linked into this program.
extern "C" {

ssize_t sendto(int socket, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t length) {
  if (topazweir::lab::scale::crossesPartition(to)) return static_cast<ssize_t>(size);
  return ::syscall(SYS_sendto, socket, bytes, size, flags, to, length);
}

int connect(int socket, const sockaddr* to, socklen_t length) {
  if (topazweir::lab::scale::crossesPartition(to)) {
    errno = ENETUNREACH;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_connect, socket, to, length));
}

}  // extern "C"
