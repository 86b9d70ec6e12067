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

/// Number of the log that create() writes. Every load() starts a new log with
/// the next number.
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

std::optional<std::uint64_t> parseNumberedName(const std::string &Name,
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

std::string numberedName(std::string_view Prefix, std::uint64_t Number) {
  return std::string(Prefix) + std::to_string(Number);
}

[[noreturn]] void throwCorrupt(const std::string &Name, std::size_t Offset,
                               const std::string &What) {
  throw CorruptError("disk.load", Name,
                     What + " at offset " + std::to_string(Offset));
}

/// Reads a file that consists of exactly one record.
template <class Record>
Record readSingleRecord(Files &Folder, const std::string &Name,
                        std::uint64_t Seed) {
  std::string Bytes = Folder.read(Name);
  internal::RecordScan Scan = internal::scanRecords(Bytes, Seed);
  if (!Scan.Complete_ || Scan.Records_.size() != 1)
    throwCorrupt(Name, Scan.ValidLength_, "damaged record");
  return decode<Record>(Scan.Records_.front(), "disk.load", Name);
}

void replayBatch(std::vector<LogEntry> &Log, std::vector<LogEntry> Batch,
                 const LogHeader &Header, const std::string &Name) {
  for (LogEntry &E : Batch) {
    std::uint64_t Base = Header.BaseIndex_.value();
    std::uint64_t Index = E.Index_.value();
    if (Index <= Base || Index > Base + Log.size() + 1)
      throwCorrupt(Name, 0, "entry " + std::to_string(Index) + " out of order");
    Log.resize(Index - Base - 1);
    Log.push_back(std::move(E));
  }
}

/// \returns the log entries after the snapshot. The snapshot may be newer than
/// the log, if a crash occurred between the two writes.
std::vector<LogEntry> entriesAfterSnapshot(const Snapshot &S,
                                           const LogHeader &Header,
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
  Listing Present = listFiles();
  if (!Present.HasVote_) {
    create();
    Present = listFiles();
  }
  if (Present.Snapshots_.empty() || Present.Logs_.empty())
    throwCorrupt(Present.Logs_.empty() ? "log" : "snapshot", 0, "file missing");
  StoredState Stored;
  loadVote(Stored);
  loadSnapshot(Stored, Present.Snapshots_.back());
  LogSequence_ = Present.Logs_.back();
  loadLog(Stored);
  removeStale(Present, Present.Snapshots_.back());
  return Stored;
}

void DiskStorage::saveVote(Term T, const VmId &Vote) {
  runWrites([&] {
    std::string Payload = encode(VoteRecord{Disk_, T, Vote});
    replaceFile(VoteName, internal::frameRecord(Payload, 0));
  });
}

void DiskStorage::append(const std::vector<LogEntry> &Entries) {
  runWrites([&] {
    std::string Frame = internal::frameRecord(encode(Entries), LogSequence_);
    Folder_.append(logName(), Frame);
    Folder_.sync(logName());
    DurableLength_ += Frame.size();
    writeDurableLength();
  });
}

void DiskStorage::saveSnapshot(const Snapshot &S,
                               const std::vector<LogEntry> &Tail) {
  runWrites([&] {
    std::uint64_t Index = S.Meta_.Index_.value();
    Listing Before = listFiles();
    replaceFile(numberedName(SnapshotPrefix, Index),
                internal::frameRecord(encode(S), Index));
    startLog(S.Meta_, Tail);
    removeStale(Before, Index);
  });
}

DiskStorage::Listing DiskStorage::listFiles() {
  Listing Found;
  for (const std::string &Name : Folder_.list()) {
    if (auto Index = parseNumberedName(Name, SnapshotPrefix))
      Found.Snapshots_.push_back(*Index);
    if (auto Sequence = parseNumberedName(Name, LogPrefix))
      Found.Logs_.push_back(*Sequence);
    if (Name == VoteName)
      Found.HasVote_ = true;
  }
  std::sort(Found.Snapshots_.begin(), Found.Snapshots_.end());
  std::sort(Found.Logs_.begin(), Found.Logs_.end());
  return Found;
}

/// Writes the vote file last, so that a folder without one has never
/// acknowledged anything.
void DiskStorage::create() {
  Listing Present = listFiles();
  bool HadData =
      (!Present.Snapshots_.empty() && Present.Snapshots_.back() > 0) ||
      (!Present.Logs_.empty() && Present.Logs_.back() > FirstSequence);
  if (HadData)
    throwCorrupt(VoteName, 0, "file missing");
  LogSequence_ = FirstSequence - 1;
  saveSnapshot(Snapshot(), {});
  saveVote(Term(), VmId());
}

void DiskStorage::loadVote(StoredState &Stored) {
  auto Vote = readSingleRecord<VoteRecord>(Folder_, VoteName, 0);
  Disk_ = Vote.Disk_;
  Stored.Disk_ = Vote.Disk_;
  Stored.Term_ = Vote.Term_;
  Stored.Vote_ = Vote.Vote_;
}

void DiskStorage::loadSnapshot(StoredState &Stored, std::uint64_t Index) {
  std::string Name = numberedName(SnapshotPrefix, Index);
  Stored.Snapshot_ = readSingleRecord<Snapshot>(Folder_, Name, Index);
}

void DiskStorage::loadLog(StoredState &Stored) {
  std::string Bytes = Folder_.read(logName());
  internal::RecordScan Scan = internal::scanRecords(Bytes, LogSequence_);
  if (Scan.Records_.empty())
    throwCorrupt(logName(), 0, "damaged header");
  if (Scan.ValidAfterDamage_ || Scan.ValidLength_ < readDurableLength())
    throwCorrupt(logName(), Scan.ValidLength_, "damaged record");
  if (!Scan.Complete_)
    Stored.RecoveryMessages_.push_back(
        logName() + ": discarded " +
        std::to_string(Bytes.size() - Scan.ValidLength_) +
        " bytes of an incomplete write at offset " +
        std::to_string(Scan.ValidLength_));
  auto Header =
      decode<LogHeader>(Scan.Records_.front(), "disk.load", logName());
  std::vector<LogEntry> Entries;
  for (std::size_t RecordIndex = 1; RecordIndex < Scan.Records_.size();
       ++RecordIndex)
    replayBatch(Entries,
                decode<std::vector<LogEntry>>(Scan.Records_[RecordIndex],
                                              "disk.load", logName()),
                Header, logName());
  DurableLength_ = Bytes.size();
  Stored.Entries_ =
      entriesAfterSnapshot(Stored.Snapshot_, Header, std::move(Entries));
  // After a failed sync, reads may return bytes that never reach the disk. The
  // log is therefore copied to a new file, which is synced as a whole.
  runWrites([&] { startLog(Stored.Snapshot_.Meta_, Stored.Entries_); });
}

/// \returns the recorded durable length of the log. The file `durable` is never
/// synced, so it may be missing, damaged or of another log; the result is then
/// 0.
std::uint64_t DiskStorage::readDurableLength() {
  std::vector<std::string> Present = Folder_.list();
  if (std::find(Present.begin(), Present.end(), DurableName) == Present.end())
    return 0;
  std::string Bytes = Folder_.read(DurableName);
  internal::RecordScan Scan = internal::scanRecords(Bytes, 0);
  if (Scan.Records_.empty())
    return 0;
  auto Stored =
      decode<DurableRecord>(Scan.Records_.front(), "disk.load", DurableName);
  return Stored.Sequence_ == LogSequence_ ? Stored.Length_ : 0;
}

void DiskStorage::writeDurableLength() {
  std::string Payload = encode(DurableRecord{LogSequence_, DurableLength_});
  Folder_.write(DurableName, internal::frameRecord(Payload, 0));
}

void DiskStorage::replaceFile(const std::string &Name,
                              const std::string &Bytes) {
  std::string Temporary = Name + std::string(TemporarySuffix);
  Folder_.write(Temporary, Bytes);
  Folder_.sync(Temporary);
  Folder_.rename(Temporary, Name);
  Folder_.syncFolder();
}

void DiskStorage::startLog(const SnapshotMeta &Base,
                           const std::vector<LogEntry> &Tail) {
  std::uint64_t Next = LogSequence_ + 1;
  LogHeader Header{Base.Index_, Base.Term_};
  std::string Bytes = internal::frameRecord(encode(Header), Next);
  if (!Tail.empty())
    Bytes += internal::frameRecord(encode(Tail), Next);
  replaceFile(numberedName(LogPrefix, Next), Bytes);
  LogSequence_ = Next;
  DurableLength_ = Bytes.size();
  writeDurableLength();
}

void DiskStorage::removeStale(const Listing &Present, std::uint64_t Snapshot) {
  for (std::uint64_t Index : Present.Snapshots_)
    if (Index != Snapshot)
      Folder_.remove(numberedName(SnapshotPrefix, Index));
  for (std::uint64_t Sequence : Present.Logs_)
    if (Sequence != LogSequence_)
      Folder_.remove(numberedName(LogPrefix, Sequence));
}

std::string DiskStorage::logName() const {
  return numberedName(LogPrefix, LogSequence_);
}

void DiskStorage::runWrites(const std::function<void()> &Writes) {
  if (Failed_)
    throw DiskError("disk.write", "",
                    "writes are disabled after an earlier failure");
  try {
    Writes();
  } catch (const DiskError &) {
    Failed_ = true;
    throw;
  }
}

} // namespace lagoonpoint
