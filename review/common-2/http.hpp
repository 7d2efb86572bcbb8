// Plain HTTP/1.1 connections for the stand-ins, on the loop of play.hpp.
#pragma once

#include "play.hpp"

namespace play {

// An HTTP/1.1 connection of a stand-in, either side. `take` gets each whole message (with Content-Length or
// no body).
struct Http : Pollable {
  int socket;
  std::string in, out;
  bool gone = false;
  std::function<void(Http&, const std::string& head, const std::string& body)> take;
  explicit Http(int fd) : socket(fd) { loop().all.insert(this); }
  ~Http() override {
    loop().all.erase(this);
    if (!gone) ::close(socket);
  }
  int fd() const override { return gone ? -1 : socket; }
  short events() override { return static_cast<short>(POLLIN | (out.empty() ? 0 : POLLOUT)); }
  void end() {
    if (!std::exchange(gone, true)) ::close(socket);
  }
  void write(const std::string& text) {
    out += text;
    flush();
  }
  void flush() {
    while (!gone && !out.empty()) {
      const auto n = ::send(socket, out.data(), out.size(), MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) return end();
      out.erase(0, static_cast<std::size_t>(n));
    }
  }
  void ready(short) override {
    char chunk[16384];
    const auto n = ::recv(socket, chunk, sizeof chunk, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return end();
    if (n > 0) in.append(chunk, static_cast<std::size_t>(n));
    flush();
    serve();
  }
  void serve() {
    while (!gone) {
      const auto head = in.find("\r\n\r\n");
      if (head == std::string::npos) return;
      const auto at = in.find("Content-Length: ");
      const auto size = at < head ? static_cast<std::size_t>(std::atoi(in.c_str() + at + 16)) : 0;
      if (in.size() < head + 4 + size) return;
      const auto first = in.substr(0, head);
      const auto body = in.substr(head + 4, size);
      in.erase(0, head + 4 + size);
      take(*this, first, body);
    }
  }
};

// Connections that come to an address of its own.
struct HttpListener : Pollable {
  int port = 0, listener;
  std::vector<std::unique_ptr<Http>> peers;
  std::function<void(Http&, const std::string& head, const std::string& body)> take;
  HttpListener() : listener(listenOn(port)) { loop().all.insert(this); }
  ~HttpListener() override {
    loop().all.erase(this);
    ::close(listener);
  }
  int fd() const override { return listener; }
  short events() override { return POLLIN; }
  void ready(short) override {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    peers.push_back(std::make_unique<Http>(fd));
    peers.back()->take = [this](Http& h, const std::string& head, const std::string& body) {
      take(h, head, body);
    };
  }
};

}  // namespace play
