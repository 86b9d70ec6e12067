#pragma once

#include "lagoonpoint/src/Disk/Files.h"

#include <functional>

namespace lagoonpoint {

/// \class DiskStorage
/// \ingroup Disk
/// \brief Stores the state of a voter in the files of one folder.
///
/// The folder holds these files:
/// - `vote`: the disk id, the term and the vote
/// - `snapshot-N`: the state after entry N
/// - `log-S`: the entries after the snapshot, one checksummed record for each
///   append
/// - `durable`: the length of the log that is known to be synced
///
/// A damaged record of the log was acknowledged if a valid record follows it or
/// if it lies below the known durable length; load() then fails. Otherwise it
/// was never acknowledged, and load() discards it.
class DiskStorage final : public Storage {
public:
  /// \param Folder must outlive the storage
  /// \param NewDisk random identity that the folder gets if it is empty
  DiskStorage(Files &Folder, DiskId NewDisk);

  StoredState load() override;
  void saveVote(Term T, const VmId &Vote) override;
  void append(const std::vector<LogEntry> &Entries) override;
  void saveSnapshot(const Snapshot &S,
                    const std::vector<LogEntry> &Tail) override;

private:
  struct Listing {
    std::vector<std::uint64_t> Snapshots_;
    std::vector<std::uint64_t> Logs_;
    bool HasVote_ = false;
  };

  StoredState readFolder();
  Listing listFiles();
  void create();
  void loadVote(StoredState &Stored);
  void loadSnapshot(StoredState &Stored, std::uint64_t Index);
  void loadLog(StoredState &Stored);
  std::uint64_t readDurableLength();
  void writeDurableLength();
  void replaceFile(const std::string &Name, const std::string &Bytes);
  void startLog(const SnapshotMeta &Base, const std::vector<LogEntry> &Tail);
  void removeStale(const Listing &Present, std::uint64_t Snapshot);
  std::string logName() const;
  void runWrites(const std::function<void()> &Writes);

  Files &Folder_;
  DiskId Disk_;
  std::uint64_t LogSequence_ = 0;   ///< number of the current log file
  std::uint64_t DurableLength_ = 0; ///< synced length of that file in bytes
  bool Failed_ = false;
};

} // namespace lagoonpoint
