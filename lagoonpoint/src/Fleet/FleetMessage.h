#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/UpstreamRegistry.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace lagoonpoint {

/// One VM as it describes itself.
struct NodeRecord {
  VmId Vm_;
  bool Core_ = false; ///< replicates the configuration, else an entry VM
  ZoneId Zone_;
  RegionId Region_;
  std::string CallerAddress_; ///< entry VM: where callers connect, "host:port"
  std::uint64_t StartedAtMs_ = 0; ///< Unix milliseconds of the process's start
  DiskId Disk_;                   ///< core VM: of its data folder
  MSGPACK_DEFINE(Vm_, Core_, Zone_, Region_, CallerAddress_, StartedAtMs_,
                 Disk_)
};

/// Requests a second by name.
using RateMap = std::map<std::string, double>;

/// An upstream heard of since the last beat.
struct Sighting {
  UpstreamId Id_;
  std::uint64_t Sequence_ = 0;
  Duration Age_;
  MSGPACK_DEFINE(Id_, Sequence_, Age_)
};

/// Sent by every VM to every core VM that it knows. What the receiver holds
/// already is left out.
struct Heartbeat {
  std::uint64_t StartedAtMs_ = 0; ///< Unix milliseconds of the sender's start
  std::vector<NodeRecord> Self_;  ///< one, unless the receiver holds it
  bool Ready_ = false;            ///< entry VM: takes new callers
  std::int64_t SentAt_ = 0;       ///< sender's clock; only echoed
  Revision ItemsRevision_;        ///< of the items that the sender holds
  LogIndex VoterConfigIndex_; ///< entry that set the newest voters the sender
                              ///< knows of
  bool KnowsVoters_ = false;  ///< else ConfigAt_ says nothing
  std::uint64_t UpstreamsDigest_ = 0; ///< digest of the sender's announcements
  std::vector<VmId> CoreVms_; ///< that the sender knows; empty: as before
  bool WantsItems_ = false;
  bool WantsRates_ = false; ///< the answer should sum up the fleet's rates
  /// Asked of the sender by callers; of a core VM: of its region's entry VMs.
  RateMap TeamRates_;
  RateMap ServiceRates_;            ///< asked of the sender by callers
  std::vector<Sighting> Sightings_; ///< between core VMs
  MSGPACK_DEFINE(StartedAtMs_, Self_, Ready_, SentAt_, ItemsRevision_,
                 VoterConfigIndex_, KnowsVoters_, UpstreamsDigest_, CoreVms_,
                 WantsItems_, WantsRates_, TeamRates_, ServiceRates_,
                 Sightings_)
};

/// How far one core VM's part of the log reaches.
struct LogProof {
  DiskId Disk_;
  LogIndex LastIndex_;    ///< highest entry on its disk, committed or not
  LogIndex AppliedIndex_; ///< highest entry that its items include
  /// Teams whose items entries between Applied_ and Last_ may change.
  std::vector<std::string> UnappliedTeams_;
  LogIndex VoterConfigIndex_; ///< entry that set the newest voters it knows of
  std::vector<VoterConfig> VoterConfig_; ///< one, unless the receiver knows it
  MSGPACK_DEFINE(Disk_, LastIndex_, AppliedIndex_, UnappliedTeams_,
                 VoterConfigIndex_, VoterConfig_)
};

/// What entry VMs are asked for together.
struct FleetRates {
  std::vector<VmId> EntryVms_;                 ///< live entry VMs
  std::map<std::string, RateMap> RegionRates_; ///< service rates by region
  MSGPACK_DEFINE(EntryVms_, RegionRates_)
};

/// Answer of a core VM to a Beat.
struct HeartbeatReply {
  std::int64_t EchoedSentAt_ = 0; ///< of the beat
  bool KnowsSender_ = true;       ///< else the sender should describe itself
  RegionId Region_;               ///< of the core VM
  Revision ItemsRevision_;
  std::uint64_t UpstreamsDigest_ = 0; ///< digest of the announcements it holds
  std::vector<UpstreamId>
      SilentUpstreams_; ///< announced nothing to any core VM lately
  LogProof Proof_;
  std::vector<VmId> CoreVms_;     ///< where the sender's list differs
  std::vector<FleetRates> Rates_; ///< one, if asked for
  MSGPACK_DEFINE(EchoedSentAt_, KnowsSender_, Region_, ItemsRevision_,
                 UpstreamsDigest_, SilentUpstreams_, Proof_, CoreVms_, Rates_)
};

/// Items that an entry VM lacks.
struct ItemUpdate {
  Revision FromRevision_; ///< the receiver holds at least this
  Revision ToRevision_;
  LogIndex AppliedIndex_;
  ItemSet Items_;
  std::set<Drain> Drains_; ///< all in force
  MSGPACK_DEFINE(FromRevision_, ToRevision_, AppliedIndex_, Items_, Drains_)
};

/// Announcements passed on. A receiver confirms them if Number_ isn't 0.
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

/// Asks what the receiver holds of the announcements otherwise.
struct NoticeSyncRequest {
  BucketDigests Digests_; ///< of what the sender holds
  MSGPACK_DEFINE(Digests_)
};

/// Answers NoticeSyncRequest. What the answerer lacks comes back as
/// NoticeBatch.
struct NoticeSyncReply {
  BucketDigests Digests_;               ///< of what the answerer holds
  std::vector<UpstreamNotice> Notices_; ///< its part where the sums differ
  MSGPACK_DEFINE(Digests_, Notices_)
};

/// Asks a core VM for tokens of a team's rate.
struct TokenRequest {
  std::uint64_t Number_ = 0;
  TeamId Team_;
  unsigned Waiting_ = 0;  ///< requests that wait for one
  unsigned Prefetch_ = 0; ///< for requests that are likely to come soon
  MSGPACK_DEFINE(Number_, Team_, Waiting_, Prefetch_)
};

/// Answers TokenRequest.
struct TokenGrant {
  std::uint64_t Number_ = 0; ///< of the ask
  TeamId Team_;
  unsigned Count_ = 0;
  Duration Wait_;        ///< until more can be had, if Count_ is too few
  bool IsHolder_ = true; ///< else another core VM should be asked
  MSGPACK_DEFINE(Number_, Team_, Count_, Wait_, IsHolder_)
};

/// Every message of Channel::Fleet.
using FleetMessage =
    std::variant<Heartbeat, HeartbeatReply, ItemUpdate, NoticeBatch, NoticeAck,
                 NoticeSyncRequest, NoticeSyncReply, TokenRequest, TokenGrant>;

/// \ingroup Fleet
std::string encodeMessage(const FleetMessage &M);

/// \ingroup Fleet
/// \throws CodecError if the bytes are no message of this protocol
FleetMessage decodeFleetMessage(const std::string &Bytes, const VmId &Peer);

} // namespace lagoonpoint
