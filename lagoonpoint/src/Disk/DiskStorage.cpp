#include "lagoonpoint/src/Disk/DiskStorage.h"

#include "lagoonpoint/src/Disk/util/Record.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lagoonpoint {

namespace {

constexpr const char *VoteName = "vote";
constexpr const char *DurableName = "durable";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view LogPrefix = "log-";
constexpr std::string_view TemporarySuffix = ".tmp";

/// Of the log that create() writes; every load() starts a further one.
constexpr std::uint64_t FirstSequence = 1;

struct VoteRecord {
  DiskId Disk_;
  Term Term_;
  VmId Vote_;
  MSGPACK_DEFINE(Disk_, Term_, Vote_)
};

struct LogHeader {
  LogIndex BaseIndex_;
  Term BaseTerm_;
  MSGPACK_DEFINE(BaseIndex_, BaseTerm_)
};

struct DurableRecord {
  std::uint64_t Sequence_ = 0;
  std::uint64_t Length_ = 0;
  MSGPACK_DEFINE(Sequence_, Length_)
};

std::optional<std::uint64_t> numberIn(const std::string &Name,
                                      std::string_view Prefix) {
  if (Name.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Name.data() + Name.size();
  auto Parsed = std::from_chars(Name.data() + Prefix.size(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

std::string numbered(std::string_view Prefix, std::uint64_t Number) {
  return std::string(Prefix) + std::to_string(Number);
}

[[noreturn]] void failCorrupt(const std::string &Name, std::size_t Offset,
                              const std::string &What) {
  throw CorruptError("disk.load", Name,
                     What + " at offset " + std::to_string(Offset));
}

/// Reads a file that is one record.
template <class Record>
Record readWhole(Files &Folder, const std::string &Name, std::uint64_t Seed) {
  std::string Bytes = Folder.read(Name);
  internal::RecordScan Scan = internal::scanRecords(Bytes, Seed);
  if (!Scan.Whole_ || Scan.Records_.size() != 1)
    failCorrupt(Name, Scan.End_, "damaged record");
  return decode<Record>(Scan.Records_.front(), "disk.load", Name);
}

void replay(std::vector<LogEntry> &Log, std::vector<LogEntry> Batch,
            const LogHeader &Header, const std::string &Name) {
  for (LogEntry &E : Batch) {
    std::uint64_t Base = Header.BaseIndex_.value();
    std::uint64_t Index = E.Index_.value();
    if (Index <= Base || Index > Base + Log.size() + 1)
      failCorrupt(Name, 0, "entry " + std::to_string(Index) + " out of order");
    Log.resize(Index - Base - 1);
    Log.push_back(std::move(E));
  }
}

/// The snapshot may be newer than the log, if a crash came between the two.
std::vector<LogEntry> entriesAfter(const Snapshot &S, const LogHeader &Header,
                                   std::vector<LogEntry> Entries) {
  Snapshot Base;
  Base.Meta_.Index_ = Header.BaseIndex_;
  Base.Meta_.Term_ = Header.BaseTerm_;
  internal::Log Log(std::move(Base), std::move(Entries));
  Log.rebase(S);
  return Log.tailAfter(Log.baseIndex());
}

} // namespace

DiskStorage::DiskStorage(Files &Folder, DiskId NewDisk)
    : Folder_(Folder), Disk_(NewDisk) {}

StoredState DiskStorage::load() {
  try {
    return readFolder();
  } catch (const CodecError &E) {
    throw CorruptError(E.step(), E.peer(), E.message() + " at offset 0");
  }
}

StoredState DiskStorage::readFolder() {
  Names Present = readNames();
  if (!Present.Vote_) {
    create();
    Present = readNames();
  }
  if (Present.Snapshots_.empty() || Present.Logs_.empty())
    failCorrupt(Present.Logs_.empty() ? "log" : "snapshot", 0, "file missing");
  StoredState Stored;
  loadVote(Stored);
  loadSnapshot(Stored, Present.Snapshots_.back());
  Sequence_ = Present.Logs_.back();
  loadLog(Stored);
  removeStale(Present, Present.Snapshots_.back());
  return Stored;
}

void DiskStorage::saveVote(Term T, const VmId &Vote) {
  guard([&] {
    std::string Payload = encode(VoteRecord{Disk_, T, Vote});
    replace(VoteName, internal::frameRecord(Payload, 0));
  });
}

void DiskStorage::append(const std::vector<LogEntry> &Entries) {
  guard([&] {
    std::string Frame = internal::frameRecord(encode(Entries), Sequence_);
    Folder_.append(logName(), Frame);
    Folder_.sync(logName());
    Durable_ += Frame.size();
    noteDurable();
  });
}

void DiskStorage::saveSnapshot(const Snapshot &S,
                               const std::vector<LogEntry> &Tail) {
  guard([&] {
    std::uint64_t Index = S.Meta_.Index_.value();
    Names Before = readNames();
    replace(numbered(SnapshotPrefix, Index),
            internal::frameRecord(encode(S), Index));
    startLog(S.Meta_, Tail);
    removeStale(Before, Index);
  });
}

DiskStorage::Names DiskStorage::readNames() {
  Names Found;
  for (const std::string &Name : Folder_.list()) {
    if (auto Index = numberIn(Name, SnapshotPrefix))
      Found.Snapshots_.push_back(*Index);
    if (auto Sequence = numberIn(Name, LogPrefix))
      Found.Logs_.push_back(*Sequence);
    if (Name == VoteName)
      Found.Vote_ = true;
  }
  std::sort(Found.Snapshots_.begin(), Found.Snapshots_.end());
  std::sort(Found.Logs_.begin(), Found.Logs_.end());
  return Found;
}

/// The vote is written last: without it nothing was ever acknowledged.
void DiskStorage::create() {
  Names Present = readNames();
  bool Used = (!Present.Snapshots_.empty() && Present.Snapshots_.back() > 0) ||
              (!Present.Logs_.empty() && Present.Logs_.back() > FirstSequence);
  if (Used)
    failCorrupt(VoteName, 0, "file missing");
  Sequence_ = FirstSequence - 1;
  saveSnapshot(Snapshot(), {});
  saveVote(Term(), VmId());
}

void DiskStorage::loadVote(StoredState &Stored) {
  auto Vote = readWhole<VoteRecord>(Folder_, VoteName, 0);
  Disk_ = Vote.Disk_;
  Stored.Disk_ = Vote.Disk_;
  Stored.Term_ = Vote.Term_;
  Stored.Vote_ = Vote.Vote_;
}

void DiskStorage::loadSnapshot(StoredState &Stored, std::uint64_t Index) {
  std::string Name = numbered(SnapshotPrefix, Index);
  Stored.Snapshot_ = readWhole<Snapshot>(Folder_, Name, Index);
}

void DiskStorage::loadLog(StoredState &Stored) {
  std::string Bytes = Folder_.read(logName());
  internal::RecordScan Scan = internal::scanRecords(Bytes, Sequence_);
  if (Scan.Records_.empty())
    failCorrupt(logName(), 0, "damaged header");
  if (Scan.ValidAfter_ || Scan.End_ < knownDurable())
    failCorrupt(logName(), Scan.End_, "damaged record");
  if (!Scan.Whole_)
    Stored.Recovered_.push_back(
        logName() + ": cut " + std::to_string(Bytes.size() - Scan.End_) +
        " bytes of an unfinished write at offset " + std::to_string(Scan.End_));
  auto Header =
      decode<LogHeader>(Scan.Records_.front(), "disk.load", logName());
  std::vector<LogEntry> Entries;
  for (std::size_t Place = 1; Place < Scan.Records_.size(); ++Place)
    replay(Entries,
           decode<std::vector<LogEntry>>(Scan.Records_[Place], "disk.load",
                                         logName()),
           Header, logName());
  Durable_ = Bytes.size();
  Stored.Entries_ = entriesAfter(Stored.Snapshot_, Header, std::move(Entries));
  // After a failed sync the system may show bytes that never reach the disk. A
  // fresh copy, synced as a whole, leaves no doubt.
  guard([&] { startLog(Stored.Snapshot_.Meta_, Stored.Entries_); });
}

/// \returns 0 if nothing is known: the note itself is never synced.
std::uint64_t DiskStorage::knownDurable() {
  std::vector<std::string> Present = Folder_.list();
  if (std::find(Present.begin(), Present.end(), DurableName) == Present.end())
    return 0;
  std::string Bytes = Folder_.read(DurableName);
  internal::RecordScan Scan = internal::scanRecords(Bytes, 0);
  if (Scan.Records_.empty())
    return 0;
  auto Note =
      decode<DurableRecord>(Scan.Records_.front(), "disk.load", DurableName);
  return Note.Sequence_ == Sequence_ ? Note.Length_ : 0;
}

void DiskStorage::noteDurable() {
  std::string Payload = encode(DurableRecord{Sequence_, Durable_});
  Folder_.write(DurableName, internal::frameRecord(Payload, 0));
}

void DiskStorage::replace(const std::string &Name, const std::string &Bytes) {
  std::string Temporary = Name + std::string(TemporarySuffix);
  Folder_.write(Temporary, Bytes);
  Folder_.sync(Temporary);
  Folder_.rename(Temporary, Name);
  Folder_.syncFolder();
}

void DiskStorage::startLog(const SnapshotMeta &Base,
                           const std::vector<LogEntry> &Tail) {
  std::uint64_t Next = Sequence_ + 1;
  LogHeader Header{Base.Index_, Base.Term_};
  std::string Bytes = internal::frameRecord(encode(Header), Next);
  if (!Tail.empty())
    Bytes += internal::frameRecord(encode(Tail), Next);
  replace(numbered(LogPrefix, Next), Bytes);
  Sequence_ = Next;
  Durable_ = Bytes.size();
  noteDurable();
}

void DiskStorage::removeStale(const Names &Present, std::uint64_t Snapshot) {
  for (std::uint64_t Index : Present.Snapshots_)
    if (Index != Snapshot)
      Folder_.remove(numbered(SnapshotPrefix, Index));
  for (std::uint64_t Sequence : Present.Logs_)
    if (Sequence != Sequence_)
      Folder_.remove(numbered(LogPrefix, Sequence));
}

std::string DiskStorage::logName() const {
  return numbered(LogPrefix, Sequence_);
}

void DiskStorage::guard(const std::function<void()> &Writes) {
  if (Failed_)
    throw DiskError("disk.write", "", "an earlier write failed");
  try {
    Writes();
  } catch (const DiskError &) {
    Failed_ = true;
    throw;
  }
}

} // namespace lagoonpoint
