#include "lagoonpoint/src/Http/util/BodyReader.h"

#include "lagoonpoint/src/Core/util/Text.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxChunkSizeLine = 256; ///< bytes, including extensions
constexpr std::size_t MaxChunkSizeDigits = 8;
constexpr std::size_t MaxTrailerBytes = 8192; ///< bytes

} // namespace

std::string encodeChunk(std::string_view Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return std::string(Size).append(Bytes).append("\r\n");
}

BodyReader::BodyReader(BufferedSocket &In, Framing Body)
    : In_(In), State_(State::Done),
      Chunked_(Body.Kind_ == FramingKind::Chunked), Remaining_(Body.Length_) {
  if (Chunked_)
    State_ = State::ChunkSize;
  else if (Body.Kind_ == FramingKind::UntilClose)
    State_ = State::UntilClose;
  else if (Remaining_ > 0)
    State_ = State::Data;
}

BodyStatus BodyReader::next(std::string_view &Data, const Deadline &Limit,
                            Watch Watched) {
  consumeReturned();
  for (;;) {
    if (State_ == State::Done)
      return BodyStatus::Complete;
    BodyStatus Step = State_ == State::Data         ? takeData(Data)
                      : State_ == State::UntilClose ? takeUntilClose(Data)
                                                    : parseLine();
    if (Step == BodyStatus::Data || Step == BodyStatus::Malformed)
      return Step;
    if (Step == BodyStatus::Complete)
      continue;
    switch (In_.fill(Limit, Watched)) {
    case IoStatus::Ready:
      break;
    case IoStatus::Closed:
      return statusOnClose();
    case IoStatus::TimedOut:
      return BodyStatus::TimedOut;
    case IoStatus::Interrupted:
      return BodyStatus::Interrupted;
    }
  }
}

void BodyReader::consumeReturned() {
  In_.consume(ReturnedBytes_);
  ReturnedBytes_ = 0;
}

// As the result of a step below, Truncated means that more bytes are needed,
// and Complete that the next step can run.
BodyStatus BodyReader::takeData(std::string_view &Data) {
  std::string_view Bytes = In_.buffered();
  if (Bytes.empty())
    return BodyStatus::Truncated;
  ReturnedBytes_ = static_cast<std::size_t>(
      std::min<std::int64_t>(Remaining_, Bytes.size()));
  Data = Bytes.substr(0, ReturnedBytes_);
  Remaining_ -= static_cast<std::int64_t>(ReturnedBytes_);
  if (Remaining_ == 0)
    State_ = Chunked_ ? State::ChunkEnd : State::Done;
  return BodyStatus::Data;
}

BodyStatus BodyReader::takeUntilClose(std::string_view &Data) {
  Data = In_.buffered();
  ReturnedBytes_ = Data.size();
  return Data.empty() ? BodyStatus::Truncated : BodyStatus::Data;
}

// Only an orderly close, not a reset, ends a body without a length.
BodyStatus BodyReader::statusOnClose() const {
  bool IsEnd = State_ == State::UntilClose && !In_.failed();
  return IsEnd ? BodyStatus::Complete : BodyStatus::Truncated;
}

BodyStatus BodyReader::parseLine() {
  std::string_view Bytes = In_.buffered();
  std::size_t End = Bytes.find("\r\n");
  std::size_t Limit =
      State_ == State::Trailer ? MaxTrailerBytes : MaxChunkSizeLine;
  if (End == std::string_view::npos)
    return Bytes.size() > Limit ? BodyStatus::Malformed : BodyStatus::Truncated;
  std::string_view Line = Bytes.substr(0, End);
  if (Line.size() > Limit || hasControlCharacters(Line))
    return BodyStatus::Malformed;
  BodyStatus Step = BodyStatus::Complete;
  if (State_ == State::ChunkSize) {
    Step = parseChunkSize(Line);
  } else if (State_ == State::ChunkEnd) {
    Step = Line.empty() ? BodyStatus::Complete : BodyStatus::Malformed;
    State_ = State::ChunkSize;
  } else {
    TrailerBytes_ += Line.size();
    if (TrailerBytes_ > MaxTrailerBytes)
      Step = BodyStatus::Malformed;
    if (Line.empty())
      State_ = State::Done;
  }
  In_.consume(End + 2);
  return Step;
}

BodyStatus BodyReader::parseChunkSize(std::string_view Line) {
  std::string_view Digits = Line.substr(0, Line.find(';'));
  if (Digits.empty() || Digits.size() > MaxChunkSizeDigits)
    return BodyStatus::Malformed;
  const char *Last = Digits.data() + Digits.size();
  std::uint64_t Size = 0;
  auto Result = std::from_chars(Digits.data(), Last, Size, 16);
  if (Result.ec != std::errc() || Result.ptr != Last)
    return BodyStatus::Malformed;
  Remaining_ = static_cast<std::int64_t>(Size);
  State_ = Remaining_ == 0 ? State::Trailer : State::Data;
  return BodyStatus::Complete;
}

} // namespace lagoonpoint::internal
