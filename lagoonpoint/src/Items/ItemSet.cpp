#include "lagoonpoint/src/Items/ItemSet.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

template <class Item>
bool mergeKind(ItemMap<Item> &Into, const ItemMap<Item> &Newer,
               const Revision *At) {
  bool Changed = false;
  for (const auto &[Name, Theirs] : Newer) {
    auto Found = Into.find(Name);
    if (Found != Into.end() && Found->second.Version_ >= Theirs.Version_)
      continue;
    Held<Item> &Ours = Into[Name];
    Ours = Theirs;
    if (At)
      Ours.ChangedAt_ = *At;
    Changed = true;
  }
  return Changed;
}

bool mergeAll(ItemSet &Into, const ItemSet &Newer, const Revision *At) {
  bool Changed = mergeKind(Into.Routes_, Newer.Routes_, At);
  Changed |= mergeKind(Into.Teams_, Newer.Teams_, At);
  Changed |= mergeKind(Into.Services_, Newer.Services_, At);
  Changed |= mergeKind(Into.Limits_, Newer.Limits_, At);
  return Changed;
}

template <class Item>
bool holdsKind(const ItemMap<Item> &Held, const ItemMap<Item> &Patch) {
  return std::all_of(Patch.begin(), Patch.end(), [&](const auto &Entry) {
    auto Found = Held.find(Entry.first);
    return Found != Held.end() &&
           Found->second.Version_ >= Entry.second.Version_;
  });
}

template <class Item>
void copySince(const ItemMap<Item> &All, Revision After, ItemMap<Item> &Out) {
  for (const auto &[Name, Each] : All)
    if (Each.ChangedAt_ > After)
      Out.emplace(Name, Each);
}

} // namespace

bool mergeItems(ItemSet &Into, const ItemSet &Newer, Revision At) {
  return mergeAll(Into, Newer, &At);
}

bool adoptItems(ItemSet &Into, const ItemSet &From) {
  return mergeAll(Into, From, nullptr);
}

bool holdsAll(const ItemSet &Held, const ItemSet &Patch) {
  return holdsKind(Held.Routes_, Patch.Routes_) &&
         holdsKind(Held.Teams_, Patch.Teams_) &&
         holdsKind(Held.Services_, Patch.Services_) &&
         holdsKind(Held.Limits_, Patch.Limits_);
}

ItemSet itemsSince(const ItemSet &All, Revision After) {
  ItemSet Out;
  copySince(All.Routes_, After, Out.Routes_);
  copySince(All.Teams_, After, Out.Teams_);
  copySince(All.Services_, After, Out.Services_);
  copySince(All.Limits_, After, Out.Limits_);
  return Out;
}

} // namespace lagoonpoint
