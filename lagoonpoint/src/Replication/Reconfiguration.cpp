#include "lagoonpoint/src/Replication/Reconfiguration.h"

#include "lagoonpoint/src/Replication/util/Leader.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

ProposeRefusal checkReconfiguration(const ReplicaState &S) {
  if (S.Role_ != ReplicaRole::Leader)
    return ProposeRefusal::NotLeader;
  if (S.Log_.configIndex() > S.Commit_ || S.Commit_ < S.TermStart_)
    return ProposeRefusal::ChangeInProgress;
  return ProposeRefusal::None;
}

bool hasLiveQuorum(const ReplicaState &S, const VoterConfig &Config, Time Now) {
  auto Live = std::count_if(
      Config.Voters_.begin(), Config.Voters_.end(),
      [&](const Voter &V) { return internal::isInContact(S, V, Now); });
  return static_cast<std::size_t>(Live) >= Config.quorum();
}

ProposeResult refuse(const ReplicaState &S, ProposeRefusal Refusal) {
  return {Refusal, LogIndex(), S.Term_, S.Leader_};
}

ProposeResult appendConfig(ReplicaState &S, const VoterConfig &Config, Time Now,
                           ReplicaOutput &Out) {
  LogIndex Index =
      internal::appendAsLeader(S, EntryKind::Config, encode(Config), Now, Out);
  return {ProposeRefusal::None, Index, S.Term_, S.Leader_};
}

} // namespace

ProposeResult addLearner(ReplicaState &S, const VmId &Vm, Time Now,
                         ReplicaOutput &Out) {
  ProposeRefusal Refusal = checkReconfiguration(S);
  if (Refusal != ProposeRefusal::None)
    return refuse(S, Refusal);
  VoterConfig Config = S.Log_.config();
  if (Config.findVoter(Vm) || Config.isLearner(Vm))
    return refuse(S, ProposeRefusal::AlreadyMember);
  Config.Learners_.push_back(Vm);
  return appendConfig(S, Config, Now, Out);
}

ProposeResult promote(ReplicaState &S, const VmId &Vm, Time Now,
                      ReplicaOutput &Out) {
  ProposeRefusal Refusal = checkReconfiguration(S);
  if (Refusal != ProposeRefusal::None)
    return refuse(S, Refusal);
  VoterConfig Config = S.Log_.config();
  auto Progress = S.Peers_.find(Vm);
  if (!Config.isLearner(Vm) || Progress == S.Peers_.end())
    return refuse(S, ProposeRefusal::NoSuchMember);
  if (Config.Voters_.size() > MaxVoters)
    return refuse(S, ProposeRefusal::TooManyVoters);
  if (Progress->second.Match_ < S.Commit_)
    return refuse(S, ProposeRefusal::NotCaughtUp);
  std::erase(Config.Learners_, Vm);
  Config.Voters_.push_back({Vm, Progress->second.Disk_});
  std::sort(Config.Voters_.begin(), Config.Voters_.end());
  if (!hasLiveQuorum(S, Config, Now))
    return refuse(S, ProposeRefusal::BreaksQuorum);
  return appendConfig(S, Config, Now, Out);
}

ProposeResult removeMember(ReplicaState &S, const VmId &Vm, Time Now,
                           ReplicaOutput &Out) {
  ProposeRefusal Refusal = checkReconfiguration(S);
  if (Refusal != ProposeRefusal::None)
    return refuse(S, Refusal);
  VoterConfig Config = S.Log_.config();
  if (!Config.findVoter(Vm) && !Config.isLearner(Vm))
    return refuse(S, ProposeRefusal::NoSuchMember);
  std::erase(Config.Learners_, Vm);
  std::erase_if(Config.Voters_, [&](const Voter &V) { return V.Vm_ == Vm; });
  if (Config.Voters_.empty() || !hasLiveQuorum(S, Config, Now))
    return refuse(S, ProposeRefusal::BreaksQuorum);
  return appendConfig(S, Config, Now, Out);
}

} // namespace lagoonpoint
