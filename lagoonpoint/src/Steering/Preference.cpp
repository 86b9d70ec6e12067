#include "lagoonpoint/src/Steering/Preference.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace lagoonpoint {

namespace {

const LinkDecl *linkOf(const Declarations &D, const RegionId &From,
                       const RegionId &To) {
  for (const LinkDecl &L : D.Links_)
    if (L.From_ == From && L.To_ == To)
      return &L;
  return nullptr;
}

/// Cost of serving callers of one region in another, in both directions.
struct RoundTripCost {
  double Cents_ = 0;
  Duration Latency_;
};

std::optional<RoundTripCost>
roundTripCost(const Declarations &D, const RegionId &From, const RegionId &To) {
  if (From == To)
    return RoundTripCost();
  const LinkDecl *There = linkOf(D, From, To);
  const LinkDecl *Back = linkOf(D, To, From);
  if (!There || !Back)
    return {};
  return RoundTripCost{There->Price_.centsPerGigabyte() +
                           Back->Price_.centsPerGigabyte(),
                       There->Latency_ + Back->Latency_};
}

bool isIn(const std::vector<RegionId> &List, const RegionId &R) {
  return std::find(List.begin(), List.end(), R) != List.end();
}

struct Candidate {
  RegionId Region_;
  RoundTripCost Cost_;
};

bool isBetter(Objective O, const Candidate &A, const Candidate &B) {
  double CentsA = O == Objective::Cheapest ? A.Cost_.Cents_ : 0;
  double CentsB = O == Objective::Cheapest ? B.Cost_.Cents_ : 0;
  return std::tie(CentsA, A.Cost_.Latency_, A.Region_) <
         std::tie(CentsB, B.Cost_.Latency_, B.Region_);
}

std::vector<Candidate> candidates(const Declarations &D, const ProfileDecl &P,
                                  const RegionId &Origin) {
  std::vector<Candidate> Out;
  for (const auto &[Id, Region] : D.Regions_)
    if (mayServe(D, P, Id))
      if (auto Remote = roundTripCost(D, Origin, Id))
        Out.push_back({Id, *Remote});
  std::sort(Out.begin(), Out.end(),
            [&](const Candidate &A, const Candidate &B) {
              return isBetter(P.Objective_, A, B);
            });
  return Out;
}

} // namespace

bool mayServe(const Declarations &D, const ProfileDecl &P, const RegionId &R) {
  auto Region = D.Regions_.find(R);
  if (Region == D.Regions_.end() || Region->second.Drained_)
    return false;
  return !isIn(P.Avoid_, R) && (P.Allowed_.empty() || isIn(P.Allowed_, R));
}

std::optional<Duration> latencyBetween(const Declarations &D,
                                       const RegionId &From,
                                       const RegionId &To) {
  auto Cost = roundTripCost(D, From, To);
  return Cost ? std::optional(Cost->Latency_ / 2) : std::nullopt;
}

std::vector<RegionId> regionPreference(const Declarations &D,
                                       const ProfileDecl &P,
                                       const RegionId &Origin) {
  std::vector<Candidate> All = candidates(D, P, Origin);
  std::vector<RegionId> Out;
  auto Append = [&](const RegionId &R) {
    bool Known = std::any_of(All.begin(), All.end(), [&](const Candidate &C) {
      return C.Region_ == R;
    });
    if (Known && !isIn(Out, R))
      Out.push_back(R);
  };
  if (!All.empty())
    Append(All.front().Region_);
  for (const RegionId &R : P.Fallback_)
    Append(R);
  for (const Candidate &C : All)
    Append(C.Region_);
  return Out;
}

} // namespace lagoonpoint
