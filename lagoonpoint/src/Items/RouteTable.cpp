#include "lagoonpoint/src/Items/RouteTable.h"

#include <algorithm>

namespace lagoonpoint {

RouteTable::RouteTable(const ItemSet &Items) {
  for (const auto &[Name, R] : Items.Routes_)
    if (!R.Removed_)
      ByHost_[R.Value_.Host_].push_back({Name, R.Value_});
  for (auto &[Host, Routes] : ByHost_)
    std::sort(Routes.begin(), Routes.end(),
              [](const TableRoute &A, const TableRoute &B) {
                return A.Item_.Prefix_.size() > B.Item_.Prefix_.size();
              });
  RequiresKeys_ = !Items.Teams_.empty(); // removed teams stay as tombstones
  for (const auto &[Name, T] : Items.Teams_) {
    if (T.Removed_)
      continue;
    for (const std::string &Key : T.Value_.Keys_)
      ByKey_.emplace(Key, TeamId(Name));
  }
}

const TableRoute *RouteTable::find(const std::string &Host,
                                   const std::string &Path) const {
  auto Found = ByHost_.find(Host);
  if (Found == ByHost_.end())
    return nullptr;
  for (const TableRoute &Route : Found->second)
    if (Path.starts_with(Route.Item_.Prefix_))
      return &Route;
  return nullptr;
}

TeamId RouteTable::teamOf(const std::string &Key) const {
  auto Found = ByKey_.find(Key);
  return Found == ByKey_.end() ? TeamId() : Found->second;
}

} // namespace lagoonpoint
