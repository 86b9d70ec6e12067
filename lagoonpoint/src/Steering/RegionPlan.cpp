#include "lagoonpoint/src/Steering/RegionPlan.h"

#include <utility>

namespace lagoonpoint {

namespace {

/// A shift that nothing presses is made in this many steps per interval.
constexpr int GentleSteps = 10;
/// A row follows another VM for this many of its messages.
constexpr int HeardFor = 3;
/// Distances below this are noise of demand and credit.
constexpr double LeastShift = 0.01;

ShiftRules rulesOf(const Declarations &D, const ServiceId &Service) {
  const ProfileDecl &P = D.Profiles_.at(D.Services_.at(Service).Profile_);
  return {P.ShiftCap_, P.ShiftEvery_};
}

/// \returns the regions of a row that can't serve its flow now.
std::set<RegionId> unusable(const Flow &F, const RegionShares &Row,
                            const SteeringView &View) {
  std::set<RegionId> Out;
  for (const auto &[Region, Share] : Row)
    if (!View.Usable_.count({F.Service_, Region}))
      Out.insert(Region);
  return Out;
}

/// A region that the target leaves is emptied to the last request.
bool leavesRegion(const RegionShares &Row, const RegionShares &Target) {
  return std::any_of(Row.begin(), Row.end(), [&](const auto &E) {
    return shareOf(Target, E.first) == 0;
  });
}

/// \returns how much of a row may move in this step.
double stepOf(const RegionPlan::Row &Row, const RegionShares &Target,
              const std::set<RegionId> &Urgent, const ShiftRules &Rules,
              Time Now) {
  double Allowed = allowedNow(Row.Ledger_, Rules, Now);
  if (!Urgent.empty())
    return Allowed;
  const std::deque<ShiftLedger::Move> &Moves = Row.Ledger_.Moves_;
  if (!Moves.empty() && Moves.back().At_ > Now - Rules.Every_ / GentleSteps)
    return 0;
  double Distance = distance(Row.Shares_, Target);
  if (Distance < LeastShift && !leavesRegion(Row.Shares_, Target))
    return 0;
  return std::min(Allowed, Rules.Cap_ / GentleSteps);
}

/// \returns whether a row stays as it is, for the VMs that carry its flow to
/// move it.
bool isLedByOthers(const RegionPlan::Row &Row, const Flow &F,
                   const SteeringView &View, Time Now) {
  if (carries(View, F))
    return false;
  bool Heard = Row.HeardAt_ && *Row.HeardAt_ > Now - PlanEvery * HeardFor;
  return Heard || View.Hidden_.count(F);
}

void advanceRow(RegionPlan::Row &Row, const Flow &F, const RegionShares &Target,
                const Declarations &D, const SteeringView &View, Time Now) {
  ShiftRules Rules = rulesOf(D, F.Service_);
  std::set<RegionId> Urgent = unusable(F, Row.Shares_, View);
  double Step = stepOf(Row, Target, Urgent, Rules, Now);
  if (Step <= 0)
    return;
  double Moved = moveTowards(Row.Shares_, Target, Step, Urgent);
  if (Moved > 0)
    recordMove(Row.Ledger_, Rules, std::min(Moved, Step), Now);
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
  for (const auto &[F, Target] : targets(D, View)) {
    RegionPlan::Row &Row = Plan.Rows_.at(F);
    if (Row.Shares_.empty())
      Row.Shares_ = Target;
    if (!isLedByOthers(Row, F, View, Now))
      advanceRow(Row, F, Target, D, View, Now);
  }
}

PlanCopy copyOf(const RegionPlan &Plan, const SteeringView &View, Time Now) {
  PlanCopy Out;
  for (const auto &[F, Row] : Plan.Rows_) {
    PlanCopy::Row Copy{F.Service_, F.Origin_, {}, copyOf(Row.Ledger_, Now), 0};
    auto Demand = View.Demand_.find(F);
    if (Demand != View.Demand_.end())
      Copy.Rate_ = Demand->second;
    for (const auto &[Region, Share] : Row.Shares_)
      Copy.Parts_.push_back({Region, Share});
    Out.Rows_.push_back(std::move(Copy));
  }
  return Out;
}

RegionPlan planOf(const PlanCopy &Copy, Time Now) {
  RegionPlan Out;
  for (const PlanCopy::Row &Row : Copy.Rows_) {
    RegionPlan::Row Into{{}, ledgerOf(Row.Ledger_, Now), {}};
    for (const PlanCopy::Part &Part : Row.Parts_)
      Into.Shares_[Part.Region_] = Part.Share_;
    checkShares(Into.Shares_);
    Out.Rows_[{Row.Service_, Row.Origin_}] = std::move(Into);
  }
  return Out;
}

void hear(RegionPlan &Plan, const PlanCopy &Copy, const SteeringView &View,
          Time Now) {
  RegionPlan Theirs = planOf(Copy, Now);
  for (const PlanCopy::Row &Row : Copy.Rows_) {
    Flow F{Row.Service_, Row.Origin_};
    auto Mine = Plan.Rows_.find(F);
    if (Row.Rate_ < CarriedRate || carries(View, F) || Mine == Plan.Rows_.end())
      continue;
    Mine->second = Theirs.Rows_.at(F);
    Mine->second.HeardAt_ = Now;
  }
}

} // namespace lagoonpoint
