#include "lagoonpoint/src/Placement/PoolMap.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <set>

namespace lagoonpoint {

namespace {

/// Half-lives of the demand that shares follow at all times, and of the demand
/// that they follow while some upstreams are used much more than others.
/// Following demand waves moves upstreams between regions, which makes their
/// objects cold; it pays only where calls would otherwise wait.
constexpr Duration SlowDemandHalfLife = Duration::seconds(60);
constexpr Duration FastDemandHalfLife = Duration::seconds(3);
/// Use of a region's upstreams, in relation to that of all, above which shares
/// follow the fast demand.
constexpr double HighUse = 1.6;
/// Fraction of the permitted shift that is used. A window of two seconds may
/// contain a whole step besides its own two seconds, and counts by chance.
constexpr double UsedShift = 0.6;
/// A step covers at most this time. The shares of a VM that was suspended for
/// longer would otherwise move by more than the permitted fraction at once.
constexpr Duration MaxStep = Duration::seconds(1);
/// Smaller shares have few upstreams, whose use says little.
constexpr double MinCheckedShare = 0.02;
/// Smaller fractions of a region's calls are rounding errors of the shares.
constexpr double MinFraction = 1e-9;
/// Makes the order of lending independent of the choice of the pool.
constexpr std::uint64_t LendingSalt = 0x6c656e64696e6721ULL;

/// Calls that the callers of a region send to one serving region.
struct ConsumerCalls {
  RegionId Consumer_;
  double Calls_ = 0;
};

double valueOf(const std::map<RegionId, double> &Values, const RegionId &R) {
  auto Found = Values.find(R);
  return Found == Values.end() ? 0 : Found->second;
}

double shareOf(const RegionFlows &Flows, const RegionId &Consumer,
               const RegionId &Serving) {
  auto Found = Flows.find(Consumer);
  if (Found == Flows.end() || Found->second.empty())
    return Consumer == Serving ? 1 : 0;
  return valueOf(Found->second, Serving);
}

/// \returns the consumers of a region in the order in which its upstreams are
/// divided among them. The region itself is in the middle, so that a change of
/// what it lends to one region does not move what it lends to another.
std::vector<ConsumerCalls> consumersOf(const PoolInputs &In,
                                       const RegionId &Serving) {
  std::vector<ConsumerCalls> Out;
  if (In.Demand_.count(Serving)) {
    for (const auto &[Region, Demand] : In.Demand_)
      if (Region != Serving)
        Out.push_back({Region, Demand * shareOf(In.Flows_, Region, Serving)});
    auto Middle = Out.begin() + static_cast<std::ptrdiff_t>(Out.size() / 2);
    Out.insert(Middle, {Serving, valueOf(In.Demand_, Serving) *
                                     shareOf(In.Flows_, Serving, Serving)});
  }
  double Sum = 0;
  for (const ConsumerCalls &C : Out)
    Sum += C.Calls_;
  std::erase_if(Out, [&](const ConsumerCalls &C) {
    return C.Calls_ <= Sum * MinFraction;
  });
  if (Out.empty())
    Out.push_back({Serving, 1});
  return Out;
}

/// Removes the consumers with the fewest calls until each of the others can get
/// an upstream.
void limitConsumers(std::vector<ConsumerCalls> &Consumers, std::size_t Limit) {
  while (Consumers.size() > Limit)
    Consumers.erase(std::min_element(
        Consumers.begin(), Consumers.end(),
        [](const auto &A, const auto &B) { return A.Calls_ < B.Calls_; }));
}

/// \returns for each consumer the index after its last upstream. Each gets
/// slots in proportion to its calls, and at least one upstream.
std::vector<std::size_t> divide(const std::vector<const PoolUpstream *> &Ranked,
                                const std::vector<ConsumerCalls> &Consumers) {
  double AllSlots = 0, AllCalls = 0;
  for (const PoolUpstream *U : Ranked)
    AllSlots += U->Slots_;
  for (const ConsumerCalls &C : Consumers)
    AllCalls += C.Calls_;
  std::vector<std::size_t> Ends;
  double Slots = 0, Calls = 0;
  std::size_t End = 0;
  for (std::size_t I = 0; I < Consumers.size(); ++I) {
    Calls += Consumers[I].Calls_;
    double Due = AllSlots * Calls / AllCalls;
    std::size_t Least = Ends.empty() ? 1 : Ends.back() + 1;
    std::size_t Most = Ranked.size() - (Consumers.size() - 1 - I);
    bool Last = I + 1 == Consumers.size();
    while (End < Most &&
           (Last || End < Least || Slots + Ranked[End]->Slots_ / 2.0 < Due))
      Slots += Ranked[End++]->Slots_;
    Ends.push_back(End);
  }
  return Ends;
}

/// \returns the upstreams of a region that the own region's callers use.
std::vector<const PoolUpstream *> lentUpstreams(
    const PoolInputs &In, const RegionId &Serving,
    std::vector<std::pair<std::uint64_t, const PoolUpstream *>> &Usable) {
  std::vector<ConsumerCalls> Consumers = consumersOf(In, Serving);
  limitConsumers(Consumers, Usable.size());
  auto Own = std::find_if(
      Consumers.begin(), Consumers.end(),
      [&](const ConsumerCalls &C) { return C.Consumer_ == In.Consumer_; });
  if (Own == Consumers.end())
    return {};
  std::sort(Usable.begin(), Usable.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first < B.first
                              : A.second->Id_ < B.second->Id_;
  });
  std::vector<const PoolUpstream *> Ranked;
  for (const auto &[Rank, U] : Usable)
    Ranked.push_back(U);
  std::vector<std::size_t> Ends = divide(Ranked, Consumers);
  auto I = static_cast<std::size_t>(Own - Consumers.begin());
  std::size_t Begin = I == 0 ? 0 : Ends[I - 1];
  return {Ranked.begin() + static_cast<std::ptrdiff_t>(Begin),
          Ranked.begin() + static_cast<std::ptrdiff_t>(Ends[I])};
}

/// \returns the position of the first choice among \p Hashes for a name.
std::size_t firstChoice(const std::vector<std::uint64_t> &Hashes,
                        std::uint64_t NameHash) {
  std::uint64_t Mixed = internal::mixBits(NameHash);
  std::size_t Best = 0;
  std::uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < Hashes.size(); ++I) {
    std::uint64_t Weight = internal::mixBits(Hashes[I] ^ Mixed);
    if (Weight > BestWeight) {
      Best = I;
      BestWeight = Weight;
    }
  }
  return Best;
}

/// Divides the upstreams of one serving region into pools.
void addPools(PoolMap &M, const PoolInputs &In, const RegionId &Serving,
              const std::vector<const PoolUpstream *> &Upstreams,
              const std::vector<std::uint64_t> &VmHashes) {
  unsigned Slots = 0;
  for (const PoolUpstream *U : Upstreams)
    Slots += U->Slots_;
  unsigned PoolSlots = std::max(In.PoolSlots_, 1U);
  unsigned Count = std::max((Slots + PoolSlots - 1) / PoolSlots, 1U);
  std::vector<std::uint64_t> Indices(Count);
  for (unsigned I = 0; I < Count; ++I)
    Indices[I] = I;
  std::string Prefix = In.Service_.str() + "/" + Serving.str() + "/";
  auto &Members = M.Members_[Serving];
  Members.reserve(Upstreams.size());
  for (const PoolUpstream *U : Upstreams) {
    auto Index = static_cast<unsigned>(firstChoice(Indices, U->IdHash_));
    Members.push_back({U->IdHash_, U->Slots_, Index});
    PoolKey Key{In.Service_, Serving, Index};
    Pool &P = M.Pools_[Key];
    if (P.Members_.empty()) {
      P.Key_ = Key;
      if (!VmHashes.empty())
        P.Holder_ = In.EntryVms_[firstChoice(
            VmHashes, rendezvousHash(Prefix + std::to_string(Index)))];
    }
    P.Members_.push_back(*U);
  }
}

/// Smooths the regions' fractions of the demand. Regions without a rate are
/// left out at once.
void smoothFractions(std::map<RegionId, double> &Fractions,
                     const std::map<RegionId, double> &Rates, Duration Elapsed,
                     Duration HalfLife) {
  std::erase_if(Fractions,
                [&](const auto &Part) { return !Rates.count(Part.first); });
  smoothDemand(Fractions, Rates, Elapsed, HalfLife);
}

/// \returns the use of each region's upstreams in relation to that of all.
std::map<RegionId, double>
useByRegion(const FlowState &S, const std::map<RegionId, double> &Slots) {
  double AllSlots = 0;
  for (const auto &[Region, Count] : Slots)
    AllSlots += Count;
  std::map<RegionId, double> Use;
  for (const auto &[Serving, Count] : Slots) {
    for (const auto &[Consumer, Demand] : S.FastDemand_)
      Use[Serving] += Demand * shareOf(S.Flows_, Consumer, Serving);
    Use[Serving] *= AllSlots / std::max(Count, 1e-9);
  }
  return Use;
}

/// Leaves only those changes of a region's shares that take calls from the most
/// used regions. The others would use up the permitted shift.
RegionShares relievingTarget(const RegionShares &Now,
                             const RegionShares &Target,
                             const std::map<RegionId, double> &Use) {
  double Highest = 1;
  for (const auto &[Region, Relative] : Use)
    Highest = std::max(Highest, Relative);
  RegionShares Out = Now;
  double Taken = 0, Room = 0;
  for (const auto &[Region, Share] : Target) {
    double Change = Share - valueOf(Now, Region);
    bool IsHigh = valueOf(Use, Region) >= 1 + (Highest - 1) / 2;
    if (Change < 0 && IsHigh)
      Taken -= Change;
    if (Change > 0 && !IsHigh)
      Room += Change;
  }
  if (Taken <= 0 || Room <= 0)
    return Target;
  double Moved = std::min(Taken, Room);
  for (const auto &[Region, Share] : Target) {
    double Change = Share - valueOf(Now, Region);
    bool IsHigh = valueOf(Use, Region) >= 1 + (Highest - 1) / 2;
    if (Change < 0 && IsHigh)
      Out[Region] += Change * Moved / Taken;
    if (Change > 0 && !IsHigh)
      Out[Region] += Change * Moved / Room;
  }
  return Out;
}

/// \returns the highest use of the upstreams that a region lends to another or
/// keeps, in relation to the use of all, with the fast demand.
double highestUse(const FlowState &S, const std::map<RegionId, double> &Slots) {
  double AllSlots = 0;
  for (const auto &[Region, Count] : Slots)
    AllSlots += Count;
  if (AllSlots <= 0)
    return 0;
  double Highest = 0;
  for (const auto &[Serving, Count] : Slots) {
    double Divided = 0; // calls by which the upstreams are divided
    for (const auto &[Consumer, Demand] : S.Demand_)
      Divided += Demand * shareOf(S.Flows_, Consumer, Serving);
    for (const auto &[Consumer, Demand] : S.FastDemand_) {
      double Share = shareOf(S.Flows_, Consumer, Serving);
      if (Share < MinCheckedShare)
        continue;
      double Lent = Count * valueOf(S.Demand_, Consumer) * Share / Divided;
      Highest = std::max(Highest, Demand * Share / std::max(Lent, 1e-9));
    }
  }
  return Highest * AllSlots;
}

} // namespace

void stepFlows(FlowState &S, const std::map<RegionId, double> &Slots,
               const std::map<RegionId, double> &Rates, double MaxRegionShift,
               Duration Elapsed) {
  double Total = 0;
  for (const auto &[Region, Rate] : Rates)
    Total += Rate;
  // A core VM that has just started reports no calls either.
  if (Total <= 0 && S.HadCalls_)
    return;
  S.HadCalls_ = S.HadCalls_ || Total > 0;
  // Upstreams and regions become known one by one. Until there are calls, whose
  // objects would change region, the shares follow at once.
  if (Total <= 0)
    S = FlowState();
  smoothFractions(S.Demand_, Rates, Elapsed, SlowDemandHalfLife);
  smoothFractions(S.FastDemand_, Rates, Elapsed, FastDemandHalfLife);
  std::map<RegionId, double> Lendable;
  for (const auto &[Region, Count] : Slots)
    if (Rates.count(Region))
      Lendable[Region] = Count;
  bool Relieve = highestUse(S, Lendable) > HighUse;
  if (Relieve)
    S.Demand_ = S.FastDemand_;
  std::map<RegionId, double> Use = useByRegion(S, Lendable);
  double MaxMoved =
      MaxRegionShift / 2 * UsedShift * std::min(Elapsed, MaxStep).inSeconds();
  std::set<RegionId> Regions;
  for (const auto &[Region, Rate] : Rates)
    Regions.insert(Region);
  for (const auto &[Region, Count] : Slots)
    Regions.insert(Region);
  for (const RegionId &Region : Regions) {
    RegionShares Target =
        targetShares(Region, Rates.count(Region) ? Lendable : Slots, S.Demand_);
    if (Target.empty())
      continue;
    RegionShares &Flow = S.Flows_[Region];
    if (Relieve && !Flow.empty())
      Target = relievingTarget(Flow, Target, Use);
    Flow = stepTowards(Flow, Target, MaxMoved);
  }
}

PoolMap makePoolMap(const PoolInputs &In) {
  PoolMap M;
  M.Service_ = In.Service_;
  std::map<RegionId,
           std::vector<std::pair<std::uint64_t, const PoolUpstream *>>>
      Usable;
  for (const PlacedUpstream &U : In.Upstreams_)
    if (U.Upstream_.Usable_)
      Usable[U.Region_].push_back(
          {internal::mixBits(U.Upstream_.IdHash_ ^ LendingSalt), &U.Upstream_});
  std::vector<std::uint64_t> VmHashes;
  for (const VmId &Vm : In.EntryVms_)
    VmHashes.push_back(rendezvousHash(Vm.str()));
  for (auto &[Serving, Ranked] : Usable) {
    auto Lent = lentUpstreams(In, Serving, Ranked);
    if (!Lent.empty())
      addPools(M, In, Serving, Lent, VmHashes);
  }
  return M;
}

const Pool *findPool(const PoolMap &M, const RegionId &Serving,
                     const std::string &Object, const std::string &Spread) {
  auto Found = M.Members_.find(Serving);
  if (Found == M.Members_.end())
    return nullptr;
  std::uint64_t Hash = rendezvousHash(Object.empty() ? Spread : Object);
  const PoolMap::Member *Best = nullptr;
  double BestWeight = 0;
  for (const PoolMap::Member &Member : Found->second) {
    double Weight = rendezvousWeight(Hash, Member.IdHash_, Member.Slots_);
    if (!Best || Weight > BestWeight) {
      Best = &Member;
      BestWeight = Weight;
    }
  }
  if (!Best)
    return nullptr;
  auto Chosen = M.Pools_.find({M.Service_, Serving, Best->Pool_});
  return Chosen == M.Pools_.end() ? nullptr : &Chosen->second;
}

} // namespace lagoonpoint
