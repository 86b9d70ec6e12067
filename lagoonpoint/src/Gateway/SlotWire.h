#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/Placement"

#include <optional>

namespace lagoonpoint {

/// Number of no request. A release with it only opens the connection; the
/// holder answers it, so that the connection back is opened, too.
inline constexpr std::uint64_t NoRequest = 0;

// Translation between the messages about slots and the structs of the decision
// modules. Messages carry durations and the structs times of this VM's clock.
// Values of a peer that are out of range are limited, and a message with an
// unknown enumerator is dropped.

/// \ingroup Gateway
PoolKey poolOf(const SlotRequest &M);
/// \ingroup Gateway
PoolKey poolOf(const SlotRelease &M);

/// \ingroup Gateway
SlotDemand demandOf(const VmId &From, const SlotRequest &M, Time Now);
/// \ingroup Gateway
SlotRequest makeRequest(const PoolKey &Pool, const SlotDemand &D, Time Now);

/// \ingroup Gateway
SlotReply makeReply(const SlotAnswer &A);
/// \returns nothing for an unknown result
/// \ingroup Gateway
std::optional<SlotAnswer> answerOf(const SlotReply &M);

/// \ingroup Gateway
SlotRelease makeRelease(const PoolKey &Pool, std::uint64_t Number,
                        const RunReport &R);
/// \returns nothing for an unknown result
/// \ingroup Gateway
std::optional<RunReport> reportOf(const SlotRelease &M);

/// \returns a pool's name in logs, such as "register/north/2".
/// \ingroup Gateway
std::string toString(const PoolKey &K);

} // namespace lagoonpoint
