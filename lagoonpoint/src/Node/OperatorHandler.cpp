#include "lagoonpoint/src/Node/OperatorHandler.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPResponse.h>

namespace lagoonpoint {

namespace {

using Poco::Net::HTTPResponse;

constexpr Duration SubmitTimeout = Duration::seconds(10);
constexpr Duration MaxRolloutWait = Duration::seconds(25);

OperatorReply errorReply(int Status, const std::string &Message) {
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("message", Message);
  return {Status, Body};
}

/// \class FieldError
/// A field of an operator's request that is missing or of the wrong type.
class FieldError : public Error {
public:
  explicit FieldError(const std::string &Field)
      : Error("operator.request", "",
              "field '" + Field + "' is missing or of the wrong type") {}
};

template <class Value>
Value field(const Poco::JSON::Object::Ptr &Body, const std::string &Name) {
  if (!Body || !Body->has(Name))
    throw FieldError(Name);
  try {
    return Body->getValue<Value>(Name);
  } catch (const Poco::Exception &) {
    throw FieldError(Name);
  }
}

std::string stringField(const Poco::JSON::Object::Ptr &Body,
                        const std::string &Name) {
  if (!Body || !Body->has(Name) || !Body->get(Name).isString())
    throw FieldError(Name);
  return Body->getValue<std::string>(Name);
}

int statusOf(ChangeVerdict Verdict) {
  switch (Verdict) {
  case ChangeVerdict::Accepted:
    return HTTPResponse::HTTP_OK;
  case ChangeVerdict::Conflict:
    return HTTPResponse::HTTP_CONFLICT;
  case ChangeVerdict::Invalid:
    return HTTPResponse::HTTP_UNPROCESSABLE_ENTITY;
  }
  return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

OperatorReply replyOf(const ChangeReply &Reply) {
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("verdict", toString(Reply.Verdict_));
  Body->set("revision", Reply.Revision_.value());
  if (!Reply.Message_.empty())
    Body->set("message", Reply.Message_);
  return {statusOf(Reply.Verdict_), Body};
}

template <class Ids> Poco::JSON::Array arrayOf(const Ids &List) {
  Poco::JSON::Array Out;
  for (const auto &Id : List)
    Out.add(Id.str());
  return Out;
}

DrainScope scopeOf(const std::string &Name) {
  if (Name == "region")
    return DrainScope::Region;
  if (Name == "zone")
    return DrainScope::Zone;
  if (Name == "vm")
    return DrainScope::Vm;
  throw FieldError("scope");
}

Poco::JSON::Array vmRows(const ControlStatus &Status) {
  Poco::JSON::Array Rows;
  for (const VmStatus &Vm : Status.Vms_) {
    Poco::JSON::Object Row;
    Row.set("vm", Vm.Vm_.str());
    Row.set("zone", Vm.Zone_.str());
    Row.set("state", Vm.State_);
    Row.set("revision", Vm.Revision_.value());
    Row.set("lag", Status.Revision_.value() - Vm.Revision_.value());
    Row.set("why", Vm.LagReason_);
    Rows.add(Row);
  }
  return Rows;
}

Poco::JSON::Array voterRows(const ControlStatus &Status) {
  Poco::JSON::Array Rows;
  for (const VoterStatus &Voter : Status.Voters_) {
    Poco::JSON::Object Row;
    Row.set("vm", Voter.Vm_.str());
    Row.set("role", Voter.Role_);
    Row.set("durable", Voter.Durable_.value());
    Rows.add(Row);
  }
  return Rows;
}

Poco::JSON::Array upstreamRows(const ControlStatus &Status) {
  Poco::JSON::Array Rows;
  for (const UpstreamStatus &Upstream : Status.Upstreams_) {
    Poco::JSON::Object Row;
    Row.set("service", Upstream.Service_.str());
    Row.set("upstream", Upstream.Upstream_.str());
    Row.set("zone", Upstream.Zone_.str());
    Row.set("state", Upstream.State_);
    Row.set("slots", Upstream.Slots_);
    Row.set("load", Upstream.Load_);
    Rows.add(Row);
  }
  return Rows;
}

} // namespace

OperatorReply OperatorHandler::handle(const OperatorRequest &Request) {
  const std::string &Path = Request.Path_;
  bool Get = Request.Method_ == "GET";
  bool Post = Request.Method_ == "POST";
  try {
    if (Get && Path == "/v1/declarations")
      return declarations();
    if (Get && Path == "/v1/status")
      return status();
    if (Post && Path == "/v1/apply")
      return apply(Request.Body_);
    if (Post && Path == "/v1/keys")
      return changeKey(Request.Body_);
    if (Post && Path == "/v1/drains")
      return setDrain(Request.Body_);
    if (Post && Path == "/v1/voters")
      return changeVoter(Request.Body_);
  } catch (const FieldError &E) {
    return errorReply(HTTPResponse::HTTP_BAD_REQUEST, E.message());
  } catch (const UnavailableError &E) {
    return errorReply(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, E.what());
  }
  return errorReply(HTTPResponse::HTTP_NOT_FOUND,
                    "no such request: " + Request.Method_ + " " + Path);
}

OperatorReply OperatorHandler::apply(const Poco::JSON::Object::Ptr &Body) {
  Change C;
  C.Kind_ = ChangeKind::Declare;
  C.Id_ = ChangeId(stringField(Body, "change_id"));
  C.Base_ = Revision(field<std::uint64_t>(Body, "base"));
  C.Text_ = stringField(Body, "text");
  ChangeReply Reply = Control_.submit(C, SubmitTimeout);
  OperatorReply Out = replyOf(Reply);
  if (Reply.Verdict_ != ChangeVerdict::Accepted)
    return Out;
  Duration Wait;
  if (Body->has("wait_ms"))
    Wait = Duration::millis(field<std::int64_t>(Body, "wait_ms"));
  RolloutReport Report =
      Control_.awaitRollout(Reply.Revision_, std::min(Wait, MaxRolloutWait));
  Out.Body_->set("zones", arrayOf(Report.Zones_));
  Out.Body_->set("unconfirmed", arrayOf(Report.Unconfirmed_));
  return Out;
}

OperatorReply OperatorHandler::changeKey(const Poco::JSON::Object::Ptr &Body) {
  std::string Action = stringField(Body, "action");
  KeyId Id(stringField(Body, "id"));
  Change C;
  C.Id_ = ChangeId(stringField(Body, "change_id"));
  if (Action == "withdraw") {
    C.Kind_ = ChangeKind::WithdrawKey;
    C.Key_.Id_ = Id;
    return replyOf(Control_.withdrawKey(C, SubmitTimeout));
  }
  if (Action != "grant")
    throw FieldError("action");
  NewKey New = generateKey(Id, TeamId(stringField(Body, "team")));
  C.Kind_ = ChangeKind::GrantKey;
  C.Key_ = New.Grant_;
  ChangeReply Reply = Control_.grantKey(C, SubmitTimeout);
  OperatorReply Out = replyOf(Reply);
  if (Reply.Verdict_ == ChangeVerdict::Accepted)
    Out.Body_->set("key", New.Credential_);
  return Out;
}

OperatorReply OperatorHandler::setDrain(const Poco::JSON::Object::Ptr &Body) {
  Change C;
  C.Kind_ = ChangeKind::SetDrain;
  C.Id_ = ChangeId(stringField(Body, "change_id"));
  C.Drain_ = {scopeOf(stringField(Body, "scope")), stringField(Body, "id")};
  C.Drained_ = field<bool>(Body, "drained");
  if (!Control_.isDeclared(C.Drain_))
    return errorReply(HTTPResponse::HTTP_UNPROCESSABLE_ENTITY,
                      "the declarations contain no such " +
                          stringField(Body, "scope"));
  return replyOf(Control_.submit(C, SubmitTimeout));
}

OperatorReply
OperatorHandler::changeVoter(const Poco::JSON::Object::Ptr &Body) {
  VoterChange V;
  V.Action_ = stringField(Body, "action");
  V.Vm_ = VmId(stringField(Body, "vm"));
  if (V.Action_ == "replace")
    V.Replacement_ = VmId(stringField(Body, "with"));
  else if (V.Action_ != "add" && V.Action_ != "remove")
    throw FieldError("action");
  std::string Refusal = Control_.changeVoter(V, SubmitTimeout);
  if (!Refusal.empty())
    return errorReply(HTTPResponse::HTTP_CONFLICT, Refusal);
  Poco::JSON::Object::Ptr Out = new Poco::JSON::Object;
  Out->set("message",
           "started; `lagoonpoint status` shows when it is complete");
  return {HTTPResponse::HTTP_OK, Out};
}

OperatorReply OperatorHandler::declarations() {
  auto [Revision, Text] = Control_.declarationsText();
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("revision", Revision.value());
  Body->set("text", Text);
  return {HTTPResponse::HTTP_OK, Body};
}

OperatorReply OperatorHandler::status() {
  ControlStatus Status = Control_.status();
  Poco::JSON::Object::Ptr Body = new Poco::JSON::Object;
  Body->set("vm", Status.Vm_.str());
  Body->set("zone", Status.Zone_.str());
  Body->set("why_not", Status.WhyNotReady_);
  Body->set("contact", Status.Contact_);
  Body->set("readiness", Status.Readiness_);
  Body->set("revision", Status.Revision_.value());
  Body->set("leader", Status.Leader_.str());
  Body->set("term", Status.Term_.value());
  Body->set("repair", Status.Repair_);
  Body->set("vms", vmRows(Status));
  Body->set("voters", voterRows(Status));
  Body->set("upstreams", upstreamRows(Status));
  return {HTTPResponse::HTTP_OK, Body};
}

std::string OperatorHandler::metrics() { return Metrics_.text(); }

bool OperatorHandler::ready(std::string &WhyNot) {
  WhyNot = Control_.whyNotReady();
  return WhyNot.empty();
}

} // namespace lagoonpoint
