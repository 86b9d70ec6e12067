#include "lagoonpoint/src/Node/InForce.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

bool matches(const std::string &Prefix, const std::string &Path) {
  if (!Path.starts_with(Prefix))
    return false;
  if (Path.size() == Prefix.size() || Prefix.ends_with('/'))
    return true;
  char Next = Path[Prefix.size()];
  return Next == '/' || Next == '?';
}

} // namespace

std::shared_ptr<const InForce> prepare(const Catalog &State) {
  auto F = std::make_shared<InForce>();
  F->Revision_ = State.Revision_;
  F->Digest_ = digestOf(State);
  F->Declared_ = effectiveDeclarations(State);
  F->Blocks_ = buildBlockTable(F->Declared_.Blocks_);
  F->Withdrawn_ = State.WithdrawnKeys_;
  F->Views_ = State.Views_;
  F->Routes_ = F->Declared_.Routes_;
  std::stable_sort(F->Routes_.begin(), F->Routes_.end(),
                   [](const RouteDecl &A, const RouteDecl &B) {
                     return A.Prefix_.size() > B.Prefix_.size();
                   });
  return F;
}

const RouteDecl *findRoute(const InForce &F, const std::string &Path) {
  for (const RouteDecl &Route : F.Routes_)
    if (matches(Route.Prefix_, Path))
      return &Route;
  return nullptr;
}

bool yields(const InForce &F, const ZoneId &Zone) {
  const auto &Zones = F.Declared_.Zones_;
  auto Own = Zones.find(Zone);
  if (Own == Zones.end() || !Own->second.Drained_)
    return false;
  return std::any_of(Zones.begin(), Zones.end(), [&](const auto &E) {
    return E.second.Region_ == Own->second.Region_ && !E.second.Drained_;
  });
}

KeyCheck checkKey(const InForce &F, const std::string &Shown) {
  KeyCredential Split = parseKeyCredential(Shown);
  auto It = F.Declared_.Keys_.find(Split.Id_);
  if (It == F.Declared_.Keys_.end())
    return {};
  const KeyDecl &Key = It->second;
  if (!secretMatches(Key.Salt_, Key.Hash_, Split.Secret_))
    return {};
  return {&Key, F.Withdrawn_.count(Key.Id_) > 0};
}

std::shared_ptr<const InForce> InForceCell::get() const {
  std::lock_guard Guard(Lock_);
  return Current_;
}

void InForceCell::set(std::shared_ptr<const InForce> Next) {
  std::lock_guard Guard(Lock_);
  LAGOONPOINT_ASSERT(Next->Revision_ >= Current_->Revision_, "inforce.set");
  Current_ = std::move(Next);
}

} // namespace lagoonpoint
