#include "lagoonpoint/src/Steering/RegionTargets.h"

#include "lagoonpoint/src/Steering/Preference.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint {

namespace {

/// Stands in for the demand of a flow that is idle, so that it has shares.
constexpr double IdleRate = 1e-3;

/// One flow while credit is handed out.
struct Filling {
  Flow Flow_;
  std::vector<RegionId> Order_;
  RegionShares First_;   ///< what the objective asks for
  double Rate_ = 0;      ///< of the whole flow
  double Remaining_ = 0; ///< not yet placed
  std::map<RegionId, double> Placed_;
};

RegionShares byCapacity(const Declarations &D,
                        const std::vector<RegionId> &Regions) {
  std::map<RegionId, double> Capacities;
  for (const RegionId &R : Regions)
    Capacities[R] = D.Regions_.at(R).Capacity_.perSecond();
  return proportional(Capacities);
}

RegionShares firstChoice(const Declarations &D, const ProfileDecl &P,
                         const std::vector<RegionId> &Order) {
  if (Order.empty())
    return {};
  if (P.Objective_ != Objective::Spread)
    return {{Order.front(), 1.0}};
  return byCapacity(D, Order);
}

const ProfileDecl &profileOf(const Declarations &D, const ServiceId &Service) {
  return D.Profiles_.at(D.Services_.at(Service).Profile_);
}

Filling startFilling(const Declarations &D, const SteeringView &View,
                     const Flow &F) {
  const ProfileDecl &Profile = profileOf(D, F.Service_);
  Filling Out{F, preference(D, Profile, F.Origin_), {}, 0, 0, {}};
  std::erase_if(Out.Order_, [&](const RegionId &R) {
    return !View.Usable_.count({F.Service_, R});
  });
  Out.First_ = firstChoice(D, Profile, Out.Order_);
  auto Demand = View.Demand_.find(F);
  Out.Rate_ =
      std::max(IdleRate, Demand == View.Demand_.end() ? 0 : Demand->second);
  Out.Remaining_ = Out.Rate_;
  return Out;
}

/// \returns what a flow asks of each region in a round: its first choice, then
/// one region of its order after the other.
std::map<RegionId, double> wants(const Filling &F, std::size_t Round) {
  std::map<RegionId, double> Out;
  if (Round == 0) {
    for (const auto &[Region, Share] : F.First_)
      Out[Region] = Share * F.Rate_;
  } else if (Round <= F.Order_.size()) {
    Out[F.Order_[Round - 1]] = F.Remaining_;
  }
  return Out;
}

/// Grants a round's wishes; where they exceed a region's credit, each flow gets
/// the same part of its wish.
void fillRound(std::vector<Filling> &Flows, std::map<RegionId, double> &Credit,
               std::size_t Round) {
  std::map<RegionId, double> Wanted;
  for (const Filling &F : Flows)
    for (const auto &[Region, Rate] : wants(F, Round))
      Wanted[Region] += Rate;
  std::map<RegionId, double> Part;
  for (const auto &[Region, Rate] : Wanted) {
    auto Limit = Credit.find(Region);
    bool IsLimited = Limit != Credit.end() && Rate > 0;
    Part[Region] = IsLimited ? std::min(1.0, Limit->second / Rate) : 1.0;
    if (IsLimited)
      Limit->second -= Part[Region] * Rate;
  }
  for (Filling &F : Flows)
    for (const auto &[Region, Rate] : wants(F, Round)) {
      F.Placed_[Region] += Part[Region] * Rate;
      F.Remaining_ -= Part[Region] * Rate;
    }
}

/// \returns what is left of the limits beside what has been placed.
std::map<RegionId, double> limitsLeft(const std::vector<Filling> &Flows,
                                      const SteeringView &View) {
  std::map<RegionId, double> Out = View.Limit_;
  for (const Filling &F : Flows)
    for (const auto &[Region, Rate] : F.Placed_)
      if (Out.count(Region))
        Out[Region] = std::max(0.0, Out[Region] - Rate);
  return Out;
}

/// Places what exceeds all limits, where it will be refused.
RegionShares finish(Filling F, const Declarations &D) {
  RegionShares Where = F.First_;
  if (F.Order_.front() != F.Flow_.Origin_)
    Where = byCapacity(D, F.Order_);
  for (const auto &[Region, Share] : Where)
    F.Placed_[Region] += std::max(0.0, F.Remaining_) * Share;
  return proportional(F.Placed_);
}

} // namespace

std::map<Flow, RegionShares> targets(const Declarations &D,
                                     const SteeringView &View) {
  std::vector<Filling> Flows;
  for (const auto &[Service, Decl] : D.Services_)
    for (const auto &[Origin, Region] : D.Regions_) {
      Filling F = startFilling(D, View, {Service, Origin});
      if (!F.Order_.empty())
        Flows.push_back(std::move(F));
    }
  std::map<RegionId, double> Credit = View.Credit_;
  for (std::size_t Round = 0; Round <= D.Regions_.size(); ++Round)
    fillRound(Flows, Credit, Round);
  if (!View.Limit_.empty()) {
    std::map<RegionId, double> Left = limitsLeft(Flows, View);
    for (std::size_t Round = 1; Round <= D.Regions_.size(); ++Round)
      fillRound(Flows, Left, Round);
  }
  std::map<Flow, RegionShares> Out;
  for (Filling &F : Flows) {
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
  return Demand != View.Demand_.end() && Demand->second >= CarriedRate;
}

std::set<Flow> hiddenFlows(const Declarations &D, const std::set<VmId> &Ready) {
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
  return firstChoice(D, Profile, preference(D, Profile, F.Origin_));
}

} // namespace lagoonpoint
