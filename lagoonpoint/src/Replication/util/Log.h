#pragma once

#include "lagoonpoint/src/Replication/Types.h"

#include <deque>
#include <optional>

namespace lagoonpoint::internal {

/// \class Log
/// \brief The log in memory: a snapshot and the entries after it.
class Log {
public:
  Log() = default;
  Log(Snapshot Base, std::vector<LogEntry> Entries);

  const Snapshot &base() const { return Base_; }
  LogIndex baseIndex() const { return Base_.Meta_.Index_; }
  LogIndex lastIndex() const;
  Term lastTerm() const;
  /// \returns the total size of the entries' payloads in bytes.
  std::size_t bytes() const { return Bytes_; }
  /// \returns the configuration in the newest Config entry.
  const VoterConfig &config() const { return Config_; }
  /// \returns the index of that entry, or baseIndex() if there is none.
  LogIndex configIndex() const { return ConfigIndex_; }

  /// \returns the term at an index; empty if it is unknown.
  std::optional<Term> termAt(LogIndex I) const;
  const LogEntry &at(LogIndex I) const;
  /// \returns the entries from \p First on, limited to \p MaxBytes of payload,
  /// but at least one if there is any.
  std::vector<LogEntry> slice(LogIndex First, std::size_t MaxBytes) const;
  /// \returns all entries after an index.
  std::vector<LogEntry> tailAfter(LogIndex I) const;
  /// \returns the last index before \p I with a term other than that of \p I,
  /// at least baseIndex().
  LogIndex lastIndexBeforeTermOf(LogIndex I) const;

  void append(const LogEntry &E);
  void truncateFrom(LogIndex First);
  /// Replaces the snapshot. Entries after it are kept only if this log contains
  /// the last entry that it includes.
  void rebase(Snapshot S);
  /// Sets the configuration before the first entry.
  void setInitialConfig(VoterConfig Config);
  /// \returns the configuration in force after an index.
  VoterConfig configAt(LogIndex I) const;

private:
  void refreshConfig();

  Snapshot Base_;
  std::deque<LogEntry> Entries_;
  std::size_t Bytes_ = 0;
  VoterConfig Config_;
  LogIndex ConfigIndex_;
};

/// Decodes the configuration in a Config entry.
VoterConfig configOf(const LogEntry &E);

} // namespace lagoonpoint::internal
