#include "lagoonpoint/src/Http/util/Forwarding.h"
#include "lagoonpoint/src/Http/util/ProxyCall.h"

namespace lagoonpoint::internal {

bool ProxyCall::receiveHead(Try &T) {
  for (;;) {
    std::size_t Length = headLength(T.Wire_->buffered());
    if (Length != std::string_view::npos) {
      bool Interim = false;
      if (!parseHead(T, Length, Interim))
        return false;
      if (Interim)
        continue;
      if (answersRequest(T.Head_->Response_, Call_.Request_, Context_.Dialect_))
        return true;
      if (!skipAnswer(T))
        return false;
      continue;
    }
    if (T.Wire_->full())
      return fail(T, TryResult::Broken);
    WireEnd End = T.Wire_->fill(deadline(), watched());
    if (End != WireEnd::Ready)
      return failWire(T, End);
  }
}

bool ProxyCall::parseHead(Try &T, std::size_t Length, bool &Interim) {
  try {
    T.Head_.emplace();
    parseAnswerHead(T.Wire_->buffered().substr(0, Length), toHead(),
                    toString(T.To_.Address_), *T.Head_);
  } catch (const Error &) {
    return fail(T, TryResult::Broken);
  }
  if (T.Head_->Body_.Kind_ == FramingKind::UntilClose &&
      !Context_.Dialect_.AnswersEndByClosing_)
    return fail(T, TryResult::Broken);
  T.Wire_->consume(Length);
  T.Report_.BytesReceived_ += static_cast<std::int64_t>(Length);
  T.Report_.Status_ = T.Head_->Response_.getStatus();
  T.Report_.Misdirected_ = T.Report_.Status_ == 421;
  T.Report_.Load_ = readLoad(T.Head_->Response_, Context_.Dialect_);
  if (T.Report_.Status_ == 101)
    return fail(T, TryResult::Broken);
  Interim = T.Report_.Status_ < 200;
  return true;
}

// Drops an answer to another request, such as one that came late.
bool ProxyCall::skipAnswer(Try &T) {
  constexpr unsigned MaxSkipped = 2;
  bool Endless = T.Head_->Body_.Kind_ == FramingKind::UntilClose;
  if (Endless || ++T.Skipped_ > MaxSkipped)
    return fail(T, TryResult::Broken);
  BodyReader Reader(*T.Wire_, T.Head_->Body_);
  for (;;) {
    std::string_view Piece;
    BodyEnd End = Reader.next(Piece, deadline(), watched());
    if (End == BodyEnd::Whole)
      return true;
    if (End == BodyEnd::Watched)
      return fail(T, TryResult::CallerLeft);
    if (End != BodyEnd::Piece)
      return fail(T, End == BodyEnd::TimedOut ? TryResult::TimedOut
                                              : TryResult::Broken);
  }
}

// Holds the answer back until it is whole, long, or slow to come.
bool ProxyCall::receiveBody(Try &T, BodyReader &Reader, bool &Whole) {
  constexpr std::size_t HeldAnswerBytes = 64 * 1024;
  std::size_t Most =
      isOnce() ? Context_.Settings_.MaxBodyBytes_ : HeldAnswerBytes;
  Until Limit =
      isOnce()
          ? deadline()
          : within(Context_.Settings_.AnswerHold_).min(Ticket_->deadline());
  while (T.Body_.size() <= Most) {
    std::string_view Piece;
    BodyEnd End = Reader.next(Piece, Limit, watched());
    if (End == BodyEnd::Piece) {
      T.Body_ += Piece;
      T.Report_.BytesReceived_ += static_cast<std::int64_t>(Piece.size());
      continue;
    }
    Whole = End == BodyEnd::Whole;
    bool Slow = End == BodyEnd::TimedOut && deadline().millisLeft() > 0;
    if (Whole)
      break;
    if (Slow && !isOnce())
      return true;
    if (End == BodyEnd::Watched)
      return fail(T, TryResult::CallerLeft);
    return fail(T, End == BodyEnd::TimedOut ? TryResult::TimedOut
                                            : TryResult::Broken);
  }
  if (!Whole && isOnce())
    return fail(T, TryResult::Broken);
  bool Shed = saysNotRun(T.Head_->Response_, Context_.Dialect_);
  if (Whole && Shed && (T.To_.Vm_.empty() || !isOnce())) {
    releaseWire(T);
    MayHaveRun_ = T.RanBefore_;
    return fail(T, TryResult::Shed);
  }
  return true;
}

bool ProxyCall::finishWhole(Try &T) {
  releaseWire(T);
  T.Report_.Result_ = TryResult::Answered;
  if (isOnce() && T.To_.Vm_.empty()) {
    Fields Kept =
        answerFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
    Kept.pop_back();
    Ticket_->keep({T.Report_.Status_, Kept, T.Body_});
  }
  report(T);
  bool KeepAlive = keepAlive();
  Fields F =
      answerFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
  std::string Text = answerHead(T, F, KeepAlive);
  bool Bodiless = T.Head_->Body_.Kind_ == FramingKind::None;
  if (!Bodiless)
    Text += "Content-Length: " + std::to_string(T.Body_.size()) + "\r\n";
  Text += "\r\n";
  Text += T.Body_;
  return writeToCaller(Text) && KeepAlive;
}

// Fields of the answer; the length only where no body follows (HEAD, 304).
std::string ProxyCall::answerHead(const Try &T, const Fields &F,
                                  bool KeepAlive) const {
  std::string Text = headText(T.Report_.Status_, F, KeepAlive);
  const Poco::Net::HTTPResponse &Response = T.Head_->Response_;
  bool Bodiless = T.Head_->Body_.Kind_ == FramingKind::None;
  if (Bodiless && T.Report_.Status_ != 204 && Response.has("Content-Length"))
    Text += "Content-Length: " + Response.get("Content-Length") + "\r\n";
  return Text;
}

// Passes on an answer that is too long or too slow to be held back. If it is
// cut, the caller's connection is reset: no body can look whole.
bool ProxyCall::relay(Try &T, BodyReader &Reader) {
  const Framing &Body = T.Head_->Body_;
  bool Http11 = Head_.Request_.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
  bool Chunked = (Body.Kind_ == FramingKind::Chunked ||
                  Body.Kind_ == FramingKind::UntilClose) &&
                 Http11;
  bool KeepAlive = keepAlive() && Http11;
  Fields F =
      answerFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
  std::string Text = answerHead(T, F, KeepAlive);
  if (Body.Kind_ == FramingKind::Length)
    Text += "Content-Length: " + std::to_string(Body.Length_) + "\r\n";
  if (Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  Text += "\r\n";
  T.Report_.AnswerBegun_ = true;
  AnswerBegun_ = true;
  bool Begun = writeToCaller(Text);
  T.Report_.Result_ =
      Begun ? relayBody(T, Reader, Chunked) : TryResult::CallerLeft;
  bool Good = T.Report_.Result_ == TryResult::Answered;
  if (Good)
    releaseWire(T);
  report(T);
  if (!Good)
    Caller_.Wire_.reset();
  return Good && KeepAlive;
}

TryResult ProxyCall::relayBody(Try &T, BodyReader &Reader, bool Chunked) {
  Until Limit = within(Context_.Settings_.BodyTimeout_);
  std::string_view Piece = T.Body_;
  for (;;) {
    std::string Text;
    if (Chunked && !Piece.empty()) {
      Text = chunkOf(Piece);
      Piece = Text;
    }
    std::int64_t Written = 0;
    if (Caller_.Wire_.write(Piece, Limit, Written) != WireEnd::Ready)
      return TryResult::CallerLeft;
    BodyEnd End = Reader.next(Piece, Limit, &Caller_.Wire_);
    if (End == BodyEnd::Whole)
      break;
    if (End == BodyEnd::Watched)
      return TryResult::CallerLeft;
    if (End != BodyEnd::Piece)
      return End == BodyEnd::TimedOut ? TryResult::TimedOut : TryResult::Broken;
    T.Report_.BytesReceived_ += static_cast<std::int64_t>(Piece.size());
  }
  if (Chunked && !writeToCaller("0\r\n\r\n"))
    return TryResult::CallerLeft;
  return TryResult::Answered;
}

} // namespace lagoonpoint::internal
