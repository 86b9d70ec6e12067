#include "lagoonpoint/src/Fleet/Currency.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint {

void note(Currency &C, const VmId &Core, Time AskedAt, const LogProof &Proof) {
  Currency::Answer &A = C.Answers_[Core];
  if (AskedAt >= A.AskedAt_)
    A = {AskedAt, Proof};
  if (Proof.Config_.empty() || Proof.ConfigAt_ < C.ConfigAt_)
    return;
  C.ConfigAt_ = Proof.ConfigAt_;
  C.Config_ = Proof.Config_.front();
}

namespace {

/// True if a core VM has nothing on its disk that this VM lacks and that could
/// change the team's items.
bool vouches(const Currency &C, const LogProof &Proof, const TeamId &Team) {
  if (Proof.Last_ <= C.Applied_)
    return true;
  const std::vector<std::string> &Doubtful = Proof.Doubtful_;
  return Proof.Applied_ <= C.Applied_ &&
         std::find(Doubtful.begin(), Doubtful.end(), Team.str()) ==
             Doubtful.end();
}

} // namespace

std::optional<Time> provenAt(const Currency &C, const TeamId &Team) {
  if (C.Config_.Voters_.empty())
    return std::nullopt;
  std::vector<Time> Asked;
  for (const Voter &V : C.Config_.Voters_) {
    auto Found = C.Answers_.find(V.Vm_);
    if (Found == C.Answers_.end())
      continue;
    const LogProof &Proof = Found->second.Proof_;
    // An answer that knows of newer voters has to bring them first.
    if (Proof.ConfigAt_ > C.ConfigAt_)
      return std::nullopt;
    if (Proof.Disk_ == V.Disk_ && vouches(C, Proof, Team))
      Asked.push_back(Found->second.AskedAt_);
  }
  if (Asked.size() < C.Config_.quorum())
    return std::nullopt;
  std::sort(Asked.begin(), Asked.end(), std::greater<>());
  return Asked[C.Config_.quorum() - 1];
}

} // namespace lagoonpoint
