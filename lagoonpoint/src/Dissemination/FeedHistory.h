#pragma once

#include "lagoonpoint/src/Dissemination/FeedStore.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace lagoonpoint {

/// \class FeedHistory
/// \ingroup Dissemination
/// \brief The latest consecutive deltas, limited in number and bytes.
class FeedHistory {
public:
  FeedHistory(std::size_t MaxDeltas, std::size_t MaxBytes)
      : MaxDeltas_(MaxDeltas), MaxBytes_(MaxBytes) {}

  /// Adds the next delta; one that doesn't follow the last clears the history.
  void add(Delta Next);
  void clear();
  /// \returns whether all deltas from a revision on are stored.
  bool covers(Revision From) const;
  /// \returns the deltas after a revision, oldest first, up to a number of
  /// bytes but at least one.
  std::vector<Delta> after(Revision From, std::size_t Bytes) const;

private:
  const std::size_t MaxDeltas_;
  const std::size_t MaxBytes_;
  std::deque<Delta> Deltas_;
  std::size_t Bytes_ = 0;
};

} // namespace lagoonpoint
