#include "lagoonpoint/src/Node/CallFront.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// \class Ticket
/// One admitted call: the slot it holds and the upstreams it has tried.
class Ticket final : public CallTicket {
public:
  Ticket(RouteDecl Route, TeamId Team, Time Deadline, Upstreams &Ups)
      : Route_(std::move(Route)), Team_(std::move(Team)), Deadline_(Deadline),
        Upstreams_(Ups) {}
  ~Ticket() override { releaseSlot(); }

  const RouteDecl &route() const override { return Route_; }
  const TeamId &team() const override { return Team_; }
  Time deadline() const override { return Deadline_; }
  std::optional<StoredAnswer> stored() override { return std::nullopt; }

  CallTarget next() override {
    CallTarget Target = Upstreams_.acquire(Route_.Service_, Tried_, Deadline_);
    Held_ = Target.Upstream_;
    Tried_.insert(Held_);
    return Target;
  }

  bool ended(const TryReport &Report) override {
    releaseSlot();
    if (Report.AnswerBegun_)
      return false;
    return Report.End_ == TryEnd::NotConnected ||
           Report.End_ == TryEnd::NothingSent || Report.End_ == TryEnd::Shed;
  }

  void keep(const StoredAnswer &) override {}

private:
  void releaseSlot() {
    if (!Held_.empty())
      Upstreams_.release(Held_);
    Held_ = UpstreamId();
  }

  RouteDecl Route_;
  TeamId Team_;
  Time Deadline_;
  Upstreams &Upstreams_;
  UpstreamId Held_;
  std::set<UpstreamId> Tried_;
};

constexpr const char *Step = "call.admit";

Duration allowedTime(const RouteDecl &Route, const Call &C) {
  Duration Wanted = C.Deadline_.value_or(Route.Deadline_);
  return std::min(Wanted, Route.MaxDeadline_);
}

} // namespace

std::shared_ptr<const InForce> CallFront::current() const {
  std::string WhyNot = Control_.whyNotReady();
  if (!WhyNot.empty())
    throw Refusal(RefusalReason::NotReady, Ran::No, Step, WhyNot);
  return InForce_.get();
}

LookupReply CallFront::lookup(const LookupQuery &Query) {
  auto F = current();
  if (!F->Declared_.Services_.count(Query.Service_))
    throw Refusal(RefusalReason::BadRequest, Ran::No, "lookup",
                  "no such service: " + Query.Service_.str());
  LookupReply Reply;
  Reply.Ttl_ = F->Declared_.Fleet_.LookupTtl_;
  Reply.Revision_ = F->Revision_;
  for (const auto &[Id, Vm] : F->Declared_.Vms_)
    if (Vm.Entry_ && !Vm.Drained_)
      Reply.Targets_.push_back({Id, Vm.Zone_, Vm.Callers_, 0});
  std::stable_partition(
      Reply.Targets_.begin(), Reply.Targets_.end(),
      [&](const LookupTarget &T) { return T.Zone_ == Settings_.Zone_; });
  for (LookupTarget &T : Reply.Targets_)
    T.Weight_ = 1.0 / static_cast<double>(Reply.Targets_.size());
  return Reply;
}

RouteDecl CallFront::route(const std::string &Path) {
  auto F = current();
  const RouteDecl *Route = findRoute(*F, Path);
  if (!Route)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, Step,
                  "no route matches this path");
  return *Route;
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
  if (Check.Withdrawn_)
    throw Refusal(RefusalReason::KeyWithdrawn, Ran::No, Step,
                  "the key was withdrawn");
  return Check.Key_->Team_;
}

std::unique_ptr<CallTicket> CallFront::admit(const Call &C) {
  auto F = current();
  const RouteDecl *Route = findRoute(*F, C.Path_);
  if (!Route)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, Step,
                  "no route matches this path");
  TeamId Team = teamOf(*F, *Route, C);
  Time Deadline = C.Arrived_ + allowedTime(*Route, C);
  if (!Team.empty() && !C.Forwarded_)
    Limits_.take(teamRate(Team), 1, Deadline);
  return std::make_unique<Ticket>(*Route, Team, Deadline, Upstreams_);
}

} // namespace lagoonpoint
