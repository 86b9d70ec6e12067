#include "lagoonpoint/src/Admission/SlotQueue.h"

#include <algorithm>
#include <tuple>

namespace lagoonpoint {

namespace {

/// Smallest fraction of the slots that a class is assumed to get.
constexpr double MinShare = 0.02;

/// Order of service among calls of which neither is due by LowestShare.
auto orderKey(const SlotDemand &D, Time Now) {
  return std::tuple(isOverdue(D, Now), D.Priority_, !D.IsRetry_, D.Deadline_,
                    D.QueuedAt_);
}

/// \returns the highest of the priorities that were passed over often enough,
/// or none.
const unsigned *passedOver(const SlotQueue &Q) {
  for (const auto &[Priority, Grants] : Q.Passed_)
    if (Grants + 1 >= SlotQueue::LowestShare)
      return &Priority;
  return nullptr;
}

double useBefore(const SlotSupply &Supply, ServiceClass Class) {
  double Sum = 0;
  for (auto It = Supply.Use_.begin();
       It != Supply.Use_.end() && It->first < Class; ++It)
    Sum += It->second;
  return Sum;
}

double useOfClass(const SlotSupply &Supply, ServiceClass Class) {
  auto Found = Supply.Use_.find(Class);
  return Found == Supply.Use_.end() ? 0 : Found->second;
}

/// \returns the expected wait of a call that is served as an overdue one or
/// as one that is not.
Duration waitInClass(const SlotQueue &Q, const SlotDemand &D,
                     const SlotSupply &Supply, bool AsOverdue, Time Now) {
  auto Key = orderKey(D, Now);
  std::get<0>(Key) = AsOverdue;
  // Of calls that are equal in all this, the ones in the queue came first.
  auto Precedes = [&](const SlotDemand &Other) {
    return (Other.From_ != D.From_ || Other.Number_ != D.Number_) &&
           orderKey(Other, Now) <= Key;
  };
  // With all slots in use, the next one becomes free after one run's part.
  double Ahead = Supply.Free_ < 1 ? D.Run_.inSeconds() : 0; // slot seconds
  double OwnAhead = Ahead; // of the same priority
  for (const SlotDemand &Other : Q.Waiting_)
    if (Precedes(Other)) {
      Ahead += Other.Run_.inSeconds();
      OwnAhead += Other.Priority_ == D.Priority_ ? Other.Run_.inSeconds() : 0;
    }
  double Share = 1 - useBefore(Supply, {AsOverdue, D.Priority_});
  // What LowestShare guarantees goes to the calls that are not overdue first.
  double OwnShare = 1.0 / SlotQueue::LowestShare -
                    (AsOverdue ? useOfClass(Supply, {false, D.Priority_}) : 0);
  double Seconds = std::min(Ahead / std::max(MinShare, Share),
                            OwnAhead / std::max(MinShare, OwnShare)) /
                   Supply.Slots_;
  if (D.IsReserved_ && Supply.ReservedShare_ > 0) {
    double ReservedAhead = Supply.Free_ < 1 ? D.Run_.inSeconds() : 0;
    for (const SlotDemand &Other : Q.Waiting_)
      ReservedAhead +=
          Other.IsReserved_ && Precedes(Other) ? Other.Run_.inSeconds() : 0;
    Seconds = std::min(Seconds,
                       ReservedAhead / Supply.ReservedShare_ / Supply.Slots_);
  }
  return Duration::millis(static_cast<std::int64_t>(Seconds * 1000));
}

} // namespace

Time callerDeadline(const SlotDemand &D) {
  return D.CallerDeadline_ == Time() ? D.Deadline_ : D.CallerDeadline_;
}

bool isOverdue(const SlotDemand &D, Time Now) {
  return Now + D.ShortestRun_ > D.ObjectiveAt_;
}

void enqueue(SlotQueue &Q, SlotDemand D, Time Now) {
  D.QueuedAt_ = Now;
  Q.Passed_.emplace(D.Priority_, 0);
  Q.Waiting_.push_back(std::move(D));
}

bool cancel(SlotQueue &Q, const VmId &From, std::uint64_t Number) {
  return std::erase_if(Q.Waiting_, [&](const SlotDemand &D) {
           return D.From_ == From && D.Number_ == Number;
         }) > 0;
}

std::vector<std::size_t> serviceOrder(const SlotQueue &Q, Time Now) {
  using Entry = std::pair<decltype(orderKey({}, Now)), std::size_t>;
  std::vector<Entry> Keys;
  Keys.reserve(Q.Waiting_.size());
  for (std::size_t I = 0; I < Q.Waiting_.size(); ++I)
    Keys.push_back({orderKey(Q.Waiting_[I], Now), I});
  std::sort(Keys.begin(), Keys.end());
  std::vector<std::size_t> Order;
  Order.reserve(Keys.size());
  for (const Entry &E : Keys)
    Order.push_back(E.second);
  const unsigned *First = passedOver(Q);
  if (!First)
    return Order;
  auto Due = std::find_if(Order.begin(), Order.end(), [&](std::size_t I) {
    return Q.Waiting_[I].Priority_ == *First;
  });
  if (Due != Order.end())
    std::rotate(Order.begin(), Due, std::next(Due));
  return Order;
}

void recordGrant(SlotQueue &Q, unsigned Priority) {
  std::set<unsigned> WaitingPriorities;
  for (const SlotDemand &D : Q.Waiting_)
    WaitingPriorities.insert(D.Priority_);
  std::erase_if(Q.Passed_, [&](const auto &Entry) {
    return !WaitingPriorities.count(Entry.first);
  });
  for (auto &[Other, Grants] : Q.Passed_)
    Grants = Other == Priority ? 0 : Grants + 1;
}

Duration expectedWait(const SlotQueue &Q, const SlotDemand &D,
                      const SlotSupply &Supply, Time Now) {
  if (Supply.Slots_ <= 0)
    return D.Deadline_ - Now;
  Duration Wait = waitInClass(Q, D, Supply, isOverdue(D, Now), Now);
  if (!isOverdue(D, Now) && isOverdue(D, Now + Wait))
    return std::max(Wait, waitInClass(Q, D, Supply, true, Now));
  return Wait;
}

bool hasChance(const SlotDemand &D, Duration Wait, Time Now) {
  return Now + Wait + D.Run_ <= D.Deadline_;
}

bool isHopeless(const SlotDemand &D, Time Now) {
  return Now + D.ShortestRun_ > D.Deadline_;
}

std::vector<SlotDemand> takeHopeless(SlotQueue &Q, Time Now) {
  std::vector<SlotDemand> Out;
  for (const SlotDemand &D : Q.Waiting_)
    if (isHopeless(D, Now))
      Out.push_back(D);
  if (Out.empty())
    return Out;
  std::erase_if(Q.Waiting_,
                [&](const SlotDemand &D) { return isHopeless(D, Now); });
  return Out;
}

} // namespace lagoonpoint
