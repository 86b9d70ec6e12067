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

UpstreamNotice makeForwardedNotice(const KnownUpstream &Known, Time Now) {
  UpstreamNotice Out = Known.Notice_;
  Out.WarmupLeft_ = std::max(Known.WarmupEndsAt_ - Now, Duration());
  Out.Age_ = Now - Known.HeardAt_;
  return Out;
}

bool changesUpstream(const UpstreamNotice &A, const KnownUpstream &Known,
                     Time Now) {
  const UpstreamNotice &Old = Known.Notice_;
  // A warm-up that ends as announced is no change.
  Duration WarmupShift =
      Now + A.WarmupLeft_ - std::max(Known.WarmupEndsAt_, Now);
  bool WarmupChanged = WarmupShift > WarmupTolerance ||
                       WarmupShift < Duration() - WarmupTolerance;
  return A.StartedAtMs_ != Old.StartedAtMs_ || A.Phase_ != Old.Phase_ ||
         A.Service_ != Old.Service_ || A.Address_ != Old.Address_ ||
         A.Slots_ != Old.Slots_ || WarmupChanged || Known.Silent_;
}

bool isWarmingUp(const KnownUpstream &Known, Time Now) {
  return Known.Notice_.Phase_ == NoticePhase::Serving &&
         Now < Known.WarmupEndsAt_;
}

std::uint64_t digestTerm(const UpstreamNotice &A, bool IsWarmingUp) {
  std::string Text = A.Id_.str();
  for (const std::string &Field :
       {std::to_string(A.StartedAtMs_),
        std::to_string(static_cast<int>(A.Phase_)), A.Service_.str(),
        A.Address_, A.Zone_.str(), std::to_string(A.Slots_),
        std::string(IsWarmingUp ? "cold" : "")})
    Text.append("/").append(Field);
  return internal::stableHash(Text);
}

/// Updates the digest after a change to an upstream.
void updateDigest(UpstreamRegistry &Registry, KnownUpstream &Known, Time Now) {
  Known.CountsAsCold_ = isWarmingUp(Known, Now);
  std::uint64_t NewTerm = digestTerm(Known.Notice_, Known.CountsAsCold_);
  Registry.Digest_ += NewTerm - Known.DigestTerm_;
  Known.DigestTerm_ = NewTerm;
}

/// Updates the digest for warm-ups that have ended.
void endWarmups(UpstreamRegistry &Registry, Time Now) {
  for (auto &[Id, Known] : Registry.Upstreams_)
    if (Known.CountsAsCold_ && !isWarmingUp(Known, Now))
      updateDigest(Registry, Known, Now);
}

/// Marks the older upstreams at an address as gone: an address belongs to the
/// process that was started last.
void retireOlderAtAddress(UpstreamRegistry &Registry, const UpstreamNotice &A,
                          Time Now) {
  for (auto &[Id, Known] : Registry.Upstreams_) {
    if (Id == A.Id_ || Known.Notice_.Address_ != A.Address_)
      continue;
    if (Known.Notice_.StartedAtMs_ >= A.StartedAtMs_)
      continue;
    Known.Notice_.Phase_ = NoticePhase::Gone;
    updateDigest(Registry, Known, Now);
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

void removeExpired(UpstreamRegistry &Registry, Duration After, Time Now) {
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

bool applyNotice(UpstreamRegistry &Registry, const UpstreamNotice &A,
                 Time Now) {
  auto Found = Registry.Upstreams_.find(A.Id_);
  bool IsKnown = Found != Registry.Upstreams_.end();
  if (IsKnown && !isNewer(A, Found->second.Notice_))
    return false;
  bool Changed = !IsKnown || changesUpstream(A, Found->second, Now);
  bool ClaimsAddress = !IsKnown ||
                       A.StartedAtMs_ != Found->second.Notice_.StartedAtMs_ ||
                       A.Address_ != Found->second.Notice_.Address_;
  KnownUpstream &Known = Registry.Upstreams_[A.Id_];
  bool IsSameProcess = IsKnown && A.StartedAtMs_ == Known.Notice_.StartedAtMs_;
  Known.Notice_ = A;
  if (!IsSameProcess || A.Sequence_ >= Known.HeardSequence_) {
    Known.HeardSequence_ = A.Sequence_;
    Known.HeardAt_ = Now - A.Age_;
    Known.Silent_ = false;
  }
  Known.WarmupEndsAt_ = Now + A.WarmupLeft_;
  if (ClaimsAddress && hasNewerAtAddress(Registry, A))
    Known.Notice_.Phase_ = NoticePhase::Gone;
  updateDigest(Registry, Known, Now);
  if (ClaimsAddress)
    retireOlderAtAddress(Registry, A, Now);
  return Changed;
}

std::vector<UpstreamId> applyNotices(UpstreamRegistry &Registry,
                                     const std::vector<UpstreamNotice> &Notices,
                                     Time Now) {
  std::vector<UpstreamId> Changed;
  for (const UpstreamNotice &A : Notices) {
    if (!applyNotice(Registry, A, Now))
      continue;
    for (const auto &[Id, Known] : Registry.Upstreams_)
      if (Known.Notice_.Address_ == A.Address_)
        Changed.push_back(Id);
  }
  return Changed;
}

void recordSighting(UpstreamRegistry &Registry, const UpstreamId &Id,
                    std::uint64_t Sequence, Duration Age, Time Now) {
  auto Found = Registry.Upstreams_.find(Id);
  if (Found == Registry.Upstreams_.end())
    return;
  KnownUpstream &Known = Found->second;
  if (Sequence < Known.HeardSequence_ || Now - Age <= Known.HeardAt_)
    return;
  Known.HeardSequence_ = Sequence;
  Known.HeardAt_ = Now - Age;
}

void expireSilent(UpstreamRegistry &Registry, Duration SilentAfter,
                  Duration ForgetAfter, Time Now) {
  removeExpired(Registry, ForgetAfter, Now);
  endWarmups(Registry, Now);
  for (auto &[Id, Known] : Registry.Upstreams_)
    Known.Silent_ = Now - Known.HeardAt_ > SilentAfter;
}

void applySilentReports(
    UpstreamRegistry &Registry,
    const std::vector<const std::set<UpstreamId> *> &SilentByCore,
    Duration ForgetAfter, Time Now) {
  for (auto &[Id, Known] : Registry.Upstreams_) {
    const UpstreamId &Name = Id;
    Known.Silent_ = !SilentByCore.empty() &&
                    std::all_of(SilentByCore.begin(), SilentByCore.end(),
                                [&Name](const auto *Names) {
                                  return Names->count(Name) != 0;
                                });
    if (!SilentByCore.empty() && !Known.Silent_)
      Known.HeardAt_ = Now;
  }
  removeExpired(Registry, ForgetAfter, Now);
  endWarmups(Registry, Now);
}

std::uint64_t digestOf(const UpstreamRegistry &Registry) {
  return Registry.Digest_;
}

std::vector<UpstreamNotice> allNotices(const UpstreamRegistry &Registry,
                                       Time Now) {
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Known] : Registry.Upstreams_)
    Out.push_back(makeForwardedNotice(Known, Now));
  return Out;
}

std::vector<UpstreamNotice> warmupNotices(const UpstreamRegistry &Registry,
                                          Time Now) {
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Known] : Registry.Upstreams_)
    if (isWarmingUp(Known, Now))
      Out.push_back(makeForwardedNotice(Known, Now));
  return Out;
}

BucketDigests bucketDigests(const UpstreamRegistry &Registry) {
  BucketDigests Out(BucketCount);
  for (const auto &[Id, Known] : Registry.Upstreams_)
    Out[bucketOf(Id)] += Known.DigestTerm_;
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
  for (const auto &[Id, Known] : Registry.Upstreams_)
    if (OwnDigests[bucketOf(Id)] != PeerDigests[bucketOf(Id)])
      Out.push_back(makeForwardedNotice(Known, Now));
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
