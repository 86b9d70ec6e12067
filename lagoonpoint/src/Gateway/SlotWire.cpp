#include "lagoonpoint/src/Gateway/SlotWire.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// No call of a route lasts longer.
constexpr Duration MaxDuration = Duration::seconds(600);
/// Attempts of one call, and so its excluded upstreams, are far fewer.
constexpr std::size_t MaxExcluded = 16;
constexpr double MaxLoad = 1e6;
/// A larger stated pace counts as absent.
constexpr double MaxPace = 100;

Duration limited(Duration D) { return std::clamp(D, Duration(), MaxDuration); }

} // namespace

PoolKey poolOf(const SlotRequest &M) {
  return {M.Service_, M.Serving_, M.Pool_};
}

PoolKey poolOf(const SlotRelease &M) {
  return {M.Service_, M.Serving_, M.Pool_};
}

SlotDemand demandOf(const VmId &From, const SlotRequest &M, Time Now) {
  SlotDemand D;
  D.From_ = From;
  D.Number_ = M.Number_;
  D.Route_ = M.Route_;
  D.Object_ = M.Object_;
  D.Team_ = M.Team_;
  D.Priority_ = M.Priority_;
  D.ObjectiveAt_ =
      Now + std::clamp(M.ObjectiveLeft_, Duration() - MaxDuration, MaxDuration);
  D.Deadline_ = Now + limited(M.TimeLeft_);
  D.CallerDeadline_ = Now + limited(M.CallerTimeLeft_);
  D.IsRetry_ = M.IsRetry_;
  std::size_t Count = std::min(M.Excluded_.size(), MaxExcluded);
  D.Excluded_.insert(M.Excluded_.begin(), M.Excluded_.begin() + Count);
  return D;
}

SlotRequest makeRequest(const PoolKey &Pool, const SlotDemand &D, Time Now) {
  SlotRequest M;
  M.Number_ = D.Number_;
  M.Service_ = Pool.Service_;
  M.Serving_ = Pool.Serving_;
  M.Pool_ = Pool.Index_;
  M.Route_ = D.Route_;
  M.Object_ = D.Object_;
  M.Team_ = D.Team_;
  M.Priority_ = D.Priority_;
  M.ObjectiveLeft_ = D.ObjectiveAt_ - Now;
  M.TimeLeft_ = D.Deadline_ - Now;
  M.CallerTimeLeft_ = callerDeadline(D) - Now;
  M.IsRetry_ = D.IsRetry_;
  M.Excluded_.assign(D.Excluded_.begin(), D.Excluded_.end());
  return M;
}

SlotReply makeReply(const SlotAnswer &A) {
  SlotReply M;
  M.Number_ = A.Number_;
  M.Result_ = static_cast<std::uint8_t>(A.Result_);
  M.Upstream_ = A.Upstream_;
  M.StartedAtMs_ = A.StartedAtMs_;
  M.ExpectedRun_ = A.ExpectedRun_;
  M.RunLimit_ = A.RunLimit_;
  M.RetryAfter_ = A.RetryAfter_;
  M.Wait_ = A.Wait_;
  M.Overdue_ = A.Overdue_;
  return M;
}

std::optional<SlotAnswer> answerOf(const SlotReply &M) {
  if (M.Result_ > static_cast<std::uint8_t>(SlotResult::NotHolder))
    return {};
  SlotAnswer A;
  A.Number_ = M.Number_;
  A.Result_ = static_cast<SlotResult>(M.Result_);
  A.Upstream_ = M.Upstream_;
  A.StartedAtMs_ = M.StartedAtMs_;
  A.ExpectedRun_ = limited(M.ExpectedRun_);
  A.RunLimit_ = limited(M.RunLimit_);
  A.RetryAfter_ = limited(M.RetryAfter_);
  A.Wait_ = limited(M.Wait_);
  A.Overdue_ = M.Overdue_;
  return A;
}

SlotRelease makeRelease(const PoolKey &Pool, std::uint64_t Number,
                        const RunReport &R) {
  SlotRelease M;
  M.Number_ = Number;
  M.Service_ = Pool.Service_;
  M.Serving_ = Pool.Serving_;
  M.Pool_ = Pool.Index_;
  M.Result_ = static_cast<std::uint8_t>(R.Result_);
  M.Run_ = R.Run_;
  if (R.Load_)
    M.Load_.push_back(*R.Load_);
  M.Pace_ = R.Pace_;
  M.Held_ = R.Held_;
  return M;
}

std::optional<RunReport> reportOf(const SlotRelease &M) {
  if (M.Result_ > static_cast<std::uint8_t>(RunResult::Unused))
    return {};
  RunReport R;
  R.Result_ = static_cast<RunResult>(M.Result_);
  R.Run_ = limited(M.Run_);
  if (!M.Load_.empty() && std::isfinite(M.Load_.front()))
    R.Load_ = std::clamp(M.Load_.front(), 0.0, MaxLoad);
  if (std::isfinite(M.Pace_) && M.Pace_ > 0 && M.Pace_ <= MaxPace)
    R.Pace_ = M.Pace_;
  R.Held_ = M.Held_;
  return R;
}

std::string toString(const PoolKey &K) {
  return K.Service_.str() + "/" + K.Serving_.str() + "/" +
         std::to_string(K.Index_);
}

} // namespace lagoonpoint
