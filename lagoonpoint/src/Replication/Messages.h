#pragma once

#include "lagoonpoint/src/Replication/Types.h"

#include <variant>

namespace lagoonpoint {

/// Asks for a vote. A pre-vote asks whether a vote would be granted and
/// changes nothing at the receiver.
struct VoteRequest {
  Term Term_; ///< the term the candidate would lead
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

/// Replicates entries, and is the leader's heartbeat.
struct AppendRequest {
  Term Term_;
  LogIndex PrevIndex_;
  Term PrevTerm_;
  LogIndex Commit_;
  std::vector<LogEntry> Entries_;
  std::int64_t Sent_ = 0; ///< leader's clock; only echoed by the receiver
  MSGPACK_DEFINE(Term_, PrevIndex_, PrevTerm_, Commit_, Entries_, Sent_)
};

/// Answer to an AppendRequest, sent once the entries are durable.
struct AppendReply {
  Term Term_;
  bool Matched_ = false;
  LogIndex Match_;      ///< durable and equal to the leader's up to here
  LogIndex RejectHint_; ///< if not matched: the last index worth trying
  DiskId Disk_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Matched_, Match_, RejectHint_, Disk_, Sent_)
};

/// A bounded part of a snapshot.
struct SnapshotChunk {
  Term Term_;
  SnapshotMeta Meta_;
  std::uint64_t Total_ = 0;  ///< bytes of the whole
  std::uint64_t Offset_ = 0; ///< of Bytes_ in the whole
  std::string Bytes_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Meta_, Total_, Offset_, Bytes_, Sent_)
};

/// Answer to a SnapshotChunk.
struct SnapshotReply {
  Term Term_;
  LogIndex Index_;           ///< of the snapshot
  std::uint64_t Offset_ = 0; ///< next byte wanted
  bool Installed_ = false;   ///< everything up to Index_ is durable
  DiskId Disk_;
  std::int64_t Sent_ = 0;
  MSGPACK_DEFINE(Term_, Index_, Offset_, Installed_, Disk_, Sent_)
};

/// Sent by a VM with an empty folder that is one of the first voters.
struct BootstrapProbe {
  DiskId Disk_;
  MSGPACK_DEFINE(Disk_)
};

/// Answer to a Probe.
struct BootstrapProbeReply {
  DiskId ForDisk_; ///< of the prober
  DiskId Disk_;
  bool Empty_ = false;
  VoterConfig InitialConfig_; ///< the first configuration, if still known
  MSGPACK_DEFINE(ForDisk_, Disk_, Empty_, InitialConfig_)
};

/// Every message of Channel::Replication.
using ReplicationMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, BootstrapProbe,
                 BootstrapProbeReply>;

/// A message with its receiver.
struct AddressedMessage {
  VmId To_;
  ReplicationMessage Message_;
};

/// Encodes one message with its kind.
/// \ingroup Replication
std::string encodeMessage(const ReplicationMessage &M);

/// Decodes one message.
/// \ingroup Replication
/// \throws CodecError if the bytes are no message of this protocol
ReplicationMessage decodeMessage(std::string_view Bytes, const VmId &Peer);

} // namespace lagoonpoint
