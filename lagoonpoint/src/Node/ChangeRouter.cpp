#include "lagoonpoint/src/Node/ChangeRouter.h"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration TryTimeout = Duration::seconds(2);
constexpr Duration RetryDelay = Duration::millis(50);
constexpr const char *Step = "change.forward";

/// A change that is forwarded to another VM.
struct ForwardRequest {
  std::uint64_t Number_ = 0;
  Change Change_;
  MSGPACK_DEFINE(Number_, Change_)
};

/// Result of a forwarded change.
struct ForwardReply {
  std::uint64_t Number_ = 0;
  bool Decided_ = false;
  ChangeReply Reply_;
  VmId Leader_;
  MSGPACK_DEFINE(Number_, Decided_, Reply_, Leader_)
};

/// Message of Channel::Forward.
struct ForwardMessage {
  std::vector<ForwardRequest> Requests_;
  std::vector<ForwardReply> Replies_;
  MSGPACK_DEFINE(Requests_, Replies_)
};

std::chrono::milliseconds chronoOf(Duration D) {
  return std::chrono::milliseconds(D.count());
}

} // namespace

ChangeRouter::ChangeRouter(VmId Self, std::vector<VmId> Voters,
                           ReplicaHost *Replica, const Clock &C, Transport &T)
    : Self_(std::move(Self)), Voters_(std::move(Voters)), Replica_(Replica),
      Clock_(C), Transport_(T) {}

ChangeReply ChangeRouter::submit(const Change &C, Duration Wait) {
  Time Deadline = Clock_.now() + Wait;
  VmId LeaderHint = Replica_ ? Self_ : VmId();
  for (std::size_t Try = 0; Clock_.now() < Deadline; ++Try) {
    VmId Target = LeaderHint.empty() ? voterAt(Try) : LeaderHint;
    Duration Remaining = Deadline - Clock_.now();
    SubmitResult Result = submitTo(Target, C, std::min(TryTimeout, Remaining));
    if (Result.Decided_)
      return Result.Reply_;
    LeaderHint = Result.Leader_ == Target ? VmId() : Result.Leader_;
    // VMs may name each other during an election, so only the first leader
    // named is asked without a pause.
    if (Try > 0 || LeaderHint.empty())
      std::this_thread::sleep_for(chronoOf(RetryDelay));
  }
  throw UnavailableError(Step, "",
                         "no leader gave a verdict in time; resend the change "
                         "with the same change id to learn its outcome");
}

void ChangeRouter::setVoters(std::vector<VmId> Voters) {
  std::lock_guard Guard(Lock_);
  if (!Voters.empty())
    Voters_ = std::move(Voters);
}

VmId ChangeRouter::voterAt(std::size_t Try) {
  std::lock_guard Guard(Lock_);
  return Voters_.empty() ? Self_ : Voters_[Try % Voters_.size()];
}

SubmitResult ChangeRouter::submitTo(const VmId &Vm, const Change &C,
                                    Duration Timeout) {
  std::uint64_t Number;
  {
    std::lock_guard Guard(Lock_);
    Number = NextNumber_++;
    Pending_[Number];
  }
  sendRequest(Vm, Number, C);
  std::unique_lock Guard(Lock_);
  ResultReceived_.wait_for(Guard, chronoOf(Timeout),
                           [&] { return Pending_[Number].HasResult_; });
  SubmitResult Result = Pending_[Number].Result_;
  Pending_.erase(Number);
  return Result;
}

void ChangeRouter::sendRequest(const VmId &Vm, std::uint64_t Number,
                               const Change &C) {
  if (Vm == Self_ && Replica_) {
    Replica_->submit(C, [this, Number](SubmitResult Result) {
      completeRequest(Number, Result);
    });
    return;
  }
  ForwardMessage Message;
  Message.Requests_.push_back({Number, C});
  Transport_.send({Self_, Vm, Channel::Forward, encode(Message)});
}

void ChangeRouter::completeRequest(std::uint64_t Number, SubmitResult Result) {
  std::lock_guard Guard(Lock_);
  auto It = Pending_.find(Number);
  if (It == Pending_.end())
    return;
  It->second = {true, std::move(Result)};
  ResultReceived_.notify_all();
}

void ChangeRouter::receive(const Envelope &Message) {
  auto Decoded =
      decode<ForwardMessage>(Message.Body_, Step, Message.From_.str());
  for (const ForwardReply &Reply : Decoded.Replies_)
    completeRequest(Reply.Number_,
                    {Reply.Decided_, Reply.Reply_, Reply.Leader_});
  for (const ForwardRequest &Request : Decoded.Requests_)
    handleRequest(Message.From_, Request.Number_, Request.Change_);
}

void ChangeRouter::handleRequest(const VmId &To, std::uint64_t Number,
                                 const Change &C) {
  auto Reply = [this, To, Number](const SubmitResult &Result) {
    ForwardMessage Out;
    Out.Replies_.push_back(
        {Number, Result.Decided_, Result.Reply_, Result.Leader_});
    Transport_.send({Self_, To, Channel::Forward, encode(Out)});
  };
  if (Replica_)
    Replica_->submit(C, Reply);
  else
    Reply({});
}

} // namespace lagoonpoint
