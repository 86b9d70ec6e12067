#pragma once

#include "lagoonpoint/Core"

#include <cstddef>
#include <map>
#include <mutex>

namespace lagoonpoint::internal {

/// \class CallSlots
/// \ingroup Http
/// \brief The threads that calls being passed on may hold. Thread-safe.
///
/// Some threads are left to look-ups. Once three quarters of the slots are
/// held, a team that holds half of them gets no more, so that one team's slow
/// calls can't shut out the others.
class CallSlots {
public:
  /// \param Threads of the listener
  explicit CallSlots(unsigned Threads);

  /// \class Held
  /// \brief One slot, until it is destroyed.
  class Slot {
  public:
    /// \throws Refusal QueueFull if no slot is free
    explicit Slot(CallSlots &Slots);
    ~Slot();
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

    /// Says whose call it is.
    /// \throws Refusal QueueFull if the team holds too many already
    void assign(const TeamId &Team);

  private:
    CallSlots &Slots_;
    TeamId Team_;
    bool Assigned_ = false;
  };

private:
  const std::size_t Total_;
  std::mutex Lock_; ///< guards InUse_, Teams_
  std::size_t InUse_ = 0;
  std::map<TeamId, std::size_t> Teams_;
};

} // namespace lagoonpoint::internal
