#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Disk"
#include "lagoonpoint/Dissemination"

#include <memory>
#include <string>

namespace lagoonpoint {

/// \class CatalogStore
/// \ingroup Node
/// \brief The catalog in force at this VM, moved forward by the feed, with a
/// cached copy on the disk if the VM has one.
class CatalogStore final : public FeedStore {
public:
  /// Reads the cached copy, if there is a sound one.
  /// \param Folder empty on a VM without a disk
  explicit CatalogStore(const std::string &Folder);

  Revision revision() const override { return Catalog_.Revision_; }
  std::string digest() const override { return Digest_; }
  FeedSnapshot snapshot() const override;
  void apply(const Delta &Change) override;
  void restore(const FeedSnapshot &State) override;

  /// Takes over a newer catalog of this VM's replica.
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
  bool RestoredFromDisk_ = false; ///< read from the disk at the start
};

} // namespace lagoonpoint
