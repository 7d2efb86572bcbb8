// A call to the operators' address of a process, on the test's event loop.
#pragma once

#include <memory>
#include <string>

#include "net/connection.hpp"

namespace topazweir::test {

class OperatorCall : net::Connection::Owner {
 public:
  OperatorCall(net::Loop& loop, const std::string& to, const std::string& line) : line_(line + "\n") {
    connection_ = net::Connection::connect(loop, Poco::Net::SocketAddress(to), kConnectTimeoutNs, *this);
  }
  ~OperatorCall() override { connection_->close(); }
  bool done() const { return done_; }
  const std::string& answer() const {
    return answer_;
  }  // empty: none, for example before the process listens

 private:
  static constexpr Nanos kConnectTimeoutNs = 2'000'000'000;
  void onUp(net::Connection& c) override { c.write(line_); }
  void onData(net::Connection& c) override {
    answer_ += std::exchange(c.input(), {});
    c.resume();
  }
  void onEnd(net::Connection&, net::ConnectionEnd) override { done_ = true; }
  std::string line_, answer_;
  bool done_ = false;
  std::shared_ptr<net::Connection> connection_;
};

}  // namespace topazweir::test
