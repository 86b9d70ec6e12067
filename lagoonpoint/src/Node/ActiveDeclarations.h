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

/// \class ActiveDeclarations
/// \ingroup Node
/// \brief The declarations of the active revision, indexed for serving calls.
/// Immutable.
struct ActiveDeclarations {
  Revision Revision_;
  std::string Digest_;
  Declarations Declarations_;
  std::set<KeyId> WithdrawnKeys_;
  std::map<ZoneId, ZoneView> Views_;
  std::vector<RouteDecl> Routes_; ///< longest prefix first
  BlockTable Blocks_;
};

/// Builds the active declarations from a catalog.
std::shared_ptr<const ActiveDeclarations>
makeActiveDeclarations(const Catalog &State);

/// \returns the route whose prefix is the longest that matches the path, null
/// if no route matches. A prefix matches whole path segments only.
const RouteDecl *findRoute(const ActiveDeclarations &F,
                           const std::string &Path);

/// \returns true if the zone is drained and another zone of its region is not,
/// so that its calls go to other zones.
bool drainsToOtherZone(const ActiveDeclarations &F, const ZoneId &Zone);

/// Result of checking a key that a caller presented.
struct KeyCheck {
  const KeyDecl *Key_ = nullptr; ///< null: unknown, or the secret is wrong
  bool Withdrawn_ = false;
};

/// Checks a key of the form "ID.SECRET". For a known id the time does not
/// depend on the secret.
KeyCheck checkKey(const ActiveDeclarations &F, const std::string &Text);

/// \class ActiveDeclarationsHolder
/// \ingroup Node
/// \brief Holds the current active declarations for many readers and one
/// writer.
class ActiveDeclarationsHolder {
public:
  std::shared_ptr<const ActiveDeclarations> get() const;
  /// Replaces the current declarations. The revision must not decrease.
  void set(std::shared_ptr<const ActiveDeclarations> Next);

private:
  mutable std::mutex Lock_;
  std::shared_ptr<const ActiveDeclarations> Current_ =
      std::make_shared<ActiveDeclarations>();
};

} // namespace lagoonpoint
