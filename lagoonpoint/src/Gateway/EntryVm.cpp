#include "lagoonpoint/src/Gateway/EntryVm.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Gateway/ControlLoad.h"
#include "lagoonpoint/src/Gateway/FleetCall.h"
#include "lagoonpoint/src/Gateway/InForce.h"
#include "lagoonpoint/src/Gateway/PeerRegistry.h"
#include "lagoonpoint/src/Gateway/RetryShare.h"
#include "lagoonpoint/src/Gateway/StopPlan.h"
#include "lagoonpoint/src/Gateway/TeamTokens.h"
#include "lagoonpoint/src/Node/Worker.h"
#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.admit";
constexpr Duration TickInterval = Duration::millis(500);
constexpr Duration HeartbeatInterval = Duration::seconds(1);
constexpr Duration UpstreamRetention = Duration::seconds(120);
/// Consecutive replies with a different digest of the announcements after which
/// the announcements are synchronized.
constexpr unsigned MismatchesBeforeSync = 2;
/// Allows for the time between the check of the keys and the arrival of the
/// request at the upstream.
constexpr Duration RevocationMargin = Duration::millis(400);
constexpr Duration RetryAfterHint = Duration::millis(500);
/// Time after which a fleet whose VMs were all restarted serves again: the
/// longest election timeout, as the VMs find each other meanwhile.
constexpr Duration UsualStartup = Duration::seconds(2);
/// A call's deadline is this much earlier than the caller's, so that the
/// response still reaches the caller.
constexpr Duration ResponseMargin = Duration::millis(30);
/// Time for calls in flight at a stop without a drain.
constexpr Duration UndrainedStop = Duration::seconds(1);
constexpr unsigned CallerThreads = 160;
constexpr unsigned MaxCallerConnections = 2000;
constexpr std::size_t MaxHeaderBytes = 64 << 10;
constexpr std::size_t MaxBodyBytes = 64 << 20;
constexpr Duration CallerIdleTimeout = Duration::seconds(120);
constexpr Duration ResponseBufferTime = Duration::seconds(1);

/// The configuration in force at this VM.
struct Configuration {
  Revision Revision_;
  ItemSet Items_;
  RouteTable Table_;
  std::set<ZoneId> DrainedZones_;
};

Settings callerSettings(const FleetSettings &S) {
  Settings Out;
  Out.Vm_ = VmId(S.Host_);
  Out.Region_ = S.Region_;
  Out.Zone_ = S.Zone_;
  std::size_t Colon = S.Callers_.rfind(':');
  Out.Callers_ = {
      S.Callers_.substr(0, Colon),
      static_cast<unsigned short>(std::stoi(S.Callers_.substr(Colon + 1)))};
  Out.CallerThreads_ = CallerThreads;
  Out.MaxCallerConnections_ = MaxCallerConnections;
  Out.MaxHeaderBytes_ = MaxHeaderBytes;
  Out.MaxBodyBytes_ = MaxBodyBytes;
  Out.IdleTimeout_ = CallerIdleTimeout;
  Out.ResponseBufferTime_ = ResponseBufferTime;
  return Out;
}

std::set<ZoneId> drainedZones(const std::set<Drain> &Drains) {
  std::set<ZoneId> Out;
  for (const Drain &D : Drains)
    if (D.Scope_ == DrainScope::Zone)
      Out.insert(ZoneId(D.Id_));
  return Out;
}

/// \param Team null on an open route
/// \throws Refusal if route and team have no allowed region in common
AllowedRegions allowedRegions(const RouteItem &Route, const TeamItem *Team) {
  AllowedRegions Out;
  Out.restrictTo(Route.Regions_);
  if (Team)
    Out.restrictTo(Team->Regions_);
  if (Out.allowsNone())
    throw Refusal(RefusalReason::NoRegionAllowed, Ran::No, Step,
                  "route and team have no allowed region in common");
  return Out;
}

/// A route and a team that a configuration allows for a call.
struct Permission {
  std::shared_ptr<const Configuration> Configuration_; ///< owns Route_
  const TableRoute *Route_ = nullptr;
  TeamId Team_; ///< empty if the route is open
};

/// Chooses a service of the route's traffic split by the hash of the request
/// id.
const ServiceId &chooseService(const RouteItem &Route,
                               const RequestId &Request) {
  double Sum = 0;
  for (const SplitPart &Part : Route.Split_)
    Sum += Part.Weight_;
  auto Hash = std::hash<std::string>()(Request.str()) % 1'000'000;
  double Remaining = Sum * (static_cast<double>(Hash) + 0.5) / 1e6;
  for (const SplitPart &Part : Route.Split_) {
    Remaining -= Part.Weight_;
    if (Remaining < 0)
      return Part.Service_;
  }
  return Route.Split_.back().Service_;
}

RouteDecl declarationOf(const TableRoute &Found, const Call &C) {
  RouteDecl Out;
  Out.Name_ = Found.Name_;
  Out.Prefix_ = Found.Item_.Prefix_;
  Out.Service_ = chooseService(Found.Item_, C.Request_);
  Out.Open_ = Found.Item_.Open_;
  Out.Kind_ =
      Found.Item_.Idempotent_ ? RouteKind::Repeatable : RouteKind::Plain;
  Out.Deadline_ = Found.Item_.Timeout_;
  Out.MaxDeadline_ = Found.Item_.Timeout_;
  return Out;
}

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

std::string hostOf(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

struct EntryVm::Impl final : public CallerPort {
  Impl(const FleetSettings &S, Dialect D)
      : Settings_(S), CallerSettings_(callerSettings(S)),
        StartedAtMs_(static_cast<std::uint64_t>(Clock_.unixMillis())),
        StartedAt_(Clock_.now()), Self_(S.Host_),
        Peers_(
            fleetPeerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Debug); }),
        PeerRegistry_(S, Peers_), Dispatcher_(S, Clock_, Metrics_),
        Placement_(
            S, StartedAtMs_, Clock_, Metrics_, Dispatcher_,
            [this](const VmId &To, const FleetMessage &M) { sendTo(To, M); }),
        LoadSharing_(
            S, Clock_, Metrics_, Dispatcher_,
            [this](const VmId &To, const FleetMessage &M) { sendTo(To, M); }),
        TeamTokens_(Clock_,
                    [this](const VmId &To, const TokenRequest &Request) {
                      sendTo(To, Request);
                    }),
        Services_{Clock_,
                  Dispatcher_,
                  Placement_,
                  LoadSharing_,
                  Retries_,
                  Metrics_,
                  [this](const TeamId &T) { checkKeys(T); },
                  [this] { return retryLimits(); },
                  [this](const TeamId &T) { TeamTokens_.returnToken(T); },
                  [this](const SharedSlot &Slot) { markLeaving(Slot); },
                  S.ReturnTimes_ == PlacementMode::On},
        Server_(*this, CallerSettings_, Clock_, &Metrics_, std::move(D)),
        Ticker_("entry.tick", TickInterval, [this] {
          ControlLoad_.measure("tick", [this] { tick(); });
          ControlLoad_.report();
        }) {}

  LookupReply lookup(const LookupQuery &) override {
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, "lookup",
                  "look-ups are answered by core VMs");
  }
  RouteDecl route(const std::string &) override { return {}; }
  RouteDecl routeOf(const Call &C) override;
  std::unique_ptr<CallHandle> admit(const Call &C) override;
  bool draining() const override { return Draining_; }

  void receive(Envelope Message);
  void tick();
  void onHeartbeatReply(const VmId &From, const HeartbeatReply &Reply);
  void onNoticeSyncReply(const VmId &From, const NoticeSyncReply &Reply);
  bool onItems(const ItemUpdate &Update);
  void onNotices(const VmId &From, const NoticeBatch &Batch);
  void markLeaving(const SharedSlot &Slot);
  NodeRecord selfRecord() const;
  void sendHeartbeats(const std::vector<VmId> &Only = {});
  void sendTo(const VmId &To, const FleetMessage &M);
  FleetSnapshot fleetSnapshot(const Configuration &C) const;
  void updateDispatcher();
  void updateFromContacts(Time Now);
  void markSilent(Time Now);
  void logCoreContact(Time Now);
  void logKeyProof();

  std::shared_ptr<const Configuration> current() const;
  const TableRoute &findTableRoute(const Configuration &C,
                                   const Call &Request) const;
  Permission permissionOf(const Call &Request);
  TeamId authenticateTeam(const Configuration &C, const RouteItem &Route,
                          const Call &Request);
  std::optional<Time> keysProvenAt(const TeamId &Team) const;
  void checkKeys(const TeamId &Team) const;
  void checkItems(Duration MaxAge, const TeamId &Team) const;
  Duration startupHint() const;
  Refusal adviseReturn(const Refusal &R, FleetCallAdmission A, const Call &C);
  /// Called before a call is refused for good by the items.
  void checkItemsToRefuse() const {
    checkItems(Settings_.Revoke_ / 2, TeamId());
  }
  RetryBudgetLimits retryLimits() const;
  void checkStopping(Time CallDeadline) const;
  void startDraining();
  bool configured() const { return current()->Revision_ != Revision(); }

  const FleetSettings &Settings_;
  const Settings CallerSettings_;
  SystemClock Clock_;
  const std::uint64_t StartedAtMs_;
  const Time StartedAt_;
  const VmId Self_;
  MetricRegistry Metrics_;
  ControlLoad ControlLoad_{Clock_, Metrics_};
  PeerTransport Peers_;
  PeerRegistry PeerRegistry_;
  SharedDispatcher Dispatcher_;
  SlotPlacement Placement_;
  LoadSharing LoadSharing_;
  RetryBudgets Retries_;
  TeamTokens TeamTokens_;
  FleetCallServices Services_;
  std::atomic<bool> Draining_{false};
  std::optional<StopPlan> StopPlan_; ///< set before Draining_

  mutable std::mutex ConfigLock_;
  std::shared_ptr<const Configuration> Config_ =
      std::make_shared<Configuration>();

  mutable std::mutex Lock_; ///< guards what follows
  UpstreamRegistry Upstreams_;
  ItemFreshness ItemFreshness_;
  FleetRates Rates_{.IsComplete_ = false};
  CoreContacts Cores_{Settings_.Region_, {}};
  ItemRequests ItemRequests_;
  bool LoggedKeysProven_ = false;
  Time RebalancedAt_;
  std::set<VmId> RecordSentTo_; ///< core VMs that hold this VM's record
  Time NextHeartbeat_;          ///< used by the ticker only

  CallerServer Server_;
  Worker Ticker_;
};

std::shared_ptr<const Configuration> EntryVm::Impl::current() const {
  std::lock_guard Guard(ConfigLock_);
  return Config_;
}

void EntryVm::Impl::sendTo(const VmId &To, const FleetMessage &M) {
  Peers_.send({Self_, To, Channel::Fleet, encodeMessage(M)});
}

void EntryVm::Impl::receive(Envelope Message) {
  if (Message.Channel_ != Channel::Fleet)
    return;
  FleetMessage M = decodeFleetMessage(Message.Body_, Message.From_);
  const VmId &From = Message.From_;
  if (const auto *Reply = std::get_if<HeartbeatReply>(&M))
    ControlLoad_.measure("heartbeat_reply",
                         [&] { onHeartbeatReply(From, *Reply); });
  else if (const auto *Update = std::get_if<ItemUpdate>(&M))
    ControlLoad_.measure("items", [&] {
      // No call is served before a reply proves that these items are current.
      if (onItems(*Update))
        sendHeartbeats();
    });
  else if (const auto *Batch = std::get_if<NoticeBatch>(&M))
    ControlLoad_.measure("notices", [&] { onNotices(From, *Batch); });
  else if (const auto *SyncReply = std::get_if<NoticeSyncReply>(&M))
    ControlLoad_.measure("notice_sync",
                         [&] { onNoticeSyncReply(From, *SyncReply); });
  else if (const auto *Grant = std::get_if<TokenGrant>(&M))
    ControlLoad_.measure("token_grant",
                         [&] { TeamTokens_.onGrant(From, *Grant); });
  else if (const auto *Loads = std::get_if<LoadNotices>(&M))
    ControlLoad_.measure("loads", [&] { LoadSharing_.receive(*Loads); });
  else if (std::holds_alternative<SlotRequest>(M) ||
           std::holds_alternative<SlotReply>(M) ||
           std::holds_alternative<SlotRelease>(M))
    ControlLoad_.measure("slot", [&] {
      PeerRegistry_.add({From}); // it may not be in the list of VMs yet
      Placement_.receive(From, M);
    });
}

void EntryVm::Impl::onHeartbeatReply(const VmId &From,
                                     const HeartbeatReply &Reply) {
  PeerRegistry_.addCoreVms({From});
  PeerRegistry_.addCoreVms(Reply.CoreVms_);
  Revision OwnRevision = current()->Revision_;
  Time Now = Clock_.now();
  NoticeSyncRequest Request;
  bool RequestItems = false;
  {
    std::lock_guard Guard(Lock_);
    record(ItemFreshness_, From, Time(Reply.EchoedSentAt_), Reply.Proof_);
    if (OwnRevision >= Reply.ItemsRevision_)
      ItemFreshness_.AppliedIndex_ =
          std::max(ItemFreshness_.AppliedIndex_, Reply.Proof_.AppliedIndex_);
    if (!Reply.KnowsSender_)
      RecordSentTo_.erase(From);
    if (!Reply.Rates_.empty())
      recordRates(Rates_, Reply.Rates_.front());
    if (!Reply.RelayedProof_.empty())
      recordRelay(ItemFreshness_, From, Time(Reply.EchoedSentAt_),
                  Reply.RelayedProof_.front(), Reply.ItemsRevision_);
    CoreContact &Core = recordReply(Cores_, From, Reply, Now);
    bool Differs = Reply.UpstreamsDigest_ != digestOf(Upstreams_);
    Core.DigestMismatches_ = Differs ? Core.DigestMismatches_ + 1 : 0;
    // A single mismatch is expected while announcements are in transit.
    bool NeedsSync = Core.DigestMismatches_ >= MismatchesBeforeSync ||
                     Upstreams_.Upstreams_.empty();
    if (NeedsSync && Differs && From == nearestCoreVm(Cores_, Now)) {
      Core.DigestMismatches_ = 0;
      Request.Digests_ = bucketDigests(Upstreams_);
    }
    RequestItems =
        OwnRevision < Reply.ItemsRevision_ && beginRequest(ItemRequests_, Now);
  }
  if (RequestItems || !Reply.KnowsSender_)
    sendHeartbeats({From});
  if (!Request.Digests_.empty())
    sendTo(From, Request);
}

void EntryVm::Impl::onNoticeSyncReply(const VmId &From,
                                      const NoticeSyncReply &Reply) {
  NoticeBatch Missing;
  {
    std::lock_guard Guard(Lock_);
    Missing.Notices_ = missingNotices(Upstreams_, Reply.Digests_,
                                      Reply.Notices_, Clock_.now());
  }
  // A core VM that has just started knows no upstreams yet.
  if (!Missing.Notices_.empty())
    sendTo(From, Missing);
  onNotices(From, {0, Reply.Notices_});
}

/// \returns whether these are the first items of this process.
bool EntryVm::Impl::onItems(const ItemUpdate &Update) {
  std::lock_guard Writer(Lock_);
  auto Old = current();
  if (Update.FromRevision_ > Old->Revision_ ||
      Update.ToRevision_ <= Old->Revision_)
    return false;
  auto Next = std::make_shared<Configuration>();
  Next->Items_ = Old->Items_;
  mergeItemsFromPeer(Next->Items_, Update.Items_);
  Next->Table_ = RouteTable(Next->Items_);
  Next->DrainedZones_ = drainedZones(Update.Drains_);
  Next->Revision_ = ItemFreshness_.Revision_ = Update.ToRevision_;
  ItemRequests_ = ItemRequests();
  log({.Step_ = "config.apply",
       .Message_ = "configuration applied",
       .Revision_ = Next->Revision_});
  {
    std::lock_guard Guard(ConfigLock_);
    Config_ = std::move(Next);
  }
  updateDispatcher();
  return Old->Revision_ == Revision();
}

void EntryVm::Impl::onNotices(const VmId &From, const NoticeBatch &Batch) {
  {
    std::lock_guard Guard(Lock_);
    std::vector<UpstreamId> Changed =
        applyNotices(Upstreams_, Batch.Notices_, Clock_.now());
    auto C = current();
    if (!Changed.empty())
      Dispatcher_.update(fleetSnapshot(*C), Changed);
  }
  if (Batch.Number_ != 0)
    sendTo(From, NoticeAck{Batch.Number_});
}

/// Treats an upstream's own word in a response like its announcement, and
/// passes it on to the nearest core VM. This VM stops using it at once.
void EntryVm::Impl::markLeaving(const SharedSlot &Slot) {
  const UpstreamId &Id = Slot.Target_.Upstream_;
  NoticeBatch Batch;
  VmId Core;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    auto Found = Upstreams_.Upstreams_.find(Id);
    if (Found == Upstreams_.Upstreams_.end() ||
        Found->second.Notice_.StartedAtMs_ != Slot.StartedAtMs_ ||
        Found->second.Notice_.Phase_ != NoticePhase::Serving)
      return;
    UpstreamNotice Leaving = Found->second.Notice_;
    Leaving.Phase_ = NoticePhase::Leaving;
    Leaving.WarmupLeft_ = Duration();
    Leaving.Age_ = Now - Found->second.HeardAt_;
    Batch.Notices_.push_back(Leaving);
    auto C = current();
    Dispatcher_.update(fleetSnapshot(*C),
                       applyNotices(Upstreams_, Batch.Notices_, Now));
    Core = nearestCoreVm(Cores_, Now);
  }
  log({.Step_ = "upstream.leaving",
       .Message_ = "states in a response that it is leaving",
       .Peer_ = Id.str()});
  if (!Core.empty())
    sendTo(Core, Batch);
}

/// Called with Lock_ held. Refers to this object and to \p C.
FleetSnapshot EntryVm::Impl::fleetSnapshot(const Configuration &C) const {
  return {Upstreams_, C.DrainedZones_, Rates_.EntryVms_, C.Items_.Services_,
          Clock_.now()};
}

/// Called with Lock_ held.
void EntryVm::Impl::updateDispatcher() {
  auto C = current();
  Dispatcher_.update(fleetSnapshot(*C));
}

/// An upstream is silent if all live core VMs report it as silent.
void EntryVm::Impl::markSilent(Time Now) {
  std::vector<const std::set<UpstreamId> *> Reports;
  for (const auto &[Core, Contact] : Cores_.Contacts_)
    if (Now - Contact.RepliedAt_ <= CoreLivenessTimeout)
      Reports.push_back(&Contact.Silent_);
  lagoonpoint::applySilentReports(Upstreams_, Reports, UpstreamRetention, Now);
}

NodeRecord EntryVm::Impl::selfRecord() const {
  NodeRecord Out;
  Out.Vm_ = Self_;
  Out.Zone_ = Settings_.Zone_;
  Out.Region_ = Settings_.Region_;
  Out.CallerAddress_ = Settings_.Callers_;
  Out.StartedAtMs_ = StartedAtMs_;
  return Out;
}

/// Sends heartbeats to the heartbeatTargets(). Only the nearest core VM is
/// asked for the fleet's rates, and team rates go only to the core VMs that
/// grant tokens. \param Only if not empty, the heartbeats go only to these core
/// VMs and request items from them; used for a core VM that doesn't know this
/// VM, and for the first one that reports newer items when they may be
/// requested
void EntryVm::Impl::sendHeartbeats(const std::vector<VmId> &Only) {
  Heartbeat Common;
  Common.WantsItems_ = !Only.empty();
  Common.StartedAtMs_ = StartedAtMs_;
  Common.SentAt_ = Clock_.now().count();
  Common.ItemsRevision_ = current()->Revision_;
  Common.Ready_ = configured() && !Draining_;
  RateMap TeamRates;
  if (Only.empty())
    TeamTokens_.collectRates(TeamRates, Common.ServiceRates_);
  NodeRecord Own = selfRecord();
  std::lock_guard Guard(Lock_);
  Common.VoterConfigIndex_ = ItemFreshness_.VoterConfigIndex_;
  Common.KnowsVoters_ = !ItemFreshness_.VoterConfig_.Voters_.empty();
  Common.UpstreamsDigest_ = digestOf(Upstreams_);
  Time Now = Clock_.now();
  VmId Nearest = nearestCoreVm(Cores_, Now);
  std::vector<VmId> LocalCores = coreVmsByDistance(Cores_, true, Now);
  if (LocalCores.empty())
    LocalCores.push_back(Nearest);
  std::map<VmId, RateMap> RatesByHolder = ratesByHolder(TeamRates, LocalCores);
  std::vector<VmId> Targets = heartbeatTargets(
      Cores_, PeerRegistry_.coreVms(),
      provenCurrentAt(ItemFreshness_, TeamId()), Settings_.Revoke_ / 2, Now);
  for (const VmId &Core : Only.empty() ? Targets : Only) {
    Heartbeat Each = Common;
    Each.CoreVms_ = PeerRegistry_.coreVmsToSend(Core);
    Each.WantsRates_ = Core == Nearest;
    Each.TeamRates_ = RatesByHolder[Core];
    if (RecordSentTo_.insert(Core).second)
      Each.Self_.push_back(Own);
    sendTo(Core, Each);
  }
}

/// Logs each core VM whose contact was lost or restored, of those that get this
/// VM's heartbeats.
void EntryVm::Impl::logCoreContact(Time Now) {
  for (auto &[Core, Contact] : Cores_.Contacts_) {
    Duration Silence = Now - Contact.RepliedAt_;
    bool InContact = Silence <= CoreLivenessTimeout;
    if (InContact == Contact.LoggedInContact_ || !Contact.Asked_)
      continue;
    Contact.LoggedInContact_ = InContact;
    log({.Level_ = InContact ? LogLevel::Info : LogLevel::Warning,
         .Step_ = "entry.core",
         .Message_ =
             InContact ? "core VM answers, round trip " +
                             std::to_string(Contact.RoundTrip_.count()) + " ms"
                       : "core VM has not answered for " +
                             std::to_string(Silence.count()) + " ms",
         .Peer_ = Core.str()});
  }
}

/// Logs when the proof that the keys are current is obtained or lost.
void EntryVm::Impl::logKeyProof() {
  auto At = provenCurrentAt(ItemFreshness_, TeamId());
  Duration Age = At ? Clock_.now() - *At : Duration();
  bool Proven = At && Age < Settings_.Revoke_ - RevocationMargin;
  if (Proven == LoggedKeysProven_)
    return;
  LoggedKeysProven_ = Proven;
  log({.Level_ = Proven ? LogLevel::Info : LogLevel::Warning,
       .Step_ = "entry.proof",
       .Message_ = std::string("keys are ") + (Proven ? "" : "not ") +
                   "proven to be current" +
                   (At ? ", proof is " + std::to_string(Age.count()) + " ms old"
                       : ", no quorum of core VMs has answered"),
       .Revision_ = current()->Revision_});
}

void EntryVm::Impl::tick() {
  Time Now = Clock_.now();
  if (Now >= NextHeartbeat_ || !Impl::configured()) {
    NextHeartbeat_ = Now + HeartbeatInterval;
    sendHeartbeats();
  }
  updateFromContacts(Now);
  PlacementView View;
  {
    std::lock_guard Guard(Lock_);
    View = {Rates_.RegionRates_, Rates_.EntryVms_, Rates_.RegionEntryVms_};
  }
  if (Placement_.isActive())
    PeerRegistry_.add(View.EntryVms_);
  Placement_.update(View);
}

void EntryVm::Impl::updateFromContacts(Time Now) {
  std::lock_guard Guard(Lock_);
  markSilent(Now);
  logCoreContact(Now);
  logKeyProof();
  LoadSharing_.setRelayCandidates(coreVmsByDistance(Cores_, true, Now));
  TeamTokens_.setHolders(coreVmsByDistance(Cores_, true, Now),
                         remoteCoreVms(Cores_, Now),
                         replyingCoreVms(Cores_, Now));
  updateDispatcher();
  Dispatcher_.rebalance(Rates_.RegionRates_, RebalancedAt_ == Time()
                                                 ? TickInterval
                                                 : Now - RebalancedAt_);
  RebalancedAt_ = Now;
}

std::optional<Time> EntryVm::Impl::keysProvenAt(const TeamId &Team) const {
  std::lock_guard Guard(Lock_);
  return provenCurrentAt(ItemFreshness_, Team);
}

void EntryVm::Impl::checkKeys(const TeamId &Team) const {
  if (Settings_.StrictRevocation_)
    checkItems(Settings_.Revoke_ - RevocationMargin, Team);
}

void EntryVm::Impl::checkItems(Duration MaxAge, const TeamId &Team) const {
  auto At = keysProvenAt(Team);
  if (At && Clock_.now() - *At < MaxAge)
    return;
  throw Refusal(RefusalReason::KeysNotCurrent, Ran::No, Step,
                At ? "keys were last proven to be current " +
                         std::to_string((Clock_.now() - *At).count()) +
                         " ms ago"
                   : std::string("keys were never proven to be current"),
                At ? RetryAfterHint : startupHint());
}

/// \returns the Retry-After of calls that come before this VM can serve.
Duration EntryVm::Impl::startupHint() const {
  Duration Left = StartedAt_ + UsualStartup - Clock_.now();
  return Services_.SetsReturnTimes_ ? std::max(Left, RetryAfterHint)
                                    : RetryAfterHint;
}

RetryBudgetLimits EntryVm::Impl::retryLimits() const {
  std::lock_guard Guard(Lock_);
  return retryShare(Settings_, Rates_.EntryVms_.size());
}

const TableRoute &EntryVm::Impl::findTableRoute(const Configuration &C,
                                                const Call &Request) const {
  if (C.Revision_ == Revision())
    throw Refusal(RefusalReason::NotReady, Ran::No, Step,
                  "this VM has no configuration yet", startupHint());
  const TableRoute *Route =
      C.Table_.find(hostOf(Request.Host_), pathOf(Request.Path_));
  if (Route)
    return *Route;
  checkItemsToRefuse(); // an outdated configuration may lack the route
  throw Refusal(RefusalReason::NoSuchRoute, Ran::No, Step,
                "no route matches this host and path");
}

RouteDecl EntryVm::Impl::routeOf(const Call &C) {
  try {
    return evaluateInForce([this] { return current(); },
                           [&](const auto &Now) {
                             return declarationOf(findTableRoute(*Now, C), C);
                           });
  } catch (const Refusal &R) {
    countRefusal(Metrics_, TeamId(), R.reason(), R.ran());
    throw;
  }
}

TeamId EntryVm::Impl::authenticateTeam(const Configuration &C,
                                       const RouteItem &Route,
                                       const Call &Request) {
  if (Route.Open_ || !C.Table_.requiresKeys())
    return TeamId();
  TeamId Team = C.Table_.teamOf(Request.Key_);
  if (Team.empty())
    checkItemsToRefuse();
  else
    checkKeys(Team);
  if (Request.Key_.empty())
    throw Refusal(RefusalReason::KeyMissing, Ran::No, Step,
                  "this route needs a key");
  if (Team.empty())
    throw Refusal(RefusalReason::KeyUnknown, Ran::No, Step, "unknown key");
  return Team;
}

Permission EntryVm::Impl::permissionOf(const Call &Request) {
  return evaluateInForce(
      [this] { return current(); },
      [&](const auto &Now) {
        const TableRoute &Found = findTableRoute(*Now, Request);
        return Permission{Now, &Found,
                          authenticateTeam(*Now, Found.Item_, Request)};
      });
}

std::unique_ptr<CallHandle> EntryVm::Impl::admit(const Call &C) {
  FleetCallAdmission A;
  try {
    A.Request_ = C.Request_;
    A.Arrived_ = C.ArrivedAt_;
    if (C.Deadline_)
      A.StatedDeadline_ = C.ArrivedAt_ + *C.Deadline_;
    TeamTokens_.countService(routeOf(C).Service_);
    Permission Granted = permissionOf(C);
    const RouteItem &Route = Granted.Route_->Item_;
    A.Route_ = declarationOf(*Granted.Route_, C);
    A.Team_ = Granted.Team_;
    A.Authenticated_ = !A.Team_.empty();
    const TeamItem *Team =
        findItem(Granted.Configuration_->Items_.Teams_, A.Team_.str());
    A.Object_ = Route.SessionAffinity_ ? C.Object_ : "";
    A.Regions_ = allowedRegions(Route, Team);
    bool OwnPriority = Team && Team->HasPriority_;
    A.Priority_ = OwnPriority ? Team->Priority_ : Route.Priority_;
    A.MaxAttempts_ = Route.MaxAttempts_;
    A.Objective_ = Route.LatencyObjective_;
    A.SinceFirstRequest_ =
        Placement_.sinceFirstRequest(A.Route_.Name_, C.Deadline_);
    Duration Allowed =
        std::min(C.Deadline_.value_or(Route.Timeout_), Route.Timeout_);
    A.Deadline_ = C.ArrivedAt_ + Allowed - ResponseMargin;
    A.CallerDeadline_ = C.ArrivedAt_ + C.Deadline_.value_or(Allowed);
    checkStopping(A.Deadline_);
    if (Team && Team->Rate_ > 0)
      TeamTokens_.take(A.Team_);
  } catch (const Refusal &R) {
    countRefusal(Metrics_, A.Team_, R.reason(), R.ran());
    log({.Level_ = LogLevel::Warning,
         .Step_ = "call.refuse",
         .Message_ = std::string(toString(R.reason())) + ": " + R.message(),
         .Team_ = A.Team_,
         .Request_ = C.Request_,
         .Revision_ = current()->Revision_});
    throw adviseReturn(R, std::move(A), C);
  }
  return std::make_unique<FleetCall>(Services_, std::move(A));
}

Refusal EntryVm::Impl::adviseReturn(const Refusal &R, FleetCallAdmission A,
                                    const Call &C) {
  if (!Services_.SetsReturnTimes_)
    return R;
  auto InForce = current();
  const TableRoute *Route =
      InForce->Table_.find(hostOf(C.Host_), pathOf(C.Path_));
  A.Objective_ = Route ? Route->Item_.LatencyObjective_ : Duration();
  return withReturnTime(R, A, R.ran(), Metrics_, Clock_.now());
}

/// \throws Refusal if this VM is stopping and the call may not end in time
void EntryVm::Impl::checkStopping(Time CallDeadline) const {
  if (!Draining_ || acceptsCall(*StopPlan_, Clock_.now(), CallDeadline))
    return;
  throw Refusal(RefusalReason::Draining, Ran::No, Step,
                "this VM is stopping and the call might not end in time");
}

void EntryVm::Impl::startDraining() {
  StopPlan_ =
      makeStopPlan(Clock_.now(), Settings_.Grace_, Settings_.LookupTtl_);
  Draining_ = true;
  sendHeartbeats();
}

EntryVm::EntryVm(const FleetSettings &S, Dialect D)
    : Impl_(std::make_unique<Impl>(S, std::move(D))) {}

EntryVm::~EntryVm() { stop(); }

void EntryVm::start() {
  Impl_->Peers_.start();
  Impl_->Placement_.start();
  Impl_->LoadSharing_.start();
  Impl_->Ticker_.start();
  Impl_->Server_.start();
  log({.Step_ = "entry.start", .Message_ = "running"});
}

void EntryVm::drain() {
  log({.Step_ = "entry.drain", .Message_ = "draining"});
  Impl_->startDraining();
  Duration Wait = Impl_->StopPlan_->LookupsExpireAt_ - Impl_->Clock_.now();
  std::this_thread::sleep_for(std::chrono::milliseconds(Wait.count()));
}

void EntryVm::stop() {
  Time Now = Impl_->Clock_.now();
  Time CallsEndBy =
      Impl_->Draining_ ? Impl_->StopPlan_->CallsEndBy_ : Now + UndrainedStop;
  Impl_->Server_.stop(std::max(CallsEndBy - Now, Duration()));
  Impl_->Placement_.stop();
  Impl_->LoadSharing_.stop();
  Impl_->Ticker_.stop();
  Impl_->Peers_.stop();
}

bool EntryVm::ready() const { return Impl_->configured() && !Impl_->Draining_; }

MetricRegistry &EntryVm::metrics() { return Impl_->Metrics_; }

} // namespace lagoonpoint
