#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"
#include "lagoonpoint/Items"
#include "lagoonpoint/src/Catalog/DepartureRecords.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

/// What a change does. Values are stored on disk and sent to peers.
enum class ChangeKind : std::uint8_t {
  Declare = 1,     ///< replaces the declarations unless changed since the base
  GrantKey = 2,    ///< adds a caller's key
  WithdrawKey = 3, ///< withdraws a key permanently; always accepted
  SetDrain = 4,    ///< drains or undrains a region, zone or VM
  SetView = 5,     ///< sets a zone's next view for once-requests
  PatchItems = 6,  ///< sets and removes named items by version
  RecordDepartures = 7, ///< records departures of upstreams; makes no revision
};

/// What a drain covers.
enum class DrainScope : std::uint8_t { Region = 1, Zone = 2, Vm = 3 };

/// A key as replicated: its salted hash, without the secret.
struct KeyGrant {
  KeyId Id_;
  TeamId Team_;
  std::string Salt_;
  std::string Hash_;
  MSGPACK_DEFINE(Id_, Team_, Salt_, Hash_)
};

/// A drain of one region, zone or VM.
struct Drain {
  DrainScope Scope_ = DrainScope::Vm;
  std::string Id_;
  friend auto operator<=>(const Drain &, const Drain &) = default;
  MSGPACK_DEFINE(Scope_, Id_)
};

/// One process in a zone's view.
struct ViewMember {
  VmId Vm_;
  Incarnation Incarnation_;
  Epoch JoinedEpoch_; ///< epoch of the view in which it joined
  MSGPACK_DEFINE(Vm_, Incarnation_, JoinedEpoch_)
};

/// The processes that store the claims of a zone's once-requests.
struct ZoneView {
  ZoneId Zone_;
  Epoch Epoch_;
  std::vector<ViewMember> Members_;
  MSGPACK_DEFINE(Zone_, Epoch_, Members_)
};

/// An edit of an earlier text as the middle part that differs, so that an edit
/// of a large file is replicated in few bytes.
struct Splice {
  bool Present_ = false;
  Revision BaseRevision_;         ///< that put the earlier text in force
  std::uint64_t PrefixBytes_ = 0; ///< unchanged bytes at its start
  std::uint64_t SuffixBytes_ = 0; ///< unchanged bytes at its end
  MSGPACK_DEFINE(Present_, BaseRevision_, PrefixBytes_, SuffixBytes_)
};

/// \class Change
/// \ingroup Catalog
/// \brief One change proposed by an operator or a VM.
///
/// Fields that the kind doesn't use are empty.
struct Change {
  ChangeId Id_; ///< chosen by the proposer; the same in a resend
  ChangeKind Kind_ = ChangeKind::Declare;
  /// Declare: the revision the operator edited. SetDrain: the revision in force
  /// where the order was received, 0 if it is unconditional.
  Revision Base_;
  std::string Text_;     ///< Declare: the file, or the middle part of a splice
  Splice Splice_;        ///< Declare: made by the leader
  KeyGrant Key_;         ///< GrantKey; WithdrawKey uses its id only
  Drain Drain_;          ///< SetDrain
  bool Drained_ = false; ///< SetDrain: on or off
  ZoneView View_;        ///< SetView: its epoch follows the current one
  ItemSet Items_;        ///< PatchItems
  std::vector<RecordedDeparture> Departures_; ///< RecordDepartures
  MSGPACK_DEFINE(Id_, Kind_, Base_, Text_, Splice_, Key_, Drain_, Drained_,
                 View_, Items_, Departures_)
};

/// Whether a change was applied, and if not, why.
enum class ChangeVerdict : std::uint8_t { Accepted = 1, Conflict, Invalid };

/// \class ChangeReply
/// \ingroup Catalog
/// \brief The verdict on a change; a resend gets the first reply again.
struct ChangeReply {
  ChangeVerdict Verdict_ = ChangeVerdict::Invalid;
  Revision Revision_; ///< made by this change, else in force
  std::string Message_;
  friend bool operator==(const ChangeReply &, const ChangeReply &) = default;
  MSGPACK_DEFINE(Verdict_, Revision_, Message_)
};

/// \returns "accepted", "conflict" or "invalid".
const char *toString(ChangeVerdict Verdict);

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::ChangeKind);
MSGPACK_ADD_ENUM(lagoonpoint::DrainScope);
MSGPACK_ADD_ENUM(lagoonpoint::ChangeVerdict);
