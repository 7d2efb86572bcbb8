// One TCP connection on the loop: buffered input, gathered writes, one end.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "net/connection_end.hpp"
#include "net/loop.hpp"

namespace topazweir::net {

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void onUp(Connection&) {}
    virtual void onData(Connection& connection) = 0;  // there is new input()
    virtual void onFlushed(Connection&) {}            // what had to wait has been taken by the socket
    // An accepted connection's peer has left, and reading is put off: it is not ended by itself, since
    // input() and what lies unread may still count. Told again while that stands.
    virtual void onLeft(Connection&) {}
    virtual void onEnd(Connection& connection, ConnectionEnd end) = 0;
  };

  static std::shared_ptr<Connection> adopt(Loop& loop, const Poco::Net::StreamSocket& socket, Owner& owner);
  // The end is always reported later, never from within this call.
  static std::shared_ptr<Connection> connect(Loop& loop, const Poco::Net::SocketAddress& peer, Nanos timeout,
                                             Owner& owner);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool up() const { return state_ == State::up; }
  bool ended() const { return state_ == State::ended; }
  bool lingering() const { return state_ == State::lingering; }
  std::string& input() { return input_; }
  // Written in one gathered write with whatever waits already; what the socket does not take follows later.
  void write(std::string head, std::string body = {});
  std::uint64_t queued() const { return queued_; }    // bytes ever handed to write()
  std::uint64_t written() const { return written_; }  // of these, taken by the socket
  bool flushed() const { return queued_ == written_; }
  // Reads what has arrived but was not seen yet; false: there was nothing.
  bool readMore() { return receive(); }
  // The peer has closed or broken it, and input() holds the last that it sent; where reading is put off, the
  // end may stand behind what has not been read.
  bool peerLeft() const;
  // What an accepted connection brings, out of its turn (Loop::hearClients). `left`: its peer has.
  void hear(bool left);
  int fd() const { return socket_.impl()->sockfd(); }
  // To be called after input has been used up: reading may have been put off.
  void resume() {
    if (state_ == State::up && input_.size() < kMostInput) watch(true, writable_);
  }
  void close();  // at once; no onEnd
  // Writes what waits, ends the stream and lets the peer read it: unread input would turn into a reset that
  // destroys the answer on its way. No onEnd.
  void closeGently();
  // Ends it from here with a cause: onEnd is called, once.
  void end(ConnectionEnd why);

 private:
  enum class State { connecting, up, lingering, ended };
  static constexpr Nanos kLinger = 1'000'000'000, kSlowPeer = 30'000'000'000;
  static constexpr Nanos kLookBehind = 50'000'000;       // at a peer that is not read
  static constexpr std::size_t kMostInput = 256 * 1024;  // read ahead; the socket's own buffer holds the rest
  static constexpr std::size_t kMostDropped = 1024 * 1024;  // read and thrown away while lingering

  Connection(Loop& loop, Poco::Net::StreamSocket socket, Owner& owner, State state)
      : loop_(loop), socket_(std::move(socket)), owner_(&owner), state_(state) {}
  void connectTimedOut();
  void watch(bool readable, bool writable);
  void onReadable(Poco::Net::ReadableNotification* event);
  void onWritable(Poco::Net::WritableNotification* event);
  void read();
  bool receive();
  void pause();
  void lookBehind();
  bool flush();  // false: broken
  void linger();
  void release();

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  Owner* owner_;
  State state_;
  bool readable_ = false, writable_ = false;  // watched for
  bool accepted_ = false;
  std::optional<ConnectionEnd> sawEnd_;
  Loop::TimerId timer_{};
  std::string input_;
  std::deque<std::string> output_;
  std::size_t sentOfFirst_ = 0, dropped_ = 0;
  std::uint64_t queued_ = 0, written_ = 0;
};

}  // namespace topazweir::net
