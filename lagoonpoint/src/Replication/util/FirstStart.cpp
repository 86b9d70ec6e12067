#include "lagoonpoint/src/Replication/util/FirstStart.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

bool isEmpty(const ReplicaState &S) {
  return S.Term_ == Term() && S.Log_.lastIndex() == LogIndex() &&
         S.Log_.config().Voters_.empty();
}

void adopt(ReplicaState &S, VoterConfig First, ReplicaOutput &Out) {
  S.Log_.setFirstConfig(std::move(First));
  S.EmptyPeers_.clear();
  Out.SaveSnapshot_ = true;
}

void beginIfAllEmpty(ReplicaState &S, ReplicaOutput &Out) {
  VoterConfig First;
  for (const VmId &Vm : S.Options_.FirstVoters_) {
    bool Self = Vm == S.Options_.Self_;
    auto Found = S.EmptyPeers_.find(Vm);
    if (!Self && Found == S.EmptyPeers_.end())
      return;
    First.Voters_.push_back({Vm, Self ? S.Disk_ : Found->second});
  }
  std::sort(First.Voters_.begin(), First.Voters_.end());
  adopt(S, std::move(First), Out);
}

} // namespace

bool mustProbe(const ReplicaState &S) {
  const std::vector<VmId> &First = S.Options_.FirstVoters_;
  bool Named =
      std::find(First.begin(), First.end(), S.Options_.Self_) != First.end();
  return Named && S.Log_.baseIndex() == LogIndex() &&
         S.Log_.config().Voters_.empty();
}

void tickFirstStart(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  if (isEmpty(S))
    beginIfAllEmpty(S, Out);
  if (!mustProbe(S) || Now < S.ProbeDue_)
    return;
  S.ProbeDue_ = Now + S.Options_.Timing_.Heartbeat_;
  for (const VmId &Vm : S.Options_.FirstVoters_)
    if (Vm != S.Options_.Self_)
      Out.Messages_.push_back({Vm, Probe{S.Disk_}});
}

void handle(ReplicaState &S, const VmId &From, const Probe &M, Time,
            ReplicaOutput &Out) {
  ProbeReply Reply;
  Reply.ForDisk_ = M.Disk_;
  Reply.Disk_ = S.Disk_;
  Reply.Empty_ = isEmpty(S);
  if (Reply.Empty_)
    S.EmptyPeers_[From] = M.Disk_;
  if (S.Log_.baseIndex() == LogIndex())
    Reply.First_ = S.Log_.base().Meta_.Config_;
  Out.Messages_.push_back({From, Reply});
}

void handle(ReplicaState &S, const VmId &From, const ProbeReply &M, Time,
            ReplicaOutput &Out) {
  if (!mustProbe(S) || M.ForDisk_ != S.Disk_)
    return;
  if (M.Empty_) {
    S.EmptyPeers_[From] = M.Disk_;
    return;
  }
  S.EmptyPeers_.erase(From);
  if (!M.First_.Voters_.empty())
    adopt(S, M.First_, Out);
}

} // namespace lagoonpoint::internal
