#include "lagoonpoint/src/Http/util/ProxyCall.h"

#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Http/util/Forwarding.h"

#include <Poco/SHA2Engine.h>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t BufferedRequestBytes = 64 * 1024;
/// Allows several round trips between regions, but not the retransmission of a
/// lost first packet, as another upstream can be tried sooner.
constexpr Duration ConnectTimeout = Duration::millis(300);
constexpr const char *Step = "http.proxy";

Refusal badBody(Ran R) {
  return Refusal(RefusalReason::BadRequest, R, Step,
                 "request body is truncated, late or malformed");
}

Refusal lateBody(Ran R) {
  return Refusal(RefusalReason::DeadlinePassed, R, Step,
                 "request body was not complete in time");
}

Refusal tooLarge(Ran R) {
  return Refusal(RefusalReason::TooLarge, R, Step,
                 "request body is longer than the limit");
}

RefusalReason reasonOf(TryResult Result) {
  switch (Result) {
  case TryResult::NotConnected:
  case TryResult::NothingSent:
    return RefusalReason::NoUpstream;
  case TryResult::Shed:
    return RefusalReason::NoCapacity;
  case TryResult::TimedOut:
    return RefusalReason::DeadlinePassed;
  default:
    return RefusalReason::UpstreamFailed;
  }
}

const char *messageOf(TryResult Result) {
  switch (Result) {
  case TryResult::NotConnected:
  case TryResult::NothingSent:
    return "the upstream could not be reached";
  case TryResult::Shed:
    return "the upstream did not accept the request";
  case TryResult::TimedOut:
    return "the upstream did not respond in time";
  default:
    return "the upstream's response was truncated or malformed";
  }
}

} // namespace

ProxyCall::ProxyCall(const ProxyContext &Context, Connection &Caller,
                     const RequestHead &Head, BodyReader &Body, Call &C,
                     CallSlots::Slot &Slot)
    : Context_(Context), Caller_(Caller), Head_(Head), Body_(Body), Call_(C),
      Slot_(Slot) {}

bool ProxyCall::run() {
  checkLength();
  Route_ = Context_.Port_.routeOf(Call_);
  if (isOnce()) {
    sendContinue();
    bufferBody(Context_.Settings_.MaxBodyBytes_);
    Call_.BodyDigest_ = bodyDigest();
  }
  Handle_ = Context_.Port_.admit(Call_);
  Call_.Team_ = Handle_->team();
  Slot_.assign(Call_.Team_);
  if (!isOnce()) {
    sendContinue();
    bufferBody(BufferedRequestBytes);
    return runTries();
  }
  std::optional<StoredResponse> Stored = Handle_->storedResponse();
  return Stored ? sendStoredResponse(*Stored) : runTries();
}

void ProxyCall::checkLength() const {
  std::int64_t Limit =
      static_cast<std::int64_t>(Context_.Settings_.MaxBodyBytes_);
  if (Head_.Body_.Length_ > Limit)
    throw tooLarge(Ran::No);
}

void ProxyCall::sendContinue() {
  if (Head_.ExpectContinue_ && !Body_.complete())
    writeToCaller("HTTP/1.1 100 Continue\r\n\r\n");
}

// Reads until the body is complete, or more than MaxBytes are buffered and more
// are to come.
void ProxyCall::bufferBody(std::size_t MaxBytes) {
  Deadline BodyDeadline = Deadline(
      Context_.Clock_, Caller_.ArrivedAt_ + Context_.Settings_.BodyTimeout_);
  if (Handle_)
    BodyDeadline = BodyDeadline.min(Handle_->deadline());
  while (BufferedBody_.size() <= MaxBytes || Body_.atEnd()) {
    std::string_view Data;
    BodyStatus Status = Body_.next(Data, BodyDeadline);
    if (Status == BodyStatus::Complete)
      return;
    if (Status != BodyStatus::Data)
      throw deadlinePassed() ? lateBody(Ran::No) : badBody(Ran::No);
    BufferedBody_ += Data;
    BodyBytes_ = BufferedBody_.size();
    if (BodyBytes_ > Context_.Settings_.MaxBodyBytes_)
      throw tooLarge(Ran::No);
  }
}

std::string ProxyCall::bodyDigest() const {
  Poco::SHA2Engine Engine;
  Engine.update(Call_.Method_ + " " + Call_.Path_ + "\n");
  Engine.update(BufferedBody_);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool ProxyCall::sendStoredResponse(const StoredResponse &Stored) {
  HttpResponse A{Stored.Status_, Stored.Headers_, Stored.Body_};
  A.Fields_.emplace_back("Idempotent-Replayed", "true");
  A.Fields_.emplace_back("X-Request-Id", Call_.Request_.str());
  bool KeepAlive = keepAlive();
  return writeResponse(Caller_.Socket_, A, {KeepAlive, isHeadRequest()},
                       deadlineIn(Context_.Settings_.BodyTimeout_)) &&
         KeepAlive;
}

bool ProxyCall::runTries() {
  for (;;) {
    Try T;
    T.Target_ = nextTarget();
    bool Reusable = false;
    if (callerLeft()) {
      T.Report_.Result_ = TryResult::CallerLeft;
      Handle_->recordTry(T.Report_);
      return false;
    }
    if (runTry(T, Reusable))
      return Reusable;
  }
}

CallTarget ProxyCall::nextTarget() {
  if (Context_.Clock_.now() >= Handle_->deadline())
    throw Refusal(RefusalReason::DeadlinePassed, Ran::No, Step,
                  "the deadline passed before the next try");
  return Handle_->nextTarget();
}

// Returns true if the call has ended, false if it is to be tried again.
bool ProxyCall::runTry(Try &T, bool &Reusable) {
  T.StartedAt_ = std::chrono::steady_clock::now();
  T.MayHaveRunBefore_ = MayHaveRun_;
  T.Limit_ = tryLimit();
  bool Complete = false;
  if (connect(T) && send(T) && receiveHead(T)) {
    BodyReader Reader(*T.Socket_, T.Head_->Body_);
    if (receiveBody(T, Reader, Complete)) {
      Reusable = Complete ? sendComplete(T) : streamResponse(T, Reader);
      return true;
    }
  }
  bool Retry = report(T);
  if (T.BodyFault_)
    throw Refusal(*T.BodyFault_);
  if (T.Report_.Result_ == TryResult::CallerLeft)
    return true;
  if (!Retry || BodyStreamed_)
    refuse(T);
  // The port decides on retries. Whatever it decides, a request that may have
  // run is sent again only on a repeatable route.
  LAGOONPOINT_ASSERT(!MayHaveRun_ || Route_.Kind_ == RouteKind::Repeatable,
                     Step);
  return false;
}

bool ProxyCall::connect(Try &T) {
  T.Socket_ = Context_.Pool_.take(T.Target_.Address_);
  if (T.Socket_)
    return true;
  Deadline Limit = deadlineIn(ConnectTimeout).min(Handle_->deadline());
  T.Socket_ = connectTo(T.Target_.Address_, Limit, watchedCaller());
  if (T.Socket_)
    return true;
  bool CallerGone = watchedCaller() && watchedCaller()->peerClosed();
  return fail(T, CallerGone ? TryResult::CallerLeft : TryResult::NotConnected);
}

Framing ProxyCall::requestFraming() const {
  if (!Body_.complete() || Head_.Body_.Kind_ == FramingKind::None)
    return Head_.Body_;
  return {FramingKind::Length, static_cast<std::int64_t>(BufferedBody_.size())};
}

bool ProxyCall::send(Try &T) {
  Duration Remaining = Handle_->deadline() - Context_.Clock_.now();
  std::string Text = forwardedHead(Head_, Call_, T.Target_, Context_.Settings_,
                                   Context_.Dialect_, requestFraming(),
                                   std::max(Remaining, Duration::millis(1)));
  bool Streamed = !Body_.complete();
  if (!Streamed)
    Text += BufferedBody_;
  IoStatus Status =
      T.Socket_->write(Text, deadline(), T.Report_.BytesSent_, watchedCaller());
  MayHaveRun_ = MayHaveRun_ || T.Report_.BytesSent_ > 0;
  if (Status != IoStatus::Ready)
    return failIo(T, Status);
  if (Streamed &&
      (!sendBodyData(T, BufferedBody_, deadline()) || !streamRequestBody(T)))
    return false;
  T.SentAll_ = Body_.complete();
  if (BodyStreamed_)
    T.Limit_.reset(); // can't be sent again
  return true;
}

bool ProxyCall::sendBodyData(Try &T, std::string_view Data,
                             const Deadline &Limit) {
  std::string Text;
  if (Head_.Body_.Kind_ == FramingKind::Chunked) {
    Text = encodeChunk(Data);
    Data = Text;
  }
  IoStatus Status =
      T.Socket_->write(Data, Limit, T.Report_.BytesSent_, watchedCaller());
  return Status == IoStatus::Ready || failIo(T, Status);
}

bool ProxyCall::streamRequestBody(Try &T) {
  BodyStreamed_ = true;
  Deadline Limit =
      Deadline(Context_.Clock_,
               Caller_.ArrivedAt_ + Context_.Settings_.BodyTimeout_)
          .min(Handle_->deadline());
  for (;;) {
    std::string_view Data;
    BodyStatus Status = Body_.next(Data, Limit, {T.Socket_.get(), true});
    if (Status == BodyStatus::Complete)
      break;
    // Once the response arrives, the rest of the body is not needed.
    bool ResponseArrived =
        Status == BodyStatus::Interrupted || T.Socket_->readable();
    if (ResponseArrived)
      return true;
    if (Status == BodyStatus::Truncated)
      return fail(T, TryResult::CallerLeft);
    if (Status != BodyStatus::Data)
      return failBody(T, deadlinePassed() ? lateBody(Ran::Unknown)
                                          : badBody(Ran::Unknown));
    BodyBytes_ += Data.size();
    if (BodyBytes_ > Context_.Settings_.MaxBodyBytes_)
      return failBody(T, tooLarge(Ran::Unknown));
    if (!sendBodyData(T, Data, Limit))
      return false;
  }
  if (Head_.Body_.Kind_ != FramingKind::Chunked)
    return true;
  IoStatus Status = T.Socket_->write("0\r\n\r\n", Limit, T.Report_.BytesSent_);
  return Status == IoStatus::Ready || failIo(T, Status);
}

bool ProxyCall::fail(Try &T, TryResult Result) {
  T.Report_.Result_ = Result;
  return false;
}

// The caller is still there and gets a response. The upstream is not at fault.
bool ProxyCall::failBody(Try &T, const Refusal &R) {
  T.BodyFault_ = R;
  return fail(T, TryResult::CallerLeft);
}

bool ProxyCall::failIo(Try &T, IoStatus Status) {
  if (Status == IoStatus::Interrupted)
    return fail(T, TryResult::CallerLeft);
  if (T.Report_.BytesSent_ == 0)
    return fail(T, TryResult::NothingSent);
  return fail(T, Status == IoStatus::TimedOut ? TryResult::TimedOut
                                              : TryResult::Broken);
}

bool ProxyCall::report(Try &T) {
  // Closing the connection tells the upstream that its response is no longer
  // needed.
  T.Socket_.reset();
  auto Elapsed = std::chrono::steady_clock::now() - T.StartedAt_;
  T.Report_.Micros_ =
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count();
  return Handle_->recordTry(T.Report_);
}

void ProxyCall::refuse(const Try &T) {
  Ran RanState = MayHaveRun_ ? Ran::Unknown : Ran::No;
  bool Shed = T.Report_.Result_ == TryResult::Shed;
  throw Refusal(reasonOf(T.Report_.Result_), RanState, FailedTryStep,
                messageOf(T.Report_.Result_),
                Shed ? Duration::seconds(1) : Duration());
}

// Puts the connection back into the pool if the exchange is complete on both
// sides, and closes it otherwise.
void ProxyCall::releaseConnection(Try &T) {
  bool Reusable = T.SentAll_ && T.Head_->KeepAlive_ &&
                  T.SkippedResponses_ == 0 && T.Socket_->buffered().empty();
  if (Reusable)
    Context_.Pool_.put(T.Target_.Address_, std::move(T.Socket_),
                       keepAliveTimeout(T.Head_->Response_));
  T.Socket_.reset();
}

// The caller may leave while the call waits for its upstream; nobody would read
// the response.
bool ProxyCall::callerLeft() const {
  return watchedCaller() && watchedCaller()->peerClosed();
}

bool ProxyCall::writeToCaller(std::string_view Text) {
  std::int64_t Written = 0;
  return Caller_.Socket_.write(Text, bodyLimit(), Written) == IoStatus::Ready;
}

bool ProxyCall::keepAlive() const {
  return Head_.KeepAlive_ && Body_.complete() && !Context_.Port_.draining() &&
         !Context_.Listener_.stopping();
}

Deadline ProxyCall::deadlineIn(Duration D) const {
  return Deadline(Context_.Clock_, Context_.Clock_.now() + D);
}

// The time by which the response must have been written to the caller.
Deadline ProxyCall::bodyLimit() const {
  Deadline Limit = deadlineIn(Context_.Settings_.BodyTimeout_);
  std::optional<Time> BodyDeadline =
      Handle_ ? Handle_->bodyDeadline() : std::nullopt;
  return BodyDeadline ? Limit.min(*BodyDeadline) : Limit;
}

Deadline ProxyCall::deadline() const {
  return Deadline(Context_.Clock_, Handle_->deadline());
}

// Once-requests have no deadline before they are admitted.
bool ProxyCall::deadlinePassed() const {
  return Handle_ && Context_.Clock_.now() >= Handle_->deadline();
}

// A try is ended early only if the request may run again and there is time for
// another try.
std::optional<Deadline> ProxyCall::tryLimit() const {
  if (Route_.Kind_ != RouteKind::Repeatable)
    return {};
  std::optional<Time> Limit = Handle_->tryDeadline();
  if (!Limit || Handle_->deadline() - *Limit < MinTimeForRetry)
    return {};
  return Deadline(Context_.Clock_, *Limit);
}

Deadline ProxyCall::deadlineOf(const Try &T) const {
  return T.Limit_ ? *T.Limit_ : deadline();
}

} // namespace lagoonpoint::internal
