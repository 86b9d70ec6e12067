#include "lagoonpoint/src/Node/ActiveDeclarations.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

bool matchesPrefix(const std::string &Prefix, const std::string &Path) {
  if (!Path.starts_with(Prefix))
    return false;
  if (Path.size() == Prefix.size() || Prefix.ends_with('/'))
    return true;
  char Next = Path[Prefix.size()];
  return Next == '/' || Next == '?';
}

} // namespace

std::shared_ptr<const ActiveDeclarations>
makeActiveDeclarations(const Catalog &State) {
  auto F = std::make_shared<ActiveDeclarations>();
  F->Revision_ = State.Revision_;
  F->Digest_ = digestOf(State);
  F->Declarations_ = effectiveDeclarations(State);
  F->Blocks_ = buildBlockTable(F->Declarations_.Blocks_);
  F->WithdrawnKeys_ = State.WithdrawnKeys_;
  F->Views_ = State.Views_;
  F->Routes_ = F->Declarations_.Routes_;
  std::stable_sort(F->Routes_.begin(), F->Routes_.end(),
                   [](const RouteDecl &A, const RouteDecl &B) {
                     return A.Prefix_.size() > B.Prefix_.size();
                   });
  return F;
}

const RouteDecl *findRoute(const ActiveDeclarations &F,
                           const std::string &Path) {
  for (const RouteDecl &Route : F.Routes_)
    if (matchesPrefix(Route.Prefix_, Path))
      return &Route;
  return nullptr;
}

bool drainsToOtherZone(const ActiveDeclarations &F, const ZoneId &Zone) {
  const auto &Zones = F.Declarations_.Zones_;
  auto Own = Zones.find(Zone);
  if (Own == Zones.end() || !Own->second.Drained_)
    return false;
  return std::any_of(Zones.begin(), Zones.end(), [&](const auto &E) {
    return E.second.Region_ == Own->second.Region_ && !E.second.Drained_;
  });
}

KeyCheck checkKey(const ActiveDeclarations &F, const std::string &Text) {
  KeyCredential Credential = parseKeyCredential(Text);
  auto It = F.Declarations_.Keys_.find(Credential.Id_);
  if (It == F.Declarations_.Keys_.end())
    return {};
  const KeyDecl &Key = It->second;
  if (!secretMatches(Key.Salt_, Key.Hash_, Credential.Secret_))
    return {};
  return {&Key, F.WithdrawnKeys_.count(Key.Id_) > 0};
}

std::shared_ptr<const ActiveDeclarations>
ActiveDeclarationsHolder::get() const {
  std::lock_guard Guard(Lock_);
  return Current_;
}

void ActiveDeclarationsHolder::set(
    std::shared_ptr<const ActiveDeclarations> Next) {
  std::lock_guard Guard(Lock_);
  LAGOONPOINT_ASSERT(Next->Revision_ >= Current_->Revision_, "inforce.set");
  Current_ = std::move(Next);
}

} // namespace lagoonpoint
