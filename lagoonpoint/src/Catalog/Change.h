#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"
#include "lagoonpoint/Items"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

/// What a change does. Values are stored on disk and sent to peers.
enum class ChangeKind : std::uint8_t {
  Declare = 1,     ///< replaces the declarations if they are those of the base
  GrantKey = 2,    ///< adds a caller's key
  WithdrawKey = 3, ///< withdraws a key for good; always accepted
  SetDrain = 4,    ///< drains or undrains a region, zone or VM
  SetView = 5,     ///< next view of a zone for once-requests
  PatchItems = 6,  ///< sets and removes named items, each by its version
};

/// What a drain covers.
enum class DrainScope : std::uint8_t { Region = 1, Zone = 2, Vm = 3 };

/// A key as replicated: never the secret itself.
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

/// One process of a zone's view.
struct ViewMember {
  VmId Vm_;
  Incarnation Incarnation_;
  Epoch JoinedEpoch_; ///< first view since which it is a member
  MSGPACK_DEFINE(Vm_, Incarnation_, JoinedEpoch_)
};

/// The processes that hold the claims of a zone's once-requests.
struct ZoneView {
  ZoneId Zone_;
  Epoch Epoch_;
  std::vector<ViewMember> Members_;
  MSGPACK_DEFINE(Zone_, Epoch_, Members_)
};

/// Names the parts of an earlier text that a change keeps, so that an edit of a
/// large file travels as the bytes that differ.
struct Splice {
  bool Present_ = false;
  Revision BaseRevision_;         ///< that put the earlier text in force
  std::uint64_t PrefixBytes_ = 0; ///< bytes kept at its beginning
  std::uint64_t SuffixBytes_ = 0; ///< bytes kept at its end
  MSGPACK_DEFINE(Present_, BaseRevision_, PrefixBytes_, SuffixBytes_)
};

/// \class Change
/// \ingroup Catalog
/// \brief One change proposed by an operator or a VM.
///
/// Fields that the kind doesn't use stay empty.
struct Change {
  ChangeId Id_; ///< chosen by the proposer; a resend repeats it
  ChangeKind Kind_ = ChangeKind::Declare;
  Revision Base_;        ///< Declare: the revision the operator edited
  std::string Text_;     ///< Declare: the file's text, or what the splice lacks
  Splice Splice_;        ///< Declare: made by the leader
  KeyGrant Key_;         ///< GrantKey; WithdrawKey uses its id only
  Drain Drain_;          ///< SetDrain
  bool Drained_ = false; ///< SetDrain: on or off
  ZoneView View_;        ///< SetView: its epoch follows the current one
  ItemSet Items_;        ///< PatchItems
  MSGPACK_DEFINE(Id_, Kind_, Base_, Text_, Splice_, Key_, Drain_, Drained_,
                 View_, Items_)
};

/// How a change was judged.
enum class ChangeVerdict : std::uint8_t { Accepted = 1, Conflict, Invalid };

/// \class ChangeReply
/// \ingroup Catalog
/// \brief The verdict on a change; a resend gets the first one again.
struct ChangeReply {
  ChangeVerdict Verdict_ = ChangeVerdict::Invalid;
  Revision Revision_; ///< made by this change if accepted, else in force
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
