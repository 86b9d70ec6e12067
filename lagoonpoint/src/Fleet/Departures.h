#pragma once

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <map>
#include <set>
#include <tuple>

namespace lagoonpoint {

/// \class Departures
/// \ingroup Fleet
/// \brief Entry VMs that have confirmed that an upstream is leaving or gone.
///
/// An upstream repeats its announcement until it is acknowledged. Confirmations
/// are kept meanwhile, so that an entry VM that was late for one attempt counts
/// for the next.
struct Departures {
  using Key = std::tuple<UpstreamId, std::uint64_t, NoticePhase>;
  struct Departure {
    std::set<VmId> Confirmed_;
    std::set<VmId> Awaited_; ///< see awaitConfirmations()
    Time AnnouncedAt_;       ///< last time
  };
  std::map<Key, std::uint64_t> Numbers_; ///< in NoticeBatch and NoticeAck
  std::map<std::uint64_t, Departure> Departures_; ///< by number
  std::uint64_t LastNumber_ = 0;
};

/// Records the announcement of a departure. Forgets old ones.
/// \returns its number
/// \ingroup Fleet
std::uint64_t beginDeparture(Departures &D, const UpstreamNotice &Notice,
                             Time Now);

/// Records an entry VM's confirmation. Ignores unknown numbers. The cost does
/// not grow with the fleet, because every entry VM confirms every departure.
/// \returns true if it was the last one that was awaited
/// \ingroup Fleet
bool confirmDeparture(Departures &D, const VmId &From, std::uint64_t Number);

/// Awaits the confirmations of those of \p Needed that have not confirmed.
/// \returns these entry VMs
/// \ingroup Fleet
std::set<VmId> awaitConfirmations(Departures &D, std::uint64_t Number,
                                  const std::set<VmId> &Needed);

/// \returns whether no awaited confirmation is missing.
/// \ingroup Fleet
bool isConfirmed(const Departures &D, std::uint64_t Number);

/// \returns the entry VMs that must confirm a departure: those that are live
/// and, where no core VM of their region is live any more, those that one
/// reported a few seconds ago. They may still serve callers.
/// \ingroup Fleet
std::set<VmId> entryVmsToConfirm(const NodeRegistry &R, const RegionId &Own,
                                 Duration MaxSilence, Time Now);

} // namespace lagoonpoint
