#pragma once

#include "lagoonpoint/src/Items/Item.h"

#include <map>

namespace lagoonpoint {

/// Items of one kind by name, removed ones included.
template <class Item>
using ItemMap = std::map<std::string, VersionedItem<Item>>;

/// \class ItemSet
/// \ingroup Items
/// \brief Named items, each at its highest version.
///
/// Taking in items is commutative and idempotent: of two versions of a name the
/// higher stays, whatever the order in which they arrive. A removal is a
/// version too and is kept, so that an older version can't come back.
struct ItemSet {
  ItemMap<RouteItem> Routes_;
  ItemMap<TeamItem> Teams_;
  ItemMap<ServiceItem> Services_;
  ItemMap<CallerLimitsItem> Limits_;
  MSGPACK_DEFINE(Routes_, Teams_, Services_, Limits_)

  bool empty() const {
    return Routes_.empty() && Teams_.empty() && Services_.empty() &&
           Limits_.empty();
  }
};

/// Takes in the items that are newer than those held.
/// \ingroup Items
/// \param At revision noted with each item that changes
/// \returns true if any item changed
bool mergeItems(ItemSet &Target, const ItemSet &Updates, Revision At);

/// Takes in items that another VM holds, with the revisions noted there.
/// \ingroup Items
/// \returns true if any item changed
bool mergeItemsFromPeer(ItemSet &Target, const ItemSet &From);

/// \returns true if a patch would change nothing.
/// \ingroup Items
bool containsItems(const ItemSet &Current, const ItemSet &Patch);

/// \returns the items that changed after a revision, removals included.
/// \ingroup Items
ItemSet itemsChangedAfter(const ItemSet &All, Revision After);

/// \returns the value of an item that is set and not removed, else null.
/// \ingroup Items
template <class Item>
const Item *findItem(const ItemMap<Item> &Items, const std::string &Name) {
  auto Found = Items.find(Name);
  if (Found == Items.end() || Found->second.Removed_)
    return nullptr;
  return &Found->second.Value_;
}

} // namespace lagoonpoint
