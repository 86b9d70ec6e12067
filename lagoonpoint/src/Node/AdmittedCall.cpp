#include "lagoonpoint/src/Node/AdmittedCall.h"

#include "lagoonpoint/src/Node/util/CallSize.h"
#include "lagoonpoint/src/Node/util/Labels.h"

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.steer";
/// A call waits this long for a lease on a region's capacity or a link.
constexpr Duration CreditWait = Duration::millis(100);

double secondsSince(std::chrono::steady_clock::time_point Then) {
  std::chrono::duration<double> Spent = std::chrono::steady_clock::now() - Then;
  return Spent.count();
}

UpstreamOutcome outcomeOf(TryResult End) {
  switch (End) {
  case TryResult::Answered:
    return UpstreamOutcome::Answered;
  case TryResult::NotConnected:
    return UpstreamOutcome::Refused;
  case TryResult::NothingSent:
  case TryResult::Broken:
    return UpstreamOutcome::Broken;
  case TryResult::Shed:
    return UpstreamOutcome::Shed;
  case TryResult::TimedOut:
    return UpstreamOutcome::TimedOut;
  case TryResult::CallerLeft:
    break;
  }
  return UpstreamOutcome::Inconclusive;
}

TryOutcome tryOutcomeOf(const TryReport &Report) {
  return {Report.Result_, Report.BytesSent_, Report.AnswerBegun_};
}

} // namespace

AdmittedCall::AdmittedCall(CallServices &Services, Admission A)
    : Services_(Services), Admission_(std::move(A)) {
  Retry_.Kind_ = Admission_.Route_.Kind_;
  OnceOpen_ = runsOnce();
  Services_.Retries_.countRequest(owner(), budgetLimits(),
                                  Services_.Clock_.now());
  Services_.Metrics_.add(
      Metric::InFlight,
      teamAndService(Admission_.Team_, Admission_.Route_.Service_));
}

AdmittedCall::~AdmittedCall() {
  if (Holding_) {
    // The try was never reported, so it may have run.
    Retry_.MayHaveRun_ = true;
    releaseTry({.Result_ = TryResult::CallerLeft});
  }
  closeOnce();
  LabelValues Labels =
      teamAndService(Admission_.Team_, Admission_.Route_.Service_);
  Services_.Metrics_.add(Metric::InFlight, Labels, -1);
  Services_.Metrics_.observe(Metric::RequestSeconds, Labels,
                             secondsSince(Began_));
}

bool AdmittedCall::runsOnce() const {
  return !Admission_.OnceKey_.empty() &&
         Admission_.Once_.Action_ == OnceAction::Run;
}

RetryBudgets::Owner AdmittedCall::owner() const {
  return {Admission_.Team_, Admission_.Route_.Service_};
}

RetryBudgetLimits AdmittedCall::budgetLimits() const {
  RetryBudgetLimits Limits;
  Limits.RetriesPerRequest_ =
      Admission_.InForce_->Declared_.Fleet_.RetryBudget_;
  return Limits;
}

std::optional<StoredAnswer> AdmittedCall::stored() {
  if (Admission_.Once_.Action_ != OnceAction::Replay)
    return std::nullopt;
  const OnceResponse &Kept = Admission_.Once_.Response_;
  return StoredAnswer{Kept.Status_, Kept.Headers_, Kept.Body_};
}

CallTarget AdmittedCall::next() {
  auto Asked = Steady::now();
  try {
    Held_ = choose();
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, Admission_.Team_, R.reason(),
                 ranOf(Retry_));
    throw Refusal(R.reason(), ranOf(Retry_), R.step(), R.message(),
                  R.retryAfter());
  }
  Holding_ = true;
  TryBegan_ = Steady::now();
  Services_.Metrics_.observe(
      Metric::QueueSeconds,
      teamAndService(Admission_.Team_, Admission_.Route_.Service_),
      secondsSince(Asked));
  return Held_;
}

CallTarget AdmittedCall::choose() {
  if (Admission_.Once_.Action_ == OnceAction::Forward &&
      !Admission_.OnceKey_.empty())
    return forwardHome();
  // Only VMs of the home zone may dispatch a once-request, and only this one
  // holds the claim.
  if (Admission_.Forwarded_ || runsOnce()) {
    // For a plain call the VM that forwarded it has taken the capacity.
    if (runsOnce())
      takeRegion(Services_.Settings_.Region_);
    CallTarget Target = Services_.Dispatcher_.acquire(wish());
    TriedUpstreams_.insert(Target.Upstream_);
    return Target;
  }
  return steer();
}

CallTarget AdmittedCall::forwardHome() {
  const VmId &Home = Admission_.Once_.ForwardTo_;
  const auto &Vms = Admission_.InForce_->Declared_.Vms_;
  auto Found = Vms.find(Home);
  if (Found == Vms.end() || !TriedVms_.insert(Home).second)
    throw Refusal(RefusalReason::OnceHomeUnreachable, Ran::No, Step,
                  "the home VM of this idempotency key can't be reached",
                  Duration::seconds(1));
  return {{}, Home, Found->second.Callers_};
}

CallTarget AdmittedCall::steer() {
  RegionId Region = Services_.Steerer_.chooseRegion(Admission_.Route_.Service_,
                                                    Admission_.Home_);
  takeRegion(Region);
  HeldRegion_ = Region;
  if (Region == Services_.Settings_.Region_)
    return serveHere(Region);
  return sendAfar(Region);
}

void AdmittedCall::takeRegion(const RegionId &Region) {
  Time Until =
      std::min(Admission_.Deadline_, Services_.Clock_.now() + CreditWait);
  try {
    Services_.Limits_.take(regionCapacity(Region), 1, Until);
  } catch (const Refusal &R) {
    throw Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                  "region " + Region.str() + " is at its capacity",
                  R.retryAfter());
  }
}

void AdmittedCall::takeLinks(const RegionId &Region) {
  const RegionId &Own = Services_.Settings_.Region_;
  Time Until =
      std::min(Admission_.Deadline_, Services_.Clock_.now() + CreditWait);
  CallBytes Bytes =
      Services_.Steerer_.expectedBytes(Admission_.Route_.Service_);
  try {
    Services_.Limits_.take(linkBytes(Own, Region),
                           Bytes.Request_ / LinkUnitBytes, Until);
    Services_.Limits_.take(linkBytes(Region, Own),
                           Bytes.Response_ / LinkUnitBytes, Until);
  } catch (const Refusal &R) {
    throw Refusal(RefusalReason::LinkFull, Ran::No, Step,
                  "the link to region " + Region.str() + " is at its cap",
                  R.retryAfter());
  }
}

/// Prefers a free slot in this zone, then another zone of the region, then
/// waits in this zone's queue. A drained zone prefers the others.
CallTarget AdmittedCall::serveHere(const RegionId &Region) {
  DispatchWish Wish = wish();
  std::optional<CallTarget> Target;
  if (!yields(*Admission_.InForce_, Services_.Settings_.Zone_))
    Target = Services_.Dispatcher_.tryAcquire(Wish);
  if (!Target)
    if (auto Other = otherZone(Region))
      return *Other;
  if (!Target)
    Target = Services_.Dispatcher_.acquire(Wish);
  TriedUpstreams_.insert(Target->Upstream_);
  return *Target;
}

CallTarget AdmittedCall::sendAfar(const RegionId &Region) {
  takeLinks(Region);
  if (auto Target = otherZone(Region))
    return *Target;
  throw Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                "no VM of region " + Region.str() + " takes this call",
                Duration::seconds(1));
}

std::optional<CallTarget> AdmittedCall::otherZone(const RegionId &Region) {
  auto Fleet = Services_.Members_.view();
  std::optional<VmId> Vm = Services_.Steerer_.forwardVm(
      Admission_.Route_.Service_, Region, *Fleet, TriedVms_);
  if (!Vm)
    return std::nullopt;
  TriedVms_.insert(*Vm);
  const auto &Vms = Admission_.InForce_->Declared_.Vms_;
  return CallTarget{{}, *Vm, Vms.at(*Vm).Callers_};
}

DispatchWish AdmittedCall::wish() const {
  DispatchWish Wish;
  Wish.Service_ = Admission_.Route_.Service_;
  Wish.Team_ = Admission_.Team_;
  Wish.Weight_ = Admission_.Weight_;
  Wish.Tried_ = TriedUpstreams_;
  Wish.MayProbe_ = Admission_.Route_.Kind_ == RouteKind::Repeatable;
  Wish.Deadline_ = Admission_.Deadline_;
  return Wish;
}

void AdmittedCall::releaseTry(const TryReport &Report) {
  Holding_ = false;
  Duration Spent = Duration::millis(Report.Micros_ / 1000);
  const ServiceId &Service = Admission_.Route_.Service_;
  if (Held_.Vm_.empty())
    Services_.Dispatcher_.release(Service, Held_.Upstream_,
                                  outcomeOf(Report.Result_), Spent);
  if (Report.Result_ == TryResult::Answered)
    Services_.Steerer_.learnBytes(
        Service, {double(Report.BytesSent_), double(Report.BytesReceived_)});
  Services_.Metrics_.observe(Metric::TrySeconds,
                             {Service.str(), HeldRegion_.str()},
                             secondsSince(TryBegan_));
  Services_.Metrics_.add(Metric::Tries,
                         {Service.str(), nameOf(Report.Result_)});
}

bool AdmittedCall::ended(const TryReport &Report) {
  releaseTry(Report);
  Time Now = Services_.Clock_.now();
  RetryDecision Verdict = Services_.Retries_.tryEnded(
      owner(), Retry_, tryOutcomeOf(Report), Admission_.Deadline_ - Now,
      budgetLimits(), Now);
  countEnd(Report, Verdict);
  if (Verdict == RetryDecision::Retry)
    return true;
  closeOnce();
  return false;
}

void AdmittedCall::countEnd(const TryReport &Report, RetryDecision Verdict) {
  LabelValues Labels =
      teamAndService(Admission_.Team_, Admission_.Route_.Service_);
  if (Verdict == RetryDecision::Retry) {
    Services_.Metrics_.add(Metric::Retries, Labels);
  } else if (Verdict == RetryDecision::Delivered) {
    Labels.push_back(statusClass(Report.Status_));
    Services_.Metrics_.add(Metric::Requests, Labels);
  } else if (Verdict != RetryDecision::CallerLeft) {
    bool Late = Report.Result_ == TryResult::TimedOut;
    countRefusal(Services_.Metrics_, Admission_.Team_,
                 Late ? RefusalReason::DeadlinePassed
                      : RefusalReason::UpstreamFailed,
                 ranOf(Retry_));
  }
}

void AdmittedCall::keep(const StoredAnswer &Answer) {
  if (!OnceOpen_)
    return;
  OnceOpen_ = false;
  Services_.Once_.answered(Admission_.OnceKey_,
                           {Answer.Status_, Answer.Headers_, Answer.Body_});
}

/// Tells the zone how a once-request ended that kept no answer.
void AdmittedCall::closeOnce() {
  if (!OnceOpen_)
    return;
  OnceOpen_ = false;
  if (ranOf(Retry_) == Ran::No)
    Services_.Once_.notRun(Admission_.OnceKey_);
  else
    Services_.Once_.unknown(Admission_.OnceKey_);
}

} // namespace lagoonpoint
