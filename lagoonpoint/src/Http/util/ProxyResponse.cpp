#include "lagoonpoint/src/Http/util/Forwarding.h"
#include "lagoonpoint/src/Http/util/ProxyCall.h"

namespace lagoonpoint::internal {

namespace {

/// Limits on what an upstream may send before the response, so that one in
/// trouble does not keep this VM busy until the deadline.
constexpr unsigned MaxInterimResponses = 16;
constexpr unsigned MaxSkippedResponses = 2;
constexpr std::size_t MaxSkippedBytes = 1 << 20;

} // namespace

bool ProxyCall::receiveHead(Try &T) {
  for (;;) {
    std::size_t Length = headLength(T.Socket_->buffered());
    if (Length != std::string_view::npos) {
      bool Interim = false;
      if (!parseHead(T, Length, Interim))
        return false;
      if (Interim && ++T.InterimResponses_ > MaxInterimResponses)
        return fail(T, TryResult::Broken);
      if (Interim)
        continue;
      if (matchesRequest(T.Head_->Response_, Call_.Request_,
                         Context_.Dialect_)) {
        if (!T.Report_.Misdirected_) // else another upstream has responded
          Handle_->recordStatement(readStatement(
              T.Head_->Response_, Context_.Dialect_, T.Target_.Upstream_));
        return true;
      }
      if (!skipResponse(T))
        return false;
      continue;
    }
    if (T.Socket_->full())
      return fail(T, TryResult::Broken);
    IoStatus Status = T.Socket_->fill(deadlineOf(T), watchedCaller());
    if (Status != IoStatus::Ready)
      return failIo(T, Status);
  }
}

bool ProxyCall::parseHead(Try &T, std::size_t Length, bool &Interim) {
  try {
    T.Head_.emplace();
    parseResponseHead(T.Socket_->buffered().substr(0, Length), isHeadRequest(),
                      toString(T.Target_.Address_), *T.Head_);
  } catch (const Error &) {
    return fail(T, TryResult::Broken);
  }
  if (T.Head_->Body_.Kind_ == FramingKind::UntilClose &&
      !Context_.Dialect_.AllowsCloseDelimited_)
    return fail(T, TryResult::Broken);
  T.Socket_->consume(Length);
  T.Report_.BytesReceived_ += static_cast<std::int64_t>(Length);
  T.Report_.Status_ = T.Head_->Response_.getStatus();
  T.Report_.Misdirected_ = T.Report_.Status_ == 421;
  T.Report_.Load_ = readLoad(T.Head_->Response_, Context_.Dialect_);
  if (T.Report_.Status_ == 101)
    return fail(T, TryResult::Broken);
  Interim = T.Report_.Status_ < 200;
  return true;
}

// Discards a response to another request, such as a late one.
bool ProxyCall::skipResponse(Try &T) {
  bool CloseDelimited = T.Head_->Body_.Kind_ == FramingKind::UntilClose;
  if (CloseDelimited || ++T.SkippedResponses_ > MaxSkippedResponses)
    return fail(T, TryResult::Broken);
  BodyReader Reader(*T.Socket_, T.Head_->Body_);
  std::size_t SkippedBytes = 0;
  for (;;) {
    std::string_view Data;
    BodyStatus Status = Reader.next(Data, deadlineOf(T), watchedCaller());
    if (Status == BodyStatus::Complete)
      return true;
    if (Status == BodyStatus::Interrupted)
      return fail(T, TryResult::CallerLeft);
    if (Status != BodyStatus::Data)
      return fail(T, Status == BodyStatus::TimedOut ? TryResult::TimedOut
                                                    : TryResult::Broken);
    SkippedBytes += Data.size();
    if (SkippedBytes > MaxSkippedBytes)
      return fail(T, TryResult::Broken);
  }
}

// Buffers the response until it is complete, too long or too slow.
bool ProxyCall::receiveBody(Try &T, BodyReader &Reader, bool &Complete) {
  constexpr std::size_t BufferedResponseBytes = 64 * 1024;
  std::size_t MaxBytes =
      isOnce() ? Context_.Settings_.MaxBodyBytes_ : BufferedResponseBytes;
  Deadline Limit = isOnce() ? deadline()
                            : deadlineIn(Context_.Settings_.ResponseBufferTime_)
                                  .min(deadlineOf(T).at());
  while (T.Body_.size() <= MaxBytes) {
    std::string_view Data;
    BodyStatus Status = Reader.next(Data, Limit, watchedCaller());
    if (Status == BodyStatus::Data) {
      T.Body_ += Data;
      T.Report_.BytesReceived_ += static_cast<std::int64_t>(Data.size());
      continue;
    }
    Complete = Status == BodyStatus::Complete;
    bool Slow =
        Status == BodyStatus::TimedOut && deadlineOf(T).remainingMillis() > 0;
    if (Complete)
      break;
    if (Slow && !isOnce())
      return true;
    if (Status == BodyStatus::Interrupted)
      return fail(T, TryResult::CallerLeft);
    return fail(T, Status == BodyStatus::TimedOut ? TryResult::TimedOut
                                                  : TryResult::Broken);
  }
  if (!Complete && isOnce())
    return fail(T, TryResult::Broken);
  bool Shed = saysNotRun(T.Head_->Response_, Context_.Dialect_);
  if (Complete && Shed && (T.Target_.Vm_.empty() || !isOnce())) {
    releaseConnection(T);
    MayHaveRun_ = T.MayHaveRunBefore_;
    return fail(T, TryResult::Shed);
  }
  return true;
}

bool ProxyCall::sendComplete(Try &T) {
  releaseConnection(T);
  T.Report_.Result_ = TryResult::Answered;
  if (isOnce() && T.Target_.Vm_.empty()) {
    HeaderFields StoredFields =
        responseFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
    StoredFields.pop_back();
    Handle_->storeResponse({T.Report_.Status_, StoredFields, T.Body_});
  }
  report(T);
  bool KeepAlive = keepAlive();
  HeaderFields F =
      responseFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
  std::string Text = responseHead(T, F, KeepAlive);
  bool Bodiless = T.Head_->Body_.Kind_ == FramingKind::None;
  if (!Bodiless)
    Text += "Content-Length: " + std::to_string(T.Body_.size()) + "\r\n";
  Text += "\r\n";
  Text += T.Body_;
  return writeToCaller(Text) && KeepAlive;
}

// Status line and fields of the response. Content-Length is included only where
// no body follows (HEAD, 304).
std::string ProxyCall::responseHead(const Try &T, const HeaderFields &F,
                                    bool KeepAlive) const {
  std::string Text = formatHead(T.Report_.Status_, F, KeepAlive);
  const Poco::Net::HTTPResponse &Response = T.Head_->Response_;
  bool Bodiless = T.Head_->Body_.Kind_ == FramingKind::None;
  if (Bodiless && T.Report_.Status_ != 204 && Response.has("Content-Length"))
    Text += "Content-Length: " + Response.get("Content-Length") + "\r\n";
  return Text;
}

// Streams a response that is too long or too slow to be buffered. If it is
// truncated, the caller's connection is reset, so that it can't look complete.
bool ProxyCall::streamResponse(Try &T, BodyReader &Reader) {
  const Framing &Body = T.Head_->Body_;
  bool Http11 = Head_.Request_.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
  bool Chunked = (Body.Kind_ == FramingKind::Chunked ||
                  Body.Kind_ == FramingKind::UntilClose) &&
                 Http11;
  bool KeepAlive = keepAlive() && Http11;
  HeaderFields F =
      responseFields(T.Head_->Response_, Call_.Request_, Context_.Dialect_);
  std::string Text = responseHead(T, F, KeepAlive);
  if (Body.Kind_ == FramingKind::Length)
    Text += "Content-Length: " + std::to_string(Body.Length_) + "\r\n";
  if (Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  Text += "\r\n";
  T.Report_.ResponseStarted_ = true;
  ResponseStarted_ = true;
  Caller_.Socket_.limitSendBuffer();
  std::string().swap(BufferedBody_); // no try follows
  bool HeadSent = writeToCaller(Text);
  T.Report_.Result_ =
      HeadSent ? streamBody(T, Reader, Chunked) : TryResult::CallerLeft;
  bool Complete = T.Report_.Result_ == TryResult::Answered;
  if (Complete)
    releaseConnection(T);
  report(T);
  if (!Complete)
    Caller_.Socket_.reset();
  return Complete && KeepAlive;
}

TryResult ProxyCall::streamBody(Try &T, BodyReader &Reader, bool Chunked) {
  Deadline Limit = bodyLimit();
  std::string_view Data = T.Body_;
  for (;;) {
    std::string Text;
    if (Chunked && !Data.empty()) {
      Text = encodeChunk(Data);
      Data = Text;
    }
    std::int64_t Written = 0;
    if (Caller_.Socket_.write(Data, Limit, Written) != IoStatus::Ready)
      return TryResult::CallerLeft;
    std::string().swap(T.Body_); // written; Data is replaced below
    BodyStatus Status = Reader.next(Data, Limit, &Caller_.Socket_);
    if (Status == BodyStatus::Complete)
      break;
    if (Status == BodyStatus::Interrupted)
      return TryResult::CallerLeft;
    if (Status != BodyStatus::Data)
      return Status == BodyStatus::TimedOut ? TryResult::TimedOut
                                            : TryResult::Broken;
    T.Report_.BytesReceived_ += static_cast<std::int64_t>(Data.size());
  }
  if (Chunked && !writeToCaller("0\r\n\r\n"))
    return TryResult::CallerLeft;
  return TryResult::Answered;
}

} // namespace lagoonpoint::internal
