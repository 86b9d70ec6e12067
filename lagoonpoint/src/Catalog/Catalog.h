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
/// \brief All replicated facts at one revision.
///
/// Each accepted change makes the next revision. Replies are remembered for
/// the last MaxReplies changes, so that a resent change is not applied twice;
/// a change id older than that is judged anew, where its base revision no
/// longer fits and its other kinds are idempotent.
struct Catalog {
  static constexpr std::size_t MaxReplies = 10'000;

  Revision Revision_;
  Revision DeclarationsRevision_; ///< revision that put Text_ in force
  std::string Text_;              ///< of the declarations in force
  std::map<KeyId, KeyGrant> GrantedKeys_;
  std::set<KeyId> WithdrawnKeys_;
  std::set<Drain> Drains_;
  std::map<ZoneId, ZoneView> Views_;
  ItemSet Items_;
  std::map<ChangeId, ChangeReply> Replies_;
  std::deque<ChangeId> ReplyOrder_; ///< oldest first
  /// Text_ as parsed when it was applied, null after decoding; no part of the
  /// state, it only spares parsing a large text again.
  std::shared_ptr<const Declarations> ParsedText_;
  MSGPACK_DEFINE(Revision_, DeclarationsRevision_, Text_, GrantedKeys_,
                 WithdrawnKeys_, Drains_, Views_, Replies_, ReplyOrder_, Items_)
};

/// Judges a change and applies it if accepted.
/// \ingroup Catalog
/// \returns the verdict; for an id that was judged before, the first verdict
ChangeReply applyChange(Catalog &State, const Change &C);

/// \returns the verdict kept for a change id, if there is one.
std::optional<ChangeReply> findReply(const Catalog &State, const ChangeId &Id);

/// Finds what makes a change invalid whatever the state; empty if nothing.
std::string validateChange(const Change &C);

/// Cuts a declaration down to what differs from the text in force.
/// \ingroup Catalog
Change makeSplice(const Catalog &State, Change Full);

/// \returns the declarations with granted keys and drains merged in. Withdrawn
/// keys stay listed; Withdrawn_ says which they are.
Declarations effectiveDeclarations(const Catalog &State);

/// \returns a hash of all facts except the kept replies, in hex. Equal for
/// all VMs at one revision.
std::string digestOf(const Catalog &State);

/// \returns the state without the kept replies, for VMs that don't vote.
std::string encodeForFollowers(const Catalog &State);

} // namespace lagoonpoint
