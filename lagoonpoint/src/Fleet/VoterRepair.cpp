#include "lagoonpoint/src/Fleet/VoterRepair.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// A voter whose replica has stopped still sends heartbeats, so these count
/// only where the replica could not have answered yet: from a learner, and from
/// a voter that fell silent before this VM led.
Time lastHeard(const VmId &Vm, bool IsVoter, const MemberContact &Contact,
               const NodeRegistry &Nodes) {
  auto Answered = Contact.AnsweredAt_.find(Vm);
  if (Answered != Contact.AnsweredAt_.end())
    return Answered->second;
  auto Known = Nodes.Nodes_.find(Vm);
  if (Known == Nodes.Nodes_.end())
    return Contact.LeaderSince_;
  return IsVoter ? std::min(Known->second.HeardAt_, Contact.LeaderSince_)
                 : Known->second.HeardAt_;
}

/// \returns whether a VM may take a silent one's place: there is one core VM a
/// zone, except while it is replaced.
bool isSuccessor(const NodeRecord &Core, const SilentMember &Of) {
  return !Of.Zone_.empty() && Core.Zone_ == Of.Zone_ && Core.Vm_ != Of.Vm_;
}

bool hasSuccessor(const SilentMember &Silent,
                  const std::vector<NodeRecord> &Live) {
  return std::any_of(Live.begin(), Live.end(), [&](const NodeRecord &Core) {
    return isSuccessor(Core, Silent);
  });
}

} // namespace

std::vector<SilentMember> silentMembers(const VoterConfig &Config,
                                        const MemberContact &Contact,
                                        const NodeRegistry &Nodes,
                                        const VmId &Self, Duration MinSilence,
                                        Time Now) {
  std::vector<SilentMember> Out;
  for (const VmId &Vm : Config.peersOf(Self)) {
    bool IsVoter = Config.findVoter(Vm) != nullptr;
    Duration Silence = Now - lastHeard(Vm, IsVoter, Contact, Nodes);
    if (Silence <= MinSilence)
      continue;
    auto Known = Nodes.Nodes_.find(Vm);
    ZoneId Zone =
        Known == Nodes.Nodes_.end() ? ZoneId() : Known->second.Record_.Zone_;
    Out.push_back({Vm, Zone, Silence});
  }
  std::sort(Out.begin(), Out.end(),
            [](const SilentMember &A, const SilentMember &B) {
              return A.For_ > B.For_;
            });
  return Out;
}

std::set<VmId> heldLearners(const VoterConfig &Config,
                            const std::vector<NodeRecord> &Live,
                            const std::vector<SilentMember> &Silent) {
  std::set<VmId> Out;
  for (const SilentMember &Each : Silent)
    for (const NodeRecord &Core : Live)
      if (Config.findVoter(Each.Vm_) && isSuccessor(Core, Each))
        Out.insert(Core.Vm_);
  return Out;
}

std::optional<VoterRepairStep>
nextVoterRepairStep(const VoterConfig &Config,
                    const std::vector<NodeRecord> &Live,
                    const std::vector<SilentMember> &Silent) {
  for (const NodeRecord &Core : Live) {
    const Voter *V = Config.findVoter(Core.Vm_);
    if (V && V->Disk_ != Core.Disk_)
      return VoterRepairStep{false, Core.Vm_};
  }
  for (const NodeRecord &Core : Live)
    if (!Config.findVoter(Core.Vm_) && !Config.isLearner(Core.Vm_))
      return VoterRepairStep{true, Core.Vm_};
  for (const SilentMember &Each : Silent)
    if (Each.For_ > VoterTimeout || hasSuccessor(Each, Live))
      return VoterRepairStep{false, Each.Vm_};
  return std::nullopt;
}

} // namespace lagoonpoint
