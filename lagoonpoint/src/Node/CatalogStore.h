#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Disk"
#include "lagoonpoint/Dissemination"

#include <memory>
#include <string>

namespace lagoonpoint {

/// \class CatalogStore
/// \ingroup Node
/// \brief The active catalog of this VM, updated by the feed, with a cached
/// copy on the disk if the VM has one.
class CatalogStore final : public FeedStore {
public:
  /// Reads the cached copy, if there is one and its checksum is right.
  /// \param Folder empty on a VM without a disk
  explicit CatalogStore(const std::string &Folder);

  Revision revision() const override { return Catalog_.Revision_; }
  std::string digest() const override { return Digest_; }
  FeedSnapshot snapshot() const override;
  void apply(const Delta &Change) override;
  void restore(const FeedSnapshot &State) override;

  /// Replaces the catalog with that of this VM's replica. The revision must not
  /// decrease.
  void replace(const Catalog &State);
  const Catalog &catalog() const { return Catalog_; }
  bool restoredFromDisk() const { return RestoredFromDisk_; }

private:
  void load();
  void commit(Catalog Next);
  void save() const;

  std::unique_ptr<PosixFiles> Files_;
  Catalog Catalog_;
  std::string Digest_;
  bool RestoredFromDisk_ = false;
};

} // namespace lagoonpoint
