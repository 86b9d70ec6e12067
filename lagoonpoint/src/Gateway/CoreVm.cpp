#include "lagoonpoint/src/Gateway/CoreVm.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Gateway/ControlLoad.h"
#include "lagoonpoint/src/Gateway/DepartureRecorder.h"
#include "lagoonpoint/src/Gateway/LoadRelay.h"
#include "lagoonpoint/src/Gateway/PeerRegistry.h"
#include "lagoonpoint/src/Gateway/QuotaHolder.h"
#include "lagoonpoint/src/Node/ChangeRouter.h"
#include "lagoonpoint/src/Node/ReplicaHost.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration TickInterval = Duration::millis(250);
constexpr Duration IdleTickInterval = Duration::seconds(60);
constexpr Duration HeartbeatInterval = Duration::seconds(1);
/// Look-ups list an entry VM for the same time after its last heartbeat.
constexpr Duration LookupLivenessTimeout = LivenessTimeout;
constexpr Duration NodeRetention = Duration::seconds(60);
constexpr Duration UpstreamRetention = Duration::seconds(60);
/// Upstreams try the next core VM after one second without an answer, so this
/// must be shorter.
constexpr Duration ConfirmTimeout = Duration::millis(750);
constexpr Duration ConfirmRetryInterval = Duration::millis(200);
/// An entry VM that has missed two heartbeats need not confirm a departure.
constexpr Duration ConfirmSilence = Duration::millis(2100);
/// The records of all entry VMs are repeated once in this many heartbeats, in
/// case a message was lost.
constexpr unsigned HeartbeatsPerFullReport = 10;
/// At the first start of a fleet, changes are refused until the other core VMs
/// have joined the initial voters, but no longer than this. The first change is
/// then replicated as widely as later ones.
constexpr Duration BootstrapTimeout = Duration::seconds(5);
constexpr std::size_t MinVoters = 3;
constexpr Duration ReadPollInterval = Duration::millis(10);
/// Consecutive replies with a different digest of the announcements after which
/// the announcements are synchronized.
constexpr unsigned MismatchesBeforeSync = 2;

/// Snapshot of the replica's configuration for readers on other threads.
struct ItemsSnapshot {
  Revision Revision_;
  ItemSet Items_;
  std::set<Drain> Drains_;
};

Settings replicaSettings(const FleetSettings &S) {
  Settings Out;
  Out.Vm_ = VmId(S.Host_);
  Out.DataFolder_ = S.DataFolder_;
  if (S.Bootstrap_)
    Out.InitialVoters_ = seedVms(S);
  return Out;
}

ChangeId makeChangeId() {
  thread_local Random Generator((std::uint64_t(std::random_device()()) << 32) |
                                std::random_device()());
  return ChangeId("c" + std::to_string(Generator()) +
                  std::to_string(Generator()));
}

void sleepFor(Duration D) {
  std::this_thread::sleep_for(std::chrono::milliseconds(D.count()));
}

} // namespace

struct CoreVm::Impl {
  explicit Impl(const FleetSettings &S)
      : Settings_(S), ReplicaSettings_(replicaSettings(S)),
        StartedAtMs_(static_cast<std::uint64_t>(Clock_.unixMillis())),
        StartedAt_(Clock_.now()), Self_(S.Host_),
        Peers_(
            fleetPeerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Debug); }),
        PeerRegistry_(S, Peers_), Quotas_(S, Clock_),
        PushWorker_("core.push", IdleTickInterval, [] {}),
        Recorder_(
            Clock_, [this](Change C) { return submitDepartures(std::move(C)); },
            [this] { onDeparturesRecorded(); }),
        Host_(ReplicaSettings_, Clock_, Peers_,
              [this](const Catalog &C, const Change *Applied) {
                onCatalogChange(C, Applied);
              }),
        Router_(Self_, seedVms(S), &Host_, Clock_, Peers_),
        LoadRelay_(Clock_, [this](const LoadNotices &M) { forwardLoads(M); }),
        Ticker_("core.tick", TickInterval, [this] {
          ControlLoad_.measure("tick", [this] { tick(); });
          ControlLoad_.report();
        }) {}

  void receive(Envelope Message);
  void onCatalogChange(const Catalog &C, const Change *Applied);
  void onRecordedDeparture(const RecordedDeparture &D);
  void tick();

  void onHeartbeat(const VmId &From, const Heartbeat &H);
  void onHeartbeatReply(const VmId &From, const HeartbeatReply &Reply);
  void onNotices(const VmId &From, const NoticeBatch &Batch);
  void onNoticeAck(const VmId &From, const NoticeAck &Ack);
  void onTokenRequest(const VmId &From, const TokenRequest &Request);

  NodeRecord selfRecord();
  Heartbeat makeHeartbeat();
  HeartbeatReply makeReply(const VmId &From, const Heartbeat &H, Time Now);
  void onNoticeSyncRequest(const VmId &From, const NoticeSyncRequest &Request);
  void onNoticeSyncReply(const VmId &From, const NoticeSyncReply &Reply);
  std::optional<RelayedProof> relayedProof(const LeaderView &View,
                                           const LogProof &Own, Time Now);
  void sendHeartbeats();
  void sendTo(const VmId &To, const FleetMessage &M);
  /// An encoded ItemUpdate.
  struct EncodedUpdate {
    Revision To_;
    std::shared_ptr<const std::string> Body_;
  };
  EncodedUpdate encodedItems(Revision Since);
  void sendItems(const std::vector<VmId> &To, Revision Since);
  bool lacksItems(const VmId &Vm, Revision Reported);
  void pushItems();
  void publishNotice(const UpstreamNotice &Notice, bool Immediate);
  void forwardNotices();
  std::vector<VmId> entryVmsToNotify(Time Now);
  void sendNotice(std::uint64_t Number, const UpstreamNotice &Notice,
                  const std::set<VmId> &To);
  std::set<VmId> entryVmsInContact(Time Now);
  bool quorumInContact(Time Now);
  bool knowsAllVms(Time Now);
  bool confirmNotice(const UpstreamNotice &Notice);
  ChangeReply submitDepartures(Change C);
  void onDeparturesRecorded();
  void repairVoters();
  void forwardLoads(const LoadNotices &M);
  void logLeaderChange();
  bool isBootstrapped();
  void requireBootstrapped();
  std::shared_ptr<const ItemsSnapshot> items() const;
  std::shared_ptr<const ItemsSnapshot> awaitRevision(Revision Upto,
                                                     Time Deadline) const;

  const FleetSettings &Settings_;
  const Settings ReplicaSettings_;
  SystemClock Clock_;
  const std::uint64_t StartedAtMs_;
  const Time StartedAt_;
  const VmId Self_;
  MetricRegistry Metrics_;
  ControlLoad ControlLoad_{Clock_, Metrics_};
  PeerTransport Peers_;
  PeerRegistry PeerRegistry_;
  QuotaHolder Quotas_;

  mutable std::mutex ItemsLock_;
  std::shared_ptr<const ItemsSnapshot> Items_ =
      std::make_shared<ItemsSnapshot>();

  std::mutex EncodedLock_; ///< guards what follows
  Revision EncodedTo_;
  std::map<Revision, std::shared_ptr<const std::string>> Encoded_; ///< by start

  std::mutex Lock_; ///< guards what follows
  std::condition_variable Confirmed_;
  std::map<VmId, ItemDelivery> Delivered_; ///< to entry VMs
  NodeRegistry NodeRegistry_;
  UpstreamRegistry Upstreams_;
  /// Upstreams that announced here since the last heartbeat.
  std::map<UpstreamId, Sighting> Sightings_;
  /// Announced here since the last tick.
  std::vector<UpstreamNotice> PendingNotices_;
  /// Received from other core VMs since the last tick.
  std::vector<UpstreamNotice> RelayedNotices_;
  /// Consecutive replies with a different digest, by core VM.
  std::map<VmId, unsigned> DigestMismatches_;
  std::set<VmId> RecordSentTo_; ///< core VMs that hold this VM's record
  /// Entry VMs whose records each core VM has, by the start of their process.
  std::map<VmId, std::map<VmId, std::uint64_t>> ReportedTo_;
  ItemFreshness ItemFreshness_;
  FleetContact Contact_;
  Time NextHeartbeat_;
  unsigned HeartbeatsSent_ = 0; ///< used by the ticker only
  VmId LoggedLeader_;           ///< used by the ticker only
  Departures Departures_;

  std::atomic<bool> PushQueued_{false};
  Worker PushWorker_; ///< declared before Host_, whose start reports the stored
                      ///< catalog
  DepartureRecorder Recorder_; ///< declared before Host_ for the same reason
  ReplicaHost Host_;
  ChangeRouter Router_;
  LoadRelay LoadRelay_;
  Worker Ticker_;
};

void CoreVm::Impl::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Replication)
    return Host_.receive(std::move(Message));
  if (Message.Channel_ == Channel::Forward)
    return Router_.receive(Message);
  if (Message.Channel_ != Channel::Fleet)
    return;
  FleetMessage M = decodeFleetMessage(Message.Body_, Message.From_);
  const VmId &From = Message.From_;
  if (const auto *H = std::get_if<Heartbeat>(&M))
    ControlLoad_.measure("heartbeat", [&] { onHeartbeat(From, *H); });
  else if (const auto *Reply = std::get_if<HeartbeatReply>(&M))
    ControlLoad_.measure("heartbeat_reply",
                         [&] { onHeartbeatReply(From, *Reply); });
  else if (const auto *Batch = std::get_if<NoticeBatch>(&M))
    ControlLoad_.measure("notices", [&] { onNotices(From, *Batch); });
  else if (const auto *Ack = std::get_if<NoticeAck>(&M))
    ControlLoad_.measure("notice_ack", [&] { onNoticeAck(From, *Ack); });
  else if (const auto *SyncRequest = std::get_if<NoticeSyncRequest>(&M))
    ControlLoad_.measure("notice_sync",
                         [&] { onNoticeSyncRequest(From, *SyncRequest); });
  else if (const auto *SyncReply = std::get_if<NoticeSyncReply>(&M))
    ControlLoad_.measure("notice_sync",
                         [&] { onNoticeSyncReply(From, *SyncReply); });
  else if (const auto *Loads = std::get_if<LoadNotices>(&M))
    ControlLoad_.measure("loads", [&] { LoadRelay_.receive(*Loads); });
  else if (const auto *Request = std::get_if<TokenRequest>(&M))
    ControlLoad_.measure("token_request",
                         [&] { onTokenRequest(From, *Request); });
  else if (const auto *Charge = std::get_if<TokenCharge>(&M))
    Quotas_.charge(*Charge,
                   findItem(items()->Items_.Teams_, Charge->Team_.str()));
}

void CoreVm::Impl::onCatalogChange(const Catalog &C, const Change *Applied) {
  if (!Applied)
    for (const auto &[Id, D] : C.Departures_)
      onRecordedDeparture(D);
  else
    for (const RecordedDeparture &D : Applied->Departures_)
      onRecordedDeparture(D);
  if (Applied && Applied->Kind_ == ChangeKind::RecordDepartures)
    return;
  auto Next = std::make_shared<ItemsSnapshot>();
  Next->Revision_ = C.Revision_;
  Next->Items_ = C.Items_;
  Next->Drains_ = C.Drains_;
  {
    std::lock_guard Guard(ItemsLock_);
    Items_ = std::move(Next);
  }
  // After a restart many changes are replayed at once. One push covers all.
  if (!PushQueued_.exchange(true) && !PushWorker_.post([this] { pushItems(); }))
    PushQueued_ = false;
}

/// Makes a departure of the log known to this VM. After a restart it may be the
/// only trace of it.
void CoreVm::Impl::onRecordedDeparture(const RecordedDeparture &D) {
  Recorder_.add(D);
  UpstreamNotice Notice = D.Notice_;
  Notice.Age_ = std::max(
      Duration::millis(Clock_.unixMillis() - D.RecordedAtMs_), Duration());
  std::lock_guard Guard(Lock_);
  if (Notice.Age_ < UpstreamRetention &&
      applyNotice(Upstreams_, Notice, Clock_.now()))
    PendingNotices_.push_back(Notice);
}

std::shared_ptr<const ItemsSnapshot> CoreVm::Impl::items() const {
  std::lock_guard Guard(ItemsLock_);
  return Items_;
}

/// \throws UnavailableError if this replica has not applied a revision in time
std::shared_ptr<const ItemsSnapshot>
CoreVm::Impl::awaitRevision(Revision Upto, Time Deadline) const {
  while (Clock_.now() < Deadline) {
    auto Now = items();
    if (Now->Revision_ >= Upto)
      return Now;
    sleepFor(ReadPollInterval);
  }
  throw UnavailableError("core.read", "",
                         "this replica lags behind the leader");
}

NodeRecord CoreVm::Impl::selfRecord() {
  NodeRecord Out;
  Out.Vm_ = Self_;
  Out.Core_ = true;
  Out.Zone_ = Settings_.Zone_;
  Out.Region_ = Settings_.Region_;
  Out.StartedAtMs_ = StartedAtMs_;
  Out.Disk_ = Host_.leaderView().Disk_;
  return Out;
}

void CoreVm::Impl::sendTo(const VmId &To, const FleetMessage &M) {
  Peers_.send({Self_, To, Channel::Fleet, encodeMessage(M)});
}

/// \returns the update from a revision to the current one. It is the same for
/// all entry VMs, which often need it at the same time.
CoreVm::Impl::EncodedUpdate CoreVm::Impl::encodedItems(Revision Since) {
  auto Now = items();
  std::lock_guard Guard(EncodedLock_);
  if (EncodedTo_ != Now->Revision_)
    Encoded_.clear();
  EncodedTo_ = Now->Revision_;
  std::shared_ptr<const std::string> &Body = Encoded_[Since];
  if (!Body) {
    ItemUpdate Update;
    Update.FromRevision_ = Since;
    Update.ToRevision_ = Now->Revision_;
    Update.Items_ = itemsChangedAfter(Now->Items_, Since);
    removeSourceTexts(Update.Items_);
    Update.Drains_ = Now->Drains_;
    Body = std::make_shared<const std::string>(encodeMessage(Update));
  }
  return {Now->Revision_, Body};
}

void CoreVm::Impl::sendItems(const std::vector<VmId> &To, Revision Since) {
  EncodedUpdate Update = encodedItems(Since);
  {
    std::lock_guard Guard(Lock_);
    for (const VmId &Vm : To)
      Delivered_[Vm] = {Since, Update.To_, Clock_.now(), Update.Body_->size()};
  }
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, *Update.Body_});
}

/// Each core VM pushes to the entry VMs that it is responsible for, so that a
/// change crosses regions once for each core VM. Entry VMs that miss the
/// message request the items after the next heartbeat.
void CoreVm::Impl::pushItems() {
  PushQueued_ = false;
  std::map<Revision, std::vector<VmId>> To;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    for (const VmId &Vm : entryVmsToNotify(Now))
      To[expectedRevision(Delivered_[Vm],
                          NodeRegistry_.Nodes_[Vm].ItemsRevision_, Now)]
          .push_back(Vm);
  }
  for (const auto &[Since, Vms] : To)
    sendItems(Vms, Since);
}

/// Builds the heartbeat to the other core VMs and updates the quotas, because
/// both use the same demand.
Heartbeat CoreVm::Impl::makeHeartbeat() {
  Heartbeat Out;
  Out.StartedAtMs_ = StartedAtMs_;
  Out.SentAt_ = Clock_.now().count();
  Out.ItemsRevision_ = items()->Revision_;
  Out.VoterConfigIndex_ = Host_.leaderView().VoterConfigIndex_;
  Out.KnowsVoters_ = true;
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  TeamDemand Demand =
      teamDemand(NodeRegistry_, Settings_.Region_, Quotas_.regions(), Now);
  Quotas_.updateDemand(Demand);
  std::vector<VmId> RegionCores{Self_};
  for (const KnownNode *Core : liveCoreVms(NodeRegistry_, LivenessTimeout, Now))
    if (Core->Record_.Region_ == Settings_.Region_)
      RegionCores.push_back(Core->Record_.Vm_);
  Out.TeamRates_ = ratesByHolder(Demand.RatesByRegion_[Settings_.Region_],
                                 RegionCores)[Self_];
  Out.ServiceRates_ = serviceRates(NodeRegistry_, Settings_.Region_, Now);
  Out.UpstreamsDigest_ = digestOf(Upstreams_);
  for (auto &[Id, S] : Sightings_)
    Out.Sightings_.push_back(S);
  Sightings_.clear();
  return Out;
}

/// Evaluates the proof of the same view that the reply reports. Called with
/// Lock_ held.
std::optional<RelayedProof> CoreVm::Impl::relayedProof(const LeaderView &View,
                                                       const LogProof &Own,
                                                       Time Now) {
  ItemFreshness_.AppliedIndex_ = View.AppliedIndex_;
  if (View.VoterConfigIndex_ != ItemFreshness_.VoterConfigIndex_ ||
      ItemFreshness_.VoterConfig_.Voters_.empty()) {
    ItemFreshness_.VoterConfigIndex_ = View.VoterConfigIndex_;
    ItemFreshness_.VoterConfig_ = View.VoterConfig_;
  }
  record(ItemFreshness_, Self_, Now, Own);
  return lagoonpoint::relayedProof(ItemFreshness_, Now);
}

HeartbeatReply CoreVm::Impl::makeReply(const VmId &From, const Heartbeat &H,
                                       Time Now) {
  HeartbeatReply Out;
  Out.EchoedSentAt_ = H.SentAt_;
  Out.Region_ = Settings_.Region_;
  LeaderView View = Host_.leaderView();
  Out.ItemsRevision_ = View.Revision_;
  const LogProof OwnProof{
      View.Disk_,           View.LastIndex_,        View.AppliedIndex_,
      View.UnappliedTeams_, View.VoterConfigIndex_, {}};
  Out.Proof_ = OwnProof;
  if (!H.KnowsVoters_ || H.VoterConfigIndex_ != View.VoterConfigIndex_)
    Out.Proof_.VoterConfig_.push_back(View.VoterConfig_);
  Out.CoreVms_ = PeerRegistry_.coreVmsToSend(From);
  std::lock_guard Guard(Lock_);
  Out.UpstreamsDigest_ = digestOf(Upstreams_);
  for (const auto &[Id, Known] : Upstreams_.Upstreams_)
    if (Known.Silent_ && Known.Notice_.Phase_ != NoticePhase::Gone)
      Out.SilentUpstreams_.push_back(Id);
  if (H.WantsRates_) {
    Out.Rates_.push_back(fleetRates(NodeRegistry_, Settings_.Region_, Now));
    Out.Rates_.back().IsComplete_ = knowsAllVms(Now);
  }
  if (auto Relayed = relayedProof(View, OwnProof, Now))
    Out.RelayedProof_.push_back(*Relayed);
  return Out;
}

void CoreVm::Impl::onHeartbeat(const VmId &From, const Heartbeat &H) {
  Time Now = Clock_.now();
  HeartbeatResult Status = HeartbeatResult::Accepted;
  bool FromCore = false;
  NoticeBatch Warmups;
  std::vector<VmId> Reported;
  for (const EntryReport &Report : H.EntryVms_)
    Reported.push_back(Report.Vm_);
  {
    std::lock_guard Guard(Lock_);
    Status = record(NodeRegistry_, From, H, Now);
    if (Status == HeartbeatResult::Outdated)
      return;
    if (Status == HeartbeatResult::Accepted)
      FromCore = NodeRegistry_.Nodes_[From].Record_.Core_;
    recordReports(NodeRegistry_, H.EntryVms_, Now);
    if (!H.Self_.empty()) { // the sender may have been restarted
      ReportedTo_.erase(From);
      if (Status == HeartbeatResult::Accepted && !FromCore)
        Warmups.Notices_ = warmupNotices(Upstreams_, Now);
    }
    for (const Sighting &S : H.Sightings_)
      recordSighting(Upstreams_, S.Id_, S.Sequence_, S.Age_, Now);
  }
  if (FromCore)
    PeerRegistry_.addCoreVms({From});
  PeerRegistry_.add({From});
  PeerRegistry_.add(Reported);
  PeerRegistry_.addCoreVms(H.CoreVms_);
  HeartbeatReply Reply = makeReply(From, H, Now);
  Reply.KnowsSender_ = Status == HeartbeatResult::Accepted;
  sendTo(From, Reply);
  // Those of before this VM knew the sender; too late after two heartbeats.
  if (!Warmups.Notices_.empty())
    sendTo(From, Warmups);
  if (H.WantsItems_ && lacksItems(From, H.ItemsRevision_))
    sendItems({From}, H.ItemsRevision_);
}

/// \returns whether an entry VM needs an update that is not on its way.
bool CoreVm::Impl::lacksItems(const VmId &Vm, Revision Reported) {
  Revision Current = items()->Revision_;
  std::lock_guard Guard(Lock_);
  return !isOnItsWay(Delivered_[Vm], Reported, Current, Clock_.now());
}

void CoreVm::Impl::onHeartbeatReply(const VmId &From,
                                    const HeartbeatReply &Reply) {
  PeerRegistry_.addCoreVms(Reply.CoreVms_);
  NoticeSyncRequest Request;
  {
    std::lock_guard Guard(Lock_);
    record(ItemFreshness_, From, Time(Reply.EchoedSentAt_), Reply.Proof_);
    if (!Reply.KnowsSender_) {
      RecordSentTo_.erase(From);
      ReportedTo_.erase(From);
    }
    // A single mismatch is expected while announcements are in transit.
    bool Differs = Reply.UpstreamsDigest_ != digestOf(Upstreams_);
    unsigned &Mismatches = DigestMismatches_[From];
    Mismatches = Differs ? Mismatches + 1 : 0;
    if (Mismatches < MismatchesBeforeSync)
      return;
    Mismatches = 0;
    Request.Digests_ = bucketDigests(Upstreams_);
  }
  sendTo(From, Request);
}

void CoreVm::Impl::onNoticeSyncRequest(const VmId &From,
                                       const NoticeSyncRequest &Request) {
  NoticeSyncReply Out;
  {
    std::lock_guard Guard(Lock_);
    Out.Digests_ = bucketDigests(Upstreams_);
    Out.Notices_ = differingNotices(Upstreams_, Request.Digests_, Clock_.now());
  }
  sendTo(From, Out);
}

void CoreVm::Impl::onNoticeSyncReply(const VmId &From,
                                     const NoticeSyncReply &Reply) {
  NoticeBatch Missing;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    Missing.Notices_ =
        missingNotices(Upstreams_, Reply.Digests_, Reply.Notices_, Now);
    for (const UpstreamNotice &Notice : Reply.Notices_)
      applyNotice(Upstreams_, Notice, Now);
  }
  if (!Missing.Notices_.empty())
    sendTo(From, Missing);
}

void CoreVm::Impl::onNotices(const VmId &From, const NoticeBatch &Batch) {
  {
    std::lock_guard Guard(Lock_);
    for (const UpstreamNotice &Notice : Batch.Notices_)
      if (applyNotice(Upstreams_, Notice, Clock_.now()) && Batch.Number_ == 0)
        RelayedNotices_.push_back(Notice);
  }
  if (Batch.Number_ != 0)
    sendTo(From, NoticeAck{Batch.Number_});
}

void CoreVm::Impl::onNoticeAck(const VmId &From, const NoticeAck &Ack) {
  std::lock_guard Guard(Lock_);
  if (confirmDeparture(Departures_, From, Ack.Number_))
    Confirmed_.notify_all();
}

void CoreVm::Impl::onTokenRequest(const VmId &From,
                                  const TokenRequest &Request) {
  auto Now = items();
  HolderRank Rank;
  {
    std::lock_guard Guard(Lock_);
    Rank = rankOf(NodeRegistry_, Self_, Settings_.Region_, Request.Team_,
                  Clock_.now());
  }
  const TeamItem *Team = findItem(Now->Items_.Teams_, Request.Team_.str());
  TokenGrant Grant = Quotas_.grant(Request, Team, Rank);
  sendTo(From, Grant);
  if (Grant.Count_ > 0)
    for (const VmId &Vm : Rank.Preceding_)
      sendTo(Vm, TokenCharge{Request.Team_, Grant.Count_});
}

std::set<VmId> CoreVm::Impl::entryVmsInContact(Time Now) {
  return entryVmsToConfirm(NodeRegistry_, Settings_.Region_, ConfirmSilence,
                           Now);
}

/// \returns whether this VM and the live core VMs form a quorum of the voters.
bool CoreVm::Impl::quorumInContact(Time Now) {
  VoterConfig Config = Host_.leaderView().VoterConfig_;
  std::size_t Heard = Config.findVoter(Self_) ? 1 : 0;
  for (const KnownNode *Node : liveCoreVms(NodeRegistry_, LivenessTimeout, Now))
    Heard += Config.findVoter(Node->Record_.Vm_) ? 1 : 0;
  return !Config.Voters_.empty() && Heard >= Config.quorum();
}

/// \returns whether the VMs that this VM has heard of are all in contact with a
/// quorum. Called with Lock_ held.
bool CoreVm::Impl::knowsAllVms(Time Now) {
  updateContact(Contact_, quorumInContact(Now), Now);
  return knowsAll(Contact_);
}

/// \param Immediate whether to notify entry VMs now, because they must stop
/// sending to the upstream
void CoreVm::Impl::publishNotice(const UpstreamNotice &Notice, bool Immediate) {
  std::set<VmId> To;
  {
    std::lock_guard Guard(Lock_);
    if (Immediate)
      To = entryVmsInContact(Clock_.now());
    PendingNotices_.push_back(Notice);
  }
  sendNotice(0, Notice, To);
}

/// Forwards announcements that need no confirmation to the core VMs, and to the
/// entry VMs that this core VM is responsible for.
void CoreVm::Impl::forwardNotices() {
  NoticeBatch Notices;
  std::vector<VmId> To;
  {
    std::lock_guard Guard(Lock_);
    if (PendingNotices_.empty() && RelayedNotices_.empty())
      return;
    Notices.Notices_ = PendingNotices_;
    for (const VmId &Vm : PeerRegistry_.coreVms())
      if (!PendingNotices_.empty())
        sendTo(Vm, Notices);
    Notices.Notices_.insert(Notices.Notices_.end(), RelayedNotices_.begin(),
                            RelayedNotices_.end());
    PendingNotices_.clear();
    RelayedNotices_.clear();
    // The core VM that is responsible for an entry VM may not know it yet.
    Time Now = Clock_.now();
    if (knowsAll(Contact_))
      To = entryVmsToNotify(Now);
    else
      for (const KnownNode *Node :
           liveEntryVms(NodeRegistry_, LivenessTimeout, Now))
        To.push_back(Node->Record_.Vm_);
  }
  std::string Body = encodeMessage(Notices);
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

/// \returns the entry VMs of this region that this core VM notifies, and those
/// of regions without a live core VM. Called with Lock_ held.
std::vector<VmId> CoreVm::Impl::entryVmsToNotify(Time Now) {
  std::map<RegionId, std::vector<VmId>> Cores;
  Cores[Settings_.Region_].push_back(Self_);
  for (const KnownNode *Node : liveCoreVms(NodeRegistry_, LivenessTimeout, Now))
    Cores[Node->Record_.Region_].push_back(Node->Record_.Vm_);
  std::vector<VmId> Out;
  for (const KnownNode *Node :
       liveEntryVms(NodeRegistry_, LivenessTimeout, Now)) {
    auto LocalCores = Cores.find(Node->Record_.Region_);
    const std::vector<VmId> &Responsible = LocalCores == Cores.end()
                                               ? Cores[Settings_.Region_]
                                               : LocalCores->second;
    if (LocalCores == Cores.end() ||
        rankHolders(Node->Record_.Vm_.str(), Responsible).front() == Self_)
      Out.push_back(Node->Record_.Vm_);
  }
  return Out;
}

void CoreVm::Impl::sendNotice(std::uint64_t Number,
                              const UpstreamNotice &Notice,
                              const std::set<VmId> &To) {
  std::string Body = encodeMessage(NoticeBatch{Number, {Notice}});
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

ChangeReply CoreVm::Impl::submitDepartures(Change C) {
  requireBootstrapped();
  C.Id_ = makeChangeId();
  return Router_.submit(C, ConfirmTimeout);
}

void CoreVm::Impl::onDeparturesRecorded() {
  // No thread is between its check of the condition and its wait.
  { std::lock_guard Guard(Lock_); }
  Confirmed_.notify_all();
}

/// \returns whether the departure is recorded in the log and all entry VMs in
/// contact have confirmed it in time. One that has just failed delays this
/// until it is out of contact; the upstream repeats its announcement. So does
/// an entry VM that this VM may not know yet.
bool CoreVm::Impl::confirmNotice(const UpstreamNotice &Notice) {
  Time Deadline = Clock_.now() + ConfirmTimeout;
  std::vector<VmId> Cores = PeerRegistry_.coreVms();
  std::unique_lock Guard(Lock_);
  std::uint64_t Number = beginDeparture(Departures_, Notice, Clock_.now());
  auto AwaitAll = [&] {
    return awaitConfirmations(Departures_, Number,
                              entryVmsInContact(Clock_.now()));
  };
  std::set<VmId> To = AwaitAll();
  To.insert(Cores.begin(), Cores.end());
  bool KnowsAll = knowsAllVms(Clock_.now());
  bool IsDurable = false;
  bool AllConfirmed = false;
  Recorder_.request(Notice);
  while (!AllConfirmed && Clock_.now() < Deadline) {
    Guard.unlock();
    sendNotice(Number, Notice, To);
    Guard.lock();
    Confirmed_.wait_for(
        Guard, std::chrono::milliseconds(ConfirmRetryInterval.count()), [&] {
          return isConfirmed(Departures_, Number) &&
                 Recorder_.isRecorded(Notice);
        });
    To = AwaitAll(); // VMs may have joined or fallen silent
    KnowsAll = knowsAllVms(Clock_.now());
    IsDurable = Recorder_.isRecorded(Notice);
    AllConfirmed = KnowsAll && To.empty() && IsDurable;
  }
  if (!AllConfirmed)
    log({.Level_ = LogLevel::Warning,
         .Step_ = "upstream.confirm",
         .Message_ = std::to_string(To.size()) +
                     " entry VMs have not confirmed the departure, first " +
                     (To.empty() ? std::string("none") : To.begin()->str()) +
                     (KnowsAll ? "" : "; there may be others") +
                     (IsDurable ? "" : "; it is not in the log"),
         .Peer_ = Notice.Id_.str()});
  return AllConfirmed;
}

void CoreVm::Impl::repairVoters() {
  LeaderView View = Host_.leaderView();
  if (!View.IsLeader_)
    return;
  std::vector<NodeRecord> Live{selfRecord()};
  std::vector<SilentMember> Silent;
  std::set<VmId> Held;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    for (const KnownNode *Node :
         liveCoreVms(NodeRegistry_, LivenessTimeout, Now))
      Live.push_back(Node->Record_);
    auto SilentFor = [&](Duration Min) {
      return silentMembers(View.VoterConfig_, View.Contact_, NodeRegistry_,
                           Self_, Min, Now);
    };
    Held = heldLearners(View.VoterConfig_, Live, SilentFor(HoldTimeout));
    Silent = SilentFor(LivenessTimeout);
  }
  Host_.holdLearners(std::move(Held));
  auto Step = nextVoterRepairStep(View.VoterConfig_, Live, Silent);
  if (!Step)
    return;
  std::string Refused =
      Step->Add_ ? Host_.addVoter(Step->Vm_) : Host_.removeVoter(Step->Vm_);
  log({.Step_ = "voters.repair",
       .Message_ = std::string(Step->Add_ ? "add" : "remove") +
                   (Refused.empty() ? " voter: started"
                                    : " voter: refused: " + Refused),
       .Peer_ = Step->Vm_.str()});
}

void CoreVm::Impl::forwardLoads(const LoadNotices &M) {
  std::vector<VmId> To;
  {
    std::lock_guard Guard(Lock_);
    for (const KnownNode *Node :
         liveEntryVms(NodeRegistry_, LivenessTimeout, Clock_.now()))
      if (Node->Record_.Region_ == Settings_.Region_)
        To.push_back(Node->Record_.Vm_);
  }
  std::string Body = encodeMessage(M);
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

void CoreVm::Impl::tick() {
  Time Now = Clock_.now();
  {
    std::lock_guard Guard(Lock_);
    expireSilent(Upstreams_,
                 Settings_.AnnounceEvery_ * 3 + Duration::seconds(1),
                 UpstreamRetention, Now);
    removeSilent(NodeRegistry_, NodeRetention, Now);
    knowsAllVms(Now);
    std::erase_if(Delivered_, [&](const auto &Entry) {
      return Now - Entry.second.SentAt_ > NodeRetention;
    });
  }
  std::vector<VmId> Voters;
  for (const Voter &V : Host_.leaderView().VoterConfig_.Voters_)
    Voters.push_back(V.Vm_);
  Router_.setVoters(Voters);
  logLeaderChange();
  forwardNotices();
  if (Now >= NextHeartbeat_) {
    NextHeartbeat_ = Now + HeartbeatInterval;
    sendHeartbeats();
  }
  repairVoters();
}

void CoreVm::Impl::logLeaderChange() {
  LeaderView View = Host_.leaderView();
  if (View.Leader_ == LoggedLeader_)
    return;
  LoggedLeader_ = View.Leader_;
  log({.Step_ = "core.leader",
       .Message_ = (LoggedLeader_.empty() ? "no leader is known, term "
                                          : "leader is known, term ") +
                   std::to_string(View.Term_.value()) + ", voters " +
                   std::to_string(View.VoterConfig_.Voters_.size()),
       .Peer_ = LoggedLeader_.str(),
       .Revision_ = View.Revision_});
}

void CoreVm::Impl::sendHeartbeats() {
  Heartbeat Common = makeHeartbeat();
  if (++HeartbeatsSent_ % HeartbeatsPerFullReport == 0) {
    std::lock_guard Guard(Lock_);
    ReportedTo_.clear();
  }
  for (const VmId &Vm : PeerRegistry_.coreVms()) {
    Heartbeat Each = Common;
    Each.CoreVms_ = PeerRegistry_.coreVmsToSend(Vm);
    std::lock_guard Guard(Lock_);
    if (RecordSentTo_.insert(Vm).second)
      Each.Self_.push_back(selfRecord());
    Each.EntryVms_ = reportEntryVms(NodeRegistry_, LivenessTimeout,
                                    ReportedTo_[Vm], Clock_.now());
    sendTo(Vm, Each);
  }
}

bool CoreVm::Impl::isBootstrapped() {
  Time Now = Clock_.now();
  if (!Settings_.Bootstrap_ || Now - StartedAt_ > BootstrapTimeout)
    return true;
  std::size_t Voters = Host_.leaderView().VoterConfig_.Voters_.size();
  std::lock_guard Guard(Lock_);
  return Voters >= MinVoters &&
         Voters > liveCoreVms(NodeRegistry_, LivenessTimeout, Now).size();
}

/// \throws UnavailableError if changes are refused for now
void CoreVm::Impl::requireBootstrapped() {
  if (!isBootstrapped())
    throw UnavailableError("core.submit", "",
                           "the other core VMs are still joining the voters");
}

CoreVm::CoreVm(const FleetSettings &S) : Impl_(std::make_unique<Impl>(S)) {}

CoreVm::~CoreVm() { stop(); }

void CoreVm::start() {
  Impl_->Peers_.start();
  Impl_->Host_.start();
  Impl_->PushWorker_.start();
  Impl_->Recorder_.start();
  Impl_->LoadRelay_.start();
  Impl_->Ticker_.start();
  log({.Step_ = "core.start", .Message_ = "running"});
}

void CoreVm::stop() {
  Impl_->Ticker_.stop();
  Impl_->LoadRelay_.stop();
  Impl_->Recorder_.stop();
  Impl_->Host_.stop();
  Impl_->PushWorker_.stop();
  Impl_->Peers_.stop();
}

ChangeReply CoreVm::submit(const Change &C, Duration Wait) {
  Impl_->requireBootstrapped();
  Change Identified = C;
  Identified.Id_ = makeChangeId();
  if (C.Kind_ == ChangeKind::PatchItems && !C.Items_.empty()) {
    auto Now = Impl_->items();
    std::string Fault = validatePatch(Now->Items_, C.Items_);
    if (Fault.empty() && containsItems(Now->Items_, C.Items_))
      return {ChangeVerdict::Accepted, Now->Revision_, "nothing newer"};
    Identified.Id_ = ChangeId("p" + sha256Hex(encode(C.Items_)));
  }
  Time SubmittedAt = Impl_->Clock_.now();
  ChangeReply Reply = Impl_->Router_.submit(Identified, Wait);
  log({.Step_ = "core.submit",
       .Message_ = "change " + Identified.Id_.str() + ": " +
                   toString(Reply.Verdict_) + " after " +
                   std::to_string((Impl_->Clock_.now() - SubmittedAt).count()) +
                   " ms" + (Reply.Message_.empty() ? "" : ": ") +
                   Reply.Message_,
       .Revision_ = Reply.Revision_});
  return Reply;
}

ChangeReply CoreVm::setDrain(const ZoneId &Zone, bool Drained, Duration Wait,
                             const std::function<bool()> &SenderLeft) {
  Change C;
  C.Kind_ = ChangeKind::SetDrain;
  C.Drain_ = {DrainScope::Zone, Zone.str()};
  C.Drained_ = Drained;
  C.Base_ = Impl_->items()->Revision_;
  Time Deadline = Impl_->Clock_.now() + Wait;
  for (;;) {
    ChangeReply Reply = submit(C, Deadline - Impl_->Clock_.now());
    // A sender that still waits may have sent its order after the later one,
    // which this replica had not applied yet.
    if (Reply.Verdict_ != ChangeVerdict::Conflict || SenderLeft())
      return Reply;
    C.Base_ = Impl_->awaitRevision(Reply.Revision_, Deadline)->Revision_;
  }
}

AnnounceResult CoreVm::announce(const UpstreamNotice &Notice) {
  bool IsNew = false;
  bool MayRestartWarmup = false;
  {
    std::lock_guard Guard(Impl_->Lock_);
    Time Now = Impl_->Clock_.now();
    auto Known = Impl_->Upstreams_.Upstreams_.find(Notice.Id_);
    // Entry VMs may know an upstream that this VM has not heard of yet.
    bool MayBeKnown =
        Known == Impl_->Upstreams_.Upstreams_.end()
            ? !knowsAll(Impl_->Contact_)
            : Known->second.Notice_.StartedAtMs_ == Notice.StartedAtMs_;
    MayRestartWarmup = MayBeKnown && Notice.WarmupLeft_ > Duration();
    IsNew = applyNotice(Impl_->Upstreams_, Notice, Now);
    Impl_->Sightings_[Notice.Id_] = {Notice.Id_, Notice.Sequence_, Duration()};
  }
  bool IsEnding = Notice.Phase_ != NoticePhase::Serving;
  if (IsNew)
    log({.Step_ = "upstream.announce",
         .Message_ = Notice.Service_.str() + " at " + Notice.Address_ +
                     ", phase " +
                     std::to_string(static_cast<int>(Notice.Phase_)),
         .Peer_ = Notice.Id_.str()});
  if (IsNew && !IsEnding)
    Impl_->publishNotice(Notice, MayRestartWarmup);
  if (!IsEnding)
    return AnnounceResult::Accepted;
  return Impl_->confirmNotice(Notice) ? AnnounceResult::Accepted
                                      : AnnounceResult::Unconfirmed;
}

AnnounceResult CoreVm::deregister(const UpstreamId &Id) {
  UpstreamNotice Last;
  {
    std::lock_guard Guard(Impl_->Lock_);
    auto Found = Impl_->Upstreams_.Upstreams_.find(Id);
    if (Found == Impl_->Upstreams_.Upstreams_.end())
      return AnnounceResult::Unconfirmed; // another core VM may know it
    Last = Found->second.Notice_;
  }
  Last.Phase_ = NoticePhase::Gone;
  return announce(Last);
}

std::vector<std::string> CoreVm::lookup(const std::string &Host,
                                        const RegionId &Region,
                                        const ZoneId &Zone) {
  DirectoryQuery Query{Region, Zone, {}};
  auto Now = Impl_->items();
  for (const auto &[Name, R] : Now->Items_.Routes_)
    if (!R.Removed_ && R.Value_.Host_ == Host)
      for (const RegionId &Allowed : R.Value_.Regions_)
        Query.Allowed_.push_back(Allowed);
  std::lock_guard Guard(Impl_->Lock_);
  return chooseEntries(Impl_->NodeRegistry_, Query, LookupLivenessTimeout,
                       Impl_->Clock_.now());
}

ItemSet CoreVm::readItems(Duration Wait) {
  Time Deadline = Impl_->Clock_.now() + Wait;
  Change Barrier;
  Barrier.Kind_ = ChangeKind::PatchItems;
  Revision Upto = submit(Barrier, Wait).Revision_;
  return Impl_->awaitRevision(Upto, Deadline)->Items_;
}

bool CoreVm::acceptsService(const ServiceId &Service) const {
  auto Now = Impl_->items();
  return Now->Items_.Services_.empty() ||
         Now->Items_.Services_.count(Service.str()) > 0;
}

MetricRegistry &CoreVm::metrics() { return Impl_->Metrics_; }

} // namespace lagoonpoint
