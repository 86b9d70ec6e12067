#include "lagoonpoint/src/Once/OnceView.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>

namespace lagoonpoint {

OnceView nextView(const OnceView &Old, std::vector<OnceProcess> Alive) {
  OnceView Next{Old.Zone_, Old.Epoch_.next(), {}};
  std::sort(Alive.begin(), Alive.end(),
            [](const auto &A, const auto &B) { return A.Vm_ < B.Vm_; });
  for (const OnceProcess &Each : Alive) {
    const OnceMember *Before = memberOf(Old, Each.Vm_);
    bool Stays = Before && Before->Incarnation_ == Each.Incarnation_;
    Next.Members_.push_back({Each.Vm_, Each.Incarnation_,
                             Stays ? Before->MemberSince_ : Next.Epoch_});
  }
  return Next;
}

const OnceMember *memberOf(const OnceView &View, const VmId &Vm) {
  for (const OnceMember &Each : View.Members_)
    if (Each.Vm_ == Vm)
      return &Each;
  return nullptr;
}

Epoch oldestCoveredEpoch(const OnceView &View) {
  Epoch Oldest = View.Epoch_.next();
  for (const OnceMember &Each : View.Members_)
    Oldest = std::min(Oldest, Each.MemberSince_);
  return Oldest;
}

VmId homeVm(const OnceView &View, const std::string &Key) {
  VmId Best;
  std::uint64_t Highest = 0;
  for (const OnceMember &Each : View.Members_) {
    std::uint64_t Weight = internal::stableHash(Each.Vm_.str() + "\n" + Key);
    if (!Best.empty() && Weight <= Highest)
      continue;
    Best = Each.Vm_;
    Highest = Weight;
  }
  return Best;
}

} // namespace lagoonpoint
