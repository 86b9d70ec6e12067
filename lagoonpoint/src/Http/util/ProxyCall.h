#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/util/Answers.h"
#include "lagoonpoint/src/Http/util/BodyReader.h"
#include "lagoonpoint/src/Http/util/CallSlots.h"
#include "lagoonpoint/src/Http/util/UpstreamPool.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace lagoonpoint::internal {

/// Step of the refusals that follow a try's failure.
inline constexpr const char *FailedTryStep = "http.try";

/// What all calls of a listener share.
struct ProxyContext {
  CallerPort &Port_;
  const Settings &Settings_;
  const Clock &Clock_;
  const Dialect &Dialect_;
  UpstreamPool &Pool_;
  const Listener &Listener_;
};

/// \class ProxyCall
/// \ingroup Http
/// \brief Passes one call to an upstream and its answer to the caller.
///
/// Request bodies up to a limit are read before the first try, so that a cut
/// one reaches no upstream and a try can be repeated; longer ones are passed
/// on as they come. Answers are held back up to a limit, so that one that is
/// cut early can still be refused. A once-request runs to its end also if its
/// caller leaves: the answer is kept for the caller's resend.
class ProxyCall {
public:
  /// \param Body the request's body, not yet read
  /// \param Slot held for this call
  ProxyCall(const ProxyContext &Context, Connection &Caller,
            const RequestHead &Head, BodyReader &Body, Call &C,
            CallSlots::Held &Slot);

  /// \returns true if the caller's connection can be used again
  /// \throws Refusal while nothing of an answer has gone to the caller
  bool run();
  /// \returns true if some upstream may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }
  /// \returns true if bytes of an answer have gone to the caller.
  bool answerBegun() const { return AnswerBegun_; }

private:
  /// One exchange with an upstream.
  struct Try {
    CallTarget To_;
    std::unique_ptr<Wire> Wire_;
    TryReport Report_;
    std::optional<AnswerHead> Head_;
    std::string Body_;       ///< as far as it is held back
    bool SentAll_ = false;   ///< whole request was sent
    bool RanBefore_ = false; ///< an earlier try may have run the request
    unsigned Skipped_ = 0;   ///< answers to other requests
    std::chrono::steady_clock::time_point Began_;
  };

  void checkLength() const;
  void readAhead(std::size_t Limit);
  void continueExpected();
  std::string bodyDigest() const;
  bool sendStored(const StoredAnswer &Stored);

  bool tryAll();
  CallTarget nextTarget();
  bool tryOnce(Try &T, bool &Reusable);
  bool open(Try &T);
  bool send(Try &T);
  bool sendRest(Try &T);
  bool sendPiece(Try &T, std::string_view Piece, const Until &Limit);
  bool receiveHead(Try &T);
  bool parseHead(Try &T, std::size_t Length, bool &Interim);
  bool skipAnswer(Try &T);
  bool receiveBody(Try &T, BodyReader &Reader, bool &Whole);
  bool finishWhole(Try &T);
  bool relay(Try &T, BodyReader &Reader);
  TryResult relayBody(Try &T, BodyReader &Reader, bool Chunked);

  bool fail(Try &T, TryResult End);
  bool failWire(Try &T, WireEnd End);
  bool report(Try &T);
  void refuse(const Try &T);
  void releaseWire(Try &T);
  bool writeToCaller(std::string_view Text);
  std::string answerHead(const Try &T, const Fields &F, bool KeepAlive) const;

  Framing sentFraming() const;
  bool keepAlive() const;
  bool toHead() const { return Call_.Method_ == "HEAD"; }
  bool callerLeft() const;
  bool isOnce() const { return Route_.Kind_ == RouteKind::Once; }
  const Wire *watched() const { return isOnce() ? nullptr : &Caller_.Wire_; }
  Until within(Duration D) const;
  Until deadline() const;

  const ProxyContext &Context_;
  Connection &Caller_;
  const RequestHead &Head_;
  BodyReader &Body_;
  Call &Call_;
  CallSlots::Held &Slot_;
  RouteDecl Route_;
  std::unique_ptr<CallTicket> Ticket_;
  std::string Held_; ///< of the request's body, read ahead
  std::size_t BodyBytes_ = 0;
  bool BodyPassedOn_ = false; ///< more than Held_ was taken from the caller
  bool MayHaveRun_ = false;
  bool AnswerBegun_ = false;
};

} // namespace lagoonpoint::internal
