#pragma once

#include "lagoonpoint/Disk"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace lagoonpoint::fakes {

/// Thrown by a FakeDisk to simulate a crash of its VM.
struct Crash {};

/// The simulated outcome of one disk operation.
struct DiskOutcome {
  bool Fails_ = false;
  bool CrashBefore_ = false;
  bool CrashAfter_ = false;
  Duration Latency_;
};

/// A folder that tracks which contents and names are synced.
class FakeDisk final : public Files {
public:
  using Hook = std::function<DiskOutcome(const std::string &Operation)>;

  void setHook(Hook H) { Hook_ = std::move(H); }
  std::uint64_t syncs() const { return Syncs_; }
  /// \returns the total latency of the operations since the last call.
  Duration takeLatency() { return std::exchange(Latency_, Duration()); }

  Duration latency() const { return Latency_; }

  /// Discards all unsynced changes, except the first \p Kept bytes of unsynced
  /// appends to each file.
  void losePower(std::size_t Kept) {
    Names_ = Durable_;
    for (auto &[Name, F] : Names_)
      F->losePower(Kept);
  }
  /// \returns a copy of the disk as it would be after a power loss now.
  FakeDisk afterPowerLoss() const {
    FakeDisk Copy;
    for (const auto &[Name, F] : Durable_)
      Copy.Names_[Name] = std::make_shared<File>(File{F->Synced_, F->Synced_});
    Copy.Durable_ = Copy.Names_;
    return Copy;
  }
  /// Flips a bit of one stored byte, as a failing disk may.
  void damage(const std::string &Name, std::size_t Offset) {
    file(Name).Data_.at(Offset) ^= 0x20;
    file(Name).Synced_ = file(Name).Data_;
  }

  std::vector<std::string> list() override {
    std::vector<std::string> Out;
    for (const auto &Entry : Names_)
      Out.push_back(Entry.first);
    return Out;
  }
  std::string read(const std::string &Name) override {
    return file(Name).Data_;
  }
  void write(const std::string &Name, const std::string &Bytes) override {
    perform("write", [&] {
      if (!Names_.count(Name))
        Names_[Name] = std::make_shared<File>();
      Names_[Name]->Data_ = Bytes;
    });
  }
  void append(const std::string &Name, const std::string &Bytes) override {
    perform("append", [&] { file(Name).Data_ += Bytes; });
  }
  void truncate(const std::string &Name, std::uint64_t Length) override {
    perform("truncate", [&] { file(Name).Data_.resize(Length); });
  }
  void sync(const std::string &Name) override {
    perform("sync", [&] { file(Name).Synced_ = file(Name).Data_; });
    ++Syncs_;
  }
  void rename(const std::string &From, const std::string &To) override {
    perform("rename", [&] {
      Names_[To] = Names_.at(From);
      Names_.erase(From);
    });
  }
  void remove(const std::string &Name) override {
    perform("remove", [&] { Names_.erase(Name); });
  }
  void syncFolder() override {
    perform("syncFolder", [&] { Durable_ = Names_; });
    ++Syncs_;
  }

private:
  struct File {
    std::string Data_;
    std::string Synced_;

    void losePower(std::size_t Kept) {
      bool Appended = Data_.compare(0, Synced_.size(), Synced_) == 0;
      if (Appended)
        Data_.resize(std::min(Data_.size(), Synced_.size() + Kept));
      else
        Data_ = Synced_;
      Synced_ = Data_;
    }
  };

  File &file(const std::string &Name) {
    auto Found = Names_.find(Name);
    if (Found == Names_.end())
      throw DiskError("disk.open", Name, "no such file");
    return *Found->second;
  }

  template <class Change>
  void perform(const std::string &Operation, const Change &Do) {
    DiskOutcome Outcome = Hook_ ? Hook_(Operation) : DiskOutcome();
    Latency_ = Latency_ + Outcome.Latency_;
    if (Outcome.CrashBefore_)
      throw Crash();
    if (Outcome.Fails_)
      throw DiskError("disk." + Operation, "", "no space left on device");
    Do();
    if (Outcome.CrashAfter_)
      throw Crash();
  }

  std::map<std::string, std::shared_ptr<File>> Names_;
  std::map<std::string, std::shared_ptr<File>> Durable_;
  Hook Hook_;
  std::uint64_t Syncs_ = 0;
  Duration Latency_;
};

} // namespace lagoonpoint::fakes
