#pragma once

#include "lagoonpoint/src/Dissemination/FeedStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Confirms the revision that one VM has applied.
struct Confirmation {
  VmId Vm_;
  Incarnation Incarnation_;
  Revision Revision_;

  MSGPACK_DEFINE(Vm_, Incarnation_, Revision_)
};

/// Requests newer changes from a source, and passes confirmations on to it.
struct FeedPull {
  Incarnation Incarnation_;
  Duration SentAt_; ///< on the requester's clock; echoed in the answer
  Revision Revision_;
  std::uint64_t Digest_ = 0;
  bool Subscribe_ = false;    ///< requests that deltas are pushed
  bool WantSnapshot_ = false; ///< the digest of its state was wrong
  std::vector<Confirmation> Confirmations_;

  MSGPACK_DEFINE(Incarnation_, SentAt_, Revision_, Digest_, Subscribe_,
                 WantSnapshot_, Confirmations_)
};

/// Answers a pull, or pushes new deltas.
struct FeedUpdate {
  Incarnation RequesterIncarnation_; ///< of the pull; 0 in a push
  Duration SentAt_;                  ///< of the pull
  Revision Revision_;                ///< applied at the source
  std::uint64_t Digest_ = 0;
  bool Ready_ = false; ///< whether the source may serve
  bool HasProof_ = false;
  Duration ProofAge_;      ///< since the leader proved the source to be current
  Revision ProofRevision_; ///< of the leader at that time
  std::vector<Delta> Deltas_;
  std::vector<FeedSnapshot> Snapshots_; ///< at most one

  MSGPACK_DEFINE(RequesterIncarnation_, SentAt_, Revision_, Digest_, Ready_,
                 HasProof_, ProofAge_, ProofRevision_, Deltas_, Snapshots_)
};

/// First byte of a message.
enum class FeedMessageKind : std::uint8_t { Pull = 1, Update = 2 };

} // namespace lagoonpoint
