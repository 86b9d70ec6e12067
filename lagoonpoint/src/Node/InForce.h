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
struct InForce {
  Revision Revision_;
  std::string Digest_;
  Declarations Declared_;
  std::set<KeyId> Withdrawn_;
  std::map<ZoneId, ZoneView> Views_;
  std::vector<RouteDecl> Routes_; ///< longest prefix first
  BlockTable Blocks_;
};

/// Prepares a catalog for serving.
std::shared_ptr<const InForce> prepare(const Catalog &State);

/// \returns the route with the longest prefix of the path, null if none.
/// A prefix matches whole path segments only.
const RouteDecl *findRoute(const InForce &F, const std::string &Path);

/// \returns true if a zone is drained and another zone of its region isn't, so
/// that its work goes there.
bool yields(const InForce &F, const ZoneId &Zone);

/// What a shown key was found to be.
struct KeyCheck {
  const KeyDecl *Key_ = nullptr; ///< null: unknown, or the secret is wrong
  bool Withdrawn_ = false;
};

/// Checks a shown key, "ID.SECRET", in constant time per known id.
KeyCheck checkKey(const InForce &F, const std::string &Shown);

/// \class InForceCell
/// \ingroup Node
/// \brief Holds the current InForce for many readers and one writer.
class InForceCell {
public:
  std::shared_ptr<const InForce> get() const;
  /// Replaces the current one; revisions only grow.
  void set(std::shared_ptr<const InForce> Next);

private:
  mutable std::mutex Lock_;
  std::shared_ptr<const InForce> Current_ = std::make_shared<InForce>();
};

} // namespace lagoonpoint
