#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

namespace {

std::vector<const KnownNode *> listLiveNodes(const NodeRegistry &R, bool Core,
                                             Duration MaxSilence, Time Now) {
  std::vector<const KnownNode *> Out;
  for (const auto &[Vm, Node] : R.Nodes_)
    if (Node.Record_.Core_ == Core && Now - Node.HeardAt_ <= MaxSilence)
      Out.push_back(&Node);
  return Out;
}

} // namespace

HeartbeatResult record(NodeRegistry &R, const VmId &From, const Heartbeat &B,
                       Time Now) {
  auto Found = R.Nodes_.find(From);
  bool Known = Found != R.Nodes_.end();
  if (Known && B.StartedAtMs_ < Found->second.Record_.StartedAtMs_)
    return HeartbeatResult::Outdated;
  bool Same = Known && B.StartedAtMs_ == Found->second.Record_.StartedAtMs_;
  if (B.Self_.empty() && !Same)
    return HeartbeatResult::UnknownSender;
  KnownNode &Node = R.Nodes_[From];
  if (!B.Self_.empty())
    Node.Record_ = B.Self_.front();
  Node.HeardAt_ = Now;
  Node.ItemsRevision_ = B.ItemsRevision_;
  Node.Ready_ = B.Ready_;
  if (!B.TeamRates_.empty() || !B.ServiceRates_.empty()) {
    Node.TeamRates_ = B.TeamRates_;
    Node.ServiceRates_ = B.ServiceRates_;
  }
  return HeartbeatResult::Accepted;
}

void removeSilent(NodeRegistry &R, Duration MaxSilence, Time Now) {
  std::erase_if(R.Nodes_, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt_ > MaxSilence;
  });
}

std::vector<const KnownNode *> liveEntryVms(const NodeRegistry &R,
                                            Duration MaxSilence, Time Now) {
  return listLiveNodes(R, false, MaxSilence, Now);
}

std::vector<const KnownNode *> liveCoreVms(const NodeRegistry &R,
                                           Duration MaxSilence, Time Now) {
  return listLiveNodes(R, true, MaxSilence, Now);
}

} // namespace lagoonpoint
