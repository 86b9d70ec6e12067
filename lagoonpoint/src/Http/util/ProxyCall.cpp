#include "lagoonpoint/src/Http/util/ProxyCall.h"

#include "lagoonpoint/src/Http/util/Forwarding.h"

#include <Poco/SHA2Engine.h>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t HeldRequestBytes = 64 * 1024;
/// Several round trips between regions; a lost first packet isn't waited for,
/// as another upstream can be tried.
constexpr Duration ConnectTimeout = Duration::millis(300);
constexpr const char *Step = "http.proxy";

Refusal badBody(Ran R) {
  return Refusal(RefusalReason::BadRequest, R, Step,
                 "request body is cut, late or malformed");
}

Refusal tooLarge(Ran R) {
  return Refusal(RefusalReason::TooLarge, R, Step,
                 "request body is longer than the limit");
}

RefusalReason reasonOf(TryResult End) {
  switch (End) {
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

const char *messageOf(TryResult End) {
  switch (End) {
  case TryResult::NotConnected:
  case TryResult::NothingSent:
    return "the upstream could not be reached";
  case TryResult::Shed:
    return "the upstream did not take the request";
  case TryResult::TimedOut:
    return "the deadline passed before the upstream answered";
  default:
    return "the upstream's answer was cut or malformed";
  }
}

} // namespace

ProxyCall::ProxyCall(const ProxyContext &Context, Connection &Caller,
                     const RequestHead &Head, BodyReader &Body, Call &C,
                     CallSlots::Held &Slot)
    : Context_(Context), Caller_(Caller), Head_(Head), Body_(Body), Call_(C),
      Slot_(Slot) {}

bool ProxyCall::run() {
  checkLength();
  Route_ = Context_.Port_.routeOf(Call_);
  if (isOnce()) {
    continueExpected();
    readAhead(Context_.Settings_.MaxBodyBytes_);
    Call_.BodyDigest_ = bodyDigest();
  }
  Ticket_ = Context_.Port_.admit(Call_);
  Call_.Team_ = Ticket_->team();
  Slot_.assign(Call_.Team_);
  if (!isOnce()) {
    continueExpected();
    readAhead(HeldRequestBytes);
    return tryAll();
  }
  std::optional<StoredAnswer> Stored = Ticket_->stored();
  return Stored ? sendStored(*Stored) : tryAll();
}

void ProxyCall::checkLength() const {
  std::int64_t Limit =
      static_cast<std::int64_t>(Context_.Settings_.MaxBodyBytes_);
  if (Head_.Body_.Length_ > Limit)
    throw tooLarge(Ran::No);
}

void ProxyCall::continueExpected() {
  if (Head_.ExpectContinue_ && !Body_.whole())
    writeToCaller("HTTP/1.1 100 Continue\r\n\r\n");
}

// Stops once more than the limit is held, or the body is whole.
void ProxyCall::readAhead(std::size_t Limit) {
  Until Time = Until(Context_.Clock_,
                     Caller_.Arrived_ + Context_.Settings_.BodyTimeout_);
  if (Ticket_)
    Time = Time.min(Ticket_->deadline());
  while (Held_.size() <= Limit) {
    std::string_view Piece;
    BodyEnd End = Body_.next(Piece, Time);
    if (End == BodyEnd::Whole)
      return;
    if (End != BodyEnd::Piece)
      throw badBody(Ran::No);
    Held_ += Piece;
    BodyBytes_ = Held_.size();
    if (BodyBytes_ > Context_.Settings_.MaxBodyBytes_)
      throw tooLarge(Ran::No);
  }
}

std::string ProxyCall::bodyDigest() const {
  Poco::SHA2Engine Engine;
  Engine.update(Call_.Method_ + " " + Call_.Path_ + "\n");
  Engine.update(Held_);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

bool ProxyCall::sendStored(const StoredAnswer &Stored) {
  Answer A{Stored.Status_, Stored.Headers_, Stored.Body_};
  A.Fields_.emplace_back("Idempotent-Replayed", "true");
  A.Fields_.emplace_back("X-Request-Id", Call_.Request_.str());
  bool KeepAlive = keepAlive();
  return writeAnswer(Caller_.Wire_, A, {KeepAlive, toHead()},
                     within(Context_.Settings_.BodyTimeout_)) &&
         KeepAlive;
}

bool ProxyCall::tryAll() {
  for (;;) {
    Try T;
    T.To_ = nextTarget();
    bool Reusable = false;
    if (callerLeft()) {
      T.Report_.Result_ = TryResult::CallerLeft;
      Ticket_->ended(T.Report_);
      return false;
    }
    if (tryOnce(T, Reusable))
      return Reusable;
  }
}

CallTarget ProxyCall::nextTarget() {
  if (Context_.Clock_.now() >= Ticket_->deadline())
    throw Refusal(RefusalReason::DeadlinePassed, Ran::No, Step,
                  "the deadline passed before a try");
  return Ticket_->next();
}

// Returns true if the call is over, false if it is to be tried again.
bool ProxyCall::tryOnce(Try &T, bool &Reusable) {
  T.Began_ = std::chrono::steady_clock::now();
  T.RanBefore_ = MayHaveRun_;
  bool Whole = false;
  if (open(T) && send(T) && receiveHead(T)) {
    BodyReader Reader(*T.Wire_, T.Head_->Body_);
    if (receiveBody(T, Reader, Whole)) {
      Reusable = Whole ? finishWhole(T) : relay(T, Reader);
      return true;
    }
  }
  bool Again = report(T);
  if (T.Report_.Result_ == TryResult::CallerLeft)
    return true;
  if (!Again || BodyPassedOn_)
    refuse(T);
  // The port decides on retries; this holds whatever it decides.
  LAGOONPOINT_ASSERT(!MayHaveRun_ || Route_.Kind_ == RouteKind::Repeatable,
                     Step);
  return false;
}

bool ProxyCall::open(Try &T) {
  T.Wire_ = Context_.Pool_.take(T.To_.Address_);
  if (T.Wire_)
    return true;
  Until Limit = within(ConnectTimeout).min(Ticket_->deadline());
  T.Wire_ = connectTo(T.To_.Address_, Limit, watched());
  if (T.Wire_)
    return true;
  bool Left = watched() && watched()->peerLeft();
  return fail(T, Left ? TryResult::CallerLeft : TryResult::NotConnected);
}

Framing ProxyCall::sentFraming() const {
  if (!Body_.whole() || Head_.Body_.Kind_ == FramingKind::None)
    return Head_.Body_;
  return {FramingKind::Length, static_cast<std::int64_t>(Held_.size())};
}

bool ProxyCall::send(Try &T) {
  Duration Left = Ticket_->deadline() - Context_.Clock_.now();
  std::string Text =
      forwardedHead(Head_, Call_, T.To_, Context_.Settings_, Context_.Dialect_,
                    sentFraming(), std::max(Left, Duration::millis(1)));
  bool Streamed = !Body_.whole();
  if (!Streamed)
    Text += Held_;
  WireEnd End =
      T.Wire_->write(Text, deadline(), T.Report_.BytesSent_, watched());
  MayHaveRun_ = MayHaveRun_ || T.Report_.BytesSent_ > 0;
  if (End != WireEnd::Ready)
    return failWire(T, End);
  if (Streamed && (!sendPiece(T, Held_, deadline()) || !sendRest(T)))
    return false;
  T.SentAll_ = Body_.whole();
  return true;
}

bool ProxyCall::sendPiece(Try &T, std::string_view Piece, const Until &Limit) {
  std::string Text;
  if (Head_.Body_.Kind_ == FramingKind::Chunked) {
    Text = chunkOf(Piece);
    Piece = Text;
  }
  WireEnd End = T.Wire_->write(Piece, Limit, T.Report_.BytesSent_, watched());
  return End == WireEnd::Ready || failWire(T, End);
}

bool ProxyCall::sendRest(Try &T) {
  BodyPassedOn_ = true;
  Until Limit =
      Until(Context_.Clock_, Caller_.Arrived_ + Context_.Settings_.BodyTimeout_)
          .min(Ticket_->deadline());
  for (;;) {
    std::string_view Piece;
    BodyEnd End = Body_.next(Piece, Limit, {T.Wire_.get(), true});
    if (End == BodyEnd::Whole)
      break;
    // An answer that comes before the body's end makes the rest needless.
    bool AnswerCame = End == BodyEnd::Watched || T.Wire_->readable();
    if (AnswerCame)
      return true;
    if (End != BodyEnd::Piece)
      return fail(T, TryResult::CallerLeft);
    BodyBytes_ += Piece.size();
    if (BodyBytes_ > Context_.Settings_.MaxBodyBytes_)
      return fail(T, TryResult::CallerLeft);
    if (!sendPiece(T, Piece, Limit))
      return false;
  }
  if (Head_.Body_.Kind_ != FramingKind::Chunked)
    return true;
  WireEnd End = T.Wire_->write("0\r\n\r\n", Limit, T.Report_.BytesSent_);
  return End == WireEnd::Ready || failWire(T, End);
}

bool ProxyCall::fail(Try &T, TryResult End) {
  T.Report_.Result_ = End;
  return false;
}

bool ProxyCall::failWire(Try &T, WireEnd End) {
  if (End == WireEnd::Watched)
    return fail(T, TryResult::CallerLeft);
  if (T.Report_.BytesSent_ == 0)
    return fail(T, TryResult::NothingSent);
  return fail(T, End == WireEnd::TimedOut ? TryResult::TimedOut
                                          : TryResult::Broken);
}

bool ProxyCall::report(Try &T) {
  // Closing tells the upstream that its answer isn't wanted any more.
  T.Wire_.reset();
  auto Spent = std::chrono::steady_clock::now() - T.Began_;
  T.Report_.Micros_ =
      std::chrono::duration_cast<std::chrono::microseconds>(Spent).count();
  return Ticket_->ended(T.Report_);
}

void ProxyCall::refuse(const Try &T) {
  Ran Truth = MayHaveRun_ ? Ran::Unknown : Ran::No;
  bool Shed = T.Report_.Result_ == TryResult::Shed;
  throw Refusal(reasonOf(T.Report_.Result_), Truth, FailedTryStep,
                messageOf(T.Report_.Result_),
                Shed ? Duration::seconds(1) : Duration());
}

// Gives the connection back for reuse if its exchange is over on both sides.
void ProxyCall::releaseWire(Try &T) {
  bool Clean = T.SentAll_ && T.Head_->KeepAlive_ && T.Skipped_ == 0 &&
               T.Wire_->buffered().empty();
  if (Clean)
    Context_.Pool_.give(T.To_.Address_, std::move(T.Wire_),
                        keptFor(T.Head_->Response_));
  T.Wire_.reset();
}

// Nobody would read the answer of a call that waited for its upstream.
bool ProxyCall::callerLeft() const {
  return watched() && watched()->peerLeft();
}

bool ProxyCall::writeToCaller(std::string_view Text) {
  std::int64_t Written = 0;
  Until Limit = within(Context_.Settings_.BodyTimeout_);
  return Caller_.Wire_.write(Text, Limit, Written) == WireEnd::Ready;
}

bool ProxyCall::keepAlive() const {
  return Head_.KeepAlive_ && Body_.whole() && !Context_.Port_.draining() &&
         !Context_.Listener_.stopping();
}

Until ProxyCall::within(Duration D) const {
  return Until(Context_.Clock_, Context_.Clock_.now() + D);
}

Until ProxyCall::deadline() const {
  return Until(Context_.Clock_, Ticket_->deadline());
}

} // namespace lagoonpoint::internal
