#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <deque>
#include <vector>

namespace lagoonpoint {

/// How fast shares may move.
struct ShiftLimit {
  double Cap_ = 0.1;                          ///< part of the traffic moved ...
  Duration Interval_ = Duration::seconds(10); ///< ... within any such interval
};

/// \class ShiftHistory
/// \ingroup Steering
/// \brief What was moved lately, so that no interval of any position holds
/// more than the cap.
struct ShiftHistory {
  struct Shift {
    Time At_;
    double Fraction_ = 0;
  };
  std::deque<Shift> Shifts_; ///< oldest first
};

/// \returns what may be moved now.
/// \ingroup Steering
double allowedShift(const ShiftHistory &L, const ShiftLimit &Limit, Time Now);

/// Enters a move.
/// \ingroup Steering
void recordShift(ShiftHistory &L, const ShiftLimit &Limit, double Fraction,
                 Time Now);

/// A ledger as it goes to another VM: ages in place of times.
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
