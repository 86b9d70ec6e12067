#pragma once

#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Once"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint::fakes {

/// Simulated VMs of one zone, each with a OnceTable, on a fake network and a
/// virtual clock.
class OnceZone {
public:
  static constexpr std::int64_t UnixStart = 1'800'000'000'000;

  explicit OnceZone(int Count) {
    for (int I = 0; I < Count; ++I)
      start(VmId("vm" + std::to_string(I)));
    View_.Zone_ = Zone_;
    changeView();
  }

  FakeNetwork &network() { return Net_; }
  Time now() const { return Now_; }
  const OnceView &view() const { return View_; }
  std::vector<VmId> vms() const {
    std::vector<VmId> Out;
    for (const auto &[Id, T] : Tables_)
      Out.push_back(Id);
    return Out;
  }
  bool up(const VmId &Vm) const { return Up_.at(Vm); }
  OnceTable &table(const VmId &Vm) { return *Tables_.at(Vm); }

  /// \returns a key issued now in the current view, with the given suffix.
  std::string key(const std::string &Suffix) const {
    return oncePrefix(Zone_, View_.Epoch_, UnixStart + Now_.count()) + Suffix;
  }
  VmId homeOf(const std::string &Suffix) const {
    return homeVm(View_, key(Suffix));
  }
  VmId otherThan(const VmId &Vm) const {
    for (const auto &[Id, T] : Tables_)
      if (Id != Vm)
        return Id;
    return Vm;
  }

  void start(const VmId &Vm) {
    ++Starts_[Vm];
    Up_[Vm] = true;
    Tables_[Vm] = std::make_unique<OnceTable>(
        Vm, Zone_, Incarnation(Starts_[Vm]), UnixStart + Now_.count(), Now_);
    if (View_.Epoch_ > Epoch())
      Tables_[Vm]->setView(View_, Now_);
  }
  void crash(const VmId &Vm) {
    Up_[Vm] = false;
    Net_.dropTo(Vm);
    std::erase_if(Running_, [&](const auto &R) { return R.second == Vm; });
  }
  void restart(const VmId &Vm) {
    crash(Vm);
    start(Vm);
  }

  /// Creates the next view from the VMs that are up and not in \p LeftOut.
  void decideView(const std::vector<VmId> &LeftOut = {}) {
    std::vector<OnceProcess> Alive;
    for (const auto &[Vm, T] : Tables_)
      if (Up_[Vm] &&
          std::find(LeftOut.begin(), LeftOut.end(), Vm) == LeftOut.end())
        Alive.push_back({Vm, Incarnation(Starts_[Vm])});
    View_ = nextView(View_, Alive);
  }
  void learnView(const VmId &Vm) {
    if (!Up_[Vm])
      return;
    Tables_[Vm]->setView(View_, Now_);
    flush(Vm);
  }
  void changeView() {
    decideView();
    for (const auto &[Vm, T] : Tables_)
      learnView(Vm);
  }

  OnceDecision call(const VmId &Vm, const std::string &Key,
                    const std::string &Digest = "body",
                    bool Forwarded = false) {
    OnceDecision D = Tables_.at(Vm)->begin(
        Key, Digest, Now_ + Duration::seconds(5), Forwarded, Now_);
    checkRefusal(Key, Digest, D);
    if (D.Action_ == OnceAction::Wait)
      Keys_[{Vm, D.Ticket_}] = Key;
    flush(Vm);
    return D;
  }

  /// \returns how many times a key was dispatched.
  int dispatchCount(const std::string &Key) const {
    auto Found = DispatchCounts_.find(Key);
    return Found == DispatchCounts_.end() ? 0 : Found->second;
  }
  const std::map<std::string, int> &dispatchCounts() const {
    return DispatchCounts_;
  }
  const std::map<std::string, VmId> &running() const { return Running_; }

  void completeRun(const std::string &Key) {
    VmId Vm = Running_.at(Key);
    Running_.erase(Key);
    Tables_.at(Vm)->recordResponse(Key, {200, {}, "done"}, Now_);
    flush(Vm);
  }
  void notRun(const std::string &Key) {
    VmId Vm = Running_.at(Key);
    Running_.erase(Key);
    MayHaveRun_.erase(Key);
    Tables_.at(Vm)->recordNotRun(Key, Now_);
    flush(Vm);
  }

  OnceDecision completion(const VmId &Vm, std::uint64_t Ticket) const {
    return Completed_.at({Vm, Ticket});
  }

  void run(Duration For, Duration Step = Duration::millis(1)) {
    for (Time End = Now_ + For; Now_ < End;) {
      Now_ = Now_ + Step;
      for (Envelope &E : Net_.takeDue(Now_)) {
        if (!Up_[E.To_])
          continue;
        Tables_.at(E.To_)->receive(E, Now_);
        flush(E.To_);
      }
      for (const auto &[Vm, T] : Tables_) {
        if (!Up_[Vm] || Now_.count() % 10 != 0)
          continue;
        T->tick(Now_);
        flush(Vm);
      }
    }
  }

  /// \returns how many refusals wrongly reported a key as not run.
  int falseNotRunCount() const { return FalseNotRunCount_; }

private:
  void checkRefusal(const std::string &Key, const std::string &Digest,
                    const OnceDecision &D) {
    if (D.Action_ == OnceAction::Refuse && D.Ran_ == Ran::No &&
        Digest == "body" && MayHaveRun_.count(Key))
      ++FalseNotRunCount_;
  }

  void flush(const VmId &Vm) {
    OnceTable &T = *Tables_.at(Vm);
    for (const OnceDecision &D : T.takeCompleted()) {
      Completed_[{Vm, D.Ticket_}] = D;
      checkRefusal(Keys_.at({Vm, D.Ticket_}), "body", D);
      if (D.Action_ != OnceAction::Run)
        continue;
      const std::string &Key = Keys_.at({Vm, D.Ticket_});
      ++DispatchCounts_[Key];
      Running_[Key] = Vm;
      MayHaveRun_.insert(Key);
    }
    for (Envelope &E : T.takeOutbox())
      Net_.send(Now_, std::move(E));
  }

  ZoneId Zone_{"z0"};
  Time Now_{10'000};
  FakeNetwork Net_;
  OnceView View_;
  std::map<VmId, std::unique_ptr<OnceTable>> Tables_;
  std::map<VmId, bool> Up_;
  std::map<VmId, std::uint64_t> Starts_;
  std::map<std::pair<VmId, std::uint64_t>, std::string> Keys_;
  std::map<std::pair<VmId, std::uint64_t>, OnceDecision> Completed_;
  std::map<std::string, int> DispatchCounts_;
  std::set<std::string> MayHaveRun_;
  int FalseNotRunCount_ = 0;
  std::map<std::string, VmId> Running_;
};

} // namespace lagoonpoint::fakes
