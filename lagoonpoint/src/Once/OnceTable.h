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

/// What to do with a call on a once-route.
enum class OnceAction : std::uint8_t {
  Wait,    ///< takeCompleted() will name the ticket
  Run,     ///< dispatch it now, then report how it ended
  Forward, ///< pass it to the entry VM named
  Replay,  ///< answer with the kept answer
  Refuse,  ///< refuse with the reason
};

/// \class OnceDecision
/// \ingroup Once
/// \brief Answer to begin(), or how a wait ended.
struct OnceDecision {
  OnceAction Action_ = OnceAction::Refuse;
  std::uint64_t Ticket_ = 0;
  VmId ForwardTo_;
  OnceResponse Response_;
  RefusalReason Reason_ = RefusalReason::Internal;
  Ran Ran_ = Ran::No;
};

/// Bounds on what a VM remembers.
struct OnceLimits {
  std::size_t MaxRecords_ = 200'000;        ///< new keys are refused beyond it
  std::size_t MaxResponseBytes_ = 64 << 20; ///< of all kept answers
  std::size_t MaxBytesPerResponse_ = 1 << 20; ///< larger answers are not kept
  Duration ClaimTimeout_ = Duration::millis(1000); ///< wait for confirmations
  Duration ResendInterval_ = Duration::millis(50); ///< claims and outcomes
  Duration OutcomeResendFor_ = Duration::millis(10'000); ///< outcomes
};

/// \class OnceTable
/// \ingroup Once
/// \brief Decides which calls on once-routes may run, so that each idempotency
/// key is dispatched at most once.
///
/// Not thread-safe. Every VM has one; only members of a key's home zone run
/// it, and only once all members of the zone's view hold the claim. Two views
/// between which a key of epoch E may run have a member in common that has
/// been in every view since E, and a member holds one claim a key.
class OnceTable {
public:
  /// \param UnixMillis the wall clock at \p Now; read once, so that later steps
  /// of the wall clock don't move the expiry of keys
  OnceTable(VmId Self, ZoneId Zone, Incarnation I, std::int64_t UnixMillis,
            Time Now, OnceLimits Limits = {});

  /// Takes in a zone's view; older ones are ignored.
  void setView(const OnceView &View, Time Now);
  /// How long keys are accepted and answers kept, from a key's issue.
  void setRetention(Duration Retention) { Retention_ = Retention; }

  /// \returns the prefix for keys whose home is \p Zone, empty if its view
  /// isn't known.
  std::string prefix(const ZoneId &Zone, Time Now) const;

  /// Decides on a call.
  /// \param Digest of method, path and body
  /// \param Forwarded another entry VM sent it here; never passed on again
  OnceDecision begin(const std::string &Key, const std::string &Digest,
                     Time Deadline, bool Forwarded, Time Now);

  /// The call that was told to run got its whole answer.
  void recordResponse(const std::string &Key, const OnceResponse &Response,
                      Time Now);
  /// The call that was told to run provably did not run.
  void recordNotRun(const std::string &Key, Time Now);
  /// The call that was told to run may have run.
  void recordUnknown(const std::string &Key, Time Now);

  /// \returns the waits that ended since the last call.
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
  /// \returns true if this VM has been a member since before the key's issue.
  bool wasMemberAtIssue(const OnceKey &Key) const;
  /// Refuses a call whose claim was not confirmed by all members.
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

  /// \returns true if A's claim wins over one of B at the same time.
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
  std::int64_t ExpiredUpTo_ = 0; ///< keys issued by then are refused
  std::map<ZoneId, OnceView> Views_;
  std::unordered_map<std::string, OnceRecord> Records_;
  std::set<std::string> ActiveKeys_; ///< keys with waits or messages to resend
  std::multimap<std::int64_t, std::string> KeysByIssueTime_;
  std::deque<std::string> KeysWithResponse_; ///< oldest first
  std::size_t ResponseBytes_ = 0;
  std::uint64_t NextTicket_ = 0;
  std::uint64_t NextAttempt_ = 0;
  std::vector<OnceDecision> Completed_;
  std::map<VmId, OnceBatch> Outbox_;
};

} // namespace lagoonpoint
