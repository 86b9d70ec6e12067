#pragma once

#include "lagoonpoint/src/Once/OnceRecord.h"
#include "lagoonpoint/src/Once/OnceView.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonpoint {

/// What to do with a call on a route of kind "once".
enum class OnceAction : std::uint8_t {
  Wait,    ///< takeCompleted() will return the ticket
  Run,     ///< dispatch it now, then record its outcome
  Forward, ///< forward it to ForwardTo_
  Replay,  ///< send the stored response
  Refuse,  ///< refuse it with Reason_
};

/// \class OnceDecision
/// \ingroup Once
/// \brief Result of begin() or of a wait.
struct OnceDecision {
  OnceAction Action_ = OnceAction::Refuse;
  std::uint64_t Ticket_ = 0;
  VmId ForwardTo_;
  OnceResponse Response_;
  RefusalReason Reason_ = RefusalReason::Internal;
  Ran Ran_ = Ran::No;
};

/// Limits on stored records and responses, and timing of messages.
struct OnceLimits {
  std::size_t MaxRecords_ = 200'000;        ///< new keys beyond it are refused
  std::size_t MaxResponseBytes_ = 64 << 20; ///< all stored responses together
  std::size_t MaxBytesPerResponse_ = 1
                                     << 20; ///< larger responses are not stored
  Duration ClaimTimeout_ =
      Duration::millis(1000); ///< for confirmations by all members
  Duration ResendInterval_ = Duration::millis(50); ///< of claims and outcomes
  Duration OutcomeResendFor_ = Duration::millis(10'000); ///< until acknowledged
};

/// \class OnceTable
/// \ingroup Once
/// \brief Decides which calls on routes of kind "once" may run, so that each
/// idempotency key is dispatched at most once.
///
/// Not thread-safe. Every VM has one table. Only members of a key's home zone
/// dispatch the key, after all members of the zone's view have confirmed the
/// claim.
///
/// Why this is safe: a member holds at most one claim per key, and any two
/// views in which a key of epoch E may run share a member that has been in
/// every view since E. Two claims can therefore not both be confirmed by all
/// members.
class OnceTable {
public:
  /// \param UnixMillis wall-clock time at \p Now; read only once, so that later
  /// steps of the wall clock don't change when keys expire
  OnceTable(VmId Self, ZoneId Zone, Incarnation I, std::int64_t UnixMillis,
            Time Now, OnceLimits Limits = {});

  /// Applies a zone's view; older ones are ignored.
  void setView(const OnceView &View, Time Now);
  /// Sets how long keys are accepted and responses stored, counted from a key's
  /// time of issue.
  void setRetention(Duration Retention) { Retention_ = Retention; }

  /// \returns the prefix for keys with home zone \p Zone, empty if the zone's
  /// view is unknown.
  std::string prefix(const ZoneId &Zone, Time Now) const;

  /// Decides what to do with a call.
  /// \param Digest hash of method, path and body
  /// \param Forwarded true if another entry VM forwarded the call; it is not
  /// forwarded again
  OnceDecision begin(const std::string &Key, const std::string &Digest,
                     Time Deadline, bool Forwarded, Time Now);

  /// Records that the dispatched call got its complete response.
  void recordResponse(const std::string &Key, const OnceResponse &Response,
                      Time Now);
  /// Records that the dispatched call provably did not run.
  void recordNotRun(const std::string &Key, Time Now);
  /// Records that the dispatched call may have run.
  void recordUnknown(const std::string &Key, Time Now);

  /// \returns the decisions on waiting calls made since the last call.
  std::vector<OnceDecision> takeCompleted();

  /// Call at least every 50 ms.
  void tick(Time Now);
  /// \throws CodecError if the message is malformed; nothing is changed then
  void receive(const Envelope &Message, Time Now);
  std::vector<Envelope> takeOutbox();

  std::size_t records() const { return Records_.size(); }
  std::size_t responseBytes() const { return ResponseBytes_; }

private:
  std::int64_t unixMillis(Time Now) const;
  void evictExpired(Time Now);
  bool expired(const OnceKey &Key) const;
  const OnceView *homeView() const;
  bool isMember() const;

  OnceDecision decideForRecord(const std::string &Text, OnceRecord &R,
                               const std::string &Digest,
                               const OnceWaiter &Caller, Time Now);
  OnceDecision startClaim(const std::string &Text, OnceRecord &R,
                          const std::string &Digest, const OnceWaiter &Caller,
                          Time Now);
  OnceDecision addWaiter(const std::string &Text, OnceRecord &R,
                         const OnceWaiter &Caller);
  void sendClaims(const std::string &Text, OnceRecord &R, Time Now);
  void dispatchIfConfirmed(const std::string &Text, OnceRecord &R, Time Now);
  /// \returns true if this VM was already a member in the key's epoch and has
  /// stayed one.
  bool wasMemberAtIssue(const OnceKey &Key) const;
  /// Refuses a call whose claim wasn't confirmed by all members.
  OnceDecision refuseUnclaimed(const OnceRecord &R, RefusalReason Reason) const;
  void release(const std::string &Text, OnceRecord &R, OnceDecision Decision,
               Time Now);
  void finish(const std::string &Text, OnceState State,
              const OnceResponse *Response, Time Now);
  void broadcastOutcome(const std::string &Text, OnceRecord &R, Time Now);
  void sendOutcome(const std::string &Text, OnceRecord &R, const VmId &To);
  void completeWaiters(OnceRecord &R, const OnceDecision &Decision);
  void storeResponse(const std::string &Text, OnceRecord &R,
                     const OnceResponse &Response);
  void dropResponse(OnceRecord &R);
  OnceRecord *insert(const std::string &Text, const OnceKey &Key);

  /// \returns true if A's claim takes precedence over a concurrent one of B.
  bool hasPriority(const VmId &A, const VmId &B, const std::string &Text) const;
  std::optional<OnceClaimStatus> evaluateClaim(const OnceClaim &C);
  void onClaim(const VmId &From, const OnceClaim &C);
  void onClaimAck(const VmId &From, const OnceClaimAck &A, Time Now);
  void onOutcome(const VmId &From, const OnceOutcome &O);
  void onOutcomeAck(const VmId &From, const OnceOutcomeAck &A);
  bool tickRecord(const std::string &Text, OnceRecord &R, Time Now);

  VmId Self_;
  ZoneId Zone_;
  Incarnation Incarnation_;
  std::int64_t UnixOrigin_;
  OnceLimits Limits_;
  Duration Retention_ = Duration::seconds(600);
  std::int64_t ExpiredUpTo_ = 0; ///< keys issued up to then are refused
  std::map<ZoneId, OnceView> Views_;
  std::unordered_map<std::string, OnceRecord> Records_;
  std::set<std::string> ActiveKeys_; ///< with waits or messages to resend
  std::multimap<std::int64_t, std::string> KeysByIssueTime_;
  std::deque<std::string> KeysWithResponse_; ///< oldest first
  std::size_t ResponseBytes_ = 0;
  std::uint64_t NextTicket_ = 0;
  std::uint64_t NextAttempt_ = 0;
  std::vector<OnceDecision> Completed_;
  std::map<VmId, OnceBatch> Outbox_;
};

} // namespace lagoonpoint
