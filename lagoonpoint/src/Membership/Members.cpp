#include "lagoonpoint/src/Membership/Members.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

/// How long a cached digest is used. Leases may expire meanwhile.
constexpr Duration DigestCacheAge = Duration::millis(200);

} // namespace

const char *toString(Contact C) {
  switch (C) {
  case Contact::Connected:
    return "connected";
  case Contact::ZoneCutOff:
    return "zone_cut_off";
  case Contact::Alone:
    break;
  }
  return "alone";
}

Members::Members(MembershipOptions Options, Time Now)
    : Options_(std::move(Options)), Started_(Now) {
  Declared_[Options_.Self_] = Options_.Zone_;
  Records_[Options_.Self_] = {Options_.Self_, Options_.Incarnation_, 1,
                              VmState::Alive, Revision()};
  PendingMembers_.insert(Options_.Self_);
}

void Members::setDeclared(VmZones Declared, Time Now) {
  Declared[Options_.Self_] = Options_.Zone_;
  Declared_ = std::move(Declared);
  auto NotDeclared = [&](const auto &E) { return !declared(E.first); };
  std::erase_if(Records_, NotDeclared);
  std::erase_if(SuspectSince_, NotDeclared);
  std::erase_if(DeclaredSince_, NotDeclared);
  std::erase_if(Mismatches_, NotDeclared);
  std::erase_if(PendingMembers_, [&](const VmId &Vm) { return !declared(Vm); });
  for (const auto &[Vm, Zone] : Declared_)
    DeclaredSince_.emplace(Vm, Now);
  ++MemberChanges_;
  refreshNeighbours(Now);
}

void Members::setDraining(bool Draining) {
  MemberRecord &Mine = Records_[Options_.Self_];
  VmState State = Draining ? VmState::Draining : VmState::Alive;
  if (Mine.State_ == State)
    return;
  Mine.State_ = State;
  ++Mine.Version_;
  ++MemberChanges_;
  PendingMembers_.insert(Options_.Self_);
}

void Members::setRevision(Revision InForce) {
  MemberRecord &Mine = Records_[Options_.Self_];
  Mine.Revision_ = std::max(Mine.Revision_, InForce);
}

void Members::announce(const AnnouncedUpstream &Announced, Time Now) {
  UpstreamRecord Record;
  Record.Key_ = Announced.Key_;
  Record.Host_ = Announced.Host_;
  Record.Port_ = Announced.Port_;
  Record.Zone_ = Options_.Zone_;
  Record.Slots_ = Announced.Slots_;
  Record.Connections_ = Announced.Connections_;
  Record.Load_ = Announced.Load_;
  Record.LoadReported_ = Announced.LoadReported_;
  Record.Lease_ = Options_.UpstreamLease_;
  Record = issueUpstream(Upstreams_, Record, Announced.Leaving_, Options_.Self_,
                         Options_.Incarnation_);
  if (mergeUpstream(Upstreams_, Record, Now) != MergeResult::Changed) {
    RefreshDue_.insert(Announced.Key_);
    return;
  }
  PendingChanges_.insert(Announced.Key_);
  flushUpdates(Now);
}

std::vector<Envelope> Members::takeOutbox() {
  return std::exchange(Outbox_, {});
}

std::vector<UpstreamRecord> Members::upstreams(const ServiceId &Service,
                                               Time Now) const {
  std::vector<UpstreamRecord> Found;
  for (const auto &[Key, Entry] : Upstreams_.Entries_)
    if (Key.Service_ == Service && usable(Entry, Now))
      Found.push_back(recordAt(Entry, Now));
  return Found;
}

std::vector<UpstreamRecord> Members::upstreams(Time Now) const {
  std::vector<UpstreamRecord> Found;
  for (const auto &[Key, Entry] : Upstreams_.Entries_)
    if (usable(Entry, Now))
      Found.push_back(recordAt(Entry, Now));
  return Found;
}

std::vector<MemberView> Members::vms(Time Now) const {
  std::vector<MemberView> Views;
  for (const auto &[Vm, Zone] : Declared_) {
    MemberView View{Vm, Zone, stateOf(Vm, Now), Incarnation(), Revision()};
    auto It = Records_.find(Vm);
    if (It != Records_.end()) {
      View.Incarnation_ = It->second.Incarnation_;
      View.Revision_ = It->second.Revision_;
    }
    Views.push_back(View);
  }
  return Views;
}

VmState Members::stateOf(const VmId &Vm, Time Now) const {
  auto It = Records_.find(Vm);
  if (It == Records_.end())
    return VmState::Dead;
  return derivedState(It->second, Now);
}

VmState Members::derivedState(const MemberRecord &Record, Time Now) const {
  ZoneId Zone = zoneOf(Record.Vm_);
  if (Zone == Options_.Zone_)
    return Record.State_;
  auto It = Zones_.find(Zone);
  if (It == Zones_.end() || !It->second.HasReport_)
    return VmState::Dead;
  Duration SinceReport = Now - It->second.LastReportAt_;
  if (SinceReport > Options_.ZoneDeadAfter_)
    return VmState::Dead;
  if (SinceReport > Options_.ZoneSuspectAfter_)
    return std::max(Record.State_, VmState::Suspect);
  return Record.State_;
}

Contact Members::contact(Time Now) const {
  bool HasPeers = false;
  bool HasOtherZones = false;
  for (const auto &[Vm, Zone] : Declared_) {
    HasPeers |= Zone == Options_.Zone_ && Vm != Options_.Self_;
    HasOtherZones |= Zone != Options_.Zone_;
  }
  if (HasPeers && answeringPeers(Now).empty())
    return Contact::Alone;
  bool AnyZoneReported =
      std::any_of(Zones_.begin(), Zones_.end(), [&](const auto &E) {
        return E.second.HasReport_ &&
               Now - E.second.LastReportAt_ <= Options_.ZoneSuspectAfter_;
      });
  return HasOtherZones && !AnyZoneReported ? Contact::ZoneCutOff
                                           : Contact::Connected;
}

std::vector<VmId> Members::answeringPeers(Time Now) const {
  std::vector<VmId> Peers;
  for (const auto &[Vm, P] : Probes_)
    if (P.HasAnswered_ && Now - P.LastAnswer_ <= Options_.ContactWindow_)
      Peers.push_back(Vm);
  return Peers;
}

MemberRecord Members::self() const { return Records_.at(Options_.Self_); }

ZoneId Members::zoneOf(const VmId &Vm) const {
  auto It = Declared_.find(Vm);
  return It == Declared_.end() ? ZoneId() : It->second;
}

std::uint64_t Members::digestOfZone(const ZoneId &Zone, Time Now) const {
  CachedDigest &Cached = Digests_[Zone];
  bool Fresh = Cached.MemberChanges_ == MemberChanges_ &&
               Cached.UpstreamChanges_ == Upstreams_.Changes_ &&
               Cached.At_ + DigestCacheAge > Now && Now >= Cached.At_;
  if (Fresh && Cached.At_ != Time())
    return Cached.Value_;
  std::uint64_t Digest = upstreamDigest(Upstreams_, Zone, Now);
  for (const auto &[Vm, Record] : Records_)
    if (zoneOf(Vm) == Zone)
      Digest += digestOf(Record);
  Cached = {MemberChanges_, Upstreams_.Changes_, Now, Digest};
  return Digest;
}

} // namespace lagoonpoint
