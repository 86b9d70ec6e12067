#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Catalog/Change.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lagoonpoint {

/// \class Catalog
/// \ingroup Catalog
/// \brief The replicated state at one revision.
///
/// Each accepted change that alters the state makes the next revision. The
/// replies to the last MaxReplies changes are kept, so that a resent change is
/// not applied twice. A resend of an older change is evaluated again, which is
/// safe: a declaration's base revision or a view's epoch is outdated by then, a
/// granted key exists, and the other kinds are idempotent. Departures come in
/// series, so that replies to them are not kept.
struct Catalog {
  static constexpr std::size_t MaxReplies = 10'000;

  Revision Revision_;
  Revision DeclarationsRevision_; ///< revision that put Text_ in force
  std::string Text_;              ///< declarations in force
  std::map<KeyId, KeyGrant> GrantedKeys_;
  std::set<KeyId> WithdrawnKeys_;
  std::set<Drain> Drains_;
  std::map<Drain, Revision> DrainRevisions_; ///< of the last order of each
  std::map<ZoneId, ZoneView> Views_;
  ItemSet Items_;
  DepartureRecords Departures_;
  std::map<ChangeId, ChangeReply> Replies_;
  std::deque<ChangeId> ReplyOrder_; ///< oldest first
  /// Text_ as parsed when it was applied; null after decoding. A cache that
  /// avoids parsing a large text again; not part of the state.
  std::shared_ptr<const Declarations> ParsedText_;
  MSGPACK_DEFINE(Revision_, DeclarationsRevision_, Text_, GrantedKeys_,
                 WithdrawnKeys_, Drains_, Views_, Replies_, ReplyOrder_, Items_,
                 DrainRevisions_, Departures_)
};

/// Validates a change and applies it if it is accepted.
/// \ingroup Catalog
/// \returns the verdict; for an id with a stored reply, the first verdict
ChangeReply applyChange(Catalog &State, const Change &C);

/// \returns the stored reply to a change id, if there is one.
std::optional<ChangeReply> findReply(const Catalog &State, const ChangeId &Id);

/// Checks a change on its own, without the state.
/// \returns an error message, empty if the change is valid
std::string validateChange(const Change &C);

/// Reduces a declaration to a splice of the text in force. Other changes are
/// returned unchanged.
/// \ingroup Catalog
Change makeSplice(const Catalog &State, Change Full);

/// \returns the declarations with granted keys and drains merged in. Withdrawn
/// keys are still included; WithdrawnKeys_ lists them.
Declarations effectiveDeclarations(const Catalog &State);

/// \returns a hash of the state without the stored replies and departures, in
/// hex. Equal for all VMs at one revision.
std::string digestOf(const Catalog &State);

/// \returns the state without the stored replies and departures, for VMs that
/// don't vote.
std::string encodeForFollowers(const Catalog &State);

} // namespace lagoonpoint
