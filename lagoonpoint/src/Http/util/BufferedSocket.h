#pragma once

#include "lagoonpoint/Core"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace lagoonpoint::internal {

/// \class Deadline
/// \ingroup Http
/// \brief A point in time by which all reads and writes of a step must finish.
class Deadline {
public:
  Deadline(const Clock &C, Time At) : Clock_(&C), At_(At) {}

  Time at() const { return At_; }
  /// \returns milliseconds left, 0 if the deadline has passed.
  int remainingMillis() const;
  /// \returns the earlier of this and \p Other.
  Deadline min(Time Other) const;

private:
  const Clock *Clock_;
  Time At_;
};

/// Result of a read, a write or a wait.
enum class IoStatus { Ready, Closed, TimedOut, Interrupted };

class BufferedSocket;

/// A second connection whose events end a wait.
struct Watch {
  /// \param OnData true if arriving data ends the wait too, not only a close
  Watch(const BufferedSocket *W = nullptr, bool OnData = false)
      : Socket_(W), OnData_(OnData) {}

  const BufferedSocket *Socket_;
  bool OnData_;
};

/// \class BufferedSocket
/// \ingroup Http
/// \brief Buffered reads and writes with deadlines on one TCP connection.
///
/// The socket is non-blocking. Each operation has its own deadline and can
/// watch a second connection and end early if that one's peer closes.
class BufferedSocket {
public:
  static constexpr std::size_t DefaultCapacity = 16 * 1024; ///< bytes
  /// Size of the operating system's buffer on each side of a streamed response;
  /// the system allocates up to twice as much. By itself it grows to several
  /// MB a connection if the reader doesn't read, too much for an entry VM of
  /// 112 MB with 160 calls. Passes on 64 MB/s at a round trip of 1 ms.
  static constexpr int SystemBufferBytes = 64 * 1024;

  explicit BufferedSocket(Poco::Net::StreamSocket Socket,
                          std::size_t Capacity = DefaultCapacity);

  /// \returns what was read and not yet consumed.
  std::string_view buffered() const;
  void consume(std::size_t Bytes);
  /// \returns true if nothing more can be read before something is consumed.
  bool full() const;

  /// Reads what has arrived, without waiting. TimedOut if nothing has.
  IoStatus fillNow();
  /// Waits for data or the end of the stream without reading.
  IoStatus waitReadable(const Deadline &Limit) const;
  /// Waits for data and reads it. After the deadline, returns a bounded number
  /// of bytes that have arrived already.
  IoStatus fill(const Deadline &Limit, Watch Watched = {});
  /// Writes all bytes.
  /// \param[out] Written incremented by the bytes handed to the operating
  /// system
  IoStatus write(std::string_view Bytes, const Deadline &Limit,
                 std::int64_t &Written, Watch Watched = {});

  /// Waits until a connection started by connectNB is established or refused.
  IoStatus waitConnected(const Deadline &Limit, Watch Watched);

  /// \returns true if data or the end of the stream can be read.
  bool readable() const;
  /// \returns true if the peer has closed its side.
  bool peerClosed() const;
  /// \returns true if the connection was reset rather than closed.
  bool failed() const { return Failed_; }
  /// Signals the end of the stream to the peer.
  void shutdownSend();
  /// Ends reading and writing. Safe while another thread waits on this socket.
  void shutdown();
  /// Closes with a reset, which the peer sees as an error.
  void reset();
  /// Limits the operating system's buffer for data to send to
  /// SystemBufferBytes.
  void limitSendBuffer();
  /// Frees the buffer if it is empty.
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
  std::size_t LateBytes_ = 0; ///< read since the deadline has passed
  bool Failed_ = false;
};

} // namespace lagoonpoint::internal
