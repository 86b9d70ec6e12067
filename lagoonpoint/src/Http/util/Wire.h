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
class Until {
public:
  Until(const Clock &C, Time At) : Clock_(&C), At_(At) {}

  Time at() const { return At_; }
  /// \returns milliseconds left, 0 if the time has passed.
  int millisLeft() const;
  /// \returns the earlier of this and \p Other.
  Until min(Time Other) const;

private:
  const Clock *Clock_;
  Time At_;
};

/// How a read or a write ended.
enum class WireEnd { Ready, Closed, TimedOut, Watched };

class Wire;

/// A second connection that ends a wait.
struct Watch {
  /// \param ForBytes also when bytes arrive on it, not only its closing
  Watch(const Wire *W = nullptr, bool ForBytes = false)
      : Wire_(W), ForBytes_(ForBytes) {}

  const Wire *Wire_;
  bool ForBytes_;
};

/// \class Wire
/// \ingroup Http
/// \brief Buffered, timed reading and writing on one TCP connection.
///
/// The socket never blocks by itself: each operation has a time limit of its
/// own, and can watch a second connection whose peer may go away meanwhile.
class Wire {
public:
  static constexpr std::size_t DefaultCapacity = 16 * 1024; ///< bytes

  explicit Wire(Poco::Net::StreamSocket Socket,
                std::size_t Capacity = DefaultCapacity);

  /// \returns what was read and not yet consumed.
  std::string_view buffered() const;
  void consume(std::size_t Bytes);
  /// \returns true if no more can be read before something is consumed.
  bool full() const;

  /// Reads what has arrived; TimedOut if nothing has.
  WireEnd fillNow();
  /// Waits for bytes or the end of the stream, and reads nothing.
  WireEnd waitReadable(const Until &Limit) const;
  /// Waits for bytes and reads them.
  WireEnd fill(const Until &Limit, Watch Other = {});
  /// Writes all bytes.
  /// \param[out] Written grows by the bytes handed to the operating system
  WireEnd write(std::string_view Bytes, const Until &Limit,
                std::int64_t &Written, Watch Other = {});

  /// Waits until a connection begun by connectNB is made or refused.
  WireEnd waitConnected(const Until &Limit, Watch Other);

  /// \returns true if bytes or the end of the stream wait to be read.
  bool readable() const;
  /// \returns true if the peer has closed its side.
  bool peerLeft() const;
  /// \returns true if the connection was reset rather than closed.
  bool failed() const { return Failed_; }
  /// Tells the peer that nothing more will be written.
  void shutdownSend();
  /// Ends reading and writing; safe while another thread waits on this wire.
  void shutdown();
  /// Makes the closing visible to the peer as an error.
  void reset();
  /// Gives back the buffer's memory if nothing is in it.
  void release();

  Poco::Net::StreamSocket &socket() { return Socket_; }

private:
  int fd() const;
  WireEnd wait(short Events, const Until &Limit, Watch Other) const;
  int sendSome(std::string_view Bytes);

  Poco::Net::StreamSocket Socket_;
  std::size_t Capacity_;
  std::unique_ptr<char[]> Buffer_;
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
  bool Failed_ = false;
};

} // namespace lagoonpoint::internal
