#include "lagoonpoint/src/Steering/RegionTargets.h"

#include "lagoonpoint/src/Steering/Preference.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint {

namespace {

/// Demand assumed for an idle flow, so that it has shares too.
constexpr double IdleRate = 1e-3;

/// State of one flow while credit is allocated.
struct FlowAllocation {
  Flow Flow_;
  std::vector<RegionId> Preference_;
  RegionShares Preferred_; ///< shares by the objective
  double Rate_ = 0;        ///< demand of the flow
  double Remaining_ = 0;   ///< demand that is not allocated yet
  std::map<RegionId, double> Allocated_;
};

RegionShares sharesByCapacity(const Declarations &D,
                              const std::vector<RegionId> &Regions) {
  std::map<RegionId, double> Capacities;
  for (const RegionId &R : Regions)
    Capacities[R] = D.Regions_.at(R).Capacity_.perSecond();
  return proportional(Capacities);
}

RegionShares preferredShares(const Declarations &D, const ProfileDecl &P,
                             const std::vector<RegionId> &Order) {
  if (Order.empty())
    return {};
  if (P.Objective_ != Objective::Spread)
    return {{Order.front(), 1.0}};
  return sharesByCapacity(D, Order);
}

const ProfileDecl &profileOf(const Declarations &D, const ServiceId &Service) {
  return D.Profiles_.at(D.Services_.at(Service).Profile_);
}

FlowAllocation startAllocation(const Declarations &D, const SteeringView &View,
                               const Flow &F) {
  const ProfileDecl &Profile = profileOf(D, F.Service_);
  FlowAllocation Out{F, regionPreference(D, Profile, F.Origin_), {}, 0, 0, {}};
  std::erase_if(Out.Preference_, [&](const RegionId &R) {
    return !View.Usable_.count({F.Service_, R});
  });
  Out.Preferred_ = preferredShares(D, Profile, Out.Preference_);
  auto Demand = View.Demand_.find(F);
  Out.Rate_ =
      std::max(IdleRate, Demand == View.Demand_.end() ? 0 : Demand->second);
  Out.Remaining_ = Out.Rate_;
  return Out;
}

/// \returns the rates that a flow requests in a round: its preferred shares in
/// round 0, then the rest from one region after the other by preference.
std::map<RegionId, double> requestedRates(const FlowAllocation &F,
                                          std::size_t Round) {
  std::map<RegionId, double> Out;
  if (Round == 0) {
    for (const auto &[Region, Share] : F.Preferred_)
      Out[Region] = Share * F.Rate_;
  } else if (Round <= F.Preference_.size()) {
    Out[F.Preference_[Round - 1]] = F.Remaining_;
  }
  return Out;
}

/// Allocates the rates requested in a round. If they exceed a region's credit,
/// each flow gets the same fraction of its request.
void allocateRound(std::vector<FlowAllocation> &Flows,
                   std::map<RegionId, double> &Credit, std::size_t Round) {
  std::map<RegionId, double> Requested;
  for (const FlowAllocation &F : Flows)
    for (const auto &[Region, Rate] : requestedRates(F, Round))
      Requested[Region] += Rate;
  std::map<RegionId, double> Fraction;
  for (const auto &[Region, Rate] : Requested) {
    auto Limit = Credit.find(Region);
    bool IsLimited = Limit != Credit.end() && Rate > 0;
    Fraction[Region] = IsLimited ? std::min(1.0, Limit->second / Rate) : 1.0;
    if (IsLimited)
      Limit->second -= Fraction[Region] * Rate;
  }
  for (FlowAllocation &F : Flows)
    for (const auto &[Region, Rate] : requestedRates(F, Round)) {
      F.Allocated_[Region] += Fraction[Region] * Rate;
      F.Remaining_ -= Fraction[Region] * Rate;
    }
}

/// \returns the limits less the rates already allocated.
std::map<RegionId, double>
remainingLimits(const std::vector<FlowAllocation> &Flows,
                const SteeringView &View) {
  std::map<RegionId, double> Out = View.Limit_;
  for (const FlowAllocation &F : Flows)
    for (const auto &[Region, Rate] : F.Allocated_)
      if (Out.count(Region))
        Out[Region] = std::max(0.0, Out[Region] - Rate);
  return Out;
}

/// Assigns the demand beyond all limits to the regions that refuse it.
/// \returns the target shares of the flow
RegionShares finish(FlowAllocation F, const Declarations &D) {
  RegionShares ExcessShares = F.Preferred_;
  if (F.Preference_.front() != F.Flow_.Origin_)
    ExcessShares = sharesByCapacity(D, F.Preference_);
  for (const auto &[Region, Share] : ExcessShares)
    F.Allocated_[Region] += std::max(0.0, F.Remaining_) * Share;
  return proportional(F.Allocated_);
}

} // namespace

std::map<Flow, RegionShares> targetsByFlow(const Declarations &D,
                                           const SteeringView &View) {
  std::vector<FlowAllocation> Flows;
  for (const auto &[Service, Decl] : D.Services_)
    for (const auto &[Origin, Region] : D.Regions_) {
      FlowAllocation F = startAllocation(D, View, {Service, Origin});
      if (!F.Preference_.empty())
        Flows.push_back(std::move(F));
    }
  std::map<RegionId, double> Credit = View.Credit_;
  for (std::size_t Round = 0; Round <= D.Regions_.size(); ++Round)
    allocateRound(Flows, Credit, Round);
  if (!View.Limit_.empty()) {
    std::map<RegionId, double> Left = remainingLimits(Flows, View);
    for (std::size_t Round = 1; Round <= D.Regions_.size(); ++Round)
      allocateRound(Flows, Left, Round);
  }
  std::map<Flow, RegionShares> Out;
  for (FlowAllocation &F : Flows) {
    Flow Name = F.Flow_;
    RegionShares Target = finish(std::move(F), D);
    for (const auto &[Region, Share] : Target)
      LAGOONPOINT_ASSERT(mayServe(D, profileOf(D, Name.Service_), Region),
                         "steering.target");
    Out.emplace(std::move(Name), std::move(Target));
  }
  return Out;
}

bool carries(const SteeringView &View, const Flow &F) {
  auto Demand = View.Demand_.find(F);
  return Demand != View.Demand_.end() && Demand->second >= MinCarriedRate;
}

std::set<Flow> unreachableFlows(const Declarations &D,
                                const std::set<VmId> &Ready) {
  std::set<Flow> Out;
  for (const auto &[Id, Vm] : D.Vms_) {
    if (!Vm.Entry_ || Vm.Drained_ || Ready.count(Id))
      continue;
    for (const auto &[Service, Decl] : D.Services_)
      Out.insert({Service, D.Zones_.at(Vm.Zone_).Region_});
  }
  return Out;
}

RegionShares declaredTarget(const Declarations &D, const Flow &F) {
  const ProfileDecl &Profile = profileOf(D, F.Service_);
  return preferredShares(D, Profile, regionPreference(D, Profile, F.Origin_));
}

} // namespace lagoonpoint
