#include "lagoonpoint/src/Replication/util/Bootstrap.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

bool isEmpty(const ReplicaState &S) {
  return S.Term_ == Term() && S.Log_.lastIndex() == LogIndex() &&
         S.Log_.config().Voters_.empty();
}

void setInitialConfig(ReplicaState &S, VoterConfig Config, ReplicaOutput &Out) {
  S.Log_.setInitialConfig(std::move(Config));
  S.EmptyPeers_.clear();
  Out.SaveSnapshot_ = true;
}

void bootstrapIfAllEmpty(ReplicaState &S, ReplicaOutput &Out) {
  VoterConfig Config;
  for (const VmId &Vm : S.Options_.InitialVoters_) {
    bool Self = Vm == S.Options_.Self_;
    auto Found = S.EmptyPeers_.find(Vm);
    if (!Self && Found == S.EmptyPeers_.end())
      return;
    Config.Voters_.push_back({Vm, Self ? S.Disk_ : Found->second});
  }
  std::sort(Config.Voters_.begin(), Config.Voters_.end());
  setInitialConfig(S, std::move(Config), Out);
}

} // namespace

bool needsBootstrap(const ReplicaState &S) {
  const std::vector<VmId> &InitialVoters = S.Options_.InitialVoters_;
  bool IsInitialVoter = std::find(InitialVoters.begin(), InitialVoters.end(),
                                  S.Options_.Self_) != InitialVoters.end();
  return IsInitialVoter && S.Log_.baseIndex() == LogIndex() &&
         S.Log_.config().Voters_.empty();
}

void tickBootstrap(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  if (isEmpty(S))
    bootstrapIfAllEmpty(S, Out);
  if (!needsBootstrap(S) || Now < S.ProbeDue_)
    return;
  S.ProbeDue_ = Now + S.Options_.Timing_.Heartbeat_;
  for (const VmId &Vm : S.Options_.InitialVoters_)
    if (Vm != S.Options_.Self_)
      Out.Messages_.push_back({Vm, BootstrapProbe{S.Disk_}});
}

void handle(ReplicaState &S, const VmId &From, const BootstrapProbe &M, Time,
            ReplicaOutput &Out) {
  BootstrapProbeReply Reply;
  Reply.ForDisk_ = M.Disk_;
  Reply.Disk_ = S.Disk_;
  Reply.Empty_ = isEmpty(S);
  if (Reply.Empty_)
    S.EmptyPeers_[From] = M.Disk_;
  if (S.Log_.baseIndex() == LogIndex())
    Reply.InitialConfig_ = S.Log_.base().Meta_.Config_;
  Out.Messages_.push_back({From, Reply});
}

void handle(ReplicaState &S, const VmId &From, const BootstrapProbeReply &M,
            Time, ReplicaOutput &Out) {
  if (!needsBootstrap(S) || M.ForDisk_ != S.Disk_)
    return;
  if (M.Empty_) {
    S.EmptyPeers_[From] = M.Disk_;
    return;
  }
  S.EmptyPeers_.erase(From);
  if (!M.InitialConfig_.Voters_.empty())
    setInitialConfig(S, M.InitialConfig_, Out);
}

} // namespace lagoonpoint::internal
