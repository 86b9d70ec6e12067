#include "lagoonpoint/src/Disk/PosixFiles.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <random>

namespace lagoonpoint {

namespace {

[[noreturn]] void throwErrno(const char *Step, const std::string &Path) {
  throw DiskError(Step, Path, std::strerror(errno));
}

void writeAll(int File, const std::string &Bytes, const std::string &Path) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Written = ::write(File, Bytes.data() + Done, Bytes.size() - Done);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      throwErrno("disk.write", Path);
    Done += static_cast<std::size_t>(Written);
  }
}

} // namespace

/// Owns a file descriptor and closes it on destruction.
class PosixFiles::Descriptor {
public:
  Descriptor(const std::string &Path, int Flags)
      : Number_(::open(Path.c_str(), Flags | O_CLOEXEC, 0600)) {
    if (Number_ < 0)
      throwErrno("disk.open", Path);
  }
  ~Descriptor() { ::close(Number_); }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int number() const { return Number_; }

private:
  int Number_;
};

PosixFiles::PosixFiles(std::string Folder) : Folder_(std::move(Folder)) {
  std::error_code Failure;
  std::filesystem::create_directories(Folder_, Failure);
  if (Failure)
    throw DiskError("disk.open", Folder_, Failure.message());
  std::string Path = pathOf("lock");
  LockFile_ = ::open(Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (LockFile_ < 0)
    throwErrno("disk.lock", Path);
  if (::flock(LockFile_, LOCK_EX | LOCK_NB) == 0)
    return;
  ::close(LockFile_);
  throw DiskError("disk.lock", Path, "folder is locked by another process");
}

PosixFiles::~PosixFiles() { ::close(LockFile_); }

std::vector<std::string> PosixFiles::list() {
  std::vector<std::string> Names;
  std::error_code Failure;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Folder_, Failure))
    Names.push_back(Entry.path().filename().string());
  if (Failure)
    throw DiskError("disk.list", Folder_, Failure.message());
  return Names;
}

std::string PosixFiles::read(const std::string &Name) {
  std::string Path = pathOf(Name);
  Descriptor File(Path, O_RDONLY);
  std::string Bytes;
  char Buffer[64 << 10];
  while (true) {
    ssize_t Count = ::read(File.number(), Buffer, sizeof(Buffer));
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwErrno("disk.read", Path);
    if (Count == 0)
      return Bytes;
    Bytes.append(Buffer, static_cast<std::size_t>(Count));
  }
}

void PosixFiles::write(const std::string &Name, const std::string &Bytes) {
  int File = openFile(Name).number();
  if (::ftruncate(File, 0) != 0)
    throwErrno("disk.write", pathOf(Name));
  writeAll(File, Bytes, pathOf(Name));
}

void PosixFiles::append(const std::string &Name, const std::string &Bytes) {
  writeAll(openFile(Name).number(), Bytes, pathOf(Name));
}

void PosixFiles::truncate(const std::string &Name, std::uint64_t Length) {
  int File = openFile(Name).number();
  if (::ftruncate(File, static_cast<off_t>(Length)) != 0)
    throwErrno("disk.truncate", pathOf(Name));
}

void PosixFiles::sync(const std::string &Name) {
  if (::fsync(openFile(Name).number()) != 0)
    throwErrno("disk.sync", pathOf(Name));
}

void PosixFiles::rename(const std::string &From, const std::string &To) {
  OpenFiles_.erase(From);
  OpenFiles_.erase(To);
  if (::rename(pathOf(From).c_str(), pathOf(To).c_str()) != 0)
    throwErrno("disk.rename", pathOf(To));
}

void PosixFiles::remove(const std::string &Name) {
  OpenFiles_.erase(Name);
  if (::unlink(pathOf(Name).c_str()) != 0)
    throwErrno("disk.remove", pathOf(Name));
}

void PosixFiles::syncFolder() {
  Descriptor Folder(Folder_, O_RDONLY | O_DIRECTORY);
  if (::fsync(Folder.number()) != 0)
    throwErrno("disk.sync", Folder_);
}

std::string PosixFiles::pathOf(const std::string &Name) const {
  return Folder_ + "/" + Name;
}

PosixFiles::Descriptor &PosixFiles::openFile(const std::string &Name) {
  std::unique_ptr<Descriptor> &File = OpenFiles_[Name];
  if (!File)
    File = std::make_unique<Descriptor>(pathOf(Name),
                                        O_WRONLY | O_CREAT | O_APPEND);
  return *File;
}

DiskId randomDiskId() {
  std::random_device Source;
  std::uint64_t High = Source();
  return DiskId((High << 32) | Source());
}

} // namespace lagoonpoint
