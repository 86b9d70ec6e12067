#include "lagoonpoint/src/Fleet/Directory.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

template <class Accept>
std::vector<std::string> pick(const std::vector<const HeardNode *> &Live,
                              const Accept &Accepts) {
  std::vector<std::string> Out;
  for (const HeardNode *Node : Live)
    if (Node->Ready_ && Accepts(Node->Record_) && Out.size() < MaxNamed)
      Out.push_back(Node->Record_.Callers_);
  return Out;
}

} // namespace

std::vector<std::string> chooseEntries(const Roster &R,
                                       const DirectoryQuery &Query,
                                       Duration Within, Time Now) {
  std::vector<const HeardNode *> Live = liveEntries(R, Within, Now);
  std::vector<std::string> Out = pick(
      Live, [&](const NodeRecord &N) { return N.Region_ == Query.Region_; });
  if (!Out.empty())
    return Out;
  const std::vector<RegionId> &Allowed = Query.Allowed_;
  if (!Allowed.empty())
    Out = pick(Live, [&](const NodeRecord &N) {
      return std::find(Allowed.begin(), Allowed.end(), N.Region_) !=
             Allowed.end();
    });
  if (!Out.empty())
    return Out;
  return pick(Live, [](const NodeRecord &) { return true; });
}

} // namespace lagoonpoint
