#include "lagoonpoint/src/Steering/ShiftLedger.h"

#include "lagoonpoint/src/Steering/Shares.h"

namespace lagoonpoint {

namespace {

double movedWithin(const ShiftLedger &L, Duration Every, Time Now) {
  double Sum = 0;
  for (const ShiftLedger::Move &M : L.Moves_)
    if (M.At_ > Now - Every)
      Sum += M.Part_;
  return Sum;
}

} // namespace

double allowedNow(const ShiftLedger &L, const ShiftRules &Rules, Time Now) {
  return std::max(0.0, Rules.Cap_ - movedWithin(L, Rules.Every_, Now));
}

void recordMove(ShiftLedger &L, const ShiftRules &Rules, double Part,
                Time Now) {
  LAGOONPOINT_ASSERT(Part >= 0, "steering.shift");
  LAGOONPOINT_ASSERT(Part <= allowedNow(L, Rules, Now) + 1e-6,
                     "steering.shift");
  // An edit may lengthen the interval, so older moves are kept for a while.
  constexpr std::int64_t KeptIntervals = 2;
  while (!L.Moves_.empty() &&
         L.Moves_.front().At_ <= Now - Rules.Every_ * KeptIntervals)
    L.Moves_.pop_front();
  L.Moves_.push_back({Now, Part});
}

LedgerCopy copyOf(const ShiftLedger &L, Time Now) {
  LedgerCopy Out;
  for (const ShiftLedger::Move &M : L.Moves_)
    Out.Moves_.push_back({Now - M.At_, M.Part_});
  return Out;
}

ShiftLedger ledgerOf(const LedgerCopy &C, Time Now) {
  ShiftLedger Out;
  for (const LedgerCopy::Entry &E : C.Moves_)
    Out.Moves_.push_back({Now - E.Age_, E.Part_});
  return Out;
}

} // namespace lagoonpoint
