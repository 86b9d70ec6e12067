#include "lagoonpoint/src/Dissemination/FeedTree.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace lagoonpoint {

namespace {

const FeedPeer *find(const std::vector<FeedPeer> &Peers, const VmId &Vm) {
  auto It = std::find_if(Peers.begin(), Peers.end(),
                         [&](const FeedPeer &P) { return P.Vm_ == Vm; });
  return It == Peers.end() ? nullptr : &*It;
}

void addOnce(std::vector<VmId> &Out, const VmId &Vm, const VmId &Self) {
  if (Vm != Self && std::find(Out.begin(), Out.end(), Vm) == Out.end())
    Out.push_back(Vm);
}

std::vector<FeedPeer> zoneTree(const std::vector<FeedPeer> &Peers,
                               const FeedPeer &Self) {
  std::vector<FeedPeer> Tree;
  for (const FeedPeer &P : Peers)
    if (P.Zone_ == Self.Zone_ && (P.Alive_ || P.Vm_ == Self.Vm_))
      Tree.push_back(P);
  std::sort(Tree.begin(), Tree.end(), [](const auto &A, const auto &B) {
    return std::tuple(!A.Voter_, A.Vm_) < std::tuple(!B.Voter_, B.Vm_);
  });
  return Tree;
}

void addAncestors(std::vector<VmId> &Out, const std::vector<FeedPeer> &Tree,
                  const VmId &Self) {
  std::size_t Index = 0;
  while (Tree[Index].Vm_ != Self)
    ++Index;
  while (Index > 0) {
    Index = (Index - 1) / FollowersPerSource;
    addOnce(Out, Tree[Index].Vm_, Self);
  }
}

/// Maximum number of sources; more of them would have nothing newer.
constexpr std::size_t MaxSources = 16;

/// Adds the live peers that a filter accepts, starting at an offset that
/// depends on the VM so that the load is spread.
void addRotated(std::vector<VmId> &Out, const std::vector<FeedPeer> &Peers,
                const VmId &Self,
                const std::function<bool(const FeedPeer &)> &Accepts) {
  std::vector<VmId> Candidates;
  for (const FeedPeer &P : Peers)
    if (P.Alive_ && Accepts(P))
      Candidates.push_back(P.Vm_);
  std::size_t Start =
      Candidates.empty()
          ? 0
          : std::hash<std::string>()(Self.str()) % Candidates.size();
  for (std::size_t At = 0; At < Candidates.size() && Out.size() < MaxSources;
       ++At)
    addOnce(Out, Candidates[(Start + At) % Candidates.size()], Self);
}

} // namespace

std::vector<VmId> feedSources(const std::vector<FeedPeer> &Peers,
                              const VmId &Self, const VmId &Leader) {
  std::vector<VmId> Out;
  const FeedPeer *Own = find(Peers, Self);
  if (!Own)
    return Out;
  if (Own->Voter_) {
    if (!Leader.empty())
      addOnce(Out, Leader, Self);
    return Out;
  }
  addAncestors(Out, zoneTree(Peers, *Own), Self);
  addRotated(Out, Peers, Self, [](const FeedPeer &P) { return P.Voter_; });
  addRotated(Out, Peers, Self, [](const FeedPeer &) { return true; });
  return Out;
}

} // namespace lagoonpoint
