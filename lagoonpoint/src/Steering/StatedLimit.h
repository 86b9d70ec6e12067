#pragma once

#include "lagoonpoint/Core"

#include <optional>

namespace lagoonpoint {

/// Position of this VM among all VMs that use an upstream.
struct LimitSharer {
  std::size_t Rank_ = 0; ///< 0 is the first
  std::size_t Vms_ = 1;
};

/// One VM's part of a limit: a rate, or one request in a window of each period.
struct LimitPart {
  double PerSecond_ = 0; ///< if 0, the period counts
  Duration Period_;
  Duration Offset_; ///< of the window in the period
};

/// Divides a limit. If one request of each VM at once would be more than the
/// upstream tolerates, only the first VMs by rank get a rate. The others may
/// send one request each now and then, one VM after the other, with which they
/// learn that the limit has ended.
/// \ingroup Steering
LimitPart divideLimit(double PerSecond, const LimitSharer &Sharer);

/// \class StatedLimit
/// \ingroup Steering
/// \brief A rate that an upstream accepts from all VMs together, as stated in
/// its responses to this VM, and this VM's part of it.
struct StatedLimit {
  double PerSecond_ = 0; ///< for all VMs together
  Time BeganAt_;         ///< when it was first read
  Time StatedAt_;        ///< when it was last read
  LimitPart Part_;
  double Tokens_ = 0; ///< requests that this VM may send at RefilledAt_
  Time RefilledAt_;
  Time SentAt_; ///< last request
};

/// Applies what a response states about the limit.
/// \param Stated the limit, or none if the response states none. A response to
/// a request from before the last statement may be older than that and doesn't
/// end the limit.
/// \param SentAt when the request was sent
/// \returns true if a limit begins or ends
/// \ingroup Steering
bool applyStatement(std::optional<StatedLimit> &Limit,
                    std::optional<double> Stated, const LimitSharer &Sharer,
                    Time SentAt, Time Now);

/// Adapts this VM's part after VMs have joined or left.
/// \ingroup Steering
void applySharer(StatedLimit &Limit, const LimitSharer &Sharer, Time Now);

/// \returns whether a request may be sent.
/// \ingroup Steering
bool hasToken(const StatedLimit &Limit, Time Now);

/// Counts a request that is sent.
/// \ingroup Steering
void takeToken(StatedLimit &Limit, Time Now);

/// Gives back the token of a request that was not sent.
/// \ingroup Steering
void returnToken(StatedLimit &Limit, Time Now);

} // namespace lagoonpoint
