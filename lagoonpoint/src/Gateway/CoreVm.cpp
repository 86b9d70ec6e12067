#include "lagoonpoint/src/Gateway/CoreVm.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Gateway/PeerBook.h"
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

constexpr Duration TickEvery = Duration::millis(250);
constexpr Duration IdleTick = Duration::seconds(60);
constexpr Duration BeatEvery = Duration::seconds(1);
/// VMs beat once a second: two beats may be lost.
constexpr Duration LiveFor = Duration::millis(2700);
/// Callers are told of an entry VM for as long.
constexpr Duration NamedFor = LiveFor;
constexpr Duration ForgetNodes = Duration::seconds(60);
constexpr Duration ForgetUpstreams = Duration::seconds(60);
/// An upstream tries the next VM after a second without an answer.
constexpr Duration ConfirmWithin = Duration::millis(750);
constexpr Duration ConfirmAgain = Duration::millis(200);
/// The first voters are joined by the other core VMs before any change is
/// taken, so that the first change is as safe as the later ones.
constexpr Duration FormWithin = Duration::seconds(5);
constexpr std::size_t FewestVoters = 3;
constexpr Duration SilentVoter = Duration::seconds(12);
constexpr Duration ReadPause = Duration::millis(10);
/// Answers in a row with another digest.
constexpr unsigned AskBookAfter = 2;

/// Configuration as the replica has it, for readers on other threads.
struct HeldItems {
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

ChangeId freshChangeId() {
  thread_local Random Generator((std::uint64_t(std::random_device()()) << 32) |
                                std::random_device()());
  return ChangeId("c" + std::to_string(Generator()) +
                  std::to_string(Generator()));
}

void pause(Duration D) {
  std::this_thread::sleep_for(std::chrono::milliseconds(D.count()));
}

} // namespace

struct CoreVm::Parts {
  explicit Parts(const FleetSettings &S)
      : Settings_(S), ReplicaSettings_(replicaSettings(S)),
        BornAt_(static_cast<std::uint64_t>(Clock_.unixMillis())),
        StartedAt_(Clock_.now()), Self_(S.Host_),
        Peers_(
            fleetPeerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Debug); }),
        Book_(S, Peers_), Quotas_(S, Clock_),
        Pusher_("core.push", IdleTick, [] {}),
        Host_(ReplicaSettings_, Clock_, Peers_,
              [this](const Catalog &C, const Change *) { observe(C); }),
        Router_(Self_, seedVms(S), &Host_, Clock_, Peers_),
        Ticker_("core.tick", TickEvery, [this] { tick(); }) {}

  void receive(Envelope Message);
  void observe(const Catalog &C);
  void tick();

  void onBeat(const VmId &From, const Heartbeat &B);
  void onReply(const VmId &From, const HeartbeatReply &R);
  void onNews(const VmId &From, const NoticeBatch &N);
  void onSeen(const VmId &From, const NoticeAck &S);
  void onAsk(const VmId &From, const TokenRequest &A);

  NodeRecord self();
  Heartbeat beat();
  HeartbeatReply replyTo(const VmId &From, const Heartbeat &B, Time Now);
  void onBookAsk(const VmId &From, const NoticeSyncRequest &A);
  void onBookAnswer(const VmId &From, const NoticeSyncReply &A);
  FleetRates rates(Time Now);
  void sendBeats();
  void sendTo(const VmId &To, const FleetMessage &M);
  void sendItems(const std::vector<VmId> &To, Revision Since);
  void pushItems();
  void tell(const UpstreamNotice &A, bool AtOnce);
  void passOn();
  std::vector<VmId> entriesToTell(Time Now);
  void spread(std::uint64_t Number, const UpstreamNotice &Said,
              const std::set<VmId> &To);
  std::set<VmId> entriesInContact(Time Now);
  bool coreInContact(Time Now);
  bool confirm(const UpstreamNotice &A);
  void repairVoters();
  void noteLeader();
  bool formed();
  std::shared_ptr<const HeldItems> items() const;

  const FleetSettings &Settings_;
  const Settings ReplicaSettings_;
  SystemClock Clock_;
  const std::uint64_t BornAt_;
  const Time StartedAt_;
  const VmId Self_;
  MetricRegistry Metrics_;
  PeerTransport Peers_;
  PeerBook Book_;
  QuotaHolder Quotas_;

  mutable std::mutex ItemsLock_;
  std::shared_ptr<const HeldItems> Items_ = std::make_shared<HeldItems>();

  std::mutex Lock_; ///< guards what follows
  std::condition_variable Confirmed_;
  NodeRegistry Roster_;
  UpstreamRegistry Upstreams_;
  std::map<UpstreamId, Sighting> Sighted_; ///< here, since the last beat
  std::vector<UpstreamNotice> News_;       ///< told here since the last tick
  std::vector<UpstreamNotice> Relayed_; ///< told by other core VMs since then
  std::map<VmId, unsigned> Differing_;  ///< answers in a row, other digests
  std::set<VmId> Introduced_;           ///< core VMs that hold this VM's record
  Time NextBeat_;
  VmId Leader_; ///< as logged last; used by the ticker only
  std::map<std::uint64_t, std::set<VmId>> Unconfirmed_;
  std::uint64_t NextNumber_ = 1;

  std::atomic<bool> PushQueued_{false};
  Worker Pusher_; ///< before Host_, whose start observes what is stored
  ReplicaHost Host_;
  ChangeRouter Router_;
  Worker Ticker_;
};

void CoreVm::Parts::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Replication)
    return Host_.receive(std::move(Message));
  if (Message.Channel_ == Channel::Forward)
    return Router_.receive(Message);
  if (Message.Channel_ != Channel::Fleet)
    return;
  FleetMessage M = decodeFleetMessage(Message.Body_, Message.From_);
  if (const auto *B = std::get_if<Heartbeat>(&M))
    onBeat(Message.From_, *B);
  else if (const auto *R = std::get_if<HeartbeatReply>(&M))
    onReply(Message.From_, *R);
  else if (const auto *N = std::get_if<NoticeBatch>(&M))
    onNews(Message.From_, *N);
  else if (const auto *S = std::get_if<NoticeAck>(&M))
    onSeen(Message.From_, *S);
  else if (const auto *Ask = std::get_if<NoticeSyncRequest>(&M))
    onBookAsk(Message.From_, *Ask);
  else if (const auto *Answer = std::get_if<NoticeSyncReply>(&M))
    onBookAnswer(Message.From_, *Answer);
  else if (const auto *A = std::get_if<TokenRequest>(&M))
    onAsk(Message.From_, *A);
}

void CoreVm::Parts::observe(const Catalog &C) {
  auto Next = std::make_shared<HeldItems>();
  Next->Revision_ = C.Revision_;
  Next->Items_ = C.Items_;
  Next->Drains_ = C.Drains_;
  {
    std::lock_guard Guard(ItemsLock_);
    Items_ = std::move(Next);
  }
  // A restart replays many changes at once: one push covers them all.
  if (!PushQueued_.exchange(true) && !Pusher_.post([this] { pushItems(); }))
    PushQueued_ = false;
}

std::shared_ptr<const HeldItems> CoreVm::Parts::items() const {
  std::lock_guard Guard(ItemsLock_);
  return Items_;
}

NodeRecord CoreVm::Parts::self() {
  NodeRecord Out;
  Out.Vm_ = Self_;
  Out.Core_ = true;
  Out.Zone_ = Settings_.Zone_;
  Out.Region_ = Settings_.Region_;
  Out.StartedAtMs_ = BornAt_;
  Out.Disk_ = Host_.leaderView().Disk_;
  return Out;
}

void CoreVm::Parts::sendTo(const VmId &To, const FleetMessage &M) {
  Peers_.send({Self_, To, Channel::Fleet, encodeMessage(M)});
}

void CoreVm::Parts::sendItems(const std::vector<VmId> &To, Revision Since) {
  auto Now = items();
  ItemUpdate News;
  News.FromRevision_ = Since;
  News.ToRevision_ = Now->Revision_;
  News.Items_ = itemsChangedAfter(Now->Items_, Since);
  News.Drains_ = Now->Drains_;
  std::string Body = encodeMessage(News);
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

/// The leader knows first; what its messages miss, the next beats bring.
void CoreVm::Parts::pushItems() {
  PushQueued_ = false;
  if (!Host_.leaderView().Leading_)
    return;
  std::map<Revision, std::vector<VmId>> To;
  {
    std::lock_guard Guard(Lock_);
    for (const KnownNode *Node : liveEntryVms(Roster_, LiveFor, Clock_.now()))
      To[Node->ItemsRevision_].push_back(Node->Record_.Vm_);
  }
  for (const auto &[Holds, Vms] : To)
    sendItems(Vms, Holds);
}

/// What all other core VMs are told, and the quotas' parts with it: both
/// follow from the same demand.
Heartbeat CoreVm::Parts::beat() {
  Heartbeat Out;
  Out.StartedAtMs_ = BornAt_;
  Out.SentAt_ = Clock_.now().count();
  Out.ItemsRevision_ = items()->Revision_;
  std::lock_guard Guard(Lock_);
  TeamDemand Demand = teamDemand(Roster_, Settings_.Region_, Clock_.now());
  Quotas_.learn(Demand);
  Out.TeamRates_ = Demand.RatesByRegion_[Settings_.Region_];
  Out.UpstreamsDigest_ = digestOf(Upstreams_);
  for (auto &[Id, S] : Sighted_)
    Out.Sightings_.push_back(S);
  Sighted_.clear();
  return Out;
}

/// Called with Lock_ held.
FleetRates CoreVm::Parts::rates(Time Now) {
  FleetRates Out;
  for (const KnownNode *Node : liveEntryVms(Roster_, LiveFor, Now)) {
    Out.EntryVms_.push_back(Node->Record_.Vm_);
    RateMap &Region = Out.RegionRates_[Node->Record_.Region_.str()];
    for (const auto &[Service, Rate] : Node->ServiceRates_)
      Region[Service] += Rate;
  }
  return Out;
}

HeartbeatReply CoreVm::Parts::replyTo(const VmId &From, const Heartbeat &B,
                                      Time Now) {
  HeartbeatReply Out;
  Out.EchoedSentAt_ = B.SentAt_;
  Out.Region_ = Settings_.Region_;
  LeaderView View = Host_.leaderView();
  Out.ItemsRevision_ = View.Revision_;
  Out.Proof_ = {View.Disk_,     View.Last_,     View.Applied_,
                View.Doubtful_, View.ConfigAt_, {}};
  if (!B.KnowsVoters_ || B.VoterConfigIndex_ != View.ConfigAt_)
    Out.Proof_.VoterConfig_.push_back(View.Config_);
  Out.CoreVms_ = Book_.coresFor(From);
  std::lock_guard Guard(Lock_);
  Out.UpstreamsDigest_ = digestOf(Upstreams_);
  for (const auto &[Id, Known] : Upstreams_.Upstreams_)
    if (Known.Silent_ && Known.Notice_.Phase_ != NoticePhase::Gone)
      Out.SilentUpstreams_.push_back(Id);
  if (B.WantsRates_)
    Out.Rates_.push_back(rates(Now));
  return Out;
}

void CoreVm::Parts::onBeat(const VmId &From, const Heartbeat &B) {
  Time Now = Clock_.now();
  HeartbeatResult Taken = HeartbeatResult::Accepted;
  bool FromCore = false;
  {
    std::lock_guard Guard(Lock_);
    Taken = record(Roster_, From, B, Now);
    if (Taken == HeartbeatResult::Outdated)
      return;
    if (Taken == HeartbeatResult::Accepted)
      FromCore = Roster_.Nodes_[From].Record_.Core_;
    for (const Sighting &S : B.Sightings_)
      recordSighting(Upstreams_, S.Id_, S.Sequence_, S.Age_, Now);
  }
  if (FromCore)
    Book_.addCores({From});
  Book_.add({From});
  Book_.addCores(B.CoreVms_);
  HeartbeatReply Reply = replyTo(From, B, Now);
  Reply.KnowsSender_ = Taken == HeartbeatResult::Accepted;
  sendTo(From, Reply);
  if (B.WantsItems_ && B.ItemsRevision_ < items()->Revision_)
    sendItems({From}, B.ItemsRevision_);
}

void CoreVm::Parts::onReply(const VmId &From, const HeartbeatReply &R) {
  Book_.addCores(R.CoreVms_);
  NoticeSyncRequest Ask;
  {
    std::lock_guard Guard(Lock_);
    if (!R.KnowsSender_)
      Introduced_.erase(From);
    // News are on their way when digests differ once.
    bool Differs = R.UpstreamsDigest_ != digestOf(Upstreams_);
    unsigned &Count = Differing_[From];
    Count = Differs ? Count + 1 : 0;
    if (Count < AskBookAfter)
      return;
    Count = 0;
    Ask.Digests_ = bucketDigests(Upstreams_);
  }
  sendTo(From, Ask);
}

void CoreVm::Parts::onBookAsk(const VmId &From, const NoticeSyncRequest &A) {
  NoticeSyncReply Out;
  {
    std::lock_guard Guard(Lock_);
    Out.Digests_ = bucketDigests(Upstreams_);
    Out.Notices_ = differingNotices(Upstreams_, A.Digests_, Clock_.now());
  }
  sendTo(From, Out);
}

void CoreVm::Parts::onBookAnswer(const VmId &From, const NoticeSyncReply &A) {
  NoticeBatch Lacked;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    Lacked.Notices_ = missingNotices(Upstreams_, A.Digests_, A.Notices_, Now);
    for (const UpstreamNotice &N : A.Notices_)
      learn(Upstreams_, N, Now);
  }
  if (!Lacked.Notices_.empty())
    sendTo(From, Lacked);
}

void CoreVm::Parts::onNews(const VmId &From, const NoticeBatch &N) {
  {
    std::lock_guard Guard(Lock_);
    for (const UpstreamNotice &A : N.Notices_)
      if (learn(Upstreams_, A, Clock_.now()) && N.Number_ == 0)
        Relayed_.push_back(A);
  }
  if (N.Number_ != 0)
    sendTo(From, NoticeAck{N.Number_});
}

void CoreVm::Parts::onSeen(const VmId &From, const NoticeAck &S) {
  std::lock_guard Guard(Lock_);
  auto Found = Unconfirmed_.find(S.Number_);
  if (Found == Unconfirmed_.end())
    return;
  Found->second.erase(From);
  if (Found->second.empty())
    Confirmed_.notify_all();
}

void CoreVm::Parts::onAsk(const VmId &From, const TokenRequest &A) {
  auto Now = items();
  HolderRank Rank;
  NodeRecord Own;
  Own.Vm_ = Self_;
  Own.Region_ = Settings_.Region_;
  {
    std::lock_guard Guard(Lock_);
    Rank = rankOf(Roster_, Own, A.Team_, Clock_.now());
  }
  const TeamItem *Team = findItem(Now->Items_.Teams_, A.Team_.str());
  sendTo(From, Quotas_.answer(A, Team, Rank));
}

std::set<VmId> CoreVm::Parts::entriesInContact(Time Now) {
  std::set<VmId> Out;
  for (const KnownNode *Node : liveEntryVms(Roster_, LiveFor, Now))
    Out.insert(Node->Record_.Vm_);
  return Out;
}

/// True while this VM and those it hears are more than half of the voters.
bool CoreVm::Parts::coreInContact(Time Now) {
  VoterConfig Config = Host_.leaderView().Config_;
  std::size_t Heard = Config.findVoter(Self_) ? 1 : 0;
  for (const KnownNode *Node : liveCoreVms(Roster_, LiveFor, Now))
    Heard += Config.findVoter(Node->Record_.Vm_) ? 1 : 0;
  return !Config.Voters_.empty() && Heard >= Config.quorum();
}

/// \param AtOnce entry VMs send to the upstream and have to stop
void CoreVm::Parts::tell(const UpstreamNotice &A, bool AtOnce) {
  std::set<VmId> To;
  {
    std::lock_guard Guard(Lock_);
    if (AtOnce)
      To = entriesInContact(Clock_.now());
    News_.push_back(A);
  }
  spread(0, A, To);
}

/// Passes announcements that end nothing on: to the core VMs, and by each of
/// them to the entry VMs of its region that are its to tell.
void CoreVm::Parts::passOn() {
  NoticeBatch News;
  std::vector<VmId> To;
  {
    std::lock_guard Guard(Lock_);
    if (News_.empty() && Relayed_.empty())
      return;
    News.Notices_ = News_;
    for (const VmId &Vm : Book_.cores())
      if (!News_.empty())
        sendTo(Vm, News);
    News.Notices_.insert(News.Notices_.end(), Relayed_.begin(), Relayed_.end());
    News_.clear();
    Relayed_.clear();
    To = entriesToTell(Clock_.now());
  }
  std::string Body = encodeMessage(News);
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

/// \returns the entry VMs of this region that no other core VM tells, and those
/// of regions without a live core VM. Called with Lock_ held.
std::vector<VmId> CoreVm::Parts::entriesToTell(Time Now) {
  std::map<RegionId, std::vector<VmId>> Cores;
  Cores[Settings_.Region_].push_back(Self_);
  for (const KnownNode *Node : liveCoreVms(Roster_, LiveFor, Now))
    Cores[Node->Record_.Region_].push_back(Node->Record_.Vm_);
  std::vector<VmId> Out;
  for (const KnownNode *Node : liveEntryVms(Roster_, LiveFor, Now)) {
    auto Near = Cores.find(Node->Record_.Region_);
    const std::vector<VmId> &By =
        Near == Cores.end() ? Cores[Settings_.Region_] : Near->second;
    if (Near == Cores.end() ||
        rankHolders(Node->Record_.Vm_.str(), By).front() == Self_)
      Out.push_back(Node->Record_.Vm_);
  }
  return Out;
}

void CoreVm::Parts::spread(std::uint64_t Number, const UpstreamNotice &Said,
                           const std::set<VmId> &To) {
  std::string Body = encodeMessage(NoticeBatch{Number, {Said}});
  for (const VmId &Vm : To)
    Peers_.send({Self_, Vm, Channel::Fleet, Body});
}

bool CoreVm::Parts::confirm(const UpstreamNotice &A) {
  Time Deadline = Clock_.now() + ConfirmWithin;
  std::uint64_t Number = 0;
  std::vector<VmId> Cores = Book_.cores();
  std::set<VmId> To(Cores.begin(), Cores.end());
  std::unique_lock Guard(Lock_);
  Number = NextNumber_++;
  Unconfirmed_[Number] = entriesInContact(Clock_.now());
  To.insert(Unconfirmed_[Number].begin(), Unconfirmed_[Number].end());
  bool Whole = false;
  while (!Whole && Clock_.now() < Deadline) {
    Guard.unlock();
    spread(Number, A, To);
    Guard.lock();
    Whole = Confirmed_.wait_for(Guard,
                                std::chrono::milliseconds(ConfirmAgain.count()),
                                [&] { return Unconfirmed_[Number].empty(); });
    To = Unconfirmed_[Number];
  }
  bool Enough = coreInContact(Clock_.now());
  Unconfirmed_.erase(Number);
  // An entry VM that is lost right now can't confirm. It learns of the change
  // from any core VM's answer to its next beat.
  return Whole ? Enough || !entriesInContact(Clock_.now()).empty() : Enough;
}

void CoreVm::Parts::repairVoters() {
  LeaderView View = Host_.leaderView();
  if (!View.Leading_)
    return;
  std::vector<NodeRecord> Live{self()};
  std::set<VmId> Silent;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    for (const KnownNode *Node : liveCoreVms(Roster_, LiveFor, Now))
      Live.push_back(Node->Record_);
    for (const auto &[Vm, Node] : Roster_.Nodes_)
      if (Node.Record_.Core_ && Now - Node.HeardAt_ > SilentVoter)
        Silent.insert(Vm);
  }
  auto Step = nextVoterRepairStep(View.Config_, Live, Silent);
  if (!Step)
    return;
  std::string Refused =
      Step->Add_ ? Host_.addVoter(Step->Vm_) : Host_.removeVoter(Step->Vm_);
  log({.Step_ = "voters.repair",
       .Message_ = std::string(Step->Add_ ? "add" : "remove") +
                   (Refused.empty() ? ", begun" : ", refused: " + Refused),
       .Peer_ = Step->Vm_.str()});
}

void CoreVm::Parts::tick() {
  Time Now = Clock_.now();
  {
    std::lock_guard Guard(Lock_);
    expireSilent(Upstreams_,
                 Settings_.AnnounceEvery_ * 3 + Duration::seconds(1),
                 ForgetUpstreams, Now);
    removeSilent(Roster_, ForgetNodes, Now);
  }
  std::vector<VmId> Voters;
  for (const Voter &V : Host_.leaderView().Config_.Voters_)
    Voters.push_back(V.Vm_);
  Router_.setVoters(Voters);
  noteLeader();
  passOn();
  if (Now >= NextBeat_) {
    NextBeat_ = Now + BeatEvery;
    sendBeats();
  }
  repairVoters();
}

void CoreVm::Parts::noteLeader() {
  LeaderView View = Host_.leaderView();
  if (View.Leader_ == Leader_)
    return;
  Leader_ = View.Leader_;
  log({.Step_ = "core.leader",
       .Message_ = (Leader_.empty() ? "no leader is known, term "
                                    : "leader is known, term ") +
                   std::to_string(View.Term_.value()) + ", voters " +
                   std::to_string(View.Config_.Voters_.size()),
       .Peer_ = Leader_.str(),
       .Revision_ = View.Revision_});
}

void CoreVm::Parts::sendBeats() {
  Heartbeat B = beat();
  for (const VmId &Vm : Book_.cores()) {
    Heartbeat Each = B;
    Each.CoreVms_ = Book_.coresFor(Vm);
    std::lock_guard Guard(Lock_);
    if (Introduced_.insert(Vm).second)
      Each.Self_.push_back(self());
    sendTo(Vm, Each);
  }
}

bool CoreVm::Parts::formed() {
  Time Now = Clock_.now();
  if (!Settings_.Bootstrap_ || Now - StartedAt_ > FormWithin)
    return true;
  std::size_t Voters = Host_.leaderView().Config_.Voters_.size();
  std::lock_guard Guard(Lock_);
  return Voters >= FewestVoters &&
         Voters > liveCoreVms(Roster_, LiveFor, Now).size();
}

CoreVm::CoreVm(const FleetSettings &S) : Parts_(std::make_unique<Parts>(S)) {}

CoreVm::~CoreVm() { stop(); }

void CoreVm::start() {
  Parts_->Peers_.start();
  Parts_->Host_.start();
  Parts_->Pusher_.start();
  Parts_->Ticker_.start();
  log({.Step_ = "core.start", .Message_ = "running"});
}

void CoreVm::stop() {
  Parts_->Ticker_.stop();
  Parts_->Host_.stop();
  Parts_->Pusher_.stop();
  Parts_->Peers_.stop();
}

ChangeReply CoreVm::submit(const Change &C, Duration Wait) {
  if (!Parts_->formed())
    throw UnavailableError("core.submit", "", "the voters are being formed");
  Change Named = C;
  Named.Id_ = freshChangeId();
  if (C.Kind_ == ChangeKind::PatchItems && !C.Items_.empty()) {
    auto Now = Parts_->items();
    std::string Fault = validatePatch(Now->Items_, C.Items_);
    if (Fault.empty() && containsItems(Now->Items_, C.Items_))
      return {ChangeVerdict::Accepted, Now->Revision_, "nothing newer"};
    Named.Id_ = ChangeId("p" + sha256Hex(encode(C.Items_)));
  }
  return Parts_->Router_.submit(Named, Wait);
}

AnnounceResult CoreVm::announce(const UpstreamNotice &A) {
  bool News = false;
  bool TurnsCold = false;
  {
    std::lock_guard Guard(Parts_->Lock_);
    Time Now = Parts_->Clock_.now();
    auto Known = Parts_->Upstreams_.Upstreams_.find(A.Id_);
    TurnsCold = Known != Parts_->Upstreams_.Upstreams_.end() &&
                Known->second.Notice_.StartedAtMs_ == A.StartedAtMs_ &&
                A.WarmupLeft_ > Duration();
    News = learn(Parts_->Upstreams_, A, Now);
    Parts_->Sighted_[A.Id_] = {A.Id_, A.Sequence_, Duration()};
  }
  bool Ends = A.Phase_ != NoticePhase::Serving;
  if (News)
    log({.Step_ = "upstream.announce",
         .Message_ = A.Service_.str() + " at " + A.Address_ + ", phase " +
                     std::to_string(static_cast<int>(A.Phase_)),
         .Peer_ = A.Id_.str()});
  if (News && !Ends)
    Parts_->tell(A, TurnsCold);
  if (!Ends)
    return AnnounceResult::Taken;
  return Parts_->confirm(A) ? AnnounceResult::Taken
                            : AnnounceResult::Unconfirmed;
}

AnnounceResult CoreVm::depart(const UpstreamId &Id) {
  UpstreamNotice Last;
  {
    std::lock_guard Guard(Parts_->Lock_);
    auto Found = Parts_->Upstreams_.Upstreams_.find(Id);
    if (Found == Parts_->Upstreams_.Upstreams_.end())
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
  auto Now = Parts_->items();
  for (const auto &[Name, R] : Now->Items_.Routes_)
    if (!R.Removed_ && R.Value_.Host_ == Host)
      for (const RegionId &Allowed : R.Value_.Regions_)
        Query.Allowed_.push_back(Allowed);
  std::lock_guard Guard(Parts_->Lock_);
  return chooseEntries(Parts_->Roster_, Query, NamedFor, Parts_->Clock_.now());
}

ItemSet CoreVm::readItems(Duration Wait) {
  Time Deadline = Parts_->Clock_.now() + Wait;
  Change Barrier;
  Barrier.Kind_ = ChangeKind::PatchItems;
  Revision Upto = submit(Barrier, Wait).Revision_;
  while (Parts_->Clock_.now() < Deadline) {
    auto Now = Parts_->items();
    if (Now->Revision_ >= Upto)
      return Now->Items_;
    pause(ReadPause);
  }
  throw UnavailableError("core.read", "", "this VM lags behind the leader");
}

bool CoreVm::mayServe(const ServiceId &Service) const {
  auto Now = Parts_->items();
  return Now->Items_.Services_.empty() ||
         findItem(Now->Items_.Services_, Service.str());
}

MetricRegistry &CoreVm::metrics() { return Parts_->Metrics_; }

} // namespace lagoonpoint
