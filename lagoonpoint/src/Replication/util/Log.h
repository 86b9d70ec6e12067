#pragma once

#include "lagoonpoint/src/Replication/Types.h"

#include <deque>
#include <optional>

namespace lagoonpoint::internal {

/// \class Log
/// \brief A snapshot and the entries after it, in memory.
class Log {
public:
  Log() = default;
  Log(Snapshot Base, std::vector<LogEntry> Entries);

  const Snapshot &base() const { return Base_; }
  LogIndex baseIndex() const { return Base_.Meta_.Index_; }
  LogIndex lastIndex() const;
  Term lastTerm() const;
  /// \returns the bytes that the entries carry.
  std::size_t bytes() const { return Bytes_; }
  /// \returns the configuration in the newest Config entry.
  const VoterConfig &config() const { return Config_; }
  /// \returns where that configuration stands.
  LogIndex configIndex() const { return ConfigIndex_; }

  /// \returns the term at an index; empty if it isn't known.
  std::optional<Term> termAt(LogIndex I) const;
  const LogEntry &at(LogIndex I) const;
  /// \returns entries from \p First on, at least one if there is any, up to
  /// about \p MaxBytes.
  std::vector<LogEntry> slice(LogIndex First, std::size_t MaxBytes) const;
  /// \returns all entries after an index.
  std::vector<LogEntry> tailAfter(LogIndex I) const;
  /// \returns the last index before the run of equal terms that ends at
  /// \p I.
  LogIndex lastIndexBeforeTermOf(LogIndex I) const;

  void append(const LogEntry &E);
  void truncateFrom(LogIndex First);
  /// Replaces the snapshot; keeps the entries after it only if the entry it
  /// ends with is in this log.
  void rebase(Snapshot S);
  /// Sets the configuration that precedes the first entry.
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

/// Decodes the configuration that a Config entry carries.
VoterConfig configOf(const LogEntry &E);

} // namespace lagoonpoint::internal
