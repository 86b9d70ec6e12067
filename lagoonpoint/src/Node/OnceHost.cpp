#include "lagoonpoint/src/Node/OnceHost.h"

#include <chrono>

namespace lagoonpoint {

namespace {

/// How long after its deadline a call still waits for the table's decision.
constexpr Duration WaitMargin = Duration::millis(200);
constexpr const char *Step = "once.begin";

const char *refusalMessage(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::BadRequest:
    return "the idempotency key was used with another request";
  case RefusalReason::OnceKeyMissing:
    return "the idempotency key doesn't begin with a lookup's once_prefix";
  case RefusalReason::OnceKeyExpired:
    return "the idempotency key is older than the result retention";
  case RefusalReason::OnceInProgress:
    return "the first call with this idempotency key is still running";
  case RefusalReason::OnceUnknown:
    return "whether the request ran can no longer be determined";
  default:
    return "the home zone of the idempotency key can't serve it now";
  }
}

} // namespace

OnceHost::OnceHost(const Settings &S, Incarnation I, const Clock &C,
                   Transport &T)
    : Clock_(C), Transport_(T),
      Table_(S.Vm_, S.Zone_, I, C.unixMillis(), C.now()) {}

std::vector<Envelope> OnceHost::collectResults() {
  for (OnceDecision &Decision : Table_.takeCompleted())
    if (Waiting_.erase(Decision.Ticket_))
      Results_[Decision.Ticket_] = std::move(Decision);
  Completed_.notify_all();
  return Table_.takeOutbox();
}

void OnceHost::send(std::vector<Envelope> Messages) {
  for (Envelope &Message : Messages)
    Transport_.send(std::move(Message));
}

template <class Function> void OnceHost::runLocked(Function F) {
  std::vector<Envelope> Out;
  {
    std::lock_guard Guard(Lock_);
    F();
    Out = collectResults();
  }
  send(std::move(Out));
}

OnceDecision OnceHost::begin(const std::string &Key, const std::string &Digest,
                             Time Deadline, bool Forwarded) {
  OnceDecision Decision;
  runLocked([&] {
    Decision = Table_.begin(Key, Digest, Deadline, Forwarded, Clock_.now());
    if (Decision.Action_ == OnceAction::Wait)
      Waiting_[Decision.Ticket_] = true;
  });
  if (Decision.Action_ == OnceAction::Wait) {
    std::unique_lock Guard(Lock_);
    Decision = await(Guard, Decision.Ticket_, Deadline);
  }
  if (Decision.Action_ == OnceAction::Refuse)
    throw Refusal(Decision.Reason_, Decision.Ran_, Step,
                  refusalMessage(Decision.Reason_));
  return Decision;
}

OnceDecision OnceHost::await(std::unique_lock<std::mutex> &Guard,
                             std::uint64_t Ticket, Time Deadline) {
  Duration Remaining = Deadline - Clock_.now() + WaitMargin;
  Completed_.wait_for(Guard, std::chrono::milliseconds(Remaining.count()),
                      [&] { return Results_.count(Ticket) > 0; });
  auto It = Results_.find(Ticket);
  // The table decides every wait by its deadline. Without a decision the
  // request may have run.
  LAGOONPOINT_ASSERT(It != Results_.end(), Step);
  OnceDecision Decision = std::move(It->second);
  Results_.erase(It);
  return Decision;
}

void OnceHost::recordResponse(const std::string &Key,
                              const OnceResponse &Response) {
  runLocked([&] { Table_.recordResponse(Key, Response, Clock_.now()); });
}

void OnceHost::recordNotRun(const std::string &Key) {
  runLocked([&] { Table_.recordNotRun(Key, Clock_.now()); });
}

void OnceHost::recordUnknown(const std::string &Key) {
  runLocked([&] { Table_.recordUnknown(Key, Clock_.now()); });
}

std::string OnceHost::prefix(const ZoneId &Zone) {
  std::lock_guard Guard(Lock_);
  return Table_.prefix(Zone, Clock_.now());
}

void OnceHost::setDeclarations(const ActiveDeclarations &F) {
  runLocked([&] {
    Table_.setRetention(F.Declarations_.Fleet_.ResultsKept_);
    for (const auto &[Zone, View] : F.Views_)
      Table_.setView(onceViewOf(View), Clock_.now());
  });
}

void OnceHost::receive(const Envelope &Message) {
  runLocked([&] { Table_.receive(Message, Clock_.now()); });
}

void OnceHost::tick() {
  runLocked([&] { Table_.tick(Clock_.now()); });
}

OnceView onceViewOf(const ZoneView &View) {
  OnceView Out{View.Zone_, View.Epoch_, {}};
  for (const ViewMember &M : View.Members_)
    Out.Members_.push_back({M.Vm_, M.Incarnation_, M.JoinedEpoch_});
  return Out;
}

ZoneView zoneViewOf(const OnceView &View) {
  ZoneView Out{View.Zone_, View.Epoch_, {}};
  for (const OnceMember &M : View.Members_)
    Out.Members_.push_back({M.Vm_, M.Incarnation_, M.MemberSince_});
  return Out;
}

} // namespace lagoonpoint
