#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <deque>
#include <vector>

namespace lagoonpoint {

/// How fast shares may move.
struct ShiftRules {
  double Cap_ = 0.1;                       ///< part of the traffic moved ...
  Duration Every_ = Duration::seconds(10); ///< ... within any such interval
};

/// \class ShiftLedger
/// \ingroup Steering
/// \brief What was moved lately, so that no interval of any position holds
/// more than the cap.
struct ShiftLedger {
  struct Move {
    Time At_;
    double Part_ = 0;
  };
  std::deque<Move> Moves_; ///< oldest first
};

/// \returns what may be moved now.
/// \ingroup Steering
double allowedNow(const ShiftLedger &L, const ShiftRules &Rules, Time Now);

/// Enters a move.
/// \ingroup Steering
void recordMove(ShiftLedger &L, const ShiftRules &Rules, double Part, Time Now);

/// A ledger as it goes to another VM: ages in place of times.
struct LedgerCopy {
  struct Entry {
    Duration Age_;
    double Part_ = 0;
    MSGPACK_DEFINE(Age_, Part_)
  };
  std::vector<Entry> Moves_;
  MSGPACK_DEFINE(Moves_)
};

LedgerCopy copyOf(const ShiftLedger &L, Time Now);
ShiftLedger ledgerOf(const LedgerCopy &C, Time Now);

} // namespace lagoonpoint
