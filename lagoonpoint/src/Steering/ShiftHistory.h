#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <deque>
#include <vector>

namespace lagoonpoint {

/// Limit on the speed at which shares move.
struct ShiftLimit {
  double Cap_ = 0.1; ///< fraction of the traffic moved ...
  Duration Interval_ = Duration::seconds(10); ///< ... within any such interval
};

/// \class ShiftHistory
/// \ingroup Steering
/// \brief Recent shifts, for enforcing the cap over any sliding interval.
struct ShiftHistory {
  struct Shift {
    Time At_;
    double Fraction_ = 0;
  };
  std::deque<Shift> Shifts_; ///< oldest first
};

/// \returns the fraction of the traffic that may be moved now.
/// \ingroup Steering
double allowedShift(const ShiftHistory &L, const ShiftLimit &Limit, Time Now);

/// Records a shift of \p Fraction of the traffic, at most allowedShift().
/// \ingroup Steering
void recordShift(ShiftHistory &L, const ShiftLimit &Limit, double Fraction,
                 Time Now);

/// A history as sent to another VM. It has ages instead of times, because the
/// clocks of the VMs differ.
struct ShiftHistorySnapshot {
  struct Entry {
    Duration Age_;
    double Fraction_ = 0;
    MSGPACK_DEFINE(Age_, Fraction_)
  };
  std::vector<Entry> Shifts_;
  MSGPACK_DEFINE(Shifts_)
};

ShiftHistorySnapshot snapshotOf(const ShiftHistory &L, Time Now);
ShiftHistory restoreHistory(const ShiftHistorySnapshot &C, Time Now);

} // namespace lagoonpoint
