#pragma once

#include "lagoonpoint/src/Http/util/BufferedSocket.h"
#include "lagoonpoint/src/Http/util/HeadParser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// What the next step of reading a body gave.
enum class BodyStatus {
  Data,        ///< bytes of the body
  Complete,    ///< the body has ended as its framing says
  Truncated,   ///< connection closed before that
  TimedOut,    ///< time limit passed
  Interrupted, ///< the watched connection ended the wait
  Malformed,   ///< broken chunk framing
};

/// \returns the bytes as one chunk of a chunked body.
/// \ingroup Http
std::string encodeChunk(std::string_view Bytes);

/// \class BodyReader
/// \ingroup Http
/// \brief Reads one message's body and tells a whole one from a cut one.
///
/// POCO's body streams report a cut body as a complete one, so the bytes are
/// counted here and the last chunk is looked for.
class BodyReader {
public:
  BodyReader(BufferedSocket &In, Framing Body);

  /// Reads on.
  /// \param[out] Piece valid until the next call
  BodyStatus next(std::string_view &Data, const Deadline &Limit,
                  Watch Watched = {});
  /// \returns true once Whole was returned, or if there is no body.
  bool complete() const { return State_ == State::Done; }

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
  std::int64_t Remaining_;        ///< bytes of the body or of the chunk
  std::size_t ReturnedBytes_ = 0; ///< of the piece handed out last
  std::size_t TrailerBytes_ = 0;  ///< seen so far
};

} // namespace lagoonpoint::internal
