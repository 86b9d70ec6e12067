#pragma once

#include "lagoonpoint/src/Replication/Types.h"

namespace lagoonpoint {

/// \class DiskError
/// \ingroup Replication
/// \brief A write that failed or may not be durable; the peer is the file.
class DiskError : public Error {
public:
  using Error::Error;
};

/// \class CorruptError
/// \ingroup Replication
/// \brief Durable data that can't be read back; names file and offset.
class CorruptError : public DiskError {
public:
  using DiskError::DiskError;
};

/// What a data folder holds.
struct StoredState {
  DiskId Disk_;
  Term Term_;
  VmId Vote_;
  Snapshot Snapshot_;
  std::vector<LogEntry> Entries_;             ///< all after the snapshot
  std::vector<std::string> RecoveryMessages_; ///< one line for each cut tail
};

/// \class Storage
/// \ingroup Replication
/// \brief Port to the durable state of one voter.
///
/// Every function returns only once what it wrote is durable. After a
/// DiskError the object must not be used further: open the folder again.
class Storage {
public:
  virtual ~Storage() = default;

  /// Reads the folder, creating it if it is empty.
  /// \throws CorruptError if durable data is damaged
  virtual StoredState load() = 0;

  /// \throws DiskError
  virtual void saveVote(Term T, const VmId &Vote) = 0;

  /// Appends entries with consecutive indexes; entries already stored at or
  /// after the first one's index are discarded.
  /// \throws DiskError
  virtual void append(const std::vector<LogEntry> &Entries) = 0;

  /// Replaces the snapshot and the whole log.
  /// \param Tail the entries after the snapshot that stay in the log
  /// \throws DiskError
  virtual void saveSnapshot(const Snapshot &S,
                            const std::vector<LogEntry> &Tail) = 0;
};

} // namespace lagoonpoint
