#pragma once

#include "lagoonpoint/src/Items/Item.h"

#include <map>

namespace lagoonpoint {

/// Items of one kind by name, including removed ones.
template <class Item>
using ItemMap = std::map<std::string, VersionedItem<Item>>;

/// \class ItemSet
/// \ingroup Items
/// \brief Named items, each at its highest version.
///
/// Merging is commutative and idempotent: of two versions of an item the higher
/// one is kept, whatever the order in which they arrive. A removal is a version
/// too and is kept as a tombstone, so that an older version can't come back.
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

/// Merges the items whose versions are higher than the current ones.
/// \ingroup Items
/// \param At revision recorded with each item that changes
/// \returns true if any item changed
bool mergeItems(ItemSet &Target, const ItemSet &Updates, Revision At);

/// Merges items of another VM and keeps the revisions recorded there.
/// \ingroup Items
/// \returns true if any item changed
bool mergeItemsFromPeer(ItemSet &Target, const ItemSet &From);

/// \returns true if merging the patch would change nothing.
/// \ingroup Items
bool containsItems(const ItemSet &Current, const ItemSet &Patch);

/// \returns whether merging a patch would change the named item.
/// \ingroup Items
template <class Item>
bool changesItem(const ItemMap<Item> &Current, const ItemMap<Item> &Patch,
                 const std::string &Name) {
  auto New = Patch.find(Name);
  auto Old = Current.find(Name);
  return New != Patch.end() &&
         (Old == Current.end() || New->second.Version_ > Old->second.Version_);
}

/// \returns the items of a patch that merging it would change.
/// \ingroup Items
ItemSet newerItems(const ItemSet &Current, const ItemSet &Patch);

/// \returns the items that changed after a revision, including removals.
/// \ingroup Items
ItemSet itemsChangedAfter(const ItemSet &All, Revision After);

/// \returns the value of an item, null if it is unknown or removed.
/// \ingroup Items
template <class Item>
const Item *findItem(const ItemMap<Item> &Items, const std::string &Name) {
  auto Found = Items.find(Name);
  if (Found == Items.end() || Found->second.Removed_)
    return nullptr;
  return &Found->second.Value_;
}

/// Removes what only serves to read items back, which is most of their size.
/// \ingroup Items
void removeSourceTexts(ItemSet &Items);

} // namespace lagoonpoint
