#pragma once

#include "lagoonpoint/src/Replication/Types.h"

namespace lagoonpoint {

/// \class DiskError
/// \ingroup Replication
/// \brief A write failed or may not be durable. Its peer() is the file name.
class DiskError : public Error {
public:
  using Error::Error;
};

/// \class CorruptError
/// \ingroup Replication
/// \brief Durable data is damaged. The error gives the file and the offset.
class CorruptError : public DiskError {
public:
  using DiskError::DiskError;
};

/// The contents of a data folder.
struct StoredState {
  DiskId Disk_;
  Term Term_;
  VmId Vote_;
  Snapshot Snapshot_;
  std::vector<LogEntry> Entries_;             ///< after the snapshot
  std::vector<std::string> RecoveryMessages_; ///< one for each discarded tail
};

/// \class Storage
/// \ingroup Replication
/// \brief Interface to the durable state of one voter.
///
/// Every function returns only when its writes are durable. After a DiskError,
/// the object must no longer be used; open the folder again with a new one.
class Storage {
public:
  virtual ~Storage() = default;

  /// Reads the folder, creating it if it is empty.
  /// \throws CorruptError if durable data is damaged
  virtual StoredState load() = 0;

  /// \throws DiskError
  virtual void saveVote(Term T, const VmId &Vote) = 0;

  /// Appends entries with consecutive indexes. Stored entries at or after the
  /// index of the first one are discarded.
  /// \throws DiskError
  virtual void append(const std::vector<LogEntry> &Entries) = 0;

  /// Replaces the snapshot and the whole log.
  /// \param Tail the entries after the snapshot that stay in the log
  /// \throws DiskError
  virtual void saveSnapshot(const Snapshot &S,
                            const std::vector<LogEntry> &Tail) = 0;
};

} // namespace lagoonpoint
