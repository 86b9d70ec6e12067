#pragma once

#include "lagoonpoint/src/Http/util/BufferedSocket.h"
#include "lagoonpoint/src/Http/util/HeadParser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// Result of one step of reading a body.
enum class BodyStatus {
  Data,        ///< bytes of the body
  Complete,    ///< the body has ended as framed
  Truncated,   ///< the connection closed before the end
  TimedOut,    ///< the deadline passed
  Interrupted, ///< an event on the watched connection ended the wait
  Malformed,   ///< invalid chunk framing
};

/// \returns the bytes encoded as one chunk of a chunked body.
/// \ingroup Http
std::string encodeChunk(std::string_view Bytes);

/// \class BodyReader
/// \ingroup Http
/// \brief Reads one message body and distinguishes a complete from a truncated
/// one.
///
/// POCO's body streams report a truncated body as complete. This class
/// therefore counts the bytes and requires the last chunk.
class BodyReader {
public:
  BodyReader(BufferedSocket &In, Framing Body);

  /// Reads the next part of the body.
  /// \param[out] Data valid until the next call
  BodyStatus next(std::string_view &Data, const Deadline &Limit,
                  Watch Watched = {});
  /// \returns true if next() has returned Complete for a framed body, or there
  /// is no body. Exactly the body's bytes are then consumed, so that the
  /// connection may be read further.
  bool complete() const { return atEnd() && ReturnedBytes_ == 0; }
  /// \returns whether all bytes of the body were returned. The next call of
  /// next() then doesn't wait.
  bool atEnd() const { return State_ == State::Done; }

private:
  enum class State { Data, ChunkSize, ChunkEnd, Trailer, UntilClose, Done };

  BodyStatus takeData(std::string_view &Data);
  BodyStatus takeUntilClose(std::string_view &Data);
  BodyStatus statusOnClose() const;
  BodyStatus parseLine();
  BodyStatus parseChunkSize(std::string_view Line);
  void consumeReturned();

  BufferedSocket &In_;
  State State_;
  bool Chunked_;
  std::int64_t Remaining_; ///< bytes left of the body or the current chunk
  std::size_t ReturnedBytes_ = 0; ///< size of the data returned last
  std::size_t TrailerBytes_ = 0;  ///< read so far
};

} // namespace lagoonpoint::internal
