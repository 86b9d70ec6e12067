#include "lagoonpoint/src/Node/CallerHandler.h"

#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.admit";
constexpr const char *LookupStep = "lookup";

Duration timeoutOf(const RouteDecl &Route, const Call &C) {
  Duration Requested = C.Deadline_.value_or(Route.Deadline_);
  return std::min(Requested, Route.MaxDeadline_);
}

const RouteDecl &requireRoute(const ActiveDeclarations &F,
                              const std::string &Path) {
  const RouteDecl *Route = findRoute(F, Path);
  if (!Route)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, Step,
                  "no route matches this path");
  return *Route;
}

} // namespace

std::shared_ptr<const ActiveDeclarations>
CallerHandler::readyDeclarations() const {
  std::string WhyNot = Control_.whyNotReady();
  if (!WhyNot.empty())
    throw Refusal(RefusalReason::NotReady, Ran::No, Step, WhyNot,
                  Duration::seconds(1));
  return Active_.get();
}

LookupReply CallerHandler::lookup(const LookupQuery &Query) {
  auto StartedAt = std::chrono::steady_clock::now();
  try {
    LookupReply Reply = answerLookup(Query);
    std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - StartedAt;
    Services_.Metrics_.observe(Metric::LookupSeconds, {Query.Service_.str()},
                               Elapsed.count());
    return Reply;
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, TeamId(), R.reason(), R.ran());
    throw;
  }
}

LookupReply CallerHandler::answerLookup(const LookupQuery &Query) {
  auto F = readyDeclarations();
  if (!F->Declarations_.Services_.count(Query.Service_))
    throw Refusal(RefusalReason::BadRequest, Ran::No, LookupStep,
                  "no such service: " + Query.Service_.str());
  ZoneId Zone = Services_.Steering_.zoneOfCaller(Query.ClientAddress_);
  auto Fleet = Services_.Members_.view();
  LookupReply Reply;
  Reply.Ttl_ = F->Declarations_.Fleet_.LookupTtl_;
  Reply.Revision_ = F->Revision_;
  for (const EntryTarget &T :
       Services_.Steering_.entryVms(Query.Service_, Zone, *Fleet)) {
    const VmDecl &Vm = F->Declarations_.Vms_.at(T.Vm_);
    Reply.Targets_.push_back({T.Vm_, Vm.Zone_, Vm.Callers_, T.Weight_});
  }
  if (Reply.Targets_.empty())
    throw Refusal(RefusalReason::NotReady, Ran::No, LookupStep,
                  "no entry VM is ready", Duration::seconds(1));
  Reply.OncePrefix_ = Services_.Once_.prefix(
      Services_.Steering_.onceZone(Query.Service_, Zone, *Fleet));
  return Reply;
}

RouteDecl CallerHandler::route(const std::string &Path) {
  return requireRoute(*readyDeclarations(), Path);
}

TeamId CallerHandler::authenticateTeam(const ActiveDeclarations &F,
                                       const RouteDecl &Route,
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

Admission CallerHandler::checkCall(const Call &C) {
  Admission A;
  A.Active_ = readyDeclarations();
  const ActiveDeclarations &F = *A.Active_;
  A.Route_ = requireRoute(F, C.Path_);
  A.Team_ = authenticateTeam(F, A.Route_, C);
  A.Deadline_ = C.ArrivedAt_ + timeoutOf(A.Route_, C);
  A.Forwarded_ = C.Forwarded_;
  A.CallerZone_ = Services_.Steering_.zoneOfCaller(C.ClientAddress_);
  auto Team = F.Declarations_.Teams_.find(A.Team_);
  if (Team != F.Declarations_.Teams_.end())
    A.Weight_ = Team->second.Weight_;
  return A;
}

std::unique_ptr<CallHandle> CallerHandler::admit(const Call &C) {
  Admission A;
  try {
    A = checkCall(C);
    // The VM that forwarded a call has already charged it to the team.
    if (!A.Forwarded_ && !A.Team_.empty())
      Services_.Limits_.take(teamRate(A.Team_), 1, A.Deadline_);
    if (A.Route_.Kind_ == RouteKind::Once && !C.IdempotencyKey_.empty()) {
      A.OnceKey_ = C.IdempotencyKey_;
      A.OnceDecision_ = Services_.Once_.begin(A.OnceKey_, C.BodyDigest_,
                                              A.Deadline_, A.Forwarded_);
    }
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, A.Team_, R.reason(), R.ran());
    throw;
  }
  return std::make_unique<AdmittedCall>(Services_, std::move(A));
}

} // namespace lagoonpoint
