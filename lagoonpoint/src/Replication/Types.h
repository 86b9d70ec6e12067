#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Identity of one data folder, drawn at random when it is created.
using DiskId = Number<struct DiskTag>;

/// What a log entry carries.
enum class EntryKind : std::uint8_t {
  NoOp = 0,    ///< opens a leader's term
  Command = 1, ///< opaque bytes for the state machine
  Config = 2,  ///< an encoded VoterConfig
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::EntryKind)

namespace lagoonpoint {

/// \class LogEntry
/// \ingroup Replication
/// \brief One position of the replicated log.
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
/// \brief A VM together with the data folder it votes by.
///
/// A VM that lost its folder comes back with another disk id, so what it says
/// is no longer counted: it may have forgotten votes and entries.
struct Voter {
  VmId Vm_;
  DiskId Disk_;

  friend auto operator<=>(const Voter &, const Voter &) = default;
  MSGPACK_DEFINE(Vm_, Disk_)
};

/// \class VoterConfig
/// \ingroup Replication
/// \brief Who votes, and who only receives the log.
struct VoterConfig {
  std::vector<Voter> Voters_;
  std::vector<VmId> Learners_;

  /// \returns how many voters make a quorum.
  std::size_t quorum() const { return Voters_.size() / 2 + 1; }
  const Voter *findVoter(const VmId &Vm) const;
  bool isLearner(const VmId &Vm) const;
  /// \returns voters and learners except \p Self.
  std::vector<VmId> peersOf(const VmId &Self) const;

  friend bool operator==(const VoterConfig &, const VoterConfig &) = default;
  MSGPACK_DEFINE(Voters_, Learners_)
};

/// What a snapshot covers.
struct SnapshotMeta {
  LogIndex Index_; ///< last entry it includes
  Term Term_;      ///< of that entry
  VoterConfig Config_;

  friend bool operator==(const SnapshotMeta &, const SnapshotMeta &) = default;
  MSGPACK_DEFINE(Index_, Term_, Config_)
};

/// \class Snapshot
/// \ingroup Replication
/// \brief The state machine's encoded state after the entry it names.
struct Snapshot {
  SnapshotMeta Meta_;
  std::string State_;

  MSGPACK_DEFINE(Meta_, State_)
};

/// \class ReplicationTiming
/// \ingroup Replication
/// \brief Timeouts, for regions up to about 50 ms apart one way.
///
/// A follower supports no other leader for ElectionMin_ after it heard from
/// one. Lease_ is shorter than ElectionMin_ by the margin for clock rates: the
/// clocks of two voters may differ in rate by up to 10 %. After a split vote
/// one of the candidates tries again after SplitVoteRetry_.
struct ReplicationTiming {
  Duration Heartbeat_ = Duration::millis(200);
  Duration ElectionMin_ = Duration::millis(1000);
  Duration ElectionMax_ = Duration::millis(2000);
  Duration Lease_ = Duration::millis(900);
  Duration SplitVoteRetry_ = Duration::millis(200); ///< one to three times this
};

/// \class ReplicationLimits
/// \ingroup Replication
/// \brief Bounds on messages and on the log.
struct ReplicationLimits {
  std::size_t BatchBytes_ = 256 << 10; ///< of entries in one message
  std::size_t ChunkBytes_ = 256 << 10; ///< of a snapshot in one message
  std::size_t MaxUncommitted_ = 1024;  ///< entries, then proposals are refused
  std::size_t SnapshotEvery_ = 256;    ///< entries kept before a snapshot ...
  std::size_t SnapshotLogBytes_ = 4 << 20;   ///< ... or bytes in them
  std::uint64_t MaxSnapshotBytes_ = 1 << 30; ///< largest snapshot accepted
};

} // namespace lagoonpoint
