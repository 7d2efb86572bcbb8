// A non-blocking TCP connection on the event loop, with buffered input and gathered writes.
#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "memory/budget.hpp"
#include "net/connection_end.hpp"
#include "net/loop.hpp"

namespace topazweir::net {

// The owner is notified of each event. It must outlive the connection unless it has called close() or
// closeGracefully(). Not thread-safe: all calls are made on the loop's thread.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A connection made by connect() is established.
    virtual void onUp(Connection&) {}
    // input() has received more bytes.
    virtual void onData(Connection& connection) = 0;
    // Output that the socket did not accept at once has now been written in full.
    virtual void onFlushed(Connection&) {}
    // The peer of an accepted connection has closed it while reading is paused. The connection is not closed
    // automatically, since input() and unread bytes may still matter. Called repeatedly while this holds.
    virtual void onPeerClosedWhilePaused(Connection&) {}
    // The connection has ended; called at most once.
    virtual void onEnd(Connection& connection, ConnectionEnd end) = 0;
  };

  // Takes over an accepted socket.
  static std::shared_ptr<Connection> adopt(Loop& loop, const Poco::Net::StreamSocket& socket, Owner& owner);
  // Starts connecting to `peer`. A failure is always reported from the loop, never from within this call.
  static std::shared_ptr<Connection> connect(Loop& loop, const Poco::Net::SocketAddress& peer, Nanos timeout,
                                             Owner& owner);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool up() const { return state_ == State::up; }
  bool ended() const { return state_ == State::ended; }
  bool lingering() const { return state_ == State::lingering; }
  // Bytes received and not consumed yet; the owner erases what it has consumed.
  std::string& input() { return input_; }
  // Queues both pieces and writes them, with all earlier output, in one gathered write. What the socket does
  // not accept now is written later.
  void write(std::string head, std::string body = {});
  std::uint64_t queued() const { return queued_; }    // total bytes passed to write()
  std::uint64_t written() const { return written_; }  // of these, bytes accepted by the socket
  bool flushed() const { return queued_ == written_; }
  // Reads bytes that have arrived but were not read yet. Returns false if there were none.
  bool readAvailable() { return receive(); }
  // Whether the last read found nothing more to read. Otherwise bytes, or the peer's close, are still behind
  // what has been read, and the loop will report them.
  bool drained() const { return drained_; }
  // When the socket was last found empty, or the connection was accepted. The peer's close is not older.
  Nanos lastDrainedAt() const { return lastDrainedAt_; }
  // Drops the unconsumed input and frees its memory.
  void discardInput();
  // Reads no further while this much input is unconsumed, and even less while Loop::buffers() is full. For
  // owners that consume any piece of it.
  void limitInput(std::size_t bytes) { maxInput_ = bytes; }
  // Drops the unconsumed input and all that is still received: the owner is told of the end alone.
  void startDiscarding();
  // True if the peer has closed or reset the connection and input() holds its last bytes. While reading is
  // paused, unread bytes may still precede the end of the stream.
  bool hasPeerClosed() const;
  // Handles readiness of an accepted connection found by Loop::pollClientsIfStale, ahead of its own event.
  // `peerClosed`: the peer has closed or reset the connection.
  void handlePolledInput(bool peerClosed);
  int fd() const { return socket_.impl()->sockfd(); }
  // The peer's address, for log lines.
  std::string peerName() const;
  // Bytes that this connection buffers in both directions; they count against Loop::buffers().
  std::size_t bufferedBytes() const { return buffered_.bytes(); }
  // To be called after input() has been consumed: resumes reading if it was paused at the input limit.
  void resume();
  // Closes the socket at once, without onEnd.
  void close();
  // Graceful shutdown without onEnd: writes the queued output, half-closes the stream and lingers until the
  // peer has read it. Closing over unread input would send a reset, which can destroy an answer in transit.
  void closeGracefully();
  // Closes the socket and reports `why` through onEnd, once.
  void end(ConnectionEnd why);

 private:
  enum class State { connecting, up, lingering, ended };
  // Longest linger for the peer to close, once all output has been written.
  static constexpr Nanos kLingerTimeoutNs = 1'000'000'000;
  // Longest linger while output is still queued: gives a slow reader time to read the whole answer.
  static constexpr Nanos kSlowReaderTimeoutNs = 30'000'000'000;
  // How often the peer is checked for a close while reading is paused.
  static constexpr Nanos kPausedCheckIntervalNs = 50'000'000;
  // Reading pauses at this much unconsumed input; the rest stays in the socket's own buffer.
  static constexpr std::size_t kMaxInputBytes = 256 * 1024;
  // Read from an accepted connection at once, so that a peer that sends at full speed does not occupy the
  // loop.
  static constexpr std::size_t kMaxReadBytes = 64 * 1024;
  // Read and discarded at once. More than is kept, so that the close behind it is seen soon.
  static constexpr std::size_t kMaxDiscardedReadBytes = 1024 * 1024;
  // Input of a connection with limitInput() while the buffers are full.
  static constexpr std::size_t kMaxInputWhenFullBytes = 4 * 1024;
  // Input capacity that a connection keeps although its input needs less.
  static constexpr std::size_t kKeptInputBytes = 4 * 1024;
  // Bytes read and discarded while lingering; after these the socket is no longer read.
  static constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;

  Connection(Loop& loop, Poco::Net::StreamSocket socket, Owner& owner, State state)
      : loop_(loop), socket_(std::move(socket)), owner_(&owner), state_(state), buffered_(&loop.buffers()) {}
  void onConnectTimeout();
  void watch(bool readable, bool writable);
  void onReadable(Poco::Net::ReadableNotification* event);
  void onWritable(Poco::Net::WritableNotification* event);
  void read();
  bool receive();
  void receiveAndDiscard();
  std::size_t maxInput() const;
  void pauseReading();
  void checkPausedPeer();
  bool flush();  // returns false if the connection is broken
  void linger();
  void release();
  // Notes the end of the stream, or that the socket holds nothing more.
  void checkDrained();
  // Frees input capacity that is no longer needed, and updates bufferedBytes().
  void accountBuffers();

  Loop& loop_;
  Poco::Net::StreamSocket socket_;
  Owner* owner_;
  State state_;
  bool readable_ = false;  // registered for readable events
  bool writable_ = false;  // registered for writable events
  std::size_t maxInput_ = kMaxInputBytes;
  bool accepted_ = false;
  bool drained_ = true;
  Nanos lastDrainedAt_ = 0;
  bool discarding_ = false;
  std::optional<ConnectionEnd> receivedEnd_;  // end of the stream, as seen by the last read
  Loop::TimerId timer_{};
  std::string input_;
  std::deque<std::string> output_;
  std::size_t sentOfFirst_ = 0;  // bytes of output_.front() that have been written
  std::size_t discarded_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t written_ = 0;
  memory::Charge buffered_;
};

}  // namespace topazweir::net
