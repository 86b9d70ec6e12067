#pragma once

#include "lagoonpoint/src/Dissemination/FeedStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint {

/// The revision in force at one VM.
struct Confirmation {
  VmId Vm_;
  Incarnation Incarnation_;
  Revision Revision_;

  MSGPACK_DEFINE(Vm_, Incarnation_, Revision_)
};

/// Asks a source for what is newer; also confirms what is in force.
struct FeedPull {
  Incarnation Incarnation_;
  Duration SentAt_; ///< on the asker's clock; repeated in the answer
  Revision Revision_;
  std::uint64_t Digest_ = 0;
  bool Subscribe_ = false;    ///< wants deltas pushed
  bool WantSnapshot_ = false; ///< its state is wrong
  std::vector<Confirmation> Confirmations_;

  MSGPACK_DEFINE(Incarnation_, SentAt_, Revision_, Digest_, Subscribe_,
                 WantSnapshot_, Confirmations_)
};

/// Answers a pull, or pushes deltas as they come.
struct FeedUpdate {
  Incarnation RequesterIncarnation_; ///< of the pull; 0 in a push
  Duration SentAt_;                  ///< of the pull
  Revision Revision_;                ///< in force at the source
  std::uint64_t Digest_ = 0;
  bool Ready_ = false; ///< the source may serve
  bool HasProof_ = false;
  Duration ProofAge_; ///< since the authority showed the source to be current
  Revision ProofRevision_; ///< that the authority had then
  std::vector<Delta> Deltas_;
  std::vector<FeedSnapshot> Snapshots_; ///< one at most

  MSGPACK_DEFINE(RequesterIncarnation_, SentAt_, Revision_, Digest_, Ready_,
                 HasProof_, ProofAge_, ProofRevision_, Deltas_, Snapshots_)
};

/// Which of the two a message is.
enum class FeedMessageKind : std::uint8_t { Pull = 1, Update = 2 };

} // namespace lagoonpoint
