#include "lagoonpoint/src/Fleet/Currency.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint {

namespace {

/// The newest configuration of the voters that any answer names.
const VoterConfig *newestConfig(const Currency &C) {
  const Currency::Answer *Newest = nullptr;
  for (const auto &[Vm, A] : C.Answers_)
    if (!A.Proof_.Config_.Voters_.empty() &&
        (!Newest || A.Proof_.ConfigAt_ > Newest->Proof_.ConfigAt_))
      Newest = &A;
  return Newest ? &Newest->Proof_.Config_ : nullptr;
}

} // namespace

void note(Currency &C, const VmId &Core, Time AskedAt, const LogProof &Proof) {
  Currency::Answer &A = C.Answers_[Core];
  if (AskedAt >= A.AskedAt_)
    A = {AskedAt, Proof};
}

std::optional<Time> provenAt(const Currency &C) {
  const VoterConfig *Config = newestConfig(C);
  if (!Config)
    return std::nullopt;
  std::vector<Time> Asked;
  for (const Voter &V : Config->Voters_) {
    auto Found = C.Answers_.find(V.Vm_);
    if (Found == C.Answers_.end())
      continue;
    const LogProof &Proof = Found->second.Proof_;
    if (Proof.Disk_ == V.Disk_ && Proof.Last_ <= C.Applied_)
      Asked.push_back(Found->second.AskedAt_);
  }
  if (Asked.size() < Config->quorum())
    return std::nullopt;
  std::sort(Asked.begin(), Asked.end(), std::greater<>());
  return Asked[Config->quorum() - 1];
}

} // namespace lagoonpoint
