#include "lagoonpoint/src/Steering/KeyedChoice.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Weight of an upstream for an object; the highest is its first choice.
double rendezvous(std::uint64_t Object, const SharedUpstream &U) {
  std::uint64_t H = internal::mixBits(Object ^ internal::mixBits(U.Place_));
  double Unit = (static_cast<double>(H >> 11) + 0.5) / 9007199254740992.0;
  return -static_cast<double>(U.Slots_) / std::log(Unit);
}

bool isCold(const SharedUpstream &U, Time Now) { return Now < U.ColdUntil_; }

bool mayWarm(const SharedGroup &G, const SharedUpstream &U, Time Now) {
  if (G.ColdRate_ <= 0 || !U.Warmer_)
    return false;
  auto Every = Duration::millis(static_cast<std::int64_t>(1000 / G.ColdRate_));
  return Now - U.ColdSentAt_ >= Every;
}

bool usable(const SharedGroup &G, const SharedUpstream &U,
            const KeyedWish &Wish, Time Now) {
  if (!U.Open_ || Now < U.DownUntil_ || Wish.Tried_.count(U.Id_))
    return false;
  return !isCold(U, Now) || mayWarm(G, U, Now);
}

/// Usable upstreams of a region, the preferred one first.
std::vector<SharedUpstream *> ranked(SharedGroup &G, const RegionId &Region,
                                     const KeyedWish &Wish,
                                     const KeyedRules &Rules, Time Now) {
  std::vector<std::pair<double, SharedUpstream *>> Found;
  std::uint64_t Object = placeOf(Wish.Object_);
  for (SharedUpstream &U : G.Upstreams_) {
    if (U.Region_ != Region || !usable(G, U, Wish, Now))
      continue;
    double Rank = Wish.Object_.empty() ? -expectedLoad(U, Rules, Now) / U.Slots_
                                       : rendezvous(Object, U);
    Found.push_back({U.Silent_ ? Rank - 1e9 : Rank, &U});
  }
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SharedUpstream *> Out;
  for (const auto &[Rank, U] : Found)
    Out.push_back(U);
  return Out;
}

/// Runs that pass one after the other until a request behind a load has ended.
double turnsBehind(const SharedUpstream &U, double Load) {
  return 1 + std::max(0.0, Load + 1 - U.Slots_) / U.Slots_;
}

/// A request that can't end in time would waste its run.
bool hasRoom(const SharedUpstream &U, double Queued, Duration Left,
             const KeyedRules &Rules, Time Now) {
  double Load = expectedLoad(U, Rules, Now);
  if (Load + 1 > U.Slots_ + Queued)
    return false;
  bool Queues = Load + 1 > U.Slots_;
  double Needed = U.RunSeconds_ * turnsBehind(U, Load);
  return !Queues || Needed <= Left.inSeconds() * Rules.TimeUsed_;
}

} // namespace

std::uint64_t placeOf(const std::string &Name) {
  return internal::stableHash(Name);
}

double expectedLoad(const SharedUpstream &U, const KeyedRules &Rules,
                    Time Now) {
  double Age = (Now - U.ToldAt_).inSeconds();
  double Fade = std::exp2(-Age / Rules.ToldHalfLife_.inSeconds());
  return U.InFlight_ + U.Others_ * Fade;
}

SharedUpstream *chooseShared(SharedGroup &G, const KeyedWish &Wish,
                             const KeyedRules &Rules, Time Now) {
  unsigned Seen = 0;
  for (const RegionId &Region : Wish.Regions_) {
    for (SharedUpstream *U : ranked(G, Region, Wish, Rules, Now)) {
      if (!Wish.Object_.empty() && Seen == Rules.Choices_)
        return nullptr;
      double Queued = Seen == 0 ? Rules.QueuedAtFirst_ : Rules.QueuedElsewhere_;
      ++Seen;
      if (!hasRoom(*U, Queued, Wish.Left_, Rules, Now))
        continue;
      if (isCold(*U, Now))
        U->ColdSentAt_ = Now;
      return U;
    }
  }
  return nullptr;
}

bool anyOpen(const SharedGroup &G, const KeyedWish &Wish, Time Now) {
  return std::any_of(
      G.Upstreams_.begin(), G.Upstreams_.end(), [&](const SharedUpstream &U) {
        bool Allowed = std::find(Wish.Regions_.begin(), Wish.Regions_.end(),
                                 U.Region_) != Wish.Regions_.end();
        return Allowed && U.Open_ && Now >= U.DownUntil_ &&
               !Wish.Tried_.count(U.Id_);
      });
}

void reserve(SharedUpstream &U, Time Now) {
  ++U.InFlight_;
  if (U.UnansweredSince_ == Time())
    U.UnansweredSince_ = Now;
}

void release(SharedUpstream &U, const SharedEnd &End, const KeyedRules &Rules,
             Time Now) {
  U.InFlight_ -= U.InFlight_ > 0 ? 1 : 0;
  if (End.Held_) {
    U.Others_ = std::max(0.0, *End.Held_ - U.InFlight_);
    U.ToldAt_ = Now;
  }
  if (End.Answered_) {
    U.Failures_ = 0;
    U.UnansweredSince_ = U.InFlight_ > 0 ? Now : Time();
  }
  if (End.Seconds_ > 0) {
    double Run = End.Seconds_ / turnsBehind(U, End.Behind_);
    double Gain = U.RunSeconds_ > 0 ? Rules.RunGain_ : 1;
    U.RunSeconds_ += Gain * (Run - U.RunSeconds_);
  }
  bool Unanswered =
      End.TimedOut_ && Now - U.UnansweredSince_ >= Rules.UnansweredToPause_;
  if (!End.NotConnected_ && !End.Failed_ && !Unanswered)
    return;
  ++U.Failures_;
  if (!End.NotConnected_ && U.Failures_ < Rules.FailuresToPause_)
    return;
  Duration Pause = Rules.FirstPause_ * (1LL << std::min(U.Failures_ - 1, 6U));
  U.DownUntil_ = Now + std::min(Pause, Rules.LongestPause_);
}

} // namespace lagoonpoint
