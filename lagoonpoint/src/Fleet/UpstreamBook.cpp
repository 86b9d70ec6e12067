#include "lagoonpoint/src/Fleet/UpstreamBook.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// About ten upstreams a part at today's largest services.
constexpr std::size_t BookParts = 64;

/// Announcements take different times on their way.
constexpr Duration ColdSlack = Duration::millis(500);

std::size_t placeIn(const UpstreamId &Id) {
  return internal::mixBits(internal::stableHash(Id.str())) % BookParts;
}

UpstreamNotice passedOn(const KnownUpstream &Held, Time Now) {
  UpstreamNotice Out = Held.Said_;
  Out.ColdFor_ = std::max(Held.ColdUntil_ - Now, Duration());
  Out.Age_ = Now - Held.HeardAt_;
  return Out;
}

bool isNewer(const UpstreamNotice &A, const UpstreamNotice &Held) {
  if (A.BornAt_ != Held.BornAt_)
    return A.BornAt_ > Held.BornAt_;
  if (A.Phase_ != Held.Phase_)
    return A.Phase_ > Held.Phase_;
  return A.Sequence_ > Held.Sequence_;
}

bool saysMore(const UpstreamNotice &A, const KnownUpstream &Held, Time Now) {
  const UpstreamNotice &Old = Held.Said_;
  // That a warm-up ends on time is known from its beginning.
  Duration Moved = Now + A.ColdFor_ - std::max(Held.ColdUntil_, Now);
  bool OtherCold = Moved > ColdSlack || Moved < Duration() - ColdSlack;
  return A.BornAt_ != Old.BornAt_ || A.Phase_ != Old.Phase_ ||
         A.Service_ != Old.Service_ || A.Address_ != Old.Address_ ||
         A.Slots_ != Old.Slots_ || OtherCold || Held.Silent_;
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

void forget(UpstreamBook &Book, Duration After, Time Now) {
  for (auto It = Book.Upstreams_.begin(); It != Book.Upstreams_.end();) {
    if (Now - It->second.HeardAt_ <= After) {
      ++It;
      continue;
    }
    Book.Digest_ -= It->second.Part_;
    It = Book.Upstreams_.erase(It);
  }
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
  forget(Book, ForgetAfter, Now);
  for (auto &[Id, Held] : Book.Upstreams_)
    Held.Silent_ = Now - Held.HeardAt_ > SilentAfter;
}

void markSilent(UpstreamBook &Book,
                const std::vector<const std::set<UpstreamId> *> &Told,
                Duration ForgetAfter, Time Now) {
  for (auto &[Id, Held] : Book.Upstreams_) {
    const UpstreamId &Name = Id;
    Held.Silent_ =
        !Told.empty() &&
        std::all_of(Told.begin(), Told.end(), [&Name](const auto *Names) {
          return Names->count(Name) != 0;
        });
    if (!Told.empty() && !Held.Silent_)
      Held.HeardAt_ = Now;
  }
  forget(Book, ForgetAfter, Now);
}

std::uint64_t digestOf(const UpstreamBook &Book) { return Book.Digest_; }

std::vector<UpstreamNotice> noticesOf(const UpstreamBook &Book, Time Now) {
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Held] : Book.Upstreams_)
    Out.push_back(passedOn(Held, Now));
  return Out;
}

BookSums sumsOf(const UpstreamBook &Book) {
  BookSums Out(BookParts);
  for (const auto &[Id, Held] : Book.Upstreams_)
    Out[placeIn(Id)] += Held.Part_;
  return Out;
}

std::vector<UpstreamNotice> noticesBeside(const UpstreamBook &Book,
                                          const BookSums &Theirs, Time Now) {
  if (Theirs.size() != BookParts) // of a version that divides it otherwise
    return noticesOf(Book, Now);
  BookSums Own = sumsOf(Book);
  std::vector<UpstreamNotice> Out;
  for (const auto &[Id, Held] : Book.Upstreams_)
    if (Own[placeIn(Id)] != Theirs[placeIn(Id)])
      Out.push_back(passedOn(Held, Now));
  return Out;
}

std::vector<UpstreamNotice>
noticesLacked(const UpstreamBook &Book, const BookSums &Theirs,
              const std::vector<UpstreamNotice> &Said, Time Now) {
  std::map<UpstreamId, const UpstreamNotice *> Held;
  for (const UpstreamNotice &A : Said)
    Held[A.Id_] = &A;
  std::vector<UpstreamNotice> Out = noticesBeside(Book, Theirs, Now);
  std::erase_if(Out, [&](const UpstreamNotice &Own) {
    auto Found = Held.find(Own.Id_);
    return Found != Held.end() && !isNewer(Own, *Found->second);
  });
  return Out;
}

} // namespace lagoonpoint
