#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Retry/TryResult.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint {

/// `GET /v1/lookup`
struct LookupQuery {
  ServiceId Service_;
  std::string ClientAddress_; ///< of the connection, or the `client` parameter
};

/// One entry VM a caller may use.
struct LookupTarget {
  VmId Vm_;
  ZoneId Zone_;
  Address Address_;
  double Weight_ = 0; ///< share of the caller's calls; weights sum to 1
};

/// Answer to a look-up, best VM first.
struct LookupReply {
  std::vector<LookupTarget> Targets_;
  Duration Ttl_;
  Revision Revision_;
  std::string OncePrefix_; ///< callers begin idempotency keys with it
};

/// The head of a call, as the listener understood it.
struct Call {
  RequestId Request_;
  std::string Method_;
  std::string Path_; ///< with query
  std::string Key_;  ///< "ID.SECRET"; empty if none was shown
  std::string IdempotencyKey_;
  std::string Host_;   ///< as the caller named it
  std::string Object_; ///< whom or what the call concerns; empty if not said
  TeamId Team_;        ///< once it is admitted
  std::string ClientAddress_;
  std::optional<Duration> Deadline_; ///< what the caller allows, if it said
  Time ArrivedAt_;
  bool Forwarded_ = false; ///< another entry VM sent it here
  std::string BodyDigest_; ///< set for once-routes: tells reused keys apart
};

/// Where one try of a call is sent.
struct CallTarget {
  UpstreamId Upstream_; ///< empty if Vm_ is set
  VmId Vm_;             ///< home entry VM of a once-key: the key is passed on
  Address Address_;
};

/// What an upstream's answer tells of its load.
struct ReportedLoad {
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  unsigned Slots_ = 0;
};

/// What the listener reports of one try.
struct TryReport {
  TryResult Result_ = TryResult::Answered;
  int Status_ = 0;             ///< upstream's status, if a head was received
  std::int64_t Micros_ = 0;    ///< from dispatch to the end of the answer
  std::int64_t BytesSent_ = 0; ///< to the upstream
  std::int64_t BytesReceived_ = 0; ///< from the upstream
  bool ResponseStarted_ =
      false;                 ///< bytes of the answer have gone to the caller
  bool Misdirected_ = false; ///< another upstream has the address
  std::optional<ReportedLoad> Load_; ///< if the answer told it
};

/// A stored answer of a once-request.
struct StoredResponse {
  int Status_ = 0;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// \class CallHandle
/// \ingroup Http
/// \brief One admitted call; its destruction releases all that it holds.
class CallHandle {
public:
  virtual ~CallHandle() = default;

  virtual const RouteDecl &route() const = 0;
  /// \returns the team, empty on an open route.
  virtual const TeamId &team() const = 0;
  virtual Time deadline() const = 0;

  /// \returns the answer kept for this idempotency key, if the call has run.
  virtual std::optional<StoredResponse> storedResponse() = 0;

  /// Chooses where to send the next try and reserves a slot there, waiting in
  /// the team's queue if need be. Never names one upstream twice.
  /// \throws Refusal if the call must end here
  virtual CallTarget nextTarget() = 0;

  /// Reports how the try ended and releases its slot.
  /// \returns true if the call may be tried again
  virtual bool recordTry(const TryReport &Report) = 0;

  /// Keeps the answer of a once-request for resends.
  virtual void storeResponse(const StoredResponse &Response) = 0;
};

/// \class CallerPort
/// \ingroup Http
/// \brief What the callers' listener needs of the entry VM. Thread-safe.
class CallerPort {
public:
  virtual ~CallerPort() = default;

  /// \throws Refusal
  virtual LookupReply lookup(const LookupQuery &Query) = 0;

  /// Finds the route without admitting anything, so that the listener knows
  /// whether to read the body before admission (once-routes).
  /// \throws Refusal if no route matches
  virtual RouteDecl route(const std::string &Path) = 0;
  /// The same where the host counts too.
  virtual RouteDecl routeOf(const Call &C) {
    return route(C.Path_.substr(0, C.Path_.find('?')));
  }

  /// Checks route, key and limits. May wait for a lease within the deadline.
  /// \throws Refusal
  virtual std::unique_ptr<CallHandle> admit(const Call &C) = 0;

  /// \returns true if calls on live connections should end after their answer.
  virtual bool draining() const = 0;
};

} // namespace lagoonpoint
