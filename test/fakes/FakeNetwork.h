#pragma once

#include "lagoonpoint/Core"

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lagoonpoint::fakes {

/// What happens to one message on its way.
struct MessageOutcome {
  bool Lost_ = false;
  int Copies_ = 1;
  Duration Delay_ = Duration::millis(1);
};

/// Carries envelopes between in-process VMs under a virtual clock.
///
/// A hook decides each message's fate by its number; cuts are one way. A
/// message is delivered in the order of its due time, then of its sending.
class FakeNetwork {
public:
  using Hook =
      std::function<MessageOutcome(std::uint64_t Number, const Envelope &)>;

  /// Delay of a message for which no hook decides.
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

  /// Takes all messages due by \p Now that no cut stops, in order.
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

  /// \returns when the next message is due; a day ahead if there is none.
  Time nextDue(Time Now) const {
    if (InFlight_.empty())
      return Now + Duration::seconds(86400);
    return InFlight_.begin()->first.first;
  }

  /// Drops what is on its way to a VM, as when its process dies.
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
