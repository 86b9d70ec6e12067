#include "lagoonpoint/src/Http/util/ProxyCall.h"

#include "lagoonpoint/src/Http/util/Forwarding.h"

#include <Poco/SHA2Engine.h>

#include <cstdio>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t HeldRequestBytes = 64 * 1024;
constexpr Duration ConnectTimeout = Duration::seconds(1);
constexpr const char *Step = "http.proxy";

Refusal badBody(Ran R) {
  return Refusal(RefusalReason::BadRequest, R, Step,
                 "request body is cut, late or malformed");
}

Refusal tooLarge(Ran R) {
  return Refusal(RefusalReason::TooLarge, R, Step,
                 "request body is longer than the limit");
}

RefusalReason reasonOf(TryEnd End) {
  switch (End) {
  case TryEnd::NotConnected:
  case TryEnd::NothingSent:
    return RefusalReason::NoUpstream;
  case TryEnd::Shed:
    return RefusalReason::NoCapacity;
  case TryEnd::TimedOut:
    return RefusalReason::DeadlinePassed;
  default:
    return RefusalReason::UpstreamFailed;
  }
}

const char *messageOf(TryEnd End) {
  switch (End) {
  case TryEnd::NotConnected:
  case TryEnd::NothingSent:
    return "the upstream could not be reached";
  case TryEnd::Shed:
    return "the upstream did not take the request";
  case TryEnd::TimedOut:
    return "the deadline passed before the upstream answered";
  default:
    return "the upstream's answer was cut or malformed";
  }
}

std::string pathOnly(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace

ProxyCall::ProxyCall(const ProxyContext &Context, Connection &Caller,
                     const RequestHead &Head, BodyReader &Body, Call &C,
                     CallSlots::Held &Slot)
    : Context_(Context), Caller_(Caller), Head_(Head), Body_(Body), Call_(C),
      Slot_(Slot) {}

bool ProxyCall::run() {
  checkLength();
  Route_ = Context_.Port_.route(pathOnly(Call_.Path_));
  if (isOnce()) {
    continueExpected();
    readAhead(Context_.Settings_.MaxBodyBytes_);
    Call_.BodyDigest_ = bodyDigest();
  }
  Ticket_ = Context_.Port_.admit(Call_);
  Slot_.assign(Ticket_->team());
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
  if (T.Report_.End_ == TryEnd::CallerLeft)
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
  return fail(T, Left ? TryEnd::CallerLeft : TryEnd::NotConnected);
}

Framing ProxyCall::sentFraming() const {
  if (!Body_.whole() || Head_.Body_.Kind_ == FramingKind::None)
    return Head_.Body_;
  return {FramingKind::Length, static_cast<std::int64_t>(Held_.size())};
}

bool ProxyCall::send(Try &T) {
  Duration Left = Ticket_->deadline() - Context_.Clock_.now();
  std::string Text =
      forwardedHead(Head_, Call_, T.To_, Context_.Settings_, sentFraming(),
                    std::max(Left, Duration::millis(1)));
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
    char Size[20];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Piece.size());
    Text.append(Size).append(Piece).append("\r\n");
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
      return fail(T, TryEnd::CallerLeft);
    BodyBytes_ += Piece.size();
    if (BodyBytes_ > Context_.Settings_.MaxBodyBytes_)
      return fail(T, TryEnd::CallerLeft);
    if (!sendPiece(T, Piece, Limit))
      return false;
  }
  if (Head_.Body_.Kind_ != FramingKind::Chunked)
    return true;
  WireEnd End = T.Wire_->write("0\r\n\r\n", Limit, T.Report_.BytesSent_);
  return End == WireEnd::Ready || failWire(T, End);
}

bool ProxyCall::receiveHead(Try &T) {
  for (;;) {
    std::size_t Length = headLength(T.Wire_->buffered());
    if (Length != std::string_view::npos) {
      bool Interim = false;
      if (!parseHead(T, Length, Interim))
        return false;
      if (!Interim)
        return true;
      continue;
    }
    if (T.Wire_->full())
      return fail(T, TryEnd::Broken);
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
    return fail(T, TryEnd::Broken);
  }
  T.Wire_->consume(Length);
  T.Report_.BytesReceived_ += static_cast<std::int64_t>(Length);
  T.Report_.Status_ = T.Head_->Response_.getStatus();
  if (T.Report_.Status_ == 101)
    return fail(T, TryEnd::Broken);
  Interim = T.Report_.Status_ < 200;
  return true;
}

// Holds the answer back until it is whole, long, or slow to come.
bool ProxyCall::receiveBody(Try &T, BodyReader &Reader, bool &Whole) {
  constexpr std::size_t HeldAnswerBytes = 64 * 1024;
  constexpr Duration HeldFor = Duration::millis(50);
  std::size_t Most =
      isOnce() ? Context_.Settings_.MaxBodyBytes_ : HeldAnswerBytes;
  Until Limit =
      isOnce() ? deadline() : within(HeldFor).min(Ticket_->deadline());
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
      return fail(T, TryEnd::CallerLeft);
    return fail(T,
                End == BodyEnd::TimedOut ? TryEnd::TimedOut : TryEnd::Broken);
  }
  if (!Whole && isOnce())
    return fail(T, TryEnd::Broken);
  bool Shed = T.Report_.Status_ == 503 &&
              T.Head_->Response_.get(NotRunField, "") == "1";
  if (Whole && Shed && (T.To_.Vm_.empty() || !isOnce())) {
    releaseWire(T);
    MayHaveRun_ = T.RanBefore_;
    return fail(T, TryEnd::Shed);
  }
  return true;
}

bool ProxyCall::finishWhole(Try &T) {
  releaseWire(T);
  T.Report_.End_ = TryEnd::Answered;
  if (isOnce() && T.To_.Vm_.empty()) {
    Fields Kept = answerFields(T.Head_->Response_, Call_.Request_);
    Kept.pop_back();
    Ticket_->keep({T.Report_.Status_, Kept, T.Body_});
  }
  report(T);
  bool KeepAlive = keepAlive();
  Fields F = answerFields(T.Head_->Response_, Call_.Request_);
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
  bool Chunked = Body.Kind_ == FramingKind::Chunked && Http11;
  bool KeepAlive = keepAlive() && Http11;
  Fields F = answerFields(T.Head_->Response_, Call_.Request_);
  std::string Text = answerHead(T, F, KeepAlive);
  if (Body.Kind_ == FramingKind::Length)
    Text += "Content-Length: " + std::to_string(Body.Length_) + "\r\n";
  if (Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  Text += "\r\n";
  T.Report_.AnswerBegun_ = true;
  AnswerBegun_ = true;
  bool Begun = writeToCaller(Text);
  T.Report_.End_ = Begun ? relayBody(T, Reader, Chunked) : TryEnd::CallerLeft;
  bool Good = T.Report_.End_ == TryEnd::Answered;
  if (Good)
    releaseWire(T);
  report(T);
  if (!Good)
    Caller_.Wire_.reset();
  return Good && KeepAlive;
}

TryEnd ProxyCall::relayBody(Try &T, BodyReader &Reader, bool Chunked) {
  Until Limit = within(Context_.Settings_.BodyTimeout_);
  std::string_view Piece = T.Body_;
  for (;;) {
    std::string Text;
    if (Chunked && !Piece.empty()) {
      char Size[20];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Piece.size());
      Text.append(Size).append(Piece).append("\r\n");
      Piece = Text;
    }
    std::int64_t Written = 0;
    if (Caller_.Wire_.write(Piece, Limit, Written) != WireEnd::Ready)
      return TryEnd::CallerLeft;
    BodyEnd End = Reader.next(Piece, Limit, &Caller_.Wire_);
    if (End == BodyEnd::Whole)
      break;
    if (End == BodyEnd::Watched)
      return TryEnd::CallerLeft;
    if (End != BodyEnd::Piece)
      return End == BodyEnd::TimedOut ? TryEnd::TimedOut : TryEnd::Broken;
    T.Report_.BytesReceived_ += static_cast<std::int64_t>(Piece.size());
  }
  if (Chunked && !writeToCaller("0\r\n\r\n"))
    return TryEnd::CallerLeft;
  return TryEnd::Answered;
}

bool ProxyCall::fail(Try &T, TryEnd End) {
  T.Report_.End_ = End;
  return false;
}

bool ProxyCall::failWire(Try &T, WireEnd End) {
  if (End == WireEnd::Watched)
    return fail(T, TryEnd::CallerLeft);
  if (T.Report_.BytesSent_ == 0)
    return fail(T, TryEnd::NothingSent);
  return fail(T, End == WireEnd::TimedOut ? TryEnd::TimedOut : TryEnd::Broken);
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
  bool Shed = T.Report_.End_ == TryEnd::Shed;
  throw Refusal(reasonOf(T.Report_.End_), Truth, Step,
                messageOf(T.Report_.End_),
                Shed ? Duration::seconds(1) : Duration());
}

// Gives the connection back for reuse if its exchange is over on both sides.
void ProxyCall::releaseWire(Try &T) {
  bool Clean = T.SentAll_ && T.Head_->KeepAlive_ && T.Wire_->buffered().empty();
  if (Clean)
    Context_.Pool_.give(T.To_.Address_, std::move(T.Wire_));
  T.Wire_.reset();
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
