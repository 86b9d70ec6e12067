#include "lagoonpoint/src/Steering/ShiftHistory.h"

#include "lagoonpoint/src/Steering/Shares.h"

namespace lagoonpoint {

namespace {

double movedWithin(const ShiftHistory &L, Duration Interval, Time Now) {
  double Sum = 0;
  for (const ShiftHistory::Shift &M : L.Shifts_)
    if (M.At_ > Now - Interval)
      Sum += M.Fraction_;
  return Sum;
}

} // namespace

double allowedShift(const ShiftHistory &L, const ShiftLimit &Limit, Time Now) {
  return std::max(0.0, Limit.Cap_ - movedWithin(L, Limit.Interval_, Now));
}

void recordShift(ShiftHistory &L, const ShiftLimit &Limit, double Fraction,
                 Time Now) {
  LAGOONPOINT_ASSERT(Fraction >= 0, "steering.shift");
  LAGOONPOINT_ASSERT(Fraction <= allowedShift(L, Limit, Now) + 1e-6,
                     "steering.shift");
  // Shifts are kept for longer than the interval, as an edit of the profile may
  // lengthen it.
  constexpr std::int64_t KeptIntervals = 2;
  while (!L.Shifts_.empty() &&
         L.Shifts_.front().At_ <= Now - Limit.Interval_ * KeptIntervals)
    L.Shifts_.pop_front();
  L.Shifts_.push_back({Now, Fraction});
}

ShiftHistorySnapshot snapshotOf(const ShiftHistory &L, Time Now) {
  ShiftHistorySnapshot Out;
  for (const ShiftHistory::Shift &M : L.Shifts_)
    Out.Shifts_.push_back({Now - M.At_, M.Fraction_});
  return Out;
}

ShiftHistory restoreHistory(const ShiftHistorySnapshot &C, Time Now) {
  ShiftHistory Out;
  for (const ShiftHistorySnapshot::Entry &E : C.Shifts_)
    Out.Shifts_.push_back({Now - E.Age_, E.Fraction_});
  return Out;
}

} // namespace lagoonpoint
