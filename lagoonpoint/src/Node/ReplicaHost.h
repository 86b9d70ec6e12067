#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Disk"
#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Node/Worker.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace lagoonpoint {

/// Result of submitting a change to one replica.
struct SubmitResult {
  bool Decided_ = false; ///< false: this replica does not know the verdict
  ChangeReply Reply_;    ///< valid if Decided_
  VmId Leader_;          ///< VM to ask instead; empty if unknown
};

/// Leadership and log position, as this replica knows them.
struct LeaderView {
  VmId Leader_;
  Term Term_;
  bool IsLeader_ = false; ///< this VM is the leader and its lease holds
  Time LeadershipUntil_;  ///< no other VM can lead earlier; valid if IsLeader_
  Revision Revision_;     ///< of this VM's committed catalog
  std::set<VmId> Voters_;
  LogIndex AppliedIndex_; ///< latest entry that the catalog includes
  LogIndex LastIndex_;    ///< latest entry on this VM's disk, committed or not
  std::vector<std::string> UnappliedTeams_; ///< teams that entries after
                                            ///< AppliedIndex_ may change
  LogIndex VoterConfigIndex_;
  VoterConfig VoterConfig_;
  DiskId Disk_;
  MemberContact Contact_; ///< valid if IsLeader_
};

/// \class ReplicaHost
/// \ingroup Node
/// \brief Runs this VM's replica and its catalog on their own thread, so that
/// no other thread waits for the disk.
///
/// A replica that stops, for example because its disk is full, is opened again
/// from the folder until that succeeds. The catalog is kept meanwhile and never
/// goes back to an earlier revision.
class ReplicaHost {
public:
  /// Called on the replica's thread with each new state of the catalog and the
  /// change that led to it. The change is null after a start or a snapshot.
  /// Departures leave the revision as it was.
  using Observer = std::function<void(const Catalog &, const Change *)>;
  using SubmitDone = std::function<void(SubmitResult)>;

  /// Opens the data folder.
  /// \throws CorruptError, DiskError
  ReplicaHost(const Settings &S, const Clock &C, Transport &T, Observer O);
  /// The same with another folder.
  ReplicaHost(const Settings &S, const Clock &C, Transport &T, Observer O,
              std::unique_ptr<Files> Folder);
  ~ReplicaHost();

  void start();
  void stop();

  void receive(Envelope Message);
  /// Proposes a change if this VM leads.
  /// \param Done called at most once, on the replica's thread; not called if
  /// the task queue is full or the replica stops before the verdict
  void submit(Change C, SubmitDone Done);
  /// Starts a change of the voters. A VM is added as a learner and becomes a
  /// voter once it has the log.
  /// \returns why it is refused, empty if it started
  std::string addVoter(const VmId &Vm);
  std::string removeVoter(const VmId &Vm);
  /// Sets the learners that don't become voters for now.
  void holdLearners(std::set<VmId> Vms);

  /// Calls \p F with the catalog on the replica's thread and waits for it.
  template <class Function> auto read(Function F) {
    return Worker_.call([this, F = std::move(F)] { return F(Catalog_); });
  }

  LeaderView leaderView() const;
  ReplicaStatus status();

private:
  struct PendingSubmit {
    ChangeId Id_;
    SubmitDone Done_;
  };
  /// The entries of the log that the catalog does not include yet, kept because
  /// decoding a large change for each message would take too long.
  struct LogTail {
    LogIndex After_;
    LogIndex Last_;
    Term LastTerm_;                  ///< with Last_, identifies the log
    ItemSet Items_;                  ///< that they may change
    std::vector<std::string> Teams_; ///< names of the teams among Items_
  };

  void tick();
  void open();
  void reopenIfStopped();
  void processOutputs();
  std::optional<std::string> prepare(Change &C);
  void applyCommitted(const CommittedItem &Item);
  void completeSubmits();
  void publishView();
  const LogTail &tail();
  ItemSet itemsAfterTail();
  std::string voterChangeResult(const ProposeResult &Result);

  const ReplicaOptions Options_;
  const Clock &Clock_;
  Transport &Transport_;
  Observer Observer_;
  std::unique_ptr<Files> Files_;
  std::unique_ptr<DiskStorage> Storage_;
  std::unique_ptr<Replica> Replica_;
  std::optional<Time> ReopenAt_; ///< empty while the replica runs
  std::string ReopenError_;      ///< of the last attempt, logged once
  Catalog Catalog_;
  LogIndex AppliedIndex_; ///< of the last item applied to the catalog
  /// To the changes applied since the last completeSubmits().
  std::map<ChangeId, ChangeReply> FreshReplies_;
  LogIndex DeliveredIndex_; ///< the catalog includes all entries up to here
  std::multimap<LogIndex, PendingSubmit> PendingSubmits_;
  LogTail Tail_;
  mutable std::mutex ViewLock_;
  LeaderView View_;
  std::string LoggedFault_;
  std::set<VmId> HeldLearners_; ///< used on the replica's thread
  Worker Worker_;
};

} // namespace lagoonpoint
