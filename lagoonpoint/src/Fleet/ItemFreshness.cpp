#include "lagoonpoint/src/Fleet/ItemFreshness.h"

#include <algorithm>
#include <functional>
#include <set>

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

bool contains(const std::vector<std::string> &Teams, const TeamId &Team) {
  return std::find(Teams.begin(), Teams.end(), Team.str()) != Teams.end();
}

/// \returns true if a core VM's log has no entry that this VM has not applied
/// and that could change the items in question.
/// \param Doubtful whether its unapplied entries concern these items
bool provesCurrent(const ItemFreshness &C, const LogProof &Proof,
                   bool Doubtful) {
  if (Proof.LastIndex_ <= C.AppliedIndex_)
    return true;
  return Proof.AppliedIndex_ <= C.AppliedIndex_ && !Doubtful;
}

/// \returns the time proven by the voters' own answers.
/// \param IsDoubtful see provesCurrent(), for a voter and its proof
template <class Predicate>
std::optional<Time> provenByQuorum(const ItemFreshness &C,
                                   const Predicate &IsDoubtful) {
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
    if (Proof.Disk_ == V.Disk_ &&
        provesCurrent(C, Proof, IsDoubtful(V.Vm_, Proof)))
      RequestTimes.push_back(Found->second.RequestedAt_);
  }
  if (RequestTimes.size() < C.VoterConfig_.quorum())
    return std::nullopt;
  std::sort(RequestTimes.begin(), RequestTimes.end(), std::greater<>());
  return RequestTimes[C.VoterConfig_.quorum() - 1];
}

std::optional<Time> provenByQuorum(const ItemFreshness &C, const TeamId &Team) {
  return provenByQuorum(C, [&](const VmId &, const LogProof &Proof) {
    return contains(Proof.UnappliedTeams_, Team);
  });
}

} // namespace

void recordRelay(ItemFreshness &C, const VmId &Core, Time RequestedAt,
                 const RelayedProof &Proof, Revision R) {
  Time ProvenAt = RequestedAt - Proof.Age_;
  ItemFreshness::Relay &Last = C.Relays_[Core];
  if (ProvenAt >= Last.ProvenAt_)
    Last = {ProvenAt, R, Proof.UnprovenTeams_};
}

std::optional<RelayedProof> relayedProof(const ItemFreshness &C, Time Now) {
  std::optional<Time> At = provenByQuorum(C, TeamId());
  if (!At)
    return std::nullopt;
  // After a restart all teams may be doubtful at all core VMs.
  std::map<std::string, std::set<VmId>> DoubtedBy;
  for (const auto &[Core, Answer] : C.Answers_)
    for (const std::string &Team : Answer.Proof_.UnappliedTeams_)
      DoubtedBy[Team].insert(Core);
  RelayedProof Out;
  Out.Age_ = Now - *At;
  for (const auto &[Team, Cores] : DoubtedBy) {
    const std::set<VmId> &Doubting = Cores;
    auto ProvenAt = provenByQuorum(C, [&](const VmId &Vm, const LogProof &) {
      return Doubting.count(Vm) != 0;
    });
    if (ProvenAt != At)
      Out.UnprovenTeams_.push_back(Team);
  }
  return Out;
}

std::optional<Time> provenCurrentAt(const ItemFreshness &C,
                                    const TeamId &Team) {
  std::optional<Time> Out = provenByQuorum(C, Team);
  for (const auto &[Core, Relay] : C.Relays_)
    if (Relay.Revision_ <= C.Revision_ && !contains(Relay.UnprovenTeams_, Team))
      Out = std::max(Out, std::optional(Relay.ProvenAt_));
  return Out;
}

} // namespace lagoonpoint
