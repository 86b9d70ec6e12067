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
    std::uint64_t Number_ = 0; ///< in NoticeBatch and NoticeAck
    std::set<VmId> Confirmed_;
    Time AnnouncedAt_; ///< last time
  };
  std::map<Key, Departure> Departures_;
  std::uint64_t LastNumber_ = 0;
};

/// Records the announcement of a departure. Forgets old ones.
/// \returns its number
/// \ingroup Fleet
std::uint64_t beginDeparture(Departures &D, const UpstreamNotice &Notice,
                             Time Now);

/// Records an entry VM's confirmation. Ignores unknown numbers.
/// \ingroup Fleet
void confirmDeparture(Departures &D, const VmId &From, std::uint64_t Number);

/// \returns the entry VMs among \p Needed that have not confirmed.
/// \ingroup Fleet
std::set<VmId> unconfirmed(const Departures &D, std::uint64_t Number,
                           const std::set<VmId> &Needed);

/// \returns the entry VMs that must confirm a departure: those that are live
/// and, where no core VM of their region is live any more, those that one
/// reported a few seconds ago. They may still serve callers.
/// \ingroup Fleet
std::set<VmId> entryVmsToConfirm(const NodeRegistry &R, const RegionId &Own,
                                 Duration MaxSilence, Time Now);

} // namespace lagoonpoint
