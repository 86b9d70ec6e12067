#include "lagoonpoint/src/Fleet/UpstreamRegistry.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Gives about ten upstreams per bucket for the largest current services.
constexpr std::size_t BucketCount = 64;

/// Tolerates that announcements take different times to arrive.
constexpr Duration WarmupTolerance = Duration::millis(500);

std::size_t bucketOf(const UpstreamId &Id) {
  return internal::mixBits(internal::stableHash(Id.str())) % BucketCount;
}

UpstreamNotice makeForwardedNotice(const KnownUpstream &Held, Time Now) {
  UpstreamNotice Out = Held.Notice_;
  Out.WarmupLeft_ = std::max(Held.WarmupEndsAt_ - Now, Duration());
  Out.Age_ = Now - Held.HeardAt_;
  return Out;
}

bool isNewer(const UpstreamNotice &A, const UpstreamNotice &Held) {
  if (A.StartedAtMs_ != Held.StartedAtMs_)
    return A.StartedAtMs_ > Held.StartedAtMs_;
  if (A.Phase_ != Held.Phase_)
    return A.Phase_ > Held.Phase_;
  return A.Sequence_ > Held.Sequence_;
}

bool changesUpstream(const UpstreamNotice &A, const KnownUpstream &Held,
                     Time Now) {
  const UpstreamNotice &Old = Held.Notice_;
  // A warm-up that ends as announced is no change.
  Duration WarmupShift =
      Now + A.WarmupLeft_ - std::max(Held.WarmupEndsAt_, Now);
  bool WarmupChanged = WarmupShift > WarmupTolerance ||
                       WarmupShift < Duration() - WarmupTolerance;
  return A.StartedAtMs_ != Old.StartedAtMs_ || A.Phase_ != Old.Phase_ ||
         A.Service_ != Old.Service_ || A.Address_ != Old.Address_ ||
         A.Slots_ != Old.Slots_ || WarmupChanged || Held.Silent_;
}

std::uint64_t partOf(const UpstreamNotice &A) {
  return internal::stableHash(A.Id_.str() + "/" +
                              std::to_string(A.StartedAtMs_) + "/" +
                              std::to_string(static_cast<int>(A.Phase_)));
}

/// Updates the digest after a change to an upstream.
void updateDigest(UpstreamRegistry &Registry, KnownUpstream &Held) {
  std::uint64_t Part = partOf(Held.Notice_);
  Registry.Digest_ += Part - Held.DigestTerm_;
  Held.DigestTerm_ = Part;
}

/// Marks the older upstreams at an address as gone: an address belongs to the
/// process that was started last.
void retireOlderAtAddress(UpstreamRegistry &Registry, const UpstreamNotice &A) {
  for (auto &[Id, Held] : Registry.Upstreams_) {
    if (Id == A.Id_ || Held.Notice_.Address_ != A.Address_)
      continue;
    if (Held.Notice_.StartedAtMs_ >= A.StartedAtMs_)
      continue;
    Held.Notice_.Phase_ = NoticePhase::Gone;
    updateDigest(Registry, Held);
  }
}

bool hasNewerAtAddress(const UpstreamRegistry &Registry,
                       const UpstreamNotice &A) {
  return std::any_of(Registry.Upstreams_.begin(), Registry.Upstreams_.end(),
                     [&](const auto &Entry) {
                       const UpstreamNotice &Other = Entry.second.Notice_;
                       return Other.Id_ != A.Id_ &&
                              Other.Address_ == A.Address_ &&
                              Other.StartedAtMs_ > A.StartedAtMs_;
                     });
}

void forget(UpstreamRegistry &Registry, Duration After, Time Now) {
  for (auto It = Registry.Upstreams_.begin();
       It != Registry.Upstreams_.end();) {
    if (Now - It->second.HeardAt_ <= After) {
      ++It;
      continue;
    }
    Registry.Digest_ -= It->second.DigestTerm_;
    It = Registry.Upstreams_.erase(It);
  }
}

} // namespace

bool learn(UpstreamRegistry &Book, const UpstreamNotice &A, Time Now) {
  auto Found = Book.Upstreams_.find(A.Id_);
  bool Known = Found != Book.Upstreams_.end();
  if (Known && !isNewer(A, Found->second.Notice_))
    return false;
  bool News = !Known || changesUpstream(A, Found->second, Now);
  KnownUpstream &Held = Book.Upstreams_[A.Id_];
  Held.Notice_ = A;
  Held.HeardAt_ = Now - A.Age_;
  Held.WarmupEndsAt_ = Now + A.WarmupLeft_;
  Held.Silent_ = false;
  if (hasNewerAtAddress(Book, A))
    Held.Notice_.Phase_ = NoticePhase::Gone;
  updateDigest(Book, Held);
  retireOlderAtAddress(Book, A);
  return News;
}

void recordSighting(UpstreamRegistry &Registry, const UpstreamId &Id,
                    std::uint64_t Sequence, Duration Age, Time Now) {
  auto Found = Registry.Upstreams_.find(Id);
  if (Found == Registry.Upstreams_.end())
    return;
  KnownUpstream &Held = Found->second;
  if (Sequence < Held.Notice_.Sequence_ || Now - Age <= Held.HeardAt_)
    return;
  Held.Notice_.Sequence_ = Sequence;
  Held.HeardAt_ = Now - Age;
}

void expireSilent(UpstreamRegistry &Registry, Duration SilentAfter,
                  Duration ForgetAfter, Time Now) {
  forget(Registry, ForgetAfter, Now);
  for (auto &[Id, Held] : Registry.Upstreams_)
    Held.Silent_ = Now - Held.HeardAt_ > SilentAfter;
}

void applySilentReports(
    UpstreamRegistry &Registry,
    const std::vector<const std::set<UpstreamId> *> &SilentByCore,
    Duration ForgetAfter, Time Now) {
  for (auto &[Id, Held] : Registry.Upstreams_) {
    const UpstreamId &Name = Id;
    Held.Silent_ = !SilentByCore.empty() &&
                   std::all_of(SilentByCore.begin(), SilentByCore.end(),
                               [&Name](const auto *Names) {
                                 return Names->count(Name) != 0;
                               });
    if (!SilentByCore.empty() && !Held.Silent_)
      Held.HeardAt_ = Now;
  }
  forget(Registry, ForgetAfter, Now);
}

std::uint64_t digestOf(const UpstreamRegistry &Registry) {
  return Registry.Digest_;
}

std::vector<UpstreamNotice> allNotices(const UpstreamRegistry &Registry,
                                       Time Now) {
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Held] : Registry.Upstreams_)
    Out.push_back(makeForwardedNotice(Held, Now));
  return Out;
}

BucketDigests bucketDigests(const UpstreamRegistry &Registry) {
  BucketDigests Out(BucketCount);
  for (const auto &[Id, Held] : Registry.Upstreams_)
    Out[bucketOf(Id)] += Held.DigestTerm_;
  return Out;
}

std::vector<UpstreamNotice> differingNotices(const UpstreamRegistry &Registry,
                                             const BucketDigests &PeerDigests,
                                             Time Now) {
  // The peer runs a version with another number of buckets.
  if (PeerDigests.size() != BucketCount)
    return allNotices(Registry, Now);
  BucketDigests OwnDigests = bucketDigests(Registry);
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Held] : Registry.Upstreams_)
    if (OwnDigests[bucketOf(Id)] != PeerDigests[bucketOf(Id)])
      Out.push_back(makeForwardedNotice(Held, Now));
  return Out;
}

std::vector<UpstreamNotice>
missingNotices(const UpstreamRegistry &Registry,
               const BucketDigests &PeerDigests,
               const std::vector<UpstreamNotice> &PeerNotices, Time Now) {
  std::map<UpstreamId, const UpstreamNotice *> PeerNoticesById;
  for (const UpstreamNotice &A : PeerNotices)
    PeerNoticesById[A.Id_] = &A;
  std::vector<UpstreamNotice> Out =
      differingNotices(Registry, PeerDigests, Now);
  std::erase_if(Out, [&](const UpstreamNotice &Own) {
    auto Found = PeerNoticesById.find(Own.Id_);
    return Found != PeerNoticesById.end() && !isNewer(Own, *Found->second);
  });
  return Out;
}

} // namespace lagoonpoint
