#include "lagoonpoint/src/Limits/LeaseShard.h"

#include "lagoonpoint/src/Core/util/StableHash.h"
#include "lagoonpoint/src/Limits/Allotments.h"

#include <utility>

namespace lagoonpoint {

unsigned LeaseShard::shardOf(const QuantityId &Id) {
  return static_cast<unsigned>(internal::stableHash(Id.Name_) % Shards);
}

unsigned LeaseShard::shardOf(const Envelope &Message) {
  if (Message.Body_.empty() ||
      static_cast<unsigned char>(Message.Body_[0]) >= Shards)
    throw CodecError("lease.receive", Message.From_.str(), "no such shard");
  return static_cast<unsigned char>(Message.Body_[0]);
}

LeaseShard::LeaseShard(unsigned Shard, VmId Self, Incarnation I, bool Restarted,
                       Time Now)
    : Shard_(Shard), Self_(std::move(Self)), Incarnation_(I),
      Restarted_(Restarted), Started_(Now) {}

void LeaseShard::setDeclarations(const Declarations &D, Revision R, Time Now) {
  if (R <= Revision_)
    return;
  Revision_ = R;
  Timing_.Length_ = D.Fleet_.LeaseLength_;
  if (Restarted_)
    CededUntil_ =
        Started_ + Timing_.cedeDuration() + clockMargin(Timing_.cedeDuration());
  std::map<QuantityId, Allotment> Declared = allotments(D, R);
  for (const auto &[Id, H] : Holders_)
    Declared.try_emplace(Id, Allotment{R, {}, {}});
  for (const auto &[Id, A] : Declared)
    if (shardOf(Id) == Shard_)
      declare(Id, A, Now);
}

void LeaseShard::declare(const QuantityId &Id, const Allotment &A, Time Now) {
  auto [H, NewHolder] = Holders_.try_emplace(Id);
  auto [Authority, NewAuthority] = Authorities_.try_emplace(Id);
  if (NewHolder) {
    H->second = makeHolder(Id, Incarnation_, Timing_, Now);
    Authority->second = makeAuthority(Id, Timing_, Now);
    dropFloorsBefore(H->second, Settled_, Now);
    dropAllotmentsBefore(Authority->second, Settled_, Now);
  }
  addFloor(H->second, A.Revision_, floorOf(A, Self_), CededUntil_, Now);
  addAllotment(Authority->second, A, Now);
}

void LeaseShard::setSettled(Revision R, Time Now) {
  if (R <= Settled_ || (Settling_ && R <= Settling_->Revision_))
    return;
  Duration Longest =
      Timing_.cedeDuration() + clockMargin(Timing_.cedeDuration());
  bool First = Settled_ == Revision();
  Settling_ = Settling{R, First ? Now : Now + Longest};
  applySettled(Now);
}

void LeaseShard::applySettled(Time Now) {
  if (!Settling_ || Now < Settling_->At_)
    return;
  Settled_ = Settling_->Revision_;
  Settling_.reset();
  for (auto &[Id, H] : Holders_)
    dropFloorsBefore(H, Settled_, Now);
  for (auto &[Id, A] : Authorities_)
    dropAllotmentsBefore(A, Settled_, Now);
}

void LeaseShard::setAuthority(QuantityKind Kind, const VmId &Authority, Term T,
                              Time Now) {
  for (auto &[Id, H] : Holders_)
    if (Id.Kind_ == Kind)
      lagoonpoint::setAuthority(H, Authority, T, Now);
}

void LeaseShard::setAuthority(const QuantityId &Id, const VmId &Authority,
                              Term T, Time Now) {
  auto Found = Holders_.find(Id);
  if (Found != Holders_.end())
    lagoonpoint::setAuthority(Found->second, Authority, T, Now);
}

void LeaseShard::lead(QuantityKind Kind, Term T, Time Until, Time Now) {
  for (auto &[Id, A] : Authorities_)
    if (Id.Kind_ == Kind)
      lead(Id, T, Until, Now);
}

void LeaseShard::lead(const QuantityId &Id, Term T, Time Until, Time Now) {
  auto Found = Authorities_.find(Id);
  if (Found == Authorities_.end())
    return;
  lagoonpoint::lead(Found->second, T, Until, Now);
  setAuthority(Id, Self_, T, Now);
}

void LeaseShard::stepDown(QuantityKind Kind, Time Now) {
  for (auto &[Id, A] : Authorities_)
    if (Id.Kind_ == Kind)
      lagoonpoint::stepDown(A, Now);
}

TakeResult LeaseShard::take(const QuantityId &Id, double Cost, Time Deadline,
                            Time Now) {
  auto Found = Holders_.find(Id);
  if (Found == Holders_.end())
    return {};
  TakeResult Result =
      lagoonpoint::take(Found->second, ++NextTicket_, Cost, Deadline, Now);
  advance(Found->second, Now);
  return Result;
}

std::vector<TakeResult> LeaseShard::takeCompleted() {
  return std::exchange(Completed_, {});
}

void LeaseShard::advance(LeaseHolder &H, Time Now) {
  for (const TakeResult &Each : completeWaits(H, Now))
    Completed_.push_back(Each);
  if (std::optional<LeaseRequest> Request = nextLeaseRequest(H, Now))
    sendRequest(H.Authority_, std::move(*Request), Now);
}

void LeaseShard::sendRequest(const VmId &To, LeaseRequest Request, Time Now) {
  if (To == Self_)
    onRequest(Self_, Request, Now);
  else
    Outbox_[To].Requests_.push_back(std::move(Request));
}

void LeaseShard::onRequest(const VmId &From, const LeaseRequest &Request,
                           Time Now) {
  auto Found = Authorities_.find(Request.Quantity_);
  if (Found == Authorities_.end())
    return;
  std::optional<LeaseGrant> G =
      handleLeaseRequest(Found->second, From, Request, Now);
  if (!G)
    return;
  if (From == Self_)
    onGrant(*G, Now);
  else
    Outbox_[From].Grants_.push_back(std::move(*G));
}

void LeaseShard::onGrant(const LeaseGrant &G, Time Now) {
  auto Found = Holders_.find(G.Quantity_);
  if (Found == Holders_.end())
    return;
  acceptGrant(Found->second, G, Now);
  for (const TakeResult &Each : completeWaits(Found->second, Now))
    Completed_.push_back(Each);
}

void LeaseShard::tick(Time Now) {
  applySettled(Now);
  for (auto &[Id, H] : Holders_)
    advance(H, Now);
}

void LeaseShard::receive(const Envelope &Message, Time Now) {
  shardOf(Message);
  auto Batch = decode<LeaseBatch>(std::string_view(Message.Body_).substr(1),
                                  "lease.receive", Message.From_.str());
  for (const LeaseReturn &Return : Batch.Returns_) {
    auto Found = Authorities_.find(Return.Quantity_);
    if (Found != Authorities_.end())
      handleLeaseReturn(Found->second, Message.From_, Return, Now);
  }
  for (const LeaseRequest &Request : Batch.Requests_)
    onRequest(Message.From_, Request, Now);
  for (const LeaseGrant &G : Batch.Grants_)
    onGrant(G, Now);
  for (const LeaseGrant &G : Batch.Grants_) {
    auto Found = Holders_.find(G.Quantity_);
    if (Found != Holders_.end())
      advance(Found->second, Now);
  }
}

std::vector<Envelope> LeaseShard::takeOutbox() {
  std::vector<Envelope> Out;
  for (const auto &[To, Batch] : Outbox_)
    Out.push_back({Self_, To, Channel::Lease,
                   std::string(1, static_cast<char>(Shard_)) + encode(Batch)});
  Outbox_.clear();
  return Out;
}

void LeaseShard::releaseAll(Time Now) {
  for (auto &[Id, H] : Holders_) {
    VmId To = H.Authority_;
    std::optional<LeaseReturn> Return = releaseLease(H, Now);
    if (!Return)
      continue;
    if (To == Self_)
      handleLeaseReturn(Authorities_.at(Id), Self_, *Return, Now);
    else
      Outbox_[To].Returns_.push_back(*Return);
  }
}

const LeaseHolder *LeaseShard::holder(const QuantityId &Id) const {
  auto Found = Holders_.find(Id);
  return Found == Holders_.end() ? nullptr : &Found->second;
}

const LeaseAuthority *LeaseShard::authority(const QuantityId &Id) const {
  auto Found = Authorities_.find(Id);
  return Found == Authorities_.end() ? nullptr : &Found->second;
}

} // namespace lagoonpoint
