#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/Steering"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint {

/// \class InForce
/// \ingroup Node
/// \brief The declarations of one revision, prepared for serving; immutable.
struct ActiveDeclarations {
  Revision Revision_;
  std::string Digest_;
  Declarations Declarations_;
  std::set<KeyId> WithdrawnKeys_;
  std::map<ZoneId, ZoneView> Views_;
  std::vector<RouteDecl> Routes_; ///< longest prefix first
  BlockTable Blocks_;
};

/// Prepares a catalog for serving.
std::shared_ptr<const ActiveDeclarations>
makeActiveDeclarations(const Catalog &State);

/// \returns the route with the longest prefix of the path, null if none.
/// A prefix matches whole path segments only.
const RouteDecl *findRoute(const ActiveDeclarations &F,
                           const std::string &Path);

/// \returns true if a zone is drained and another zone of its region isn't, so
/// that its work goes there.
bool drainsToOtherZone(const ActiveDeclarations &F, const ZoneId &Zone);

/// What a shown key was found to be.
struct KeyCheck {
  const KeyDecl *Key_ = nullptr; ///< null: unknown, or the secret is wrong
  bool Withdrawn_ = false;
};

/// Checks a shown key, "ID.SECRET", in constant time per known id.
KeyCheck checkKey(const ActiveDeclarations &F, const std::string &Text);

/// \class ActiveDeclarationsHolder
/// \ingroup Node
/// \brief Holds the current InForce for many readers and one writer.
class ActiveDeclarationsHolder {
public:
  std::shared_ptr<const ActiveDeclarations> get() const;
  /// Replaces the current one; revisions only grow.
  void set(std::shared_ptr<const ActiveDeclarations> Next);

private:
  mutable std::mutex Lock_;
  std::shared_ptr<const ActiveDeclarations> Current_ =
      std::make_shared<ActiveDeclarations>();
};

} // namespace lagoonpoint
