#include "lagoonpoint/src/Dissemination/KeyCurrency.h"

namespace lagoonpoint {

KeyVerdict keyVerdict(const KeyCurrency &Currency,
                      const WithdrawnKeys &Withdrawn, const KeyId &Key,
                      Duration CutOffFor, Time Now) {
  if (Withdrawn.contains(Key))
    return KeyVerdict::Withdrawn;
  if (!Currency.ProvedAt_)
    return KeyVerdict::NotCurrent;
  Duration Age = Now - *Currency.ProvedAt_;
  if (Age < Currency.Lease_)
    return KeyVerdict::Ok;
  if (Currency.Contact_ == Contact::Alone || !Currency.ZoneLapsed_)
    return KeyVerdict::NotCurrent;
  return Age < CutOffFor ? KeyVerdict::Ok : KeyVerdict::NotCurrent;
}

} // namespace lagoonpoint
