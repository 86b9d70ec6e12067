#include "lagoonpoint/src/Steering/VmSteering.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

/// A peer's report of its upstreams expires after this many update intervals.
constexpr int PeerExpiryUpdates = 3;

using ServiceSlots = std::map<ServiceId, double>;

double sumOfSlots(const ServiceSlots &Slots) {
  double Sum = 0;
  for (const auto &[Service, Count] : Slots)
    Sum += Count;
  return Sum;
}

const RegionId &regionOf(const Declarations &D, const VmId &Vm) {
  return D.Zones_.at(D.Vms_.at(Vm).Zone_).Region_;
}

bool isFresh(const VmSteering::Peer &Peer, Time Now) {
  return Peer.ReceivedAt_ + PlanInterval * PeerExpiryUpdates > Now;
}

std::set<ServiceRegion> usableRegions(const VmSteering &S,
                                      const Declarations &D,
                                      const std::set<VmId> &Ready,
                                      const ServiceSlots &Slots, Time Now) {
  std::set<ServiceRegion> Out;
  if (D.Vms_.count(S.Self_))
    for (const auto &[Service, Count] : Slots)
      if (Count > 0)
        Out.insert({Service, regionOf(D, S.Self_)});
  for (const auto &[Vm, Peer] : S.Peers_) {
    if (!Ready.count(Vm) || !D.Vms_.count(Vm) || !isFresh(Peer, Now))
      continue;
    for (const ServiceId &Service : Peer.Serving_)
      Out.insert({Service, regionOf(D, Vm)});
  }
  return Out;
}

void refreshView(VmSteering &S, const Declarations &D,
                 const std::set<VmId> &Ready, const ServiceSlots &Slots,
                 Time Now) {
  updateRates(S.Meter_, Now);
  S.Loads_.Reports_[S.Self_] = {Now, S.Meter_.SendRates_, sumOfSlots(Slots)};
  updateSlots(S.Loads_, D, Now);
  S.View_.Usable_ = usableRegions(S, D, Ready, Slots, Now);
  S.View_.Demand_ = S.Meter_.Demand_;
  S.View_.UnreachableFlows_ = unreachableFlows(D, Ready);
  S.View_.Credit_ =
      planCredits(S.Loads_, D, TargetUtilization, S.Self_, Ready, Now);
  S.View_.Limit_ = planCredits(S.Loads_, D, 1.0, S.Self_, Ready, Now);
}

/// \returns whether no plans can be expected: all other declared VMs are in
/// contact and starting too, or PlanRequestTimeout has passed.
bool mayStartWithoutPlans(const VmSteering &S, const Declarations &D,
                          const std::set<VmId> &Ready, Time Now) {
  if (Now >= S.StartedAt_ + PlanRequestTimeout)
    return true;
  return std::all_of(D.Vms_.begin(), D.Vms_.end(), [&](const auto &E) {
    auto Peer = S.Peers_.find(E.first);
    bool IsStarting = Peer != S.Peers_.end() && !Peer->second.IsStarted_;
    return E.first == S.Self_ || (Ready.count(E.first) && IsStarting);
  });
}

SteeringUpdate makeUpdate(const VmSteering &S, const ServiceSlots &Slots,
                          Time Now) {
  SteeringUpdate Out;
  Out.Regions_ = snapshotOf(S.Regions_, S.View_, Now);
  Out.IsComplete_ = S.IsPlanRequested_ && S.IsStarted_;
  if (Out.IsComplete_)
    Out.Lookups_ = snapshotOf(S.Lookups_, Now);
  else
    std::erase_if(Out.Regions_.Rows_, [](const RegionPlanSnapshot::Row &Row) {
      return Row.Rate_ < MinCarriedRate;
    });
  for (const auto &[Region, Rate] : S.Meter_.SendRates_)
    Out.SendRates_.push_back({Region, Rate});
  for (const auto &[Service, Count] : Slots)
    if (Count > 0)
      Out.Serving_.push_back(Service);
  Out.Slots_ = sumOfSlots(Slots);
  Out.IsStarted_ = S.IsStarted_;
  return Out;
}

} // namespace

VmSteering startSteering(const VmId &Self, Time Now) {
  VmSteering Out;
  Out.Self_ = Self;
  Out.StartedAt_ = Now;
  Out.Meter_.CountingSince_ = Now;
  return Out;
}

std::optional<SteeringUpdate> tick(VmSteering &S, const Declarations &D,
                                   const std::set<VmId> &Ready,
                                   const std::map<ServiceId, double> &Slots,
                                   Time Now) {
  if (!S.IsStarted_ && !mayStartWithoutPlans(S, D, Ready, Now))
    return makeUpdate(S, Slots, Now);
  S.IsStarted_ = true;
  refreshView(S, D, Ready, Slots, Now);
  advance(S.Regions_, D, S.View_, Now);
  advance(S.Lookups_, D, Ready, Now);
  if (Now < S.NextUpdateAt_)
    return {};
  S.NextUpdateAt_ = Now + PlanInterval;
  SteeringUpdate Out = makeUpdate(S, Slots, Now);
  S.IsPlanRequested_ = false;
  return Out;
}

void applyPeerUpdate(VmSteering &S, const VmId &From,
                     const SteeringUpdate &Update, Time Now) {
  RegionPlan Regions = restorePlan(Update.Regions_, Now);
  LookupPlan Lookups = restorePlan(Update.Lookups_, Now);
  RegionLoads::Report Report{Now, {}, Update.Slots_};
  if (!(Update.Slots_ >= 0))
    throw Error("steering.news", From.str(), "negative number of slots");
  for (const RegionPlanSnapshot::Entry &Part : Update.SendRates_) {
    if (!(Part.Share_ >= 0))
      throw Error("steering.news", From.str(), "negative rate");
    Report.SendRates_[Part.Region_] = Part.Share_;
  }
  if (!Update.IsStarted_) {
    S.NextUpdateAt_ = Now;
    S.IsPlanRequested_ = true;
  } else if (S.IsStarted_) {
    applyPeerUpdate(S.Regions_, Update.Regions_, S.View_, Now);
  } else if (Update.IsComplete_) {
    S.Regions_ = std::move(Regions);
    S.Lookups_ = std::move(Lookups);
    S.IsStarted_ = true;
  }
  S.Loads_.Reports_[From] = std::move(Report);
  S.Peers_[From] = {
      Now, {Update.Serving_.begin(), Update.Serving_.end()}, Update.IsStarted_};
}

RegionDecision chooseRegion(VmSteering &S, const Declarations &D,
                            const ServiceId &Service, const ZoneId &Home,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, Random &Source) {
  if (!S.IsStarted_)
    return {{}, RefusalReason::NotReady};
  Flow F{Service, D.Zones_.at(Home).Region_};
  countReceived(S.Meter_, F);
  auto Row = S.Regions_.Rows_.find(F);
  if (Row == S.Regions_.Rows_.end())
    return {{}, RefusalReason::NoUpstream};
  RegionDecision Out = chooseRegion(F, Row->second.Shares_, S.View_, Credits,
                                    Bytes, regionOf(D, S.Self_), Source);
  if (!Out.Refused_)
    countSent(S.Meter_, Out.Region_);
  return Out;
}

std::vector<VmId> forwardTargets(const VmSteering &S, const Declarations &D,
                                 const ServiceId &Service,
                                 const RegionId &Region,
                                 const std::set<VmId> &Ready, Time Now,
                                 Random &Source) {
  std::vector<VmId> Out;
  for (const auto &[Vm, Peer] : S.Peers_)
    if (Ready.count(Vm) && D.Vms_.count(Vm) && isFresh(Peer, Now) &&
        Peer.Serving_.count(Service) && regionOf(D, Vm) == Region)
      Out.push_back(Vm);
  std::shuffle(Out.begin(), Out.end(), Source);
  return Out;
}

} // namespace lagoonpoint
