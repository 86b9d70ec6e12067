#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <string>

namespace lagoonpoint {

/// One accepted change, from a revision to the next.
struct Delta {
  Revision Base_;
  Revision To_;
  std::string Body_;

  MSGPACK_DEFINE(Base_, To_, Body_)
};

/// The whole state at one revision.
struct FeedSnapshot {
  Revision Revision_;
  std::string Body_;

  MSGPACK_DEFINE(Revision_, Body_)
};

/// \class FeedStore
/// \ingroup Dissemination
/// \brief Interface to the state that a feed replicates. The bodies of deltas
/// and snapshots are opaque to the feed.
class FeedStore {
public:
  virtual ~FeedStore() = default;

  virtual Revision revision() const = 0;
  /// \returns a digest of the state; equal for all VMs at one revision.
  virtual std::string digest() const = 0;
  virtual FeedSnapshot snapshot() const = 0;
  /// Applies a change from Base_ to To_. A VM with a disk writes the change
  /// before it serves it.
  /// \throws Error if the body can't be applied; the state is unchanged
  virtual void apply(const Delta &Change) = 0;
  /// Replaces the state.
  /// \throws Error if the body can't be read; the state is unchanged
  virtual void restore(const FeedSnapshot &State) = 0;
};

} // namespace lagoonpoint
