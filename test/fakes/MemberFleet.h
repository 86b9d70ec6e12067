#pragma once

#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Membership"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace lagoonpoint::fakes {

/// The membership of several zones under a virtual clock. Zones have names like
/// "z1", and their VMs names like "z1a".
class MemberFleet {
public:
  MemberFleet(int Zones, int VmsPerZone) {
    for (int Zone = 1; Zone <= Zones; ++Zone)
      for (int Vm = 0; Vm < VmsPerZone; ++Vm) {
        ZoneId In("z" + std::to_string(Zone));
        Declared_[VmId(In.str() + static_cast<char>('a' + Vm))] = In;
      }
    for (const auto &[Vm, Zone] : Declared_)
      start(Vm);
  }

  void start(const VmId &Vm) {
    MembershipOptions Options;
    Options.Self_ = Vm;
    Options.Zone_ = Declared_.at(Vm);
    Options.Incarnation_ = Incarnation(
        static_cast<std::uint64_t>(1'800'000'000'000 + Now_.count()));
    Vms_.insert_or_assign(Vm, Members(Options, Now_));
    Vms_.at(Vm).setDeclared(Declared_, Now_);
  }
  void crash(const VmId &Vm) {
    Vms_.erase(Vm);
    Net_.dropTo(Vm);
  }
  Members &at(const std::string &Vm) { return Vms_.at(VmId(Vm)); }

  /// Cuts the network between a zone and all others, in both directions.
  void cutZone(const std::string &Zone) {
    for (const auto &[A, In] : Declared_)
      for (const auto &[B, Other] : Declared_)
        if ((In.str() == Zone) != (Other.str() == Zone))
          Net_.cut(A, B);
  }

  void run(Duration For) {
    Time End = Now_ + For;
    while (Now_ < End) {
      Now_ = Now_ + Step;
      deliver();
      for (auto &[Vm, M] : Vms_) {
        M.tick(Now_);
        sendOutbox(M);
      }
      if (OnStep_)
        OnStep_();
    }
  }
  /// Runs until a check holds at all VMs.
  /// \returns the time it took; nothing if \p Limit was exceeded.
  std::optional<Duration> runUntil(const std::function<bool(Members &)> &Check,
                                   Duration Limit) {
    Time From = Now_;
    while (Now_ - From <= Limit) {
      bool All = true;
      for (auto &[Vm, M] : Vms_)
        All = All && Check(M);
      if (All)
        return Now_ - From;
      run(Step);
    }
    return std::nullopt;
  }
  void sendOutbox(Members &M) {
    for (Envelope &Message : M.takeOutbox())
      Net_.send(Now_, std::move(Message));
  }
  void announce(const std::string &Vm, AnnouncedUpstream Announced) {
    at(Vm).announce(Announced, Now_);
    sendOutbox(at(Vm));
  }

  static constexpr Duration Step = Duration::millis(50);
  VmZones Declared_;
  std::map<VmId, Members> Vms_;
  FakeNetwork Net_;
  Time Now_{1000};
  std::function<void()> OnStep_;

private:
  void deliver() {
    for (Envelope &Message : Net_.takeDue(Now_)) {
      auto It = Vms_.find(Message.To_);
      if (It != Vms_.end())
        It->second.receive(Message, Now_);
    }
  }
};

} // namespace lagoonpoint::fakes
