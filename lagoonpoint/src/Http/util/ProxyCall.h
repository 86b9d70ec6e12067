#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/util/BodyReader.h"
#include "lagoonpoint/src/Http/util/CallSlots.h"
#include "lagoonpoint/src/Http/util/Responses.h"
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
            CallSlots::Slot &Slot);

  /// \returns true if the caller's connection can be used again
  /// \throws Refusal while nothing of an answer has gone to the caller
  bool run();
  /// \returns true if some upstream may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }
  /// \returns true if bytes of an answer have gone to the caller.
  bool responseStarted() const { return ResponseStarted_; }

private:
  /// One exchange with an upstream.
  struct Try {
    CallTarget Target_;
    std::unique_ptr<BufferedSocket> Socket_;
    TryReport Report_;
    std::optional<ResponseHead> Head_;
    std::string Body_;              ///< as far as it is held back
    bool SentAll_ = false;          ///< whole request was sent
    bool MayHaveRunBefore_ = false; ///< an earlier try may have run the request
    unsigned SkippedResponses_ = 0; ///< answers to other requests
    std::chrono::steady_clock::time_point StartedAt_;
  };

  void checkLength() const;
  void bufferBody(std::size_t MaxBytes);
  void sendContinue();
  std::string bodyDigest() const;
  bool sendStoredResponse(const StoredResponse &Stored);

  bool runTries();
  CallTarget nextTarget();
  bool runTry(Try &T, bool &Reusable);
  bool connect(Try &T);
  bool send(Try &T);
  bool streamRequestBody(Try &T);
  bool sendBodyData(Try &T, std::string_view Data, const Deadline &Limit);
  bool receiveHead(Try &T);
  bool parseHead(Try &T, std::size_t Length, bool &Interim);
  bool skipResponse(Try &T);
  bool receiveBody(Try &T, BodyReader &Reader, bool &Complete);
  bool sendComplete(Try &T);
  bool streamResponse(Try &T, BodyReader &Reader);
  TryResult streamBody(Try &T, BodyReader &Reader, bool Chunked);

  bool fail(Try &T, TryResult Result);
  bool failIo(Try &T, IoStatus Status);
  bool report(Try &T);
  void refuse(const Try &T);
  void releaseConnection(Try &T);
  bool writeToCaller(std::string_view Text);
  std::string responseHead(const Try &T, const HeaderFields &F,
                           bool KeepAlive) const;

  Framing requestFraming() const;
  bool keepAlive() const;
  bool isHeadRequest() const { return Call_.Method_ == "HEAD"; }
  bool callerLeft() const;
  bool isOnce() const { return Route_.Kind_ == RouteKind::Once; }
  const BufferedSocket *watchedCaller() const {
    return isOnce() ? nullptr : &Caller_.Socket_;
  }
  Deadline deadlineIn(Duration D) const;
  Deadline deadline() const;

  const ProxyContext &Context_;
  Connection &Caller_;
  const RequestHead &Head_;
  BodyReader &Body_;
  Call &Call_;
  CallSlots::Slot &Slot_;
  RouteDecl Route_;
  std::unique_ptr<CallHandle> Handle_;
  std::string BufferedBody_; ///< of the request's body, read ahead
  std::size_t BodyBytes_ = 0;
  bool BodyStreamed_ = false; ///< more than Held_ was taken from the caller
  bool MayHaveRun_ = false;
  bool ResponseStarted_ = false;
};

} // namespace lagoonpoint::internal
