#include "lagoonpoint/src/Membership/Members.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

/// Number of consecutive pings or reports with a different digest before
/// records are requested. A single one may have crossed an update in transit.
constexpr int MismatchesBeforeSync = 2;

} // namespace

void Members::receive(const Envelope &Message, Time Now) {
  auto In = decode<MembershipMessage>(Message.Body_, "membership.receive",
                                      Message.From_.str());
  if (In.Sender_.Vm_ != Message.From_)
    throw CodecError("membership.receive", Message.From_.str(),
                     "sender record names another VM");
  mergeMember(In.Sender_, Now);
  for (const MemberRecord &Record : In.Members_)
    mergeMember(Record, Now);
  bool FromZone = zoneOf(Message.From_) == Options_.Zone_;
  for (const UpstreamRecord &Record : In.Upstreams_)
    mergeUpstreamUpdate(Record, FromZone, Now);
  for (const ZoneReport &Report : In.Reports_)
    handleReport(Report, Message.From_, Now);
  if (In.Kind_ == MessageKind::Ack)
    handleAck(In, Now);
  if (In.Kind_ == MessageKind::Ping)
    compareDigest(In, Now);
  bool Asked = !In.RequestedZones_.empty();
  if (In.Kind_ != MessageKind::Ping && !Asked)
    return;
  MembershipMessage Out = makeMessage(
      In.Kind_ == MessageKind::Ping ? MessageKind::Ack : MessageKind::Update,
      Now);
  Out.PingerIncarnation_ = In.PingerIncarnation_;
  Out.PingSentAt_ = In.PingSentAt_;
  auto Known = Records_.find(Message.From_);
  if (Known != Records_.end() && Known->second.State_ >= VmState::Suspect)
    Out.Members_.push_back(Known->second);
  for (const ZoneId &Zone : In.RequestedZones_)
    addZone(Out, Zone, Now);
  enqueue(Message.From_, Out);
}

void Members::addZone(MembershipMessage &Out, const ZoneId &Zone,
                      Time Now) const {
  for (const auto &[Vm, Record] : Records_)
    if (zoneOf(Vm) == Zone)
      Out.Members_.push_back(Record);
  for (const auto &[Key, Entry] : Upstreams_.Entries_)
    if (Entry.Record_.Zone_ == Zone)
      Out.Upstreams_.push_back(recordAt(Entry, Now));
}

void Members::mergeMember(const MemberRecord &In, Time Now) {
  if (In.Vm_ == Options_.Self_)
    return refuteClaim(In);
  if (!declared(In.Vm_))
    return;
  MemberRecord &Mine = Records_[In.Vm_];
  bool New = Mine.Vm_.empty();
  if (!New && !supersedes(In, Mine))
    return;
  bool OnlyRevision = !New && digestOf(In) == digestOf(Mine);
  Revision Highest = std::max(Mine.Revision_, In.Revision_);
  bool SameProcess = Mine.Incarnation_ == In.Incarnation_;
  LAGOONPOINT_ASSERT(In.Incarnation_ >= Mine.Incarnation_, "membership.merge");
  Mine = In;
  if (SameProcess)
    Mine.Revision_ = Highest;
  if (OnlyRevision)
    return;
  setState(Mine, In.State_, Now);
  auto ProbeEntry = Probes_.find(In.Vm_);
  if (ProbeEntry != Probes_.end() && In.State_ < VmState::Suspect)
    ProbeEntry->second.Since_ = Now;
}

void Members::refuteClaim(const MemberRecord &In) {
  MemberRecord &Mine = Records_[Options_.Self_];
  if (In.Incarnation_ > Mine.Incarnation_) {
    ++IdConflicts_;
    Options_.Incarnation_ = In.Incarnation_.next();
    Mine.Incarnation_ = Options_.Incarnation_;
  } else if (!supersedes(In, Mine) || digestOf(In) == digestOf(Mine)) {
    return;
  } else {
    Mine.Version_ = In.Version_ + 1;
  }
  ++MemberChanges_;
  PendingMembers_.insert(Options_.Self_);
}

Duration Members::remainingLease(const UpstreamKey &Key, Time Now) const {
  auto Found = Upstreams_.Entries_.find(Key);
  if (Found == Upstreams_.Entries_.end())
    return Duration();
  return std::max(Duration(), Found->second.Expires_ - Now);
}

void Members::mergeUpstreamUpdate(UpstreamRecord In, bool FromZone, Time Now) {
  // Other zones renew their copies on this zone's reports, so the lease of a
  // copy that they send back doesn't show that the upstream is alive.
  if (In.Zone_ == Options_.Zone_ && !FromZone)
    In.Lease_ = remainingLease(In.Key_, Now);
  switch (mergeUpstream(Upstreams_, In, Now)) {
  case MergeResult::Changed:
    PendingChanges_.insert(In.Key_);
    break;
  case MergeResult::Refreshed:
    PendingRefreshes_.insert(In.Key_);
    break;
  case MergeResult::Unchanged:
    // The same version may have arrived through another zone before.
    if (In.Zone_ != Options_.Zone_ || FromZone)
      extendLease(Upstreams_, In, Options_.UpstreamLease_ / 2, Now);
    break;
  }
}

void Members::handleReport(const ZoneReport &Report, const VmId &Sender,
                           Time Now) {
  const VmId &Issuer = Report.Version_.Issuer_;
  if (Report.Zone_ == Options_.Zone_ || zoneOf(Issuer) != Report.Zone_)
    return;
  ZoneState &State = Zones_[Report.Zone_];
  std::uint64_t &Counter = State.Counters_[Issuer];
  if (Report.Version_.Counter_ <= Counter)
    return;
  Counter = Report.Version_.Counter_;
  State.HasReport_ = true;
  State.LastReportAt_ = Now;
  PendingReports_[Report.Zone_] = Report;
  if (digestOfZone(Report.Zone_, Now) == Report.Digest_) {
    State.Mismatches_.clear();
    renewZone(Upstreams_, Report.Zone_, Options_.UpstreamLease_, Now);
    return;
  }
  bool FromOwnZone = zoneOf(Sender) == Report.Zone_;
  if (++State.Mismatches_[Sender] < MismatchesBeforeSync && !FromOwnZone)
    return;
  State.Mismatches_.erase(Sender);
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  Out.RequestedZones_.push_back(Report.Zone_);
  // The local records are sent as well: a VM that is considered dead here can
  // refute that only if it receives the record.
  addZone(Out, Report.Zone_, Now);
  enqueue(Sender, Out);
}

void Members::handleAck(const MembershipMessage &In, Time Now) {
  Time PingedAt = Time() + In.PingSentAt_;
  bool OwnPing =
      In.PingerIncarnation_ == Records_[Options_.Self_].Incarnation_ &&
      PingedAt >= Started_ && PingedAt <= Now;
  const VmId &From = In.Sender_.Vm_;
  auto ProbeEntry = Probes_.find(From);
  if (OwnPing && ProbeEntry != Probes_.end()) {
    Probe &P = ProbeEntry->second;
    P.LastAnswer_ =
        P.HasAnswered_ ? std::max(P.LastAnswer_, PingedAt) : PingedAt;
    P.HasAnswered_ = true;
  }
  auto Known = Records_.find(From);
  if (Known == Records_.end() || Known->second.State_ < VmState::Suspect)
    return;
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  Out.Members_.push_back(Known->second);
  enqueue(From, Out);
}

void Members::compareDigest(const MembershipMessage &In, Time Now) {
  if (zoneOf(In.Sender_.Vm_) != Options_.Zone_)
    return;
  int &Mismatches = Mismatches_[In.Sender_.Vm_];
  if (In.Digest_ == digestOfZone(Options_.Zone_, Now)) {
    Mismatches = 0;
    return;
  }
  if (++Mismatches < MismatchesBeforeSync)
    return;
  Mismatches = 0;
  MembershipMessage Out = makeMessage(MessageKind::Update, Now);
  Out.RequestedZones_.push_back(Options_.Zone_);
  addZone(Out, Options_.Zone_, Now);
  enqueue(In.Sender_.Vm_, Out);
}

} // namespace lagoonpoint
