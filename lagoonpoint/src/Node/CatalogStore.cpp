#include "lagoonpoint/src/Node/CatalogStore.h"

#include "lagoonpoint/Log"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *FeedFolder = "/feed";
constexpr const char *CacheFile = "catalog";
constexpr const char *NewCacheFile = "catalog.new";
constexpr const char *Step = "feed.cache";

} // namespace

CatalogStore::CatalogStore(const std::string &Folder)
    : Digest_(digestOf(Catalog_)) {
  if (Folder.empty())
    return;
  Files_ = std::make_unique<PosixFiles>(Folder + FeedFolder);
  load();
}

/// A damaged copy is ignored; the feed then fetches the state again.
void CatalogStore::load() {
  std::vector<std::string> Names = Files_->list();
  if (std::find(Names.begin(), Names.end(), CacheFile) == Names.end())
    return;
  std::string Bytes = Files_->read(CacheFile);
  try {
    if (Bytes.size() < HashHexLength ||
        sha256Hex(Bytes.substr(HashHexLength)) !=
            Bytes.substr(0, HashHexLength))
      throw Error(Step, CacheFile, "checksum doesn't match");
    Catalog_ = decode<Catalog>(std::string_view(Bytes).substr(HashHexLength),
                               Step, CacheFile);
    Digest_ = digestOf(Catalog_);
    RestoredFromDisk_ = true;
  } catch (const Error &E) {
    logError(E, LogLevel::Warning);
  }
}

void CatalogStore::save() const {
  if (!Files_)
    return;
  std::string Body = encodeForFollowers(Catalog_);
  Files_->write(NewCacheFile, sha256Hex(Body) + Body);
  Files_->sync(NewCacheFile);
  Files_->rename(NewCacheFile, CacheFile);
  Files_->syncFolder();
}

void CatalogStore::commit(Catalog Next) {
  LAGOONPOINT_ASSERT(Next.Revision_ >= Catalog_.Revision_, Step);
  Next.Replies_.clear();
  Next.ReplyOrder_.clear();
  Catalog_ = std::move(Next);
  Digest_ = digestOf(Catalog_);
  try {
    save();
  } catch (const DiskError &E) {
    // The copy only speeds up the next start; the active state is not lost.
    logError(E, LogLevel::Warning);
  }
}

FeedSnapshot CatalogStore::snapshot() const {
  return {Catalog_.Revision_, encodeForFollowers(Catalog_)};
}

void CatalogStore::apply(const Delta &D) {
  Change C = decode<Change>(D.Body_, "feed.apply", "");
  Catalog Next = Catalog_;
  ChangeReply Reply = applyChange(Next, C);
  if (Reply.Verdict_ != ChangeVerdict::Accepted || Next.Revision_ != D.To_)
    throw Error("feed.apply", "",
                "applying the change did not give the announced revision");
  commit(std::move(Next));
}

void CatalogStore::restore(const FeedSnapshot &State) {
  Catalog Next = decode<Catalog>(State.Body_, "feed.restore", "");
  if (Next.Revision_ != State.Revision_)
    throw Error("feed.restore", "",
                "the snapshot does not contain the announced revision");
  commit(std::move(Next));
}

void CatalogStore::replace(const Catalog &State) { commit(State); }

} // namespace lagoonpoint
