#include "lagoonpoint/src/Fleet/Roster.h"

namespace lagoonpoint {

namespace {

std::vector<const HeardNode *> liveNodes(const Roster &R, bool Core,
                                         Duration Within, Time Now) {
  std::vector<const HeardNode *> Out;
  for (const auto &[Vm, Node] : R.Nodes_)
    if (Node.Record_.Core_ == Core && Now - Node.HeardAt_ <= Within)
      Out.push_back(&Node);
  return Out;
}

} // namespace

BeatNote note(Roster &R, const VmId &From, const Beat &B, Time Now) {
  auto Found = R.Nodes_.find(From);
  bool Known = Found != R.Nodes_.end();
  if (Known && B.BornAt_ < Found->second.Record_.BornAt_)
    return BeatNote::Outdated;
  bool Same = Known && B.BornAt_ == Found->second.Record_.BornAt_;
  if (B.Self_.empty() && !Same)
    return BeatNote::Unknown;
  HeardNode &Node = R.Nodes_[From];
  if (!B.Self_.empty())
    Node.Record_ = B.Self_.front();
  Node.HeardAt_ = Now;
  Node.Holds_ = B.Holds_;
  Node.Ready_ = B.Ready_;
  if (!B.TeamRates_.empty() || !B.ServiceRates_.empty()) {
    Node.TeamRates_ = B.TeamRates_;
    Node.ServiceRates_ = B.ServiceRates_;
  }
  return BeatNote::Taken;
}

void forget(Roster &R, Duration Silence, Time Now) {
  std::erase_if(R.Nodes_, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt_ > Silence;
  });
}

std::vector<const HeardNode *> liveEntries(const Roster &R, Duration Within,
                                           Time Now) {
  return liveNodes(R, false, Within, Now);
}

std::vector<const HeardNode *> liveCores(const Roster &R, Duration Within,
                                         Time Now) {
  return liveNodes(R, true, Within, Now);
}

} // namespace lagoonpoint
