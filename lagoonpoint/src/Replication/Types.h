#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Identity of a data folder, chosen at random when it is created.
using DiskId = Number<struct DiskTag>;

/// Type of the payload of a log entry.
enum class EntryKind : std::uint8_t {
  NoOp = 0,    ///< first entry of a leader's term, without payload
  Command = 1, ///< command for the state machine, as opaque bytes
  Config = 2,  ///< an encoded VoterConfig
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::EntryKind)

namespace lagoonpoint {

/// \class LogEntry
/// \ingroup Replication
/// \brief One entry of the replicated log.
struct LogEntry {
  Term Term_;
  LogIndex Index_;
  EntryKind Kind_ = EntryKind::NoOp;
  std::string Bytes_;

  friend bool operator==(const LogEntry &, const LogEntry &) = default;
  MSGPACK_DEFINE(Term_, Index_, Kind_, Bytes_)
};

/// \class Voter
/// \ingroup Replication
/// \brief A VM together with the data folder that its votes depend on.
///
/// A VM that lost its folder returns with another disk id. Its votes and
/// acknowledgements are then not counted, because earlier votes and entries may
/// be lost.
struct Voter {
  VmId Vm_;
  DiskId Disk_;

  friend auto operator<=>(const Voter &, const Voter &) = default;
  MSGPACK_DEFINE(Vm_, Disk_)
};

/// \class VoterConfig
/// \ingroup Replication
/// \brief The voters, and the learners, which receive the log without voting.
struct VoterConfig {
  std::vector<Voter> Voters_;
  std::vector<VmId> Learners_;

  /// \returns the number of voters that form a quorum.
  std::size_t quorum() const { return Voters_.size() / 2 + 1; }
  const Voter *findVoter(const VmId &Vm) const;
  bool isLearner(const VmId &Vm) const;
  /// \returns voters and learners except \p Self.
  std::vector<VmId> peersOf(const VmId &Self) const;

  friend bool operator==(const VoterConfig &, const VoterConfig &) = default;
  MSGPACK_DEFINE(Voters_, Learners_)
};

/// The position and the configuration at which a snapshot was taken.
struct SnapshotMeta {
  LogIndex Index_; ///< last entry that the snapshot includes
  Term Term_;      ///< term of that entry
  VoterConfig Config_;

  friend bool operator==(const SnapshotMeta &, const SnapshotMeta &) = default;
  MSGPACK_DEFINE(Index_, Term_, Config_)
};

/// \class Snapshot
/// \ingroup Replication
/// \brief The encoded state of the state machine after entry Meta_.Index_.
struct Snapshot {
  SnapshotMeta Meta_;
  std::string State_;

  MSGPACK_DEFINE(Meta_, State_)
};

/// \class ReplicationTiming
/// \ingroup Replication
/// \brief Timeouts, for one-way delays between regions of up to about 50 ms.
///
/// A follower votes for no other candidate within ElectionMin_ after a message
/// from a leader. Lease_ is shorter than ElectionMin_ to allow for clock drift:
/// the clock rates of two voters may differ by up to 10 %.
struct ReplicationTiming {
  Duration Heartbeat_ = Duration::millis(200);
  Duration ElectionMin_ = Duration::millis(1000);
  Duration ElectionMax_ = Duration::millis(2000);
  Duration Lease_ = Duration::millis(900);
  /// Minimum delay until one of the candidates retries after a split vote. The
  /// maximum is three times this.
  Duration SplitVoteRetry_ = Duration::millis(200);
};

/// \class ReplicationLimits
/// \ingroup Replication
/// \brief Limits on the size of messages and of the log.
struct ReplicationLimits {
  std::size_t BatchBytes_ = 256 << 10; ///< entries in one message
  std::size_t ChunkBytes_ = 256 << 10; ///< part of a snapshot in one message
  std::size_t MaxUncommitted_ = 1024;  ///< entries; more are refused
  std::size_t SnapshotEvery_ = 256;    ///< entries until a snapshot is due
  std::size_t SnapshotLogBytes_ = 4 << 20;   ///< or bytes in these entries
  std::uint64_t MaxSnapshotBytes_ = 1 << 30; ///< of a received snapshot
};

} // namespace lagoonpoint
