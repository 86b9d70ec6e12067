#include "lagoonpoint/src/Node/ChangeRouter.h"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration TryWait = Duration::seconds(2);
constexpr Duration Pause = Duration::millis(50);
constexpr const char *Step = "change.forward";

/// A change on its way to the leader.
struct ForwardAsk {
  std::uint64_t Number_ = 0;
  Change Change_;
  MSGPACK_DEFINE(Number_, Change_)
};

/// What became of it.
struct ForwardReply {
  std::uint64_t Number_ = 0;
  bool Judged_ = false;
  ChangeReply Reply_;
  VmId Leader_;
  MSGPACK_DEFINE(Number_, Judged_, Reply_, Leader_)
};

/// Either of them.
struct ForwardMessage {
  std::vector<ForwardAsk> Asks_;
  std::vector<ForwardReply> Replies_;
  MSGPACK_DEFINE(Asks_, Replies_)
};

std::chrono::milliseconds chronoOf(Duration D) {
  return std::chrono::milliseconds(D.count());
}

} // namespace

ChangeRouter::ChangeRouter(VmId Self, std::vector<VmId> Voters,
                           ReplicaHost *Host, const Clock &C, Transport &T)
    : Self_(std::move(Self)), Voters_(std::move(Voters)), Host_(Host),
      Clock_(C), Transport_(T) {}

ChangeReply ChangeRouter::submit(const Change &C, Duration Wait) {
  Time Deadline = Clock_.now() + Wait;
  VmId Hint = Host_ ? Self_ : VmId();
  for (std::size_t Try = 0; Clock_.now() < Deadline; ++Try) {
    VmId Target = Hint.empty() ? voterAt(Try) : Hint;
    Duration Left = Deadline - Clock_.now();
    SubmitResult Result = tryAt(Target, C, std::min(TryWait, Left));
    if (Result.Judged_)
      return Result.Reply_;
    Hint = Result.Leader_ == Target ? VmId() : Result.Leader_;
    std::this_thread::sleep_for(chronoOf(Pause));
  }
  throw UnavailableError(Step, "",
                         "no leader judged the change in time; resend it with "
                         "the same change id to learn its outcome");
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

SubmitResult ChangeRouter::tryAt(const VmId &Vm, const Change &C,
                                 Duration Wait) {
  std::uint64_t Number;
  {
    std::lock_guard Guard(Lock_);
    Number = NextNumber_++;
    Open_[Number];
  }
  sendTo(Vm, Number, C);
  std::unique_lock Guard(Lock_);
  Answered_.wait_for(Guard, chronoOf(Wait),
                     [&] { return Open_[Number].Answered_; });
  SubmitResult Result = Open_[Number].Result_;
  Open_.erase(Number);
  return Result;
}

void ChangeRouter::sendTo(const VmId &Vm, std::uint64_t Number,
                          const Change &C) {
  if (Vm == Self_ && Host_) {
    Host_->submit(
        C, [this, Number](SubmitResult Result) { finish(Number, Result); });
    return;
  }
  ForwardMessage Message;
  Message.Asks_.push_back({Number, C});
  Transport_.send({Self_, Vm, Channel::Forward, encode(Message)});
}

void ChangeRouter::finish(std::uint64_t Number, SubmitResult Result) {
  std::lock_guard Guard(Lock_);
  auto It = Open_.find(Number);
  if (It == Open_.end())
    return;
  It->second = {true, std::move(Result)};
  Answered_.notify_all();
}

void ChangeRouter::receive(const Envelope &Message) {
  auto Got = decode<ForwardMessage>(Message.Body_, Step, Message.From_.str());
  for (const ForwardReply &Reply : Got.Replies_)
    finish(Reply.Number_, {Reply.Judged_, Reply.Reply_, Reply.Leader_});
  for (const ForwardAsk &Ask : Got.Asks_)
    answer(Message.From_, Ask.Number_, Ask.Change_);
}

void ChangeRouter::answer(const VmId &To, std::uint64_t Number,
                          const Change &C) {
  auto Reply = [this, To, Number](const SubmitResult &Result) {
    ForwardMessage Out;
    Out.Replies_.push_back(
        {Number, Result.Judged_, Result.Reply_, Result.Leader_});
    Transport_.send({Self_, To, Channel::Forward, encode(Out)});
  };
  if (Host_)
    Host_->submit(C, Reply);
  else
    Reply({});
}

} // namespace lagoonpoint
