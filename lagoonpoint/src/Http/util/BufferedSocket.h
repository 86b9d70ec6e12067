#pragma once

#include "lagoonpoint/Core"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace lagoonpoint::internal {

/// \class Until
/// \ingroup Http
/// \brief A point in time by which all reads and writes of a step must be done.
class Deadline {
public:
  Deadline(const Clock &C, Time At) : Clock_(&C), At_(At) {}

  Time at() const { return At_; }
  /// \returns milliseconds left, 0 if the time has passed.
  int remainingMillis() const;
  /// \returns the earlier of this and \p Other.
  Deadline min(Time Other) const;

private:
  const Clock *Clock_;
  Time At_;
};

/// How a read or a write ended.
enum class IoStatus { Ready, Closed, TimedOut, Interrupted };

class BufferedSocket;

/// A second connection that ends a wait.
struct Watch {
  /// \param OnData also when bytes arrive on it, not only its closing
  Watch(const BufferedSocket *W = nullptr, bool OnData = false)
      : Socket_(W), OnData_(OnData) {}

  const BufferedSocket *Socket_;
  bool OnData_;
};

/// \class BufferedSocket
/// \ingroup Http
/// \brief Buffered, timed reading and writing on one TCP connection.
///
/// The socket never blocks by itself: each operation has a time limit of its
/// own, and can watch a second connection whose peer may go away meanwhile.
class BufferedSocket {
public:
  static constexpr std::size_t DefaultCapacity = 16 * 1024; ///< bytes

  explicit BufferedSocket(Poco::Net::StreamSocket Socket,
                          std::size_t Capacity = DefaultCapacity);

  /// \returns what was read and not yet consumed.
  std::string_view buffered() const;
  void consume(std::size_t Bytes);
  /// \returns true if no more can be read before something is consumed.
  bool full() const;

  /// Reads what has arrived; TimedOut if nothing has.
  IoStatus fillNow();
  /// Waits for bytes or the end of the stream, and reads nothing.
  IoStatus waitReadable(const Deadline &Limit) const;
  /// Waits for bytes and reads them.
  IoStatus fill(const Deadline &Limit, Watch Watched = {});
  /// Writes all bytes.
  /// \param[out] Written grows by the bytes handed to the operating system
  IoStatus write(std::string_view Bytes, const Deadline &Limit,
                 std::int64_t &Written, Watch Watched = {});

  /// Waits until a connection begun by connectNB is made or refused.
  IoStatus waitConnected(const Deadline &Limit, Watch Watched);

  /// \returns true if bytes or the end of the stream wait to be read.
  bool readable() const;
  /// \returns true if the peer has closed its side.
  bool peerClosed() const;
  /// \returns true if the connection was reset rather than closed.
  bool failed() const { return Failed_; }
  /// Tells the peer that nothing more will be written.
  void shutdownSend();
  /// Ends reading and writing; safe while another thread waits on this wire.
  void shutdown();
  /// Makes the closing visible to the peer as an error.
  void reset();
  /// Gives back the buffer's memory if nothing is in it.
  void releaseBuffer();

  Poco::Net::StreamSocket &streamSocket() { return Socket_; }

private:
  int fd() const;
  IoStatus wait(short Events, const Deadline &Limit, Watch Watched) const;
  int sendSome(std::string_view Bytes);

  Poco::Net::StreamSocket Socket_;
  std::size_t Capacity_;
  std::unique_ptr<char[]> Buffer_;
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
  bool Failed_ = false;
};

} // namespace lagoonpoint::internal
