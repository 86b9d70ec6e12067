#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <vector>

namespace lagoonpoint::internal {

/// \class Promises
/// \ingroup Limits
/// \brief Amounts promised until a time each; the largest live one binds.
class Promises {
public:
  void add(Amount A, Time End) {
    std::erase_if(List_, [&](const Promise &P) {
      return P.End_ <= End && P.Amount_.Rate_ <= A.Rate_ &&
             P.Amount_.Burst_ <= A.Burst_;
    });
    List_.push_back({A, End});
  }

  /// \returns what is promised at \p At, and at any earlier time.
  Amount at(Time At) const {
    Amount Sum;
    for (const Promise &P : List_)
      if (P.End_ > At)
        Sum = most(Sum, P.Amount_);
    return Sum;
  }

  void prune(Time Now) {
    std::erase_if(List_, [&](const Promise &P) { return P.End_ <= Now; });
  }

  bool empty() const { return List_.empty(); }

private:
  struct Promise {
    Amount Amount_;
    Time End_;
  };
  std::vector<Promise> List_;
};

} // namespace lagoonpoint::internal
