#include "lagoonpoint/src/Fleet/UpstreamBook.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

bool isNewer(const UpstreamNotice &A, const UpstreamNotice &Held) {
  if (A.BornAt_ != Held.BornAt_)
    return A.BornAt_ > Held.BornAt_;
  if (A.Phase_ != Held.Phase_)
    return A.Phase_ > Held.Phase_;
  return A.Sequence_ > Held.Sequence_;
}

bool saysMore(const UpstreamNotice &A, const KnownUpstream &Held, Time Now) {
  const UpstreamNotice &Old = Held.Said_;
  bool WasCold = Held.ColdUntil_ > Now;
  bool IsCold = A.ColdFor_ > Duration();
  return A.BornAt_ != Old.BornAt_ || A.Phase_ != Old.Phase_ ||
         A.Service_ != Old.Service_ || A.Address_ != Old.Address_ ||
         A.Slots_ != Old.Slots_ || WasCold != IsCold || Held.Silent_;
}

std::uint64_t partOf(const UpstreamNotice &A) {
  return internal::stableHash(A.Id_.str() + "/" + std::to_string(A.BornAt_) +
                              "/" + std::to_string(static_cast<int>(A.Phase_)));
}

/// Brings the digest up to date with a changed upstream.
void settleDigest(UpstreamBook &Book, KnownUpstream &Held) {
  std::uint64_t Part = partOf(Held.Said_);
  Book.Digest_ += Part - Held.Part_;
  Held.Part_ = Part;
}

/// An address is held by the process that was started last.
void endOthersAt(UpstreamBook &Book, const UpstreamNotice &A) {
  for (auto &[Id, Held] : Book.Upstreams_) {
    if (Id == A.Id_ || Held.Said_.Address_ != A.Address_)
      continue;
    if (Held.Said_.BornAt_ >= A.BornAt_)
      continue;
    Held.Said_.Phase_ = NoticePhase::Gone;
    settleDigest(Book, Held);
  }
}

bool addressTaken(const UpstreamBook &Book, const UpstreamNotice &A) {
  return std::any_of(
      Book.Upstreams_.begin(), Book.Upstreams_.end(), [&](const auto &Entry) {
        const UpstreamNotice &Other = Entry.second.Said_;
        return Other.Id_ != A.Id_ && Other.Address_ == A.Address_ &&
               Other.BornAt_ > A.BornAt_;
      });
}

} // namespace

bool learn(UpstreamBook &Book, const UpstreamNotice &A, Time Now) {
  auto Found = Book.Upstreams_.find(A.Id_);
  bool Known = Found != Book.Upstreams_.end();
  if (Known && !isNewer(A, Found->second.Said_))
    return false;
  bool News = !Known || saysMore(A, Found->second, Now);
  KnownUpstream &Held = Book.Upstreams_[A.Id_];
  Held.Said_ = A;
  Held.HeardAt_ = Now - A.Age_;
  Held.ColdUntil_ = Now + A.ColdFor_;
  Held.Silent_ = false;
  if (addressTaken(Book, A))
    Held.Said_.Phase_ = NoticePhase::Gone;
  settleDigest(Book, Held);
  endOthersAt(Book, A);
  return News;
}

void heard(UpstreamBook &Book, const UpstreamId &Id, std::uint64_t Sequence,
           Duration Age, Time Now) {
  auto Found = Book.Upstreams_.find(Id);
  if (Found == Book.Upstreams_.end())
    return;
  KnownUpstream &Held = Found->second;
  if (Sequence < Held.Said_.Sequence_ || Now - Age <= Held.HeardAt_)
    return;
  Held.Said_.Sequence_ = Sequence;
  Held.HeardAt_ = Now - Age;
}

void age(UpstreamBook &Book, Duration SilentAfter, Duration ForgetAfter,
         Time Now) {
  for (auto It = Book.Upstreams_.begin(); It != Book.Upstreams_.end();) {
    Duration Quiet = Now - It->second.HeardAt_;
    It->second.Silent_ = Quiet > SilentAfter;
    if (Quiet <= ForgetAfter) {
      ++It;
      continue;
    }
    Book.Digest_ -= It->second.Part_;
    It = Book.Upstreams_.erase(It);
  }
}

std::uint64_t digestOf(const UpstreamBook &Book) { return Book.Digest_; }

std::vector<UpstreamNotice> noticesOf(const UpstreamBook &Book, Time Now) {
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Held] : Book.Upstreams_) {
    Out.push_back(Held.Said_);
    Out.back().ColdFor_ = std::max(Held.ColdUntil_ - Now, Duration());
    Out.back().Age_ = Now - Held.HeardAt_;
  }
  return Out;
}

} // namespace lagoonpoint
