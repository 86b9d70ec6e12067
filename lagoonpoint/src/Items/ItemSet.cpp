#include "lagoonpoint/src/Items/ItemSet.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

template <class Item>
bool mergeMap(ItemMap<Item> &Target, const ItemMap<Item> &Updates,
              const Revision *At) {
  bool Changed = false;
  for (const auto &[Name, Incoming] : Updates) {
    auto Found = Target.find(Name);
    if (Found != Target.end() && Found->second.Version_ >= Incoming.Version_)
      continue;
    VersionedItem<Item> &Current = Target[Name];
    Current = Incoming;
    if (At)
      Current.ChangedRevision_ = *At;
    Changed = true;
  }
  return Changed;
}

bool mergeAll(ItemSet &Target, const ItemSet &Updates, const Revision *At) {
  bool Changed = mergeMap(Target.Routes_, Updates.Routes_, At);
  Changed |= mergeMap(Target.Teams_, Updates.Teams_, At);
  Changed |= mergeMap(Target.Services_, Updates.Services_, At);
  Changed |= mergeMap(Target.Limits_, Updates.Limits_, At);
  return Changed;
}

template <class Item>
bool containsMap(const ItemMap<Item> &Current, const ItemMap<Item> &Patch) {
  return std::none_of(Patch.begin(), Patch.end(), [&](const auto &Entry) {
    return changesItem(Current, Patch, Entry.first);
  });
}

template <class Item>
ItemMap<Item> newerMap(const ItemMap<Item> &Current,
                       const ItemMap<Item> &Patch) {
  ItemMap<Item> Out;
  for (const auto &[Name, Each] : Patch)
    if (changesItem(Current, Patch, Name))
      Out.emplace(Name, Each);
  return Out;
}

template <class Item>
void copyChangedAfter(const ItemMap<Item> &All, Revision After,
                      ItemMap<Item> &Out) {
  for (const auto &[Name, Each] : All)
    if (Each.ChangedRevision_ > After)
      Out.emplace(Name, Each);
}

template <class Item> void clearSourceTexts(ItemMap<Item> &Items) {
  for (auto &[Name, Each] : Items)
    Each.SourceText_.clear();
}

} // namespace

bool mergeItems(ItemSet &Target, const ItemSet &Updates, Revision At) {
  return mergeAll(Target, Updates, &At);
}

bool mergeItemsFromPeer(ItemSet &Target, const ItemSet &From) {
  return mergeAll(Target, From, nullptr);
}

bool containsItems(const ItemSet &Current, const ItemSet &Patch) {
  return containsMap(Current.Routes_, Patch.Routes_) &&
         containsMap(Current.Teams_, Patch.Teams_) &&
         containsMap(Current.Services_, Patch.Services_) &&
         containsMap(Current.Limits_, Patch.Limits_);
}

ItemSet newerItems(const ItemSet &Current, const ItemSet &Patch) {
  ItemSet Out;
  Out.Routes_ = newerMap(Current.Routes_, Patch.Routes_);
  Out.Teams_ = newerMap(Current.Teams_, Patch.Teams_);
  Out.Services_ = newerMap(Current.Services_, Patch.Services_);
  Out.Limits_ = newerMap(Current.Limits_, Patch.Limits_);
  return Out;
}

ItemSet itemsChangedAfter(const ItemSet &All, Revision After) {
  ItemSet Out;
  copyChangedAfter(All.Routes_, After, Out.Routes_);
  copyChangedAfter(All.Teams_, After, Out.Teams_);
  copyChangedAfter(All.Services_, After, Out.Services_);
  copyChangedAfter(All.Limits_, After, Out.Limits_);
  return Out;
}

void removeSourceTexts(ItemSet &Items) {
  clearSourceTexts(Items.Routes_);
  clearSourceTexts(Items.Teams_);
  clearSourceTexts(Items.Services_);
  clearSourceTexts(Items.Limits_);
}

} // namespace lagoonpoint
