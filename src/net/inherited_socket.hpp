// A listening socket inherited as a file descriptor from the parent process.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <optional>
#include <string>

namespace topazweir::net {

// Checks that the descriptor is a listening TCP socket over IPv4. Returns the fault, or nullopt if it is one.
std::optional<std::string> checkInheritedSocket(int descriptor);

// Wraps the descriptor; the returned socket owns and closes it.
Poco::Net::ServerSocket adoptInheritedSocket(int descriptor);

}  // namespace topazweir::net
