#include "lagoonpoint/src/Fleet/VoterRepair.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

Time lastHeard(const VmId &Vm, const MemberContact &Contact,
               const NodeRegistry &Nodes) {
  auto Answered = Contact.AnsweredAt_.find(Vm);
  auto Known = Nodes.Nodes_.find(Vm);
  bool IsKnown = Known != Nodes.Nodes_.end();
  if (Answered == Contact.AnsweredAt_.end())
    return IsKnown ? Known->second.HeardAt_ : Contact.LeaderSince_;
  return IsKnown ? std::max(Answered->second, Known->second.HeardAt_)
                 : Answered->second;
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
    Duration Silence = Now - lastHeard(Vm, Contact, Nodes);
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
