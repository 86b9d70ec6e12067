#pragma once

#include "lagoonpoint/src/Replication/Types.h"

#include <variant>

namespace lagoonpoint {

/// Requests a vote. A pre-vote only asks whether the vote would be granted; the
/// receiver's state doesn't change.
struct VoteRequest {
  Term Term_; ///< term for which the candidate stands
  bool PreVote_ = false;
  LogIndex LastIndex_;
  Term LastTerm_;
  MSGPACK_DEFINE(Term_, PreVote_, LastIndex_, LastTerm_)
};

/// Answer to a VoteRequest.
struct VoteReply {
  Term Term_; ///< the requested term if granted, else the receiver's own
  bool PreVote_ = false;
  bool Granted_ = false;
  DiskId Disk_;
  MSGPACK_DEFINE(Term_, PreVote_, Granted_, Disk_)
};

/// Replicates log entries. Also serves as the leader's heartbeat.
struct AppendRequest {
  Term Term_;
  LogIndex PrevIndex_;
  Term PrevTerm_;
  LogIndex Commit_;
  std::vector<LogEntry> Entries_;
  std::int64_t Sent_ = 0; ///< leader's clock; echoed by the receiver
  MSGPACK_DEFINE(Term_, PrevIndex_, PrevTerm_, Commit_, Entries_, Sent_)
};

/// Answer to an AppendRequest, sent once the entries are durable.
struct AppendReply {
  Term Term_;
  bool Matched_ = false;
  /// Last index that is durable and matches the leader's log.
  LogIndex Match_;
  LogIndex RejectHint_; ///< if not matched: last index that may match
  DiskId Disk_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Matched_, Match_, RejectHint_, Disk_, Sent_)
};

/// A chunk of a snapshot, of limited size.
struct SnapshotChunk {
  Term Term_;
  SnapshotMeta Meta_;
  std::uint64_t Total_ = 0;  ///< size of the snapshot in bytes
  std::uint64_t Offset_ = 0; ///< offset of Bytes_ in the snapshot
  std::string Bytes_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Meta_, Total_, Offset_, Bytes_, Sent_)
};

/// Answer to a SnapshotChunk.
struct SnapshotReply {
  Term Term_;
  LogIndex Index_;           ///< last entry that the snapshot includes
  std::uint64_t Offset_ = 0; ///< next byte that the receiver expects
  bool Installed_ = false;   ///< everything up to Index_ is durable
  DiskId Disk_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Index_, Offset_, Installed_, Disk_, Sent_)
};

/// Sent by an initial voter whose data folder is empty.
struct BootstrapProbe {
  DiskId Disk_;
  MSGPACK_DEFINE(Disk_)
};

/// Answer to a BootstrapProbe.
struct BootstrapProbeReply {
  DiskId ForDisk_; ///< disk id of the requester
  DiskId Disk_;
  bool Empty_ = false;
  VoterConfig InitialConfig_; ///< empty if no longer known
  MSGPACK_DEFINE(ForDisk_, Disk_, Empty_, InitialConfig_)
};

/// Every message of Channel::Replication.
using ReplicationMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, BootstrapProbe,
                 BootstrapProbeReply>;

/// A message and its receiver.
struct AddressedMessage {
  VmId To_;
  ReplicationMessage Message_;
};

/// Encodes a message together with its type.
/// \ingroup Replication
std::string encodeMessage(const ReplicationMessage &M);

/// Decodes a message.
/// \ingroup Replication
/// \throws CodecError if the bytes are not a valid message
ReplicationMessage decodeMessage(std::string_view Bytes, const VmId &Peer);

} // namespace lagoonpoint
