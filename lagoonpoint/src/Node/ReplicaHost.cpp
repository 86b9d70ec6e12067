#include "lagoonpoint/src/Node/ReplicaHost.h"

#include "lagoonpoint/Log"

#include <algorithm>
#include <set>
#include <utility>

namespace lagoonpoint {

namespace {

constexpr Duration TickInterval = Duration::millis(25);
constexpr const char *VoterFolder = "/voter";
/// Opening the folder writes the log anew, so that it fails while the disk
/// refuses writes.
constexpr Duration ReopenInterval = Duration::millis(500);

ReplicaOptions optionsOf(const Settings &S) {
  ReplicaOptions Options;
  Options.Self_ = S.Vm_;
  Options.InitialVoters_ = S.InitialVoters_;
  Options.Seed_ = std::random_device()();
  return Options;
}

} // namespace

ReplicaHost::ReplicaHost(const Settings &S, const Clock &C, Transport &T,
                         Observer O)
    : ReplicaHost(S, C, T, std::move(O),
                  std::make_unique<PosixFiles>(S.DataFolder_ + VoterFolder)) {}

ReplicaHost::ReplicaHost(const Settings &S, const Clock &C, Transport &T,
                         Observer O, std::unique_ptr<Files> Folder)
    : Options_(optionsOf(S)), Clock_(C), Transport_(T), Observer_(std::move(O)),
      Files_(std::move(Folder)),
      Worker_("replica.run", TickInterval, [this] { tick(); }) {
  open();
  processOutputs();
}

void ReplicaHost::open() {
  auto Storage = std::make_unique<DiskStorage>(*Files_, randomDiskId());
  Replica_ = std::make_unique<Replica>(Options_, *Storage, Clock_.now());
  Storage_ = std::move(Storage);
  for (const std::string &Line : Replica_->recoveryMessages())
    log({.Level_ = LogLevel::Warning,
         .Step_ = "replica.recover",
         .Message_ = Line});
}

ReplicaHost::~ReplicaHost() { stop(); }

void ReplicaHost::start() { Worker_.start(); }

void ReplicaHost::stop() { Worker_.stop(); }

void ReplicaHost::receive(Envelope Message) {
  Worker_.post([this, M = std::move(Message)] {
    Replica_->receive(M, Clock_.now());
    processOutputs();
  });
}

void ReplicaHost::submit(Change C, SubmitDone Done) {
  Worker_.post([this, C = std::move(C), Done = std::move(Done)] {
    SubmitResult Undecided{.Leader_ = Replica_->leaderHint()};
    if (!Replica_->isLeader() || !Replica_->leaseValid(Clock_.now()))
      return Done(Undecided);
    if (auto Stored = findReply(Catalog_, C.Id_))
      return Done({true, *Stored, {}});
    // A resend of a change that is already proposed waits for the same entry.
    for (const auto &[Index, Other] : PendingSubmits_)
      if (Other.Id_ == C.Id_) {
        PendingSubmits_.emplace(Index, PendingSubmit{C.Id_, Done});
        return;
      }
    Change Prepared = C;
    std::optional<std::string> InvalidReason = prepare(Prepared);
    if (!InvalidReason)
      return Done(Undecided);
    if (!InvalidReason->empty())
      return Done({true,
                   {ChangeVerdict::Invalid, Catalog_.Revision_, *InvalidReason},
                   {}});
    ProposeResult Result =
        Replica_->propose(encode(makeSplice(Catalog_, Prepared)), Clock_.now());
    if (!Result.accepted())
      return Done(Undecided);
    PendingSubmits_.emplace(Result.Index_, PendingSubmit{C.Id_, Done});
    processOutputs();
  });
}

/// Validates a change that is about to be proposed. A patch is checked against
/// the items that it will meet once the entries before it are applied. Items of
/// it that newer ones have replaced are left out, as replicas would refuse a
/// patch whose outdated route names a service that was removed since.
/// \returns why the change is invalid, empty if it is valid, nothing if an
/// entry that is not committed yet decides
std::optional<std::string> ReplicaHost::prepare(Change &C) {
  if (C.Kind_ != ChangeKind::PatchItems)
    return validateChange(C);
  ItemSet Expected = itemsAfterTail();
  std::string Fault = validatePatch(Expected, C.Items_);
  if (!Fault.empty())
    return Fault;
  C.Items_ = newerItems(Catalog_.Items_, C.Items_);
  if (!validateLoggedPatch(Expected, C.Items_).empty())
    return std::nullopt;
  return "";
}

std::string ReplicaHost::voterChangeResult(const ProposeResult &Result) {
  processOutputs();
  if (Result.accepted())
    return "";
  std::string Refusal = toString(Result.Refusal_);
  if (Result.Refusal_ == ProposeRefusal::NotLeader && !Result.Leader_.empty())
    Refusal += "; ask VM " + Result.Leader_.str();
  return Refusal;
}

std::string ReplicaHost::addVoter(const VmId &Vm) {
  return Worker_.call([this, Vm] {
    return voterChangeResult(Replica_->addLearner(Vm, Clock_.now()));
  });
}

std::string ReplicaHost::removeVoter(const VmId &Vm) {
  return Worker_.call([this, Vm] {
    return voterChangeResult(Replica_->remove(Vm, Clock_.now()));
  });
}

void ReplicaHost::holdLearners(std::set<VmId> Vms) {
  Worker_.post([this, Vms = std::move(Vms)] { HeldLearners_ = Vms; });
}

LeaderView ReplicaHost::leaderView() const {
  std::lock_guard Guard(ViewLock_);
  return View_;
}

ReplicaStatus ReplicaHost::status() {
  return Worker_.call([this] { return Replica_->status(Clock_.now()); });
}

void ReplicaHost::tick() {
  reopenIfStopped();
  Replica_->tick(Clock_.now());
  // Learners are only added to become voters.
  Replica_->promoteLearner(HeldLearners_, Clock_.now());
  processOutputs();
}

/// What stopped the replica may pass: a full disk, a failed write, or a state
/// that the log on disk does not have.
void ReplicaHost::reopenIfStopped() {
  if (Replica_->fault().empty())
    return;
  if (!ReopenAt_) {
    ReopenAt_ = Clock_.now() + ReopenInterval;
    // Whether these are committed is unknown to this replica from now on.
    for (auto &[Index, Pending] : std::exchange(PendingSubmits_, {}))
      Pending.Done_({});
  }
  if (Clock_.now() < *ReopenAt_)
    return;
  try {
    open();
    ReopenAt_.reset();
    ReopenError_.clear();
  } catch (const Error &E) {
    ReopenAt_ = Clock_.now() + ReopenInterval;
    if (ReopenError_ != E.what())
      logError(E, LogLevel::Warning);
    ReopenError_ = E.what();
  }
}

void ReplicaHost::processOutputs() {
  // The view is published before messages are sent, so that it is at least as
  // recent as any message of this VM.
  publishView();
  for (Envelope &Message : Replica_->takeOutbox())
    Transport_.send(std::move(Message));
  for (const CommittedItem &Item : Replica_->takeCommitted())
    applyCommitted(Item);
  DeliveredIndex_ = std::max(DeliveredIndex_, Replica_->state().Commit_);
  completeSubmits();
  // A replica that was opened again may lag behind the catalog.
  if (Replica_->state().Commit_ == DeliveredIndex_ && Replica_->wantsSnapshot())
    Replica_->snapshot(encode(Catalog_), Clock_.now());
  publishView();
}

void ReplicaHost::applyCommitted(const CommittedItem &Item) {
  if (Item.Index_ <= DeliveredIndex_)
    return; // replayed by a replica that was opened again
  AppliedIndex_ = Item.Index_;
  if (Item.IsSnapshot_) {
    Catalog_ = decode<Catalog>(Item.Bytes_, "replica.snapshot", "");
    Observer_(Catalog_, nullptr);
    return;
  }
  Change C = decode<Change>(Item.Bytes_, "replica.apply", "");
  Revision Previous = Catalog_.Revision_;
  ChangeReply Reply = applyChange(Catalog_, C);
  FreshReplies_.emplace(C.Id_, Reply);
  if (C.Kind_ == ChangeKind::RecordDepartures)
    return Observer_(Catalog_, &C);
  if (Catalog_.Revision_ == Previous)
    return;
  log({.Step_ = "replica.apply",
       .Message_ = "change " + C.Id_.str() + " accepted",
       .Revision_ = Reply.Revision_});
  Observer_(Catalog_, &C);
}

void ReplicaHost::completeSubmits() {
  auto End = PendingSubmits_.upper_bound(AppliedIndex_);
  for (auto It = PendingSubmits_.begin(); It != End;
       It = PendingSubmits_.erase(It)) {
    SubmitResult Result{.Leader_ = Replica_->leaderHint()};
    auto Fresh = FreshReplies_.find(It->second.Id_);
    if (Fresh != FreshReplies_.end())
      Result = {true, Fresh->second, {}};
    else if (auto Stored = findReply(Catalog_, It->second.Id_))
      Result = {true, *Stored, {}};
    It->second.Done_(Result);
  }
  FreshReplies_.clear();
}

const ReplicaHost::LogTail &ReplicaHost::tail() {
  const auto &Log = Replica_->state().Log_;
  if (Tail_.After_ == DeliveredIndex_ && Tail_.Last_ == Log.lastIndex() &&
      Tail_.LastTerm_ == Log.lastTerm())
    return Tail_;
  Tail_ = {DeliveredIndex_, Log.lastIndex(), Log.lastTerm(), {}, {}};
  for (const LogEntry &E : Log.tailAfter(DeliveredIndex_))
    if (E.Kind_ == EntryKind::Command)
      mergeItems(Tail_.Items_,
                 decode<Change>(E.Bytes_, "replica.tail", "").Items_,
                 Revision());
  removeSourceTexts(Tail_.Items_);
  for (const auto &[Name, Team] : Tail_.Items_.Teams_)
    Tail_.Teams_.push_back(Name);
  return Tail_;
}

ItemSet ReplicaHost::itemsAfterTail() {
  ItemSet Out = Catalog_.Items_;
  mergeItemsFromPeer(Out, tail().Items_);
  return Out;
}

void ReplicaHost::publishView() {
  Time Now = Clock_.now();
  ReplicaStatus Status = Replica_->status(Now);
  if (Status.Fault_ != LoggedFault_) {
    bool Runs = Status.Fault_.empty();
    log({.Level_ = Runs ? LogLevel::Info : LogLevel::Error,
         .Step_ = Runs ? "replica.resume" : "replica.stop",
         .Message_ =
             Runs ? "runs again after: " + LoggedFault_ : Status.Fault_});
    LoggedFault_ = Status.Fault_;
  }
  const std::vector<std::string> &Teams = tail().Teams_;
  std::lock_guard Guard(ViewLock_);
  View_.UnappliedTeams_ = Teams;
  View_.Leader_ = Status.Leader_;
  View_.Term_ = Status.Term_;
  View_.IsLeader_ = Replica_->isLeader() && Replica_->leaseValid(Now);
  View_.Revision_ = Catalog_.Revision_;
  View_.Voters_.clear();
  for (const Voter &V : Status.Config_.Voters_)
    View_.Voters_.insert(V.Vm_);
  View_.AppliedIndex_ = DeliveredIndex_;
  View_.LastIndex_ = Status.LastIndex_;
  View_.VoterConfigIndex_ = Replica_->state().Log_.configIndex();
  View_.VoterConfig_ = Status.Config_;
  View_.Disk_ = Status.Disk_;
  View_.Contact_ = memberContact(Replica_->state());
  View_.LeadershipUntil_ = leaseEnd(Replica_->state(), Now).value_or(Time());
}

} // namespace lagoonpoint
