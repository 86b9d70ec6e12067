#pragma once

#include "lagoonpoint/src/Http/util/HeadParser.h"
#include "lagoonpoint/src/Http/util/Wire.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// What the next step of reading a body gave.
enum class BodyEnd {
  Piece,     ///< bytes of the body
  Whole,     ///< the body has ended as its framing says
  Cut,       ///< connection closed before that
  TimedOut,  ///< time limit passed
  Watched,   ///< the watched connection ended the wait
  Malformed, ///< broken chunk framing
};

/// \returns the bytes as one chunk of a chunked body.
/// \ingroup Http
std::string chunkOf(std::string_view Bytes);

/// \class BodyReader
/// \ingroup Http
/// \brief Reads one message's body and tells a whole one from a cut one.
///
/// POCO's body streams report a cut body as a complete one, so the bytes are
/// counted here and the last chunk is looked for.
class BodyReader {
public:
  BodyReader(Wire &In, Framing Body);

  /// Reads on.
  /// \param[out] Piece valid until the next call
  BodyEnd next(std::string_view &Piece, const Until &Limit, Watch Other = {});
  /// \returns true once Whole was returned, or if there is no body.
  bool whole() const { return State_ == State::Done; }

private:
  enum class State { Data, ChunkSize, ChunkEnd, Trailer, Rest, Done };

  BodyEnd takeData(std::string_view &Piece);
  BodyEnd takeRest(std::string_view &Piece);
  BodyEnd closed() const;
  BodyEnd takeLine();
  BodyEnd takeSize(std::string_view Line);
  void releasePiece();

  Wire &In_;
  State State_;
  bool Chunked_;
  std::int64_t Left_;            ///< bytes of the body or of the chunk
  std::size_t PieceBytes_ = 0;   ///< of the piece handed out last
  std::size_t TrailerBytes_ = 0; ///< seen so far
};

} // namespace lagoonpoint::internal
