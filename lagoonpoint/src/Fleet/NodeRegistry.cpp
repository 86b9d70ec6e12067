#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Core VMs report once in this time.
constexpr Duration ReportInterval = Duration::seconds(1);

/// \returns whether a message is of an earlier process than the one that is
/// known. Starts are compared by the sender's wall clock, which may have been
/// set back: a process that is no longer heard does not exclude another one.
bool isOutdated(const KnownNode &Known, std::uint64_t StartedAtMs, Time Now) {
  return StartedAtMs < Known.Record_.StartedAtMs_ &&
         Now - Known.HeardAt_ <= LivenessTimeout;
}

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
  if (Known && isOutdated(Found->second, B.StartedAtMs_, Now))
    return HeartbeatResult::Outdated;
  bool Same = Known && B.StartedAtMs_ == Found->second.Record_.StartedAtMs_;
  if (B.Self_.empty() && !Same)
    return HeartbeatResult::UnknownSender;
  KnownNode &Node = R.Nodes_[From];
  if (!B.Self_.empty())
    Node.Record_ = B.Self_.front();
  Node.HeardAt_ = Node.DirectlyHeardAt_ = Now;
  Node.ItemsRevision_ = B.ItemsRevision_;
  Node.Ready_ = B.Ready_;
  if (!B.TeamRates_.empty() || !B.ServiceRates_.empty()) {
    Node.TeamRates_ = B.TeamRates_;
    Node.ServiceRates_ = B.ServiceRates_;
  }
  return HeartbeatResult::Accepted;
}

void recordReports(NodeRegistry &R, const std::vector<EntryReport> &Reports,
                   Time Now) {
  for (const EntryReport &Report : Reports) {
    auto Found = R.Nodes_.find(Report.Vm_);
    bool Same = Found != R.Nodes_.end() &&
                Found->second.Record_.StartedAtMs_ == Report.StartedAtMs_;
    bool Outdated = Found != R.Nodes_.end() &&
                    isOutdated(Found->second, Report.StartedAtMs_, Now);
    if (Outdated || (!Same && Report.Record_.empty()))
      continue;
    KnownNode &Node = R.Nodes_[Report.Vm_];
    if (!Same) {
      Node = {};
      Node.Record_ = Report.Record_.front();
    }
    // Keeps the VM live until the next report.
    Time HeardAt = Now - std::max(Report.Age_ - ReportInterval, Duration());
    if (HeardAt < Node.HeardAt_)
      continue;
    Node.HeardAt_ = HeardAt;
    Node.Ready_ = Report.Ready_;
  }
}

std::vector<EntryReport>
reportEntryVms(const NodeRegistry &R, Duration MaxSilence,
               std::map<VmId, std::uint64_t> &RecordsSent, Time Now) {
  std::vector<EntryReport> Out;
  std::map<VmId, std::uint64_t> Sent;
  for (const auto &[Vm, Node] : R.Nodes_) {
    if (Node.Record_.Core_ || Now - Node.DirectlyHeardAt_ > MaxSilence)
      continue;
    std::uint64_t StartedAtMs = Node.Record_.StartedAtMs_;
    EntryReport Report{
        Vm, StartedAtMs, Node.Ready_, Now - Node.DirectlyHeardAt_, {}};
    auto Earlier = RecordsSent.find(Vm);
    if (Earlier == RecordsSent.end() || Earlier->second != StartedAtMs)
      Report.Record_.push_back(Node.Record_);
    Sent[Vm] = StartedAtMs;
    Out.push_back(std::move(Report));
  }
  RecordsSent = std::move(Sent);
  return Out;
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
