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

/// Parameters of `GET /v1/lookup`.
struct LookupQuery {
  ServiceId Service_;
  std::string ClientAddress_; ///< `client` parameter or peer address
};

/// One entry VM that a caller may use.
struct LookupTarget {
  VmId Vm_;
  ZoneId Zone_;
  Address Address_;
  double Weight_ = 0; ///< fraction of the caller's calls; weights sum to 1
};

/// Response to a lookup, best VM first.
struct LookupReply {
  std::vector<LookupTarget> Targets_;
  Duration Ttl_;
  Revision Revision_;
  std::string OncePrefix_; ///< prefix for the caller's idempotency keys
};

/// The parsed request head of a call.
struct Call {
  RequestId Request_;
  std::string Method_;
  std::string Path_; ///< with query
  std::string Key_;  ///< "ID.SECRET"; empty if none was sent
  std::string IdempotencyKey_;
  std::string Host_;   ///< value of the Host field
  std::string Object_; ///< affinity key; empty if not given
  TeamId Team_;        ///< set once the call is admitted
  std::string ClientAddress_;
  std::optional<Duration> Deadline_; ///< time allowed by the caller, if given
  Time ArrivedAt_;
  bool Forwarded_ = false; ///< forwarded by another entry VM
  std::string BodyDigest_; ///< set on once-routes; detects a reused key
};

/// Where one try of a call is sent.
struct CallTarget {
  UpstreamId Upstream_; ///< empty if Vm_ is set
  VmId Vm_; ///< home VM of the idempotency key; gets the caller's key
  Address Address_;
};

/// Load that an upstream reports in a response.
struct ReportedLoad {
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  unsigned Slots_ = 0;
  /// How long work takes on its machine at present, in percent of the usual
  /// time; none if it doesn't say.
  std::optional<unsigned> PacePercent_;
};

/// What an upstream states about itself in the head of a response.
struct UpstreamStatement {
  /// Rate that it accepts from all VMs together; none if it states no limit.
  std::optional<double> RequestsPerSecond_;
  bool Leaving_ = false; ///< it accepts no new requests soon
  /// Time in which it wants no request of this VM, with status 503.
  std::optional<Duration> Pause_;
};

/// The listener's report on one try.
struct TryReport {
  TryResult Result_ = TryResult::Answered;
  int Status_ = 0; ///< upstream's status, if a response head was received
  std::int64_t Micros_ = 0;        ///< from dispatch to the end of the response
  std::int64_t BytesSent_ = 0;     ///< to the upstream
  std::int64_t BytesReceived_ = 0; ///< from the upstream
  bool ResponseStarted_ = false;   ///< response bytes were sent to the caller
  bool Misdirected_ = false; ///< another upstream has the address (status 421)
  std::optional<ReportedLoad> Load_; ///< if the response reports it
};

/// The stored response of a once-request.
struct StoredResponse {
  int Status_ = 0;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// \class CallHandle
/// \ingroup Http
/// \brief One admitted call. Its destruction releases all resources it holds.
class CallHandle {
public:
  virtual ~CallHandle() = default;

  virtual const RouteDecl &route() const = 0;
  /// \returns the team, empty on an open route.
  virtual const TeamId &team() const = 0;
  /// \returns the time by which the response must begin.
  virtual Time deadline() const = 0;
  /// \returns the time by which the response must have been passed on, if it
  /// is earlier than the listener's body timeout.
  virtual std::optional<Time> bodyDeadline() const { return {}; }
  /// \returns the limit of the current try, if it is earlier than deadline().
  /// A try that reaches it may be repeated. Used on repeatable routes only.
  virtual std::optional<Time> tryDeadline() const { return {}; }

  /// \returns the response stored for this idempotency key, if the call has
  /// run.
  virtual std::optional<StoredResponse> storedResponse() = 0;

  /// Chooses the target of the next try and reserves a slot there. May wait in
  /// the team's queue. Never returns the same upstream twice.
  /// \throws Refusal if the call must end
  virtual CallTarget nextTarget() = 0;

  /// Records what the upstream of the current try states about itself. Called
  /// when the head of its response has arrived, before the caller gets it.
  virtual void recordStatement(const UpstreamStatement &) {}

  /// Records the outcome of a try and releases its slot.
  /// \returns true if the call may be tried again
  virtual bool recordTry(const TryReport &Report) = 0;

  /// Stores the response of a once-request for resends.
  virtual void storeResponse(const StoredResponse &Response) = 0;
};

/// \class CallerPort
/// \ingroup Http
/// \brief Interface of the entry VM to the callers' listener. Thread-safe.
class CallerPort {
public:
  virtual ~CallerPort() = default;

  /// \throws Refusal
  virtual LookupReply lookup(const LookupQuery &Query) = 0;

  /// Finds the route without admitting the call. The listener uses it to decide
  /// whether to read the body before admission, as once-routes require.
  /// \throws Refusal if no route matches
  virtual RouteDecl route(const std::string &Path) = 0;
  /// Like route(), for ports whose routes also depend on the host.
  virtual RouteDecl routeOf(const Call &C) {
    return route(C.Path_.substr(0, C.Path_.find('?')));
  }

  /// Checks route, key and limits. May wait for a lease within the deadline.
  /// \throws Refusal
  virtual std::unique_ptr<CallHandle> admit(const Call &C) = 0;

  /// \returns true if connections should be closed after their current
  /// response.
  virtual bool draining() const = 0;
};

} // namespace lagoonpoint
