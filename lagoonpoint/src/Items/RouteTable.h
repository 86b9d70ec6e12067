#pragma once

#include "lagoonpoint/src/Items/ItemSet.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace lagoonpoint {

/// A route and its name.
struct TableRoute {
  std::string Name_;
  RouteItem Item_;
};

/// \class RouteTable
/// \ingroup Items
/// \brief Index of routes by host and teams by key, built once per item set.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const ItemSet &Items);

  /// \returns the route with the longest prefix that matches, or null.
  const TableRoute *find(const std::string &Host,
                         const std::string &Path) const;
  /// \returns the team that owns a key, or an empty id.
  TeamId teamOf(const std::string &Key) const;
  /// \returns whether routes that aren't open need a key. They don't in a fleet
  /// that never had a team. They do once the last team was removed: its key
  /// must not work, and the routes must not become open.
  bool requiresKeys() const { return RequiresKeys_; }

private:
  std::unordered_map<std::string, std::vector<TableRoute>> ByHost_;
  std::unordered_map<std::string, TeamId> ByKey_;
  bool RequiresKeys_ = false;
};

} // namespace lagoonpoint
