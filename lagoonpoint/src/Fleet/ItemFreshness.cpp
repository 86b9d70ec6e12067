#include "lagoonpoint/src/Fleet/ItemFreshness.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint {

void record(ItemFreshness &C, const VmId &Core, Time RequestedAt,
            const LogProof &Proof) {
  ItemFreshness::Answer &A = C.Answers_[Core];
  if (RequestedAt >= A.RequestedAt_)
    A = {RequestedAt, Proof};
  if (Proof.VoterConfig_.empty() ||
      Proof.VoterConfigIndex_ < C.VoterConfigIndex_)
    return;
  C.VoterConfigIndex_ = Proof.VoterConfigIndex_;
  C.VoterConfig_ = Proof.VoterConfig_.front();
}

namespace {

/// \returns true if a core VM's log has no entry that this VM has not applied
/// and that could change the team's items.
bool provesCurrent(const ItemFreshness &C, const LogProof &Proof,
                   const TeamId &Team) {
  if (Proof.LastIndex_ <= C.AppliedIndex_)
    return true;
  const std::vector<std::string> &Doubtful = Proof.UnappliedTeams_;
  return Proof.AppliedIndex_ <= C.AppliedIndex_ &&
         std::find(Doubtful.begin(), Doubtful.end(), Team.str()) ==
             Doubtful.end();
}

} // namespace

std::optional<Time> provenCurrentAt(const ItemFreshness &C,
                                    const TeamId &Team) {
  if (C.VoterConfig_.Voters_.empty())
    return std::nullopt;
  std::vector<Time> RequestTimes;
  for (const Voter &V : C.VoterConfig_.Voters_) {
    auto Found = C.Answers_.find(V.Vm_);
    if (Found == C.Answers_.end())
      continue;
    const LogProof &Proof = Found->second.Proof_;
    // Newer voters exist: no proof until their configuration is received.
    if (Proof.VoterConfigIndex_ > C.VoterConfigIndex_)
      return std::nullopt;
    if (Proof.Disk_ == V.Disk_ && provesCurrent(C, Proof, Team))
      RequestTimes.push_back(Found->second.RequestedAt_);
  }
  if (RequestTimes.size() < C.VoterConfig_.quorum())
    return std::nullopt;
  std::sort(RequestTimes.begin(), RequestTimes.end(), std::greater<>());
  return RequestTimes[C.VoterConfig_.quorum() - 1];
}

} // namespace lagoonpoint
