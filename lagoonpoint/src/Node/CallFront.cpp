#include "lagoonpoint/src/Node/CallFront.h"

#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.admit";
constexpr const char *LookupStep = "lookup";

Duration allowedTime(const RouteDecl &Route, const Call &C) {
  Duration Wanted = C.Deadline_.value_or(Route.Deadline_);
  return std::min(Wanted, Route.MaxDeadline_);
}

const RouteDecl &declaredRoute(const InForce &F, const std::string &Path) {
  const RouteDecl *Route = findRoute(F, Path);
  if (!Route)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, Step,
                  "no route matches this path");
  return *Route;
}

} // namespace

std::shared_ptr<const InForce> CallFront::current() const {
  std::string WhyNot = Control_.whyNotReady();
  if (!WhyNot.empty())
    throw Refusal(RefusalReason::NotReady, Ran::No, Step, WhyNot,
                  Duration::seconds(1));
  return InForce_.get();
}

LookupReply CallFront::lookup(const LookupQuery &Query) {
  auto Began = std::chrono::steady_clock::now();
  try {
    LookupReply Reply = answerLookup(Query);
    std::chrono::duration<double> Spent =
        std::chrono::steady_clock::now() - Began;
    Services_.Metrics_.observe(Metric::LookupSeconds, {Query.Service_.str()},
                               Spent.count());
    return Reply;
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, TeamId(), R.reason(), R.ran());
    throw;
  }
}

LookupReply CallFront::answerLookup(const LookupQuery &Query) {
  auto F = current();
  if (!F->Declared_.Services_.count(Query.Service_))
    throw Refusal(RefusalReason::BadRequest, Ran::No, LookupStep,
                  "no such service: " + Query.Service_.str());
  ZoneId Zone = Services_.Steerer_.zoneOfCaller(Query.ClientAddress_);
  auto Fleet = Services_.Members_.view();
  LookupReply Reply;
  Reply.Ttl_ = F->Declared_.Fleet_.LookupTtl_;
  Reply.Revision_ = F->Revision_;
  for (const EntryTarget &T :
       Services_.Steerer_.entryVms(Query.Service_, Zone, *Fleet)) {
    const VmDecl &Vm = F->Declared_.Vms_.at(T.Vm_);
    Reply.Targets_.push_back({T.Vm_, Vm.Zone_, Vm.Callers_, T.Weight_});
  }
  if (Reply.Targets_.empty())
    throw Refusal(RefusalReason::NotReady, Ran::No, LookupStep,
                  "no entry VM is ready", Duration::seconds(1));
  Reply.OncePrefix_ = Services_.Once_.prefix(
      Services_.Steerer_.onceZone(Query.Service_, Zone, *Fleet));
  return Reply;
}

RouteDecl CallFront::route(const std::string &Path) {
  return declaredRoute(*current(), Path);
}

TeamId CallFront::teamOf(const InForce &F, const RouteDecl &Route,
                         const Call &C) const {
  if (Route.Open_)
    return TeamId();
  if (C.Key_.empty())
    throw Refusal(RefusalReason::KeyMissing, Ran::No, Step,
                  "this route needs a key");
  KeyCheck Check = checkKey(F, C.Key_);
  if (!Check.Key_)
    throw Refusal(RefusalReason::KeyUnknown, Ran::No, Step, "unknown key");
  KeyVerdict Verdict = Control_.keyVerdict(*Check.Key_);
  if (Check.Withdrawn_ || Verdict == KeyVerdict::Withdrawn)
    throw Refusal(RefusalReason::KeyWithdrawn, Ran::No, Step,
                  "the key was withdrawn");
  if (Verdict == KeyVerdict::NotCurrent)
    throw Refusal(RefusalReason::KeysNotCurrent, Ran::No, Step,
                  "this VM can't prove that its keys are current",
                  Duration::seconds(1));
  return Check.Key_->Team_;
}

Admission CallFront::check(const Call &C) {
  Admission A;
  A.InForce_ = current();
  const InForce &F = *A.InForce_;
  A.Route_ = declaredRoute(F, C.Path_);
  A.Team_ = teamOf(F, A.Route_, C);
  A.Deadline_ = C.Arrived_ + allowedTime(A.Route_, C);
  A.Forwarded_ = C.Forwarded_;
  A.Home_ = Services_.Steerer_.zoneOfCaller(C.ClientAddress_);
  auto Team = F.Declared_.Teams_.find(A.Team_);
  if (Team != F.Declared_.Teams_.end())
    A.Weight_ = Team->second.Weight_;
  return A;
}

std::unique_ptr<CallTicket> CallFront::admit(const Call &C) {
  Admission A;
  try {
    A = check(C);
    // The VM that forwarded a call has taken its share already.
    if (!A.Forwarded_ && !A.Team_.empty())
      Services_.Limits_.take(teamRate(A.Team_), 1, A.Deadline_);
    if (A.Route_.Kind_ == RouteKind::Once && !C.IdempotencyKey_.empty()) {
      A.OnceKey_ = C.IdempotencyKey_;
      A.Once_ = Services_.Once_.begin(A.OnceKey_, C.BodyDigest_, A.Deadline_,
                                      A.Forwarded_);
    }
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, A.Team_, R.reason(), R.ran());
    throw;
  }
  return std::make_unique<AdmittedCall>(Services_, std::move(A));
}

} // namespace lagoonpoint
