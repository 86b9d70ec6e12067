#include "lagoonpoint/src/Steering/KeyedChoice.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// A load is told to others if it exceeds what was known by this factor, so
/// that a long queue is told again and not each call more.
constexpr double MinIncreaseFactor = 1.5;

bool isCold(const SharedUpstream &U, Time Now) { return Now < U.WarmupEndsAt_; }

bool maySendCold(const SharedGroup &G, const SharedUpstream &U, Time Now) {
  if (G.WarmupRate_ <= 0 || !U.IsWarmedHere_)
    return false;
  auto Interval =
      Duration::millis(static_cast<std::int64_t>(1000 / G.WarmupRate_));
  return Now - U.LastColdSendAt_ >= Interval;
}

/// \returns when this VM may send calls to an upstream again.
Time openAt(const SharedUpstream &U) {
  return std::max(U.BackOffUntil_, U.PausedUntil_);
}

bool isExcluded(const SharedUpstream &U, const KeyedRequest &Request) {
  return Request.Tried_.count(U.Id_) ||
         (!Request.Only_.empty() && !Request.Only_.count(U.Id_));
}

bool usable(const SharedGroup &G, const SharedUpstream &U,
            const KeyedRequest &Request, Time Now) {
  if (!U.Available_ || Now < openAt(U) || isExcluded(U, Request))
    return false;
  return !isCold(U, Now) || maySendCold(G, U, Now);
}

/// \returns whether an upstream could take the call at some time.
bool isAllowed(const SharedUpstream &U, const KeyedRequest &Request) {
  bool InRegion = std::find(Request.Regions_.begin(), Request.Regions_.end(),
                            U.Region_) != Request.Regions_.end();
  return InRegion && U.Available_ && !isExcluded(U, Request);
}

/// \returns the usable upstreams of a region, best first.
std::vector<SharedUpstream *> rankedUpstreams(SharedGroup &G,
                                              const RegionId &Region,
                                              const KeyedRequest &Request,
                                              const KeyedChoiceOptions &Options,
                                              Time Now) {
  std::vector<std::pair<double, SharedUpstream *>> Found;
  std::uint64_t Object = rendezvousHash(Request.Object_);
  for (SharedUpstream &U : G.Upstreams_) {
    if (U.Region_ != Region || !usable(G, U, Request, Now))
      continue;
    double Rank = Request.Object_.empty()
                      ? -estimatedInFlight(U, Options, Now) / U.Slots_
                      : rendezvousWeight(Object, U.IdHash_, U.Slots_);
    Found.push_back({U.Silent_ ? Rank - 1e9 : Rank, &U});
  }
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<SharedUpstream *> Out;
  for (const auto &[Rank, U] : Found)
    Out.push_back(U);
  return Out;
}

/// \returns the number of service times until a call sent behind \p Load calls
/// is complete.
double serviceRounds(const SharedUpstream &U, double Load) {
  return 1 + std::max(0.0, Load + 1 - U.Slots_) / U.Slots_;
}

double firstChoiceQueue(const KeyedChoiceOptions &Options) {
  return Options.LoadsAreShared_ ? Options.FirstChoiceQueueWithNotices_
                                 : Options.FirstChoiceQueue_;
}

/// \returns whether a call may be sent. A call that would queue is sent only if
/// it is expected to complete in time, as its run would be wasted otherwise.
bool hasRoom(const SharedUpstream &U, double Queued, Duration Left,
             const KeyedChoiceOptions &Options, Time Now) {
  double Load = estimatedInFlight(U, Options, Now);
  if (Load + 1 > U.Slots_ + Queued)
    return false;
  bool Queues = Load + 1 > U.Slots_;
  double Needed = U.ServiceSeconds_ * serviceRounds(U, Load);
  return !Queues || Needed <= Left.inSeconds() * Options.MaxTimeFraction_;
}

} // namespace

std::uint64_t rendezvousHash(const std::string &Name) {
  return internal::stableHash(Name);
}

double rendezvousWeight(std::uint64_t Object, std::uint64_t IdHash,
                        unsigned Slots) {
  std::uint64_t H = internal::mixBits(Object ^ internal::mixBits(IdHash));
  double Unit = (static_cast<double>(H >> 11) + 0.5) / 9007199254740992.0;
  return -static_cast<double>(Slots) / std::log(Unit);
}

double estimatedInFlight(const SharedUpstream &U,
                         const KeyedChoiceOptions &Options, Time Now) {
  double Age = (Now - U.OthersReportedAt_).inSeconds();
  double Pace = Options.LoadsAreShared_ ? U.Pace_ : 1;
  double Decay = std::exp2(-Age / (Options.ReportHalfLife_.inSeconds() * Pace));
  return U.InFlight_ + U.OthersInFlight_ * Decay;
}

SharedUpstream *chooseShared(SharedGroup &G, const KeyedRequest &Request,
                             const KeyedChoiceOptions &Options, Time Now) {
  unsigned Seen = 0;
  for (const RegionId &Region : Request.Regions_) {
    for (SharedUpstream *U :
         rankedUpstreams(G, Region, Request, Options, Now)) {
      if (!Request.Object_.empty() && Seen == Options.MaxChoices_)
        return nullptr;
      double Queued =
          Seen == 0 ? firstChoiceQueue(Options) : Options.OtherChoiceQueue_;
      ++Seen;
      if (U->Limit_ && !hasToken(*U->Limit_, Now))
        continue; // as a full one: a further choice would be another cold run
      if (!hasRoom(*U, Queued, Request.TimeLeft_, Options, Now))
        continue;
      if (isCold(*U, Now))
        U->LastColdSendAt_ = Now;
      return U;
    }
  }
  return nullptr;
}

bool anyAvailable(const SharedGroup &G, const KeyedRequest &Request, Time Now) {
  return std::any_of(G.Upstreams_.begin(), G.Upstreams_.end(),
                     [&](const SharedUpstream &U) {
                       return isAllowed(U, Request) && Now >= openAt(U);
                     });
}

Time usableFrom(const SharedGroup &G, const KeyedRequest &Request, Time Now) {
  std::optional<Time> First;
  for (const SharedUpstream &U : G.Upstreams_)
    if (isAllowed(U, Request))
      First = std::min(First.value_or(openAt(U)), openAt(U));
  return std::max(First.value_or(Now), Now);
}

bool changesChoice(const SharedUpstream &U, double Stated,
                   const KeyedChoiceOptions &Options, Time Now) {
  double Full = U.Slots_ + 1;
  double Known = estimatedInFlight(U, Options, Now);
  bool IsFuller = Stated >= Full && Stated >= Known * MinIncreaseFactor;
  bool IsFreeAgain = Known >= Full && Stated <= U.Slots_;
  return IsFuller || IsFreeAgain;
}

void recordLoad(SharedUpstream &U, double Calls, double Pace, Time Now) {
  U.OthersInFlight_ = std::max(0.0, Calls - U.InFlight_);
  U.OthersReportedAt_ = Now;
  U.Pace_ = Pace;
}

void reserve(SharedUpstream &U, Time Now) {
  ++U.InFlight_;
  if (U.Limit_)
    takeToken(*U.Limit_, Now);
  if (U.UnansweredSince_ == Time())
    U.UnansweredSince_ = Now;
}

void release(SharedUpstream &U, const SharedOutcome &Outcome,
             const KeyedChoiceOptions &Options, Time Now) {
  U.InFlight_ -= U.InFlight_ > 0 ? 1 : 0;
  if (Outcome.ReportedInFlight_)
    recordLoad(U, *Outcome.ReportedInFlight_, Outcome.Pace_, Now);
  if (Outcome.NotConnected_ && U.Limit_)
    returnToken(*U.Limit_, Now);
  if (Outcome.Answered_) {
    U.ConsecutiveFailures_ = 0;
    U.UnansweredSince_ = U.InFlight_ > 0 ? Now : Time();
  }
  if (Outcome.Seconds_ > 0) {
    double ServiceTime =
        Outcome.Seconds_ / serviceRounds(U, Outcome.InFlightAtSend_);
    double Gain = U.ServiceSeconds_ > 0 ? Options.ServiceTimeGain_ : 1;
    U.ServiceSeconds_ += Gain * (ServiceTime - U.ServiceSeconds_);
  }
  bool Unanswered = Outcome.TimedOut_ &&
                    Now - U.UnansweredSince_ >= Options.UnansweredToBackOff_;
  if (!Outcome.NotConnected_ && !Outcome.Failed_ && !Unanswered)
    return;
  ++U.ConsecutiveFailures_;
  if (!Outcome.NotConnected_ &&
      U.ConsecutiveFailures_ < Options.FailuresToBackOff_)
    return;
  Duration BackOff =
      Options.MinBackOff_ * (1LL << std::min(U.ConsecutiveFailures_ - 1, 6U));
  U.BackOffUntil_ = Now + std::min(BackOff, Options.MaxBackOff_);
}

} // namespace lagoonpoint
