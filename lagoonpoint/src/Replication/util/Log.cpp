#include "lagoonpoint/src/Replication/util/Log.h"

#include <utility>

namespace lagoonpoint::internal {

VoterConfig configOf(const LogEntry &E) {
  return decode<VoterConfig>(E.Bytes_, "replication.config", "");
}

Log::Log(Snapshot Base, std::vector<LogEntry> Entries)
    : Base_(std::move(Base)), Entries_(Entries.begin(), Entries.end()) {
  LogIndex Expected = baseIndex();
  for (const LogEntry &E : Entries_) {
    Expected = Expected.next();
    LAGOONPOINT_ASSERT(E.Index_ == Expected, "replication.log");
    Bytes_ += E.Bytes_.size();
  }
  refreshConfig();
}

LogIndex Log::lastIndex() const {
  return LogIndex(baseIndex().value() + Entries_.size());
}

Term Log::lastTerm() const {
  return Entries_.empty() ? Base_.Meta_.Term_ : Entries_.back().Term_;
}

std::optional<Term> Log::termAt(LogIndex I) const {
  if (I == baseIndex())
    return Base_.Meta_.Term_;
  if (I < baseIndex() || I > lastIndex())
    return std::nullopt;
  return at(I).Term_;
}

const LogEntry &Log::at(LogIndex I) const {
  LAGOONPOINT_ASSERT(I > baseIndex() && I <= lastIndex(), "replication.log");
  return Entries_[I.value() - baseIndex().value() - 1];
}

std::vector<LogEntry> Log::slice(LogIndex First, std::size_t MaxBytes) const {
  std::vector<LogEntry> Out;
  std::size_t Bytes = 0;
  for (LogIndex I = First; I <= lastIndex(); I = I.next()) {
    Bytes += at(I).Bytes_.size();
    if (!Out.empty() && Bytes > MaxBytes)
      break;
    Out.push_back(at(I));
  }
  return Out;
}

std::vector<LogEntry> Log::tailAfter(LogIndex I) const {
  std::vector<LogEntry> Out;
  for (const LogEntry &E : Entries_)
    if (E.Index_ > I)
      Out.push_back(E);
  return Out;
}

LogIndex Log::lastIndexBeforeTermOf(LogIndex I) const {
  Term Conflicting = at(I).Term_;
  while (I > baseIndex() && termAt(I) == Conflicting)
    I = LogIndex(I.value() - 1);
  return I;
}

void Log::append(const LogEntry &E) {
  LAGOONPOINT_ASSERT(E.Index_ == lastIndex().next(), "replication.log");
  LAGOONPOINT_ASSERT(E.Term_ >= lastTerm(), "replication.log");
  Entries_.push_back(E);
  Bytes_ += E.Bytes_.size();
  if (E.Kind_ != EntryKind::Config)
    return;
  Config_ = configOf(E);
  ConfigIndex_ = E.Index_;
}

void Log::truncateFrom(LogIndex First) {
  LAGOONPOINT_ASSERT(First > baseIndex(), "replication.log");
  while (lastIndex() >= First) {
    Bytes_ -= Entries_.back().Bytes_.size();
    Entries_.pop_back();
  }
  refreshConfig();
}

void Log::rebase(Snapshot S) {
  std::vector<LogEntry> Tail;
  if (termAt(S.Meta_.Index_) == S.Meta_.Term_)
    Tail = tailAfter(S.Meta_.Index_);
  *this = Log(std::move(S), std::move(Tail));
}

void Log::setInitialConfig(VoterConfig Config) {
  LAGOONPOINT_ASSERT(baseIndex() == LogIndex(), "replication.log");
  LAGOONPOINT_ASSERT(Base_.Meta_.Config_.Voters_.empty(), "replication.log");
  Base_.Meta_.Config_ = std::move(Config);
  refreshConfig();
}

VoterConfig Log::configAt(LogIndex I) const {
  VoterConfig Found = Base_.Meta_.Config_;
  for (const LogEntry &E : Entries_)
    if (E.Kind_ == EntryKind::Config && E.Index_ <= I)
      Found = configOf(E);
  return Found;
}

void Log::refreshConfig() {
  Config_ = Base_.Meta_.Config_;
  ConfigIndex_ = baseIndex();
  for (const LogEntry &E : Entries_) {
    if (E.Kind_ != EntryKind::Config)
      continue;
    Config_ = configOf(E);
    ConfigIndex_ = E.Index_;
  }
}

} // namespace lagoonpoint::internal
