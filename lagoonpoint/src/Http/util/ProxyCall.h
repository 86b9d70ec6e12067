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

/// Step of the refusals that follow a failed try.
inline constexpr const char *FailedTryStep = "http.try";

/// State shared by all calls of a listener.
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
/// \brief Forwards one call to an upstream and the response to the caller.
///
/// Request bodies up to a limit are read before the first try, so that a
/// truncated one reaches no upstream and a try can be repeated. Longer ones are
/// streamed. Responses are buffered up to a limit, so that a call whose
/// response is truncated early can still be refused. A once-request runs to
/// completion even if its caller leaves: the response is stored for the
/// caller's resend.
class ProxyCall {
public:
  /// \param Body the request's body, not yet read
  /// \param Slot held for this call
  ProxyCall(const ProxyContext &Context, Connection &Caller,
            const RequestHead &Head, BodyReader &Body, Call &C,
            CallSlots::Slot &Slot);

  /// \returns true if the caller's connection can be reused
  /// \throws Refusal if the call failed before response bytes were sent to the
  /// caller
  bool run();
  /// \returns true if an upstream may have run the request.
  bool mayHaveRun() const { return MayHaveRun_; }
  /// \returns true if response bytes were sent to the caller.
  bool responseStarted() const { return ResponseStarted_; }

private:
  /// One exchange with an upstream.
  struct Try {
    CallTarget Target_;
    std::unique_ptr<BufferedSocket> Socket_;
    TryReport Report_;
    std::optional<ResponseHead> Head_;
    std::string Body_;              ///< buffered part of the response body
    std::optional<Deadline> Limit_; ///< of this try, if it may be repeated
    bool SentAll_ = false;          ///< the complete request was sent
    bool MayHaveRunBefore_ = false; ///< an earlier try may have run the request
    std::optional<Refusal> BodyFault_; ///< of the caller, in a streamed body
    unsigned SkippedResponses_ = 0;    ///< responses to other requests
    unsigned InterimResponses_ = 0;    ///< responses of status 1xx
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
  bool failBody(Try &T, const Refusal &R);
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
  bool deadlinePassed() const;
  Deadline bodyLimit() const;
  std::optional<Deadline> tryLimit() const;
  Deadline deadlineOf(const Try &T) const;

  const ProxyContext &Context_;
  Connection &Caller_;
  const RequestHead &Head_;
  BodyReader &Body_;
  Call &Call_;
  CallSlots::Slot &Slot_;
  RouteDecl Route_;
  std::unique_ptr<CallHandle> Handle_;
  std::string BufferedBody_; ///< request body read before the first try
  std::size_t BodyBytes_ = 0;
  bool BodyStreamed_ = false; ///< read beyond BufferedBody_; no retry
  bool MayHaveRun_ = false;
  bool ResponseStarted_ = false;
};

} // namespace lagoonpoint::internal
