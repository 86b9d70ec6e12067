#pragma once

#include "lagoonpoint/Core"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lagoonpoint::fakes {

/// What happens to one message in transit.
struct MessageOutcome {
  bool Lost_ = false;
  int Copies_ = 1;
  Duration Delay_ = Duration::millis(1);
};

/// Simulated network between VMs in one process, under a virtual clock.
///
/// A hook decides the outcome of each message by its sequence number. A cut
/// affects one direction only. Messages are delivered in the order of their due
/// time and, for equal times, in the order of sending.
class FakeNetwork {
public:
  using Hook =
      std::function<MessageOutcome(std::uint64_t Number, const Envelope &)>;

  /// Sets the delay of messages when there is no hook.
  void setDelay(Duration Delay) { Delay_ = Delay; }
  void setHook(Hook H) { Hook_ = std::move(H); }
  void cut(const VmId &From, const VmId &To) { CutLinks_.insert({From, To}); }
  void heal(const VmId &From, const VmId &To) { CutLinks_.erase({From, To}); }
  void healAll() { CutLinks_.clear(); }
  std::uint64_t sent() const { return Sent_; }
  std::uint64_t bytes() const { return Bytes_; }

  void send(Time Now, Envelope Message) {
    std::uint64_t Number = Sent_++;
    Bytes_ += Message.Body_.size();
    MessageOutcome Outcome{.Delay_ = Delay_};
    if (Hook_)
      Outcome = Hook_(Number, Message);
    if (Outcome.Lost_ || CutLinks_.count({Message.From_, Message.To_}))
      return;
    for (int Copy = 0; Copy < Outcome.Copies_; ++Copy)
      InFlight_.emplace(std::pair(Now + Outcome.Delay_, NextOrder_++), Message);
  }

  /// Removes the messages due by \p Now and returns those whose link is not
  /// cut, in order.
  std::vector<Envelope> takeDue(Time Now) {
    std::vector<Envelope> Out;
    while (!InFlight_.empty() && InFlight_.begin()->first.first <= Now) {
      Envelope &Message = InFlight_.begin()->second;
      if (!CutLinks_.count({Message.From_, Message.To_}))
        Out.push_back(std::move(Message));
      InFlight_.erase(InFlight_.begin());
    }
    return Out;
  }

  /// \returns when the next message is due; one day from now if there is none.
  Time nextDue(Time Now) const {
    if (InFlight_.empty())
      return Now + Duration::seconds(86400);
    return InFlight_.begin()->first.first;
  }

  /// Drops the messages in transit to a VM, as when its process crashes.
  void dropTo(const VmId &Vm) {
    std::erase_if(InFlight_, [&](const auto &E) { return E.second.To_ == Vm; });
  }

private:
  Duration Delay_ = Duration::millis(1);
  Hook Hook_;
  std::set<std::pair<VmId, VmId>> CutLinks_;
  std::map<std::pair<Time, std::uint64_t>, Envelope> InFlight_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Bytes_ = 0;
  std::uint64_t NextOrder_ = 0;
};

} // namespace lagoonpoint::fakes
