#include "lagoonpoint/src/Steering/RegionPlan.h"

#include <utility>

namespace lagoonpoint {

namespace {

/// Number of steps per interval in which a shift is made that is not urgent.
constexpr int StepsPerInterval = 10;
/// A row follows another VM for this many update intervals.
constexpr int FollowedUpdates = 3;
/// Smaller distances are noise in demand and credit and cause no shift.
constexpr double MinShift = 0.01;

ShiftLimit shiftLimitOf(const Declarations &D, const ServiceId &Service) {
  const ProfileDecl &P = D.Profiles_.at(D.Services_.at(Service).Profile_);
  return {P.ShiftCap_, P.ShiftEvery_};
}

/// \returns the regions of a row that cannot serve its flow now.
std::set<RegionId> unusableRegions(const Flow &F, const RegionShares &Row,
                                   const SteeringView &View) {
  std::set<RegionId> Out;
  for (const auto &[Region, Share] : Row)
    if (!View.Usable_.count({F.Service_, Region}))
      Out.insert(Region);
  return Out;
}

/// \returns whether the target no longer uses a region of the row. Such a
/// region is drained completely, also by steps below MinShift.
bool leavesRegion(const RegionShares &Row, const RegionShares &Target) {
  return std::any_of(Row.begin(), Row.end(), [&](const auto &E) {
    return shareOf(Target, E.first) == 0;
  });
}

/// \returns the fraction of a row that may move in this step.
double stepSize(const RegionPlan::Row &Row, const RegionShares &Target,
                const std::set<RegionId> &Urgent, const ShiftLimit &Limit,
                Time Now) {
  double Allowed = allowedShift(Row.History_, Limit, Now);
  if (!Urgent.empty())
    return Allowed;
  const std::deque<ShiftHistory::Shift> &Moves = Row.History_.Shifts_;
  if (!Moves.empty() &&
      Moves.back().At_ > Now - Limit.Interval_ / StepsPerInterval)
    return 0;
  double Distance = distance(Row.Shares_, Target);
  if (Distance < MinShift && !leavesRegion(Row.Shares_, Target))
    return 0;
  return std::min(Allowed, Limit.Cap_ / StepsPerInterval);
}

/// \returns whether a row is left to the VMs that carry its flow.
bool followsPeers(const RegionPlan::Row &Row, const Flow &F,
                  const SteeringView &View, Time Now) {
  if (carries(View, F))
    return false;
  bool IsFollowing = Row.FollowedAt_ &&
                     *Row.FollowedAt_ > Now - PlanInterval * FollowedUpdates;
  return IsFollowing || View.UnreachableFlows_.count(F);
}

void advanceRow(RegionPlan::Row &Row, const Flow &F, const RegionShares &Target,
                const Declarations &D, const SteeringView &View, Time Now) {
  ShiftLimit Limit = shiftLimitOf(D, F.Service_);
  std::set<RegionId> Urgent = unusableRegions(F, Row.Shares_, View);
  double Step = stepSize(Row, Target, Urgent, Limit, Now);
  if (Step <= 0)
    return;
  double Moved = moveTowards(Row.Shares_, Target, Step, Urgent);
  if (Moved > 0)
    recordShift(Row.History_, Limit, std::min(Moved, Step), Now);
}

} // namespace

void advance(RegionPlan &Plan, const Declarations &D, const SteeringView &View,
             Time Now) {
  std::erase_if(Plan.Rows_, [&](const auto &E) {
    return !D.Services_.count(E.first.Service_) ||
           !D.Regions_.count(E.first.Origin_);
  });
  for (const auto &[Service, Decl] : D.Services_)
    for (const auto &[Origin, Region] : D.Regions_) {
      Flow F{Service, Origin};
      if (!Plan.Rows_.count(F))
        Plan.Rows_[F].Shares_ = declaredTarget(D, F);
    }
  for (const auto &[F, Target] : targetsByFlow(D, View)) {
    RegionPlan::Row &Row = Plan.Rows_.at(F);
    if (Row.Shares_.empty())
      Row.Shares_ = Target;
    if (!followsPeers(Row, F, View, Now))
      advanceRow(Row, F, Target, D, View, Now);
  }
}

RegionPlanSnapshot snapshotOf(const RegionPlan &Plan, const SteeringView &View,
                              Time Now) {
  RegionPlanSnapshot Out;
  for (const auto &[F, Row] : Plan.Rows_) {
    RegionPlanSnapshot::Row Snapshot{
        F.Service_, F.Origin_, {}, snapshotOf(Row.History_, Now), 0};
    auto Demand = View.Demand_.find(F);
    if (Demand != View.Demand_.end())
      Snapshot.Rate_ = Demand->second;
    for (const auto &[Region, Share] : Row.Shares_)
      Snapshot.Entries_.push_back({Region, Share});
    Out.Rows_.push_back(std::move(Snapshot));
  }
  return Out;
}

RegionPlan restorePlan(const RegionPlanSnapshot &Snapshot, Time Now) {
  RegionPlan Out;
  for (const RegionPlanSnapshot::Row &Row : Snapshot.Rows_) {
    RegionPlan::Row Into{{}, restoreHistory(Row.History_, Now), {}};
    for (const RegionPlanSnapshot::Entry &Part : Row.Entries_)
      Into.Shares_[Part.Region_] = Part.Share_;
    checkShares(Into.Shares_);
    Out.Rows_[{Row.Service_, Row.Origin_}] = std::move(Into);
  }
  return Out;
}

void applyPeerUpdate(RegionPlan &Plan, const RegionPlanSnapshot &Snapshot,
                     const SteeringView &View, Time Now) {
  RegionPlan PeerPlan = restorePlan(Snapshot, Now);
  for (const RegionPlanSnapshot::Row &Row : Snapshot.Rows_) {
    Flow F{Row.Service_, Row.Origin_};
    auto Own = Plan.Rows_.find(F);
    if (Row.Rate_ < MinCarriedRate || carries(View, F) ||
        Own == Plan.Rows_.end())
      continue;
    Own->second = PeerPlan.Rows_.at(F);
    Own->second.FollowedAt_ = Now;
  }
}

} // namespace lagoonpoint
