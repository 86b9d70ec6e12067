#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/UpstreamRegistry.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace lagoonpoint {

/// A VM's description of itself.
struct NodeRecord {
  VmId Vm_;
  bool Core_ = false; ///< core VM, which replicates the items; else entry VM
  ZoneId Zone_;
  RegionId Region_;
  std::string CallerAddress_;     ///< entry VM: "host:port" for callers
  std::uint64_t StartedAtMs_ = 0; ///< process start, Unix time in ms
  DiskId Disk_;                   ///< core VM: id of its data folder
  MSGPACK_DEFINE(Vm_, Core_, Zone_, Region_, CallerAddress_, StartedAtMs_,
                 Disk_)
};

/// Requests per second by name.
using RateMap = std::map<std::string, double>;

/// An upstream that announced itself since the last heartbeat.
struct Sighting {
  UpstreamId Id_;
  std::uint64_t Sequence_ = 0;
  Duration Age_;
  MSGPACK_DEFINE(Id_, Sequence_, Age_)
};

/// An entry VM that sends its heartbeats to the reporting core VM.
struct EntryReport {
  VmId Vm_;
  std::uint64_t StartedAtMs_ = 0;
  bool Ready_ = false;
  Duration Age_;                   ///< since its last heartbeat
  std::vector<NodeRecord> Record_; ///< one, unless the receiver has it
  MSGPACK_DEFINE(Vm_, StartedAtMs_, Ready_, Age_, Record_)
};

/// Sent by core VMs to all core VMs, and by entry VMs to those of their region
/// (see heartbeatTargets()). Leaves out what the receiver already has.
struct Heartbeat {
  std::uint64_t StartedAtMs_ = 0;     ///< start of the sender, Unix time in ms
  std::vector<NodeRecord> Self_;      ///< one, unless the receiver has it
  bool Ready_ = false;                ///< entry VM: accepts new callers
  std::int64_t SentAt_ = 0;           ///< on the sender's clock; echoed
  Revision ItemsRevision_;            ///< of the sender's items
  LogIndex VoterConfigIndex_;         ///< log entry of the newest voter
                                      ///< configuration known to the sender
  bool KnowsVoters_ = false;          ///< else VoterConfigIndex_ is unused
  std::uint64_t UpstreamsDigest_ = 0; ///< of the sender's announcements
  std::vector<VmId> CoreVms_;         ///< known to the sender; empty: unchanged
  bool WantsItems_ = false;
  bool WantsRates_ = false; ///< the reply should include the fleet's rates
  /// Callers' demand at the sender, of teams whose tokens the receiver may
  /// grant; from a core VM: at its region's entry VMs, of teams whose tokens it
  /// may grant.
  RateMap TeamRates_;
  RateMap ServiceRates_;              ///< like TeamRates_, by service
  std::vector<Sighting> Sightings_;   ///< only between core VMs
  std::vector<EntryReport> EntryVms_; ///< only between core VMs
  MSGPACK_DEFINE(StartedAtMs_, Self_, Ready_, SentAt_, ItemsRevision_,
                 VoterConfigIndex_, KnowsVoters_, UpstreamsDigest_, CoreVms_,
                 WantsItems_, WantsRates_, TeamRates_, ServiceRates_,
                 Sightings_, EntryVms_)
};

/// Positions in one core VM's copy of the log.
struct LogProof {
  DiskId Disk_;
  LogIndex LastIndex_;    ///< highest entry on its disk, committed or not
  LogIndex AppliedIndex_; ///< last entry applied to its items
  /// Teams whose items the entries after AppliedIndex_ may change.
  std::vector<std::string> UnappliedTeams_;
  LogIndex VoterConfigIndex_; ///< log entry of the newest voter configuration
                              ///< it knows
  std::vector<VoterConfig> VoterConfig_; ///< one, unless the receiver has it
  MSGPACK_DEFINE(Disk_, LastIndex_, AppliedIndex_, UnappliedTeams_,
                 VoterConfigIndex_, VoterConfig_)
};

/// A core VM's own proof that its items are current, for entry VMs that hold at
/// least its revision.
struct RelayedProof {
  Duration Age_; ///< since the oldest request of the quorum that proves it
  std::vector<std::string> UnprovenTeams_; ///< teams to which it doesn't apply
  MSGPACK_DEFINE(Age_, UnprovenTeams_)
};

/// Combined demand at all entry VMs.
struct FleetRates {
  std::vector<VmId> EntryVms_;                 ///< live entry VMs
  std::map<std::string, RateMap> RegionRates_; ///< service rates by region
  /// Live entry VMs of the core VM's region that accept new callers. An older
  /// core VM doesn't send them.
  std::vector<VmId> RegionEntryVms_;
  bool IsComplete_ = true; ///< else there may be other entry VMs
  MSGPACK_DEFINE(EntryVms_, RegionRates_, RegionEntryVms_, IsComplete_)
};

/// Reply of a core VM to a Heartbeat.
struct HeartbeatReply {
  std::int64_t EchoedSentAt_ = 0; ///< of the heartbeat
  bool KnowsSender_ = true;       ///< else the sender should send its record
  RegionId Region_;               ///< of the core VM
  Revision ItemsRevision_;
  std::uint64_t UpstreamsDigest_ = 0; ///< of the core VM's announcements
  /// Upstreams that recently announced nothing to any core VM.
  std::vector<UpstreamId> SilentUpstreams_;
  LogProof Proof_;
  std::vector<VmId> CoreVms_;              ///< if the sender's list differs
  std::vector<FleetRates> Rates_;          ///< one, if requested
  std::vector<RelayedProof> RelayedProof_; ///< one, if it has a proof
  MSGPACK_DEFINE(EchoedSentAt_, KnowsSender_, Region_, ItemsRevision_,
                 UpstreamsDigest_, SilentUpstreams_, Proof_, CoreVms_, Rates_,
                 RelayedProof_)
};

/// Items that changed since an entry VM's revision.
struct ItemUpdate {
  Revision FromRevision_; ///< the receiver has at least this revision
  Revision ToRevision_;
  LogIndex AppliedIndex_;
  ItemSet Items_;
  std::set<Drain> Drains_; ///< all drains in force
  MSGPACK_DEFINE(FromRevision_, ToRevision_, AppliedIndex_, Items_, Drains_)
};

/// Forwarded announcements. A receiver confirms them if Number_ isn't 0.
struct NoticeBatch {
  std::uint64_t Number_ = 0;
  std::vector<UpstreamNotice> Notices_;
  MSGPACK_DEFINE(Number_, Notices_)
};

/// Confirms NoticeBatch.
struct NoticeAck {
  std::uint64_t Number_ = 0;
  MSGPACK_DEFINE(Number_)
};

/// Requests the announcements that differ at the receiver.
struct NoticeSyncRequest {
  BucketDigests Digests_; ///< of the sender's registry
  MSGPACK_DEFINE(Digests_)
};

/// Answers NoticeSyncRequest. The requester then sends what the answerer lacks
/// as a NoticeBatch.
struct NoticeSyncReply {
  BucketDigests Digests_;               ///< of the answerer's registry
  std::vector<UpstreamNotice> Notices_; ///< in the buckets that differ
  MSGPACK_DEFINE(Digests_, Notices_)
};

/// Requests tokens of a team's rate from a core VM.
struct TokenRequest {
  std::uint64_t Number_ = 0;
  TeamId Team_;
  unsigned Waiting_ = 0;  ///< requests that wait for a token
  unsigned Prefetch_ = 0; ///< tokens for requests expected soon
  unsigned Used_ = 0;     ///< tokens used since the last answer without a grant
  /// A core VM that is ranked before the receiver did not answer in time, but
  /// replies to the sender's heartbeats.
  bool PrecedingReplies_ = false;
  /// Whether another core VM has granted tokens to the sender, and how long ago
  /// that was the last time.
  bool OtherGranted_ = false;
  Duration SinceOtherGrant_;
  MSGPACK_DEFINE(Number_, Team_, Waiting_, Prefetch_, Used_, PrecedingReplies_,
                 OtherGranted_, SinceOtherGrant_)
};

/// Answers TokenRequest.
struct TokenGrant {
  std::uint64_t Number_ = 0; ///< of the request
  TeamId Team_;
  unsigned Count_ = 0;
  Duration RetryAfter_;  ///< until more are available, if Count_ is too low
  bool IsHolder_ = true; ///< else the request should go to another core VM
  MSGPACK_DEFINE(Number_, Team_, Count_, RetryAfter_, IsHolder_)
};

/// Tokens that a core VM granted in place of the receiver, which is ranked
/// before it.
struct TokenCharge {
  TeamId Team_;
  unsigned Count_ = 0;
  MSGPACK_DEFINE(Team_, Count_)
};

/// Requests a slot at an upstream from the entry VM that holds its pool.
struct SlotRequest {
  std::uint64_t Number_ = 0; ///< unique among all processes of the sender
  ServiceId Service_;
  RegionId Serving_;  ///< with Service_ and Pool_: the pool
  unsigned Pool_ = 0; ///< index among the pools of the serving region
  std::string Route_;
  std::string Object_; ///< empty if the call has no affinity
  TeamId Team_;
  unsigned Priority_ = 0;
  Duration ObjectiveLeft_;  ///< negative if the call is late already
  Duration TimeLeft_;       ///< until the call's deadline
  Duration CallerTimeLeft_; ///< until the caller gives up for good
  bool IsRetry_ = false;    ///< the caller was refused before
  std::vector<UpstreamId> Excluded_;
  MSGPACK_DEFINE(Number_, Service_, Serving_, Pool_, Route_, Object_, Team_,
                 Priority_, ObjectiveLeft_, TimeLeft_, CallerTimeLeft_,
                 IsRetry_, Excluded_)
};

/// Answers SlotRequest. If the request is queued, a further reply follows.
struct SlotReply {
  std::uint64_t Number_ = 0; ///< of the request
  std::uint8_t Result_ = 0;  ///< a SlotResult
  UpstreamId Upstream_;
  std::uint64_t StartedAtMs_ = 0; ///< of the upstream's process
  Duration ExpectedRun_;
  Duration RunLimit_; ///< longer runs are unusual; 0 if unknown
  Duration RetryAfter_;
  Duration Wait_; ///< spent in the queue, or expected
  bool Overdue_ = false;
  unsigned Waiting_ = 0;  ///< if refused: calls that wait
  unsigned Reserved_ = 0; ///< if refused: retry reservations
  MSGPACK_DEFINE(Number_, Result_, Upstream_, StartedAtMs_, ExpectedRun_,
                 RunLimit_, RetryAfter_, Wait_, Overdue_, Waiting_, Reserved_)
};

/// Ends a grant or a wait for one.
struct SlotRelease {
  std::uint64_t Number_ = 0; ///< of the request
  ServiceId Service_;        ///< as in the request
  RegionId Serving_;
  unsigned Pool_ = 0;
  std::uint8_t Result_ = 0; ///< a RunResult
  Duration Run_;
  std::vector<double> Load_; ///< calls that the upstream stated, if it did
  double Pace_ = 0;          ///< that it stated; 1 as usual, 0 if absent
  bool Held_ = false; ///< it stated a limit or a pause, or that it leaves
  MSGPACK_DEFINE(Number_, Service_, Serving_, Pool_, Result_, Run_, Load_,
                 Pace_, Held_)
};

/// Load that an upstream stated in a response to one VM.
struct LoadNotice {
  UpstreamId Id_;
  std::uint64_t StartedAtMs_ = 0; ///< of the upstream's process
  Duration Age_;                  ///< since the response
  unsigned Calls_ = 0;            ///< running and waiting
  unsigned PacePercent_ = 0;      ///< see ReportedLoad; 0 if it doesn't say
  MSGPACK_DEFINE(Id_, StartedAtMs_, Age_, Calls_, PacePercent_)
};

/// Loads that the other entry VMs of a region don't know of. Sent by entry VMs
/// to a core VM, which relays them.
struct LoadNotices {
  std::vector<LoadNotice> Notices_;
  MSGPACK_DEFINE(Notices_)
};

/// Every message of Channel::Fleet. The order is part of the wire protocol.
using FleetMessage =
    std::variant<Heartbeat, HeartbeatReply, ItemUpdate, NoticeBatch, NoticeAck,
                 NoticeSyncRequest, NoticeSyncReply, TokenRequest, TokenGrant,
                 SlotRequest, SlotReply, SlotRelease, LoadNotices, TokenCharge>;

/// \ingroup Fleet
std::string encodeMessage(const FleetMessage &M);

/// \ingroup Fleet
/// \throws CodecError if the bytes are not a message of this channel
FleetMessage decodeFleetMessage(const std::string &Bytes, const VmId &Peer);

} // namespace lagoonpoint
