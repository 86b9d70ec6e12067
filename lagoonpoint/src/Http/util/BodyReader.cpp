#include "lagoonpoint/src/Http/util/BodyReader.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxSizeLine = 256; ///< bytes, with extensions
constexpr std::size_t MaxSizeDigits = 8;
constexpr std::size_t MaxTrailer = 8192; ///< bytes

bool isClean(std::string_view Line) {
  return std::all_of(Line.begin(), Line.end(), [](char C) {
    return C == '\t' || static_cast<unsigned char>(C) >= 0x20;
  });
}

} // namespace

std::string chunkOf(std::string_view Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return std::string(Size).append(Bytes).append("\r\n");
}

BodyReader::BodyReader(Wire &In, Framing Body)
    : In_(In), State_(State::Done),
      Chunked_(Body.Kind_ == FramingKind::Chunked), Left_(Body.Length_) {
  if (Chunked_)
    State_ = State::ChunkSize;
  else if (Body.Kind_ == FramingKind::UntilClose)
    State_ = State::Rest;
  else if (Left_ > 0)
    State_ = State::Data;
}

BodyEnd BodyReader::next(std::string_view &Piece, const Until &Limit,
                         Watch Other) {
  releasePiece();
  for (;;) {
    if (State_ == State::Done)
      return BodyEnd::Whole;
    BodyEnd Step = State_ == State::Data   ? takeData(Piece)
                   : State_ == State::Rest ? takeRest(Piece)
                                           : takeLine();
    if (Step == BodyEnd::Piece || Step == BodyEnd::Malformed)
      return Step;
    if (Step == BodyEnd::Whole)
      continue;
    switch (In_.fill(Limit, Other)) {
    case WireEnd::Ready:
      break;
    case WireEnd::Closed:
      return closed();
    case WireEnd::TimedOut:
      return BodyEnd::TimedOut;
    case WireEnd::Watched:
      return BodyEnd::Watched;
    }
  }
}

void BodyReader::releasePiece() {
  In_.consume(PieceBytes_);
  PieceBytes_ = 0;
}

// Cut stands for "more bytes are needed" in the steps below, Whole for "go on".
BodyEnd BodyReader::takeData(std::string_view &Piece) {
  std::string_view Bytes = In_.buffered();
  if (Bytes.empty())
    return BodyEnd::Cut;
  PieceBytes_ =
      static_cast<std::size_t>(std::min<std::int64_t>(Left_, Bytes.size()));
  Piece = Bytes.substr(0, PieceBytes_);
  Left_ -= static_cast<std::int64_t>(PieceBytes_);
  if (Left_ == 0)
    State_ = Chunked_ ? State::ChunkEnd : State::Done;
  return BodyEnd::Piece;
}

BodyEnd BodyReader::takeRest(std::string_view &Piece) {
  Piece = In_.buffered();
  PieceBytes_ = Piece.size();
  return Piece.empty() ? BodyEnd::Cut : BodyEnd::Piece;
}

// Only an orderly close ends a body without a length.
BodyEnd BodyReader::closed() const {
  bool Whole = State_ == State::Rest && !In_.failed();
  return Whole ? BodyEnd::Whole : BodyEnd::Cut;
}

BodyEnd BodyReader::takeLine() {
  std::string_view Bytes = In_.buffered();
  std::size_t End = Bytes.find("\r\n");
  std::size_t Limit = State_ == State::Trailer ? MaxTrailer : MaxSizeLine;
  if (End == std::string_view::npos)
    return Bytes.size() > Limit ? BodyEnd::Malformed : BodyEnd::Cut;
  std::string_view Line = Bytes.substr(0, End);
  if (Line.size() > Limit || !isClean(Line))
    return BodyEnd::Malformed;
  BodyEnd Step = BodyEnd::Whole;
  if (State_ == State::ChunkSize) {
    Step = takeSize(Line);
  } else if (State_ == State::ChunkEnd) {
    Step = Line.empty() ? BodyEnd::Whole : BodyEnd::Malformed;
    State_ = State::ChunkSize;
  } else {
    TrailerBytes_ += Line.size();
    if (TrailerBytes_ > MaxTrailer)
      Step = BodyEnd::Malformed;
    if (Line.empty())
      State_ = State::Done;
  }
  In_.consume(End + 2);
  return Step;
}

BodyEnd BodyReader::takeSize(std::string_view Line) {
  std::string_view Digits = Line.substr(0, Line.find(';'));
  if (Digits.empty() || Digits.size() > MaxSizeDigits)
    return BodyEnd::Malformed;
  const char *Last = Digits.data() + Digits.size();
  std::uint64_t Size = 0;
  auto Result = std::from_chars(Digits.data(), Last, Size, 16);
  if (Result.ec != std::errc() || Result.ptr != Last)
    return BodyEnd::Malformed;
  Left_ = static_cast<std::int64_t>(Size);
  State_ = Left_ == 0 ? State::Trailer : State::Data;
  return BodyEnd::Whole;
}

} // namespace lagoonpoint::internal
