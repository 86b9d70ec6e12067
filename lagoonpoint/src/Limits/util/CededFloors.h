#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <vector>

namespace lagoonpoint::internal {

/// \class CededFloors
/// \ingroup Limits
/// \brief Amounts of a VM's floor that it has ceded, each until a time. The
/// component-wise maximum of the unexpired ones applies.
class CededFloors {
public:
  void add(Amount A, Time End) {
    std::erase_if(Entries_, [&](const Entry &P) {
      return P.End_ <= End && P.Amount_.Rate_ <= A.Rate_ &&
             P.Amount_.Burst_ <= A.Burst_;
    });
    Entries_.push_back({A, End});
  }

  /// \returns the amount that stays ceded until after \p At.
  Amount at(Time At) const {
    Amount Sum;
    for (const Entry &P : Entries_)
      if (P.End_ > At)
        Sum = componentMax(Sum, P.Amount_);
    return Sum;
  }

  void prune(Time Now) {
    std::erase_if(Entries_, [&](const Entry &P) { return P.End_ <= Now; });
  }

  bool empty() const { return Entries_.empty(); }

private:
  struct Entry {
    Amount Amount_;
    Time End_;
  };
  std::vector<Entry> Entries_;
};

} // namespace lagoonpoint::internal
