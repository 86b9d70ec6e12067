#include "lagoonpoint/src/Dissemination/KeyFreshness.h"

namespace lagoonpoint {

KeyVerdict keyVerdict(const KeyFreshness &Freshness,
                      const WithdrawnKeys &Withdrawn, const KeyId &Key,
                      Duration CutOffFor, Time Now) {
  if (Withdrawn.contains(Key))
    return KeyVerdict::Withdrawn;
  if (!Freshness.ProvedAt_)
    return KeyVerdict::NotCurrent;
  Duration Age = Now - *Freshness.ProvedAt_;
  if (Age < Freshness.Lease_)
    return KeyVerdict::Ok;
  if (Freshness.Contact_ == Contact::Alone || !Freshness.ZoneExpired_)
    return KeyVerdict::NotCurrent;
  return Age < CutOffFor ? KeyVerdict::Ok : KeyVerdict::NotCurrent;
}

} // namespace lagoonpoint
