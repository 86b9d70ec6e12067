#include "lagoonpoint/src/Membership/Members.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

void Members::tick(Time Now) {
  refreshNeighbours(Now);
  suspectUnresponsive(Now);
  declareSuspectsDead(Now);
  if (Now >= NextRefresh_)
    refreshUpstreams(Now);
  if (Now >= NextPing_)
    pingNeighbours(Now);
  if (Now >= NextReport_)
    reportToZones(Now);
  flushUpdates(Now);
}

bool Members::inRing(const VmId &Vm, Time Now) const {
  auto It = Records_.find(Vm);
  if (It != Records_.end())
    return It->second.State_ != VmState::Dead;
  auto Since = DeclaredSince_.find(Vm);
  return Since != DeclaredSince_.end() &&
         Now - Since->second <= Options_.SuspectAfter_ + Options_.DeadAfter_;
}

std::vector<VmId> Members::ring(Time Now) const {
  std::vector<VmId> Ring;
  for (const auto &[Vm, Zone] : Declared_)
    if (Zone == Options_.Zone_ && inRing(Vm, Now))
      Ring.push_back(Vm);
  return Ring;
}

std::vector<VmId> Members::liveVmsOf(const ZoneId &Zone) const {
  std::vector<VmId> Live;
  for (const auto &[Vm, In] : Declared_) {
    auto It = Records_.find(Vm);
    if (In == Zone && It != Records_.end() &&
        It->second.State_ != VmState::Dead)
      Live.push_back(Vm);
  }
  return Live;
}

std::vector<VmId> Members::bridgesOf(const ZoneId &Zone) const {
  std::vector<VmId> Bridges = liveVmsOf(Zone);
  Bridges.resize(std::min(Bridges.size(), BridgesPerZone));
  return Bridges;
}

void Members::refreshNeighbours(Time Now) {
  Neighbours_ = neighbours(ring(Now), Options_.Self_);
  std::map<VmId, Probe> Kept;
  for (const VmId &Vm : pingTargets(Neighbours_)) {
    auto It = Probes_.find(Vm);
    Probe Fresh;
    Fresh.Since_ = Now;
    Kept.emplace(Vm, It == Probes_.end() ? Fresh : It->second);
  }
  Probes_ = std::move(Kept);
}

void Members::pingNeighbours(Time Now) {
  NextPing_ = Now + Options_.PingEvery_;
  for (const auto &[Vm, P] : Probes_)
    ping(Vm, Now);
  pingAbsent(Now);
}

void Members::pingAbsent(Time Now) {
  std::vector<VmId> Absent;
  for (const auto &[Vm, Zone] : Declared_)
    if (Zone == Options_.Zone_ && !inRing(Vm, Now))
      Absent.push_back(Vm);
  if (!Absent.empty())
    ping(Absent[AbsentCursor_++ % Absent.size()], Now);
}

void Members::ping(const VmId &To, Time Now) {
  MembershipMessage Out = makeMessage(MessageKind::Ping, Now);
  Out.Digest_ = digestOfZone(Options_.Zone_, Now);
  Out.PingerIncarnation_ = Out.Sender_.Incarnation_;
  Out.PingSentAt_ = Now - Time();
  enqueue(To, Out);
}

void Members::suspectUnresponsive(Time Now) {
  for (const auto &[Vm, P] : Probes_) {
    auto It = Records_.find(Vm);
    if (It == Records_.end() || It->second.State_ >= VmState::Suspect)
      continue;
    Time Since = P.HasAnswered_ ? std::max(P.Since_, P.LastAnswer_) : P.Since_;
    if (Now - Since > Options_.SuspectAfter_)
      setState(It->second, VmState::Suspect, Now);
  }
}

void Members::declareSuspectsDead(Time Now) {
  std::vector<VmId> Expired;
  for (const auto &[Vm, Since] : SuspectSince_)
    if (Now - Since > Options_.DeadAfter_)
      Expired.push_back(Vm);
  for (const VmId &Vm : Expired)
    setState(Records_.at(Vm), VmState::Dead, Now);
}

void Members::setState(MemberRecord &Record, VmState State, Time Now) {
  Record.State_ = State;
  ++MemberChanges_;
  PendingMembers_.insert(Record.Vm_);
  if (State == VmState::Suspect)
    SuspectSince_.emplace(Record.Vm_, Now);
  else
    SuspectSince_.erase(Record.Vm_);
}

std::size_t Members::bridgeRank() const {
  std::vector<VmId> Bridges = bridgesOf(Options_.Zone_);
  auto It = std::find(Bridges.begin(), Bridges.end(), Options_.Self_);
  return static_cast<std::size_t>(It - Bridges.begin()) +
         (It == Bridges.end() ? BridgesPerZone : 0);
}

std::vector<ZoneId> Members::otherZones() const {
  std::set<ZoneId> Others;
  for (const auto &[Vm, Zone] : Declared_)
    if (Zone != Options_.Zone_)
      Others.insert(Zone);
  return {Others.begin(), Others.end()};
}

VmId Members::bridgeTarget(const ZoneId &Zone, std::size_t Rank, Time Now) {
  auto It = Zones_.find(Zone);
  bool ReportedRecently =
      It != Zones_.end() && It->second.HasReport_ &&
      Now - It->second.LastReportAt_ <= Options_.ReportEvery_ * 3;
  std::vector<VmId> Bridges = bridgesOf(Zone);
  if (ReportedRecently && !Bridges.empty())
    return Bridges[std::min(Rank, Bridges.size() - 1)];
  std::vector<VmId> All;
  for (const auto &[Vm, In] : Declared_)
    if (In == Zone)
      All.push_back(Vm);
  return All[(Rank + ZoneCursor_[Zone]++) % All.size()];
}

void Members::reportToZones(Time Now) {
  std::size_t Rank = bridgeRank();
  // The second bridge is a standby and reports half as often.
  NextReport_ = Now + Options_.ReportEvery_ * (Rank == 0 ? 1 : 2);
  if (Rank >= BridgesPerZone)
    return;
  ReportCounter_ = std::max(ReportCounter_ + 1, Options_.Incarnation_.value());
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  Out.Reports_.push_back({Options_.Zone_,
                          {ReportCounter_, Options_.Self_},
                          digestOfZone(Options_.Zone_, Now)});
  for (const ZoneId &Zone : otherZones())
    enqueue(bridgeTarget(Zone, Rank, Now), Out);
}

void Members::refreshUpstreams(Time Now) {
  NextRefresh_ = Now + Options_.RefreshEvery_;
  PendingRefreshes_.merge(RefreshDue_);
  RefreshDue_.clear();
  removeExpiredUpstreams(Upstreams_, Options_.UpstreamRetention_, Now);
}

void Members::flushUpdates(Time Now) {
  if (!PendingMembers_.empty() || !PendingChanges_.empty()) {
    flushToZone(Now);
    flushToOtherZones(Now);
    PendingMembers_.clear();
    PendingChanges_.clear();
  }
  if (Now >= NextBatch_)
    flushBatch(Now);
}

void Members::flushToZone(Time Now) {
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  for (const VmId &Vm : PendingMembers_)
    Out.Members_.push_back(Records_.at(Vm));
  addUpstreams(Out, PendingChanges_, Now);
  for (const VmId &Vm : Neighbours_)
    enqueue(Vm, Out);
}

void Members::flushBatch(Time Now) {
  NextBatch_ = Now + Options_.BatchEvery_;
  if (PendingRefreshes_.empty() && PendingReports_.empty())
    return;
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  addUpstreams(Out, PendingRefreshes_, Now);
  for (const auto &[Zone, Report] : PendingReports_)
    Out.Reports_.push_back(Report);
  for (const VmId &Vm : batchTargets(Neighbours_, BatchRound_++))
    enqueue(Vm, Out);
  PendingRefreshes_.clear();
  PendingReports_.clear();
}

void Members::addUpstreams(MembershipMessage &Out,
                           const std::set<UpstreamKey> &Keys, Time Now) const {
  for (const UpstreamKey &Key : Keys)
    if (auto It = Upstreams_.Entries_.find(Key);
        It != Upstreams_.Entries_.end())
      Out.Upstreams_.push_back(recordAt(It->second, Now));
}

void Members::flushToOtherZones(Time Now) {
  std::size_t Rank = bridgeRank();
  if (Rank >= BridgesPerZone)
    return;
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  for (const VmId &Vm : PendingMembers_)
    if (zoneOf(Vm) == Options_.Zone_)
      Out.Members_.push_back(Records_.at(Vm));
  for (const UpstreamKey &Key : PendingChanges_) {
    auto It = Upstreams_.Entries_.find(Key);
    if (It != Upstreams_.Entries_.end() &&
        It->second.Record_.Zone_ == Options_.Zone_)
      Out.Upstreams_.push_back(recordAt(It->second, Now));
  }
  if (Out.Members_.empty() && Out.Upstreams_.empty())
    return;
  for (const ZoneId &Zone : otherZones())
    enqueue(bridgeTarget(Zone, Rank, Now), Out);
}

MembershipMessage Members::makeMessage(MessageKind Kind, Time) const {
  MembershipMessage Out;
  Out.Kind_ = Kind;
  Out.Sender_ = self();
  return Out;
}

void Members::enqueue(const VmId &To, const MembershipMessage &Out) {
  Outbox_.push_back({Options_.Self_, To, Channel::Membership, encode(Out)});
}

} // namespace lagoonpoint
