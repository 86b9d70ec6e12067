#include "lagoonpoint/src/Fleet/Directory.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

template <class Accept>
std::vector<std::string>
selectAddresses(const std::vector<const KnownNode *> &Live,
                const Accept &Accepts) {
  std::vector<std::string> Out;
  for (const KnownNode *Node : Live)
    if (Node->Ready_ && Accepts(Node->Record_) &&
        Out.size() < MaxDirectoryEntries)
      Out.push_back(Node->Record_.CallerAddress_);
  return Out;
}

} // namespace

std::vector<std::string> chooseEntries(const NodeRegistry &R,
                                       const DirectoryQuery &Query,
                                       Duration MaxSilence, Time Now) {
  std::vector<const KnownNode *> Live = liveEntryVms(R, MaxSilence, Now);
  std::vector<std::string> Out = selectAddresses(
      Live, [&](const NodeRecord &N) { return N.Region_ == Query.Region_; });
  if (!Out.empty())
    return Out;
  const std::vector<RegionId> &Allowed = Query.Allowed_;
  if (!Allowed.empty())
    Out = selectAddresses(Live, [&](const NodeRecord &N) {
      return std::find(Allowed.begin(), Allowed.end(), N.Region_) !=
             Allowed.end();
    });
  if (!Out.empty())
    return Out;
  return selectAddresses(Live, [](const NodeRecord &) { return true; });
}

} // namespace lagoonpoint
