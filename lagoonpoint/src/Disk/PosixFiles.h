#pragma once

#include "lagoonpoint/src/Disk/Files.h"

#include <map>
#include <memory>

namespace lagoonpoint {

/// \class PosixFiles
/// \ingroup Disk
/// \brief Files in a folder of the file system, which it locks against use by
/// a second process.
class PosixFiles final : public Files {
public:
  /// Creates the folder if it is missing, and locks it.
  /// \throws DiskError if another process holds the lock
  explicit PosixFiles(std::string Folder);
  ~PosixFiles() override;
  PosixFiles(const PosixFiles &) = delete;
  PosixFiles &operator=(const PosixFiles &) = delete;

  std::vector<std::string> list() override;
  std::string read(const std::string &Name) override;
  void write(const std::string &Name, const std::string &Bytes) override;
  void append(const std::string &Name, const std::string &Bytes) override;
  void truncate(const std::string &Name, std::uint64_t Length) override;
  void sync(const std::string &Name) override;
  void rename(const std::string &From, const std::string &To) override;
  void remove(const std::string &Name) override;
  void syncFolder() override;

private:
  class Descriptor;

  std::string pathOf(const std::string &Name) const;
  Descriptor &openFile(const std::string &Name);

  std::string Folder_;
  int LockFile_ = -1;
  /// Descriptors stay open from the write to the sync, so that the sync reports
  /// errors of the write.
  std::map<std::string, std::unique_ptr<Descriptor>> OpenFiles_;
};

/// \returns a random identity for a new data folder.
/// \ingroup Disk
DiskId randomDiskId();

} // namespace lagoonpoint
