#include "lagoonpoint/Disk"
#include "fakes/FakeDisk.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

using namespace lagoonpoint;
using fakes::FakeDisk;

namespace {

const std::string ActiveLog =
    "log-2"; // the second log: each load() starts a new one

LogEntry entry(std::uint64_t Index, std::uint64_t T) {
  return {Term(T), LogIndex(Index), EntryKind::Command,
          "command " + std::to_string(Index)};
}

StoredState load(Files &Folder) {
  return DiskStorage(Folder, DiskId(99)).load();
}

/// Stores a vote and four entries, each in a record of its own.
void fill(Files &Folder) {
  DiskStorage Storage(Folder, DiskId(7));
  Storage.load();
  Storage.saveVote(Term(3), VmId("b"));
  for (std::uint64_t Index = 1; Index <= 4; ++Index)
    Storage.append({entry(Index, 2)});
}

bool isCorrupt(FakeDisk &Disk, const std::string &Name) {
  try {
    load(Disk);
  } catch (const CorruptError &E) {
    CHECK(E.peer() == Name);
    CHECK(E.message().find("offset") != std::string::npos);
    return true;
  }
  return false;
}

/// Runs the writes repeatedly, with a crash at another disk operation each
/// time, and verifies what is loaded afterwards.
template <class Check>
void crashAtEachOperation(const std::function<void(DiskStorage &)> &Writes,
                          const Check &Verify) {
  for (int At = 0;; ++At) {
    FakeDisk Disk;
    fill(Disk);
    DiskStorage Storage(Disk, DiskId(7));
    Storage.load();
    int Operations = 0;
    Disk.setHook([&](const std::string &) {
      return fakes::DiskOutcome{.CrashBefore_ = Operations++ == At};
    });
    bool Crashed = false;
    try {
      Writes(Storage);
    } catch (const fakes::Crash &) {
      Crashed = true;
    }
    Disk.setHook({});
    Disk.losePower(static_cast<std::size_t>(At * 7));
    INFO("crash before operation " << At);
    Verify(load(Disk), Crashed);
    if (!Crashed)
      return;
  }
}

} // namespace

TEST_CASE("A data folder") {
  FakeDisk Disk;
  fill(Disk);

  SECTION("returns everything acknowledged after a power loss") {
    Disk.losePower(0);
    StoredState Stored = load(Disk);
    CHECK(Stored.Disk_ == DiskId(7));
    CHECK(Stored.Term_ == Term(3));
    CHECK(Stored.Vote_ == VmId("b"));
    CHECK(Stored.Entries_.size() == 4);
    CHECK(Stored.RecoveryMessages_.empty());
  }
  SECTION("replaces all entries from the first appended index on") {
    DiskStorage Storage(Disk, DiskId(7));
    Storage.load();
    Storage.append({entry(2, 5), entry(3, 5)});
    StoredState Stored = load(Disk);
    CHECK(Stored.Entries_ ==
          std::vector<LogEntry>{entry(1, 2), entry(2, 5), entry(3, 5)});
  }
  SECTION("keeps a snapshot and the entries after it") {
    DiskStorage Storage(Disk, DiskId(7));
    Storage.load();
    Snapshot S{{LogIndex(3), Term(2), VoterConfig()}, "state"};
    Storage.saveSnapshot(S, {entry(4, 2)});
    StoredState Stored = load(Disk);
    CHECK(Stored.Snapshot_.State_ == "state");
    CHECK(Stored.Entries_ == std::vector<LogEntry>{entry(4, 2)});
  }
  SECTION("refuses further writes after a failed write") {
    DiskStorage Storage(Disk, DiskId(7));
    Storage.load();
    Disk.setHook([](const std::string &Operation) {
      return fakes::DiskOutcome{.Fails_ = Operation == "sync"};
    });
    CHECK_THROWS_AS(Storage.append({entry(5, 2)}), DiskError);
    Disk.setHook({});
    CHECK_THROWS_AS(Storage.append({entry(5, 2)}), DiskError);
    CHECK_THROWS_AS(Storage.saveVote(Term(9), VmId("a")), DiskError);
  }
}

TEST_CASE("An incomplete write at the end of the log") {
  FakeDisk Disk;
  fill(Disk);
  std::string Whole = Disk.read(ActiveLog);
  DiskStorage Storage(Disk, DiskId(7));
  Storage.load();
  Storage.append({entry(5, 2)});
  std::string Next = Disk.read("log-3");
  std::string Last = Next.substr(Next.size() - 40);

  SECTION("is discarded with a message, whatever its length") {
    for (std::size_t Kept = 1; Kept < Last.size(); ++Kept) {
      Disk.write(ActiveLog, Whole + Last.substr(0, Kept));
      Disk.remove("log-3");
      StoredState Stored = load(Disk);
      CHECK(Stored.Entries_.size() == 4);
      REQUIRE(Stored.RecoveryMessages_.size() == 1);
      CHECK(Stored.RecoveryMessages_[0].find(ActiveLog) == 0);
      CHECK(Stored.RecoveryMessages_[0].find("offset") != std::string::npos);
    }
  }
}

TEST_CASE("Damage to acknowledged data makes loading fail") {
  FakeDisk Disk;
  fill(Disk);

  SECTION("at any byte of the log") {
    std::size_t Size = Disk.read(ActiveLog).size();
    for (std::size_t Offset = 0; Offset < Size; ++Offset) {
      Disk.damage(ActiveLog, Offset);
      INFO("offset " << Offset);
      CHECK(isCorrupt(Disk, ActiveLog));
      Disk.damage(ActiveLog, Offset);
    }
    CHECK(load(Disk).Entries_.size() == 4);
  }
  SECTION("before the last record of the log, without the durable length") {
    Disk.remove("durable");
    Disk.damage(ActiveLog, Disk.read(ActiveLog).size() / 2);
    CHECK(isCorrupt(Disk, ActiveLog));
  }
  SECTION("in the vote") {
    Disk.damage("vote", 20);
    CHECK(isCorrupt(Disk, "vote"));
  }
  SECTION("in the snapshot") {
    Disk.damage("snapshot-0", 20);
    CHECK(isCorrupt(Disk, "snapshot-0"));
  }
  SECTION("if a file is missing") {
    SECTION("the vote") { Disk.remove("vote"); }
    SECTION("the log") { Disk.remove(ActiveLog); }
    SECTION("the snapshot") { Disk.remove("snapshot-0"); }
    CHECK_THROWS_AS(load(Disk), CorruptError);
  }
}

TEST_CASE("A power loss at any operation leaves the old or the new state") {
  SECTION("vote") {
    crashAtEachOperation(
        [](DiskStorage &S) { S.saveVote(Term(4), VmId("c")); },
        [](const StoredState &Stored, bool Crashed) {
          bool New = Stored.Term_ == Term(4) && Stored.Vote_ == VmId("c");
          bool Old = Stored.Term_ == Term(3) && Stored.Vote_ == VmId("b");
          CHECK((New || (Old && Crashed)));
        });
  }
  SECTION("entries") {
    crashAtEachOperation(
        [](DiskStorage &S) {
          S.append({entry(4, 5), entry(5, 5)});
        },
        [](const StoredState &Stored, bool Crashed) {
          bool New =
              Stored.Entries_.size() == 5 && Stored.Entries_[3] == entry(4, 5);
          bool Old =
              Stored.Entries_.size() == 4 && Stored.Entries_[3] == entry(4, 2);
          CHECK((New || (Old && Crashed)));
        });
  }
  SECTION("a snapshot that conflicts with the log") {
    Snapshot S{{LogIndex(3), Term(5), VoterConfig()}, "state"};
    crashAtEachOperation(
        [&](DiskStorage &Storage) { Storage.saveSnapshot(S, {}); },
        [](const StoredState &Stored, bool Crashed) {
          bool New =
              Stored.Snapshot_.State_ == "state" && Stored.Entries_.empty();
          bool Old = Stored.Snapshot_.Meta_.Index_ == LogIndex() &&
                     Stored.Entries_.size() == 4;
          CHECK((New || (Old && Crashed)));
        });
  }
}

TEST_CASE("A folder of the file system") {
  std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("lagoonpoint-disk-" + std::to_string(::getpid()));
  std::filesystem::remove_all(Path);

  SECTION("keeps the data for the next process") {
    {
      PosixFiles Folder(Path.string());
      fill(Folder);
    }
    PosixFiles Folder(Path.string());
    CHECK(load(Folder).Entries_.size() == 4);
  }
  SECTION("is locked until the first user releases it") {
    auto First = std::make_unique<PosixFiles>(Path.string());
    CHECK_THROWS_AS(PosixFiles(Path.string()), DiskError);
    First.reset();
    CHECK_NOTHROW(PosixFiles(Path.string()));
  }
  SECTION("that can't be created is an error") {
    CHECK_THROWS_AS(PosixFiles("/proc/no-such-folder"), DiskError);
  }
  std::filesystem::remove_all(Path);
}
