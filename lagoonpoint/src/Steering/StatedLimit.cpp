#include "lagoonpoint/src/Steering/StatedLimit.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// In four seconds an upstream tolerates five requests more than one and a half
/// times its limit L, that is 6 L + 5. Senders hold a token each when all send
/// at once: 1.5 L + 4, and 4 L follow. The rest is for the other VMs, and for
/// VMs that disagree on who is live.
constexpr double SendersPerRate = 1.5;
constexpr double MinSenders = 4;
/// Fraction of a limit that is left to VMs that are no senders, as for a limit
/// of one request per second where it is lower.
constexpr double RestFraction = 0.05;
/// Time in which such a VM may send its request. A longer one lets more of them
/// send at once.
constexpr Duration RestWindow = Duration::seconds(4);
/// Lets VMs learn that a limit of zero has ended.
constexpr double MinPerSecond = 0.1;
/// Tokens that a VM may save up, in seconds of its rate, but at least one.
constexpr double MaxSavedSeconds = 0.5;

Duration ofSeconds(double Seconds) {
  return Duration::millis(static_cast<std::int64_t>(Seconds * 1000));
}

double capacity(const StatedLimit &Limit) {
  return std::max(1.0, Limit.Part_.PerSecond_ * MaxSavedSeconds);
}

double tokensAt(const StatedLimit &Limit, Time Now) {
  double Refilled =
      (Now - Limit.RefilledAt_).inSeconds() * Limit.Part_.PerSecond_;
  return std::min(capacity(Limit), Limit.Tokens_ + Refilled);
}

void refill(StatedLimit &Limit, Time Now) {
  Limit.Tokens_ = tokensAt(Limit, Now);
  Limit.RefilledAt_ = Now;
}

/// \returns whether a VM that is no sender may send a request.
bool isInWindow(const StatedLimit &Limit, Time Now) {
  const LimitPart &Part = Limit.Part_;
  std::int64_t Phase = (Now - Limit.BeganAt_).count() % Part.Period_.count();
  Duration InWindow = Duration::millis(Phase) - Part.Offset_;
  return InWindow >= Duration() && InWindow < RestWindow &&
         Now - Limit.SentAt_ > InWindow;
}

} // namespace

LimitPart divideLimit(double PerSecond, const LimitSharer &Sharer) {
  double Limit = std::max(PerSecond, MinPerSecond);
  double Vms = static_cast<double>(std::max(Sharer.Rank_ + 1, Sharer.Vms_));
  double Rank = static_cast<double>(Sharer.Rank_);
  double Senders = std::floor(Limit * SendersPerRate + MinSenders);
  LimitPart Out;
  if (Senders >= Vms) {
    Out.PerSecond_ = Limit / Vms;
  } else if (Rank < Senders) {
    Out.PerSecond_ = Limit * (1 - RestFraction) / Senders;
  } else {
    double SecondsPerVm = 1 / (std::max(Limit, 1.0) * RestFraction);
    Out.Period_ = ofSeconds(SecondsPerVm * (Vms - Senders)) + RestWindow;
    Out.Offset_ = ofSeconds(SecondsPerVm * (Rank - Senders));
  }
  return Out;
}

bool applyStatement(std::optional<StatedLimit> &Limit,
                    std::optional<double> Stated, const LimitSharer &Sharer,
                    Time SentAt, Time Now) {
  if (!Stated) {
    if (!Limit || SentAt <= Limit->StatedAt_)
      return false;
    Limit.reset();
    return true;
  }
  bool Begins = !Limit;
  if (Begins)
    Limit = StatedLimit{.BeganAt_ = Now, .RefilledAt_ = Now, .SentAt_ = Now};
  Limit->StatedAt_ = Now;
  Limit->PerSecond_ = *Stated;
  applySharer(*Limit, Sharer, Now);
  return Begins;
}

void applySharer(StatedLimit &Limit, const LimitSharer &Sharer, Time Now) {
  refill(Limit, Now);
  Limit.Part_ = divideLimit(Limit.PerSecond_, Sharer);
}

bool hasToken(const StatedLimit &Limit, Time Now) {
  if (Limit.Part_.PerSecond_ <= 0)
    return isInWindow(Limit, Now);
  return tokensAt(Limit, Now) >= 1;
}

void takeToken(StatedLimit &Limit, Time Now) {
  refill(Limit, Now);
  Limit.Tokens_ = std::max(0.0, Limit.Tokens_ - 1);
  Limit.SentAt_ = Now;
}

void returnToken(StatedLimit &Limit, Time Now) {
  refill(Limit, Now);
  Limit.Tokens_ = std::min(capacity(Limit), Limit.Tokens_ + 1);
}

} // namespace lagoonpoint
