#pragma once

#include "lagoonpoint/Replication"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

/// \class Files
/// \ingroup Disk
/// \brief Interface to the files of one folder, with separate write and sync.
///
/// Names are file names without a path. Every function throws DiskError if it
/// fails.
class Files {
public:
  virtual ~Files() = default;

  virtual std::vector<std::string> list() = 0;
  virtual std::string read(const std::string &Name) = 0;
  /// Creates or replaces a file. It is durable only after sync().
  virtual void write(const std::string &Name, const std::string &Bytes) = 0;
  virtual void append(const std::string &Name, const std::string &Bytes) = 0;
  virtual void truncate(const std::string &Name, std::uint64_t Length) = 0;
  /// Makes the contents of a file durable.
  virtual void sync(const std::string &Name) = 0;
  virtual void rename(const std::string &From, const std::string &To) = 0;
  virtual void remove(const std::string &Name) = 0;
  /// Makes the creation, renaming and removal of files durable.
  virtual void syncFolder() = 0;
};

} // namespace lagoonpoint
