#pragma once

#include "lagoonpoint/Core"

#include <optional>
#include <set>
#include <vector>

namespace lagoonpoint {

/// \class AllowedRegions
/// \ingroup Items
/// \brief The regions that may serve a call: all of them, or a set. The set is
/// empty if the restrictions of the call's items have no region in common; then
/// no region may serve the call.
class AllowedRegions {
public:
  /// Applies the restriction of one item.
  /// \param Stated regions of the item; an empty list restricts nothing
  void restrictTo(const std::vector<RegionId> &Stated);

  bool allows(const RegionId &R) const { return !Only_ || Only_->count(R); }
  bool allowsNone() const { return Only_ && Only_->empty(); }
  bool isRestricted() const { return Only_.has_value(); }

private:
  std::optional<std::set<RegionId>> Only_; ///< none: all regions
};

} // namespace lagoonpoint
