#pragma once

#include "lagoonpoint/Core"

#include <cstddef>
#include <map>
#include <mutex>

namespace lagoonpoint::internal {

/// \class CallSlots
/// \ingroup Http
/// \brief Limits the threads that forwarded calls may occupy. Thread-safe.
///
/// One thread in eight is reserved for lookups. While more than three quarters
/// of the slots are in use, a team that holds half of all slots gets no more,
/// so that one team's slow calls can't block the others.
class CallSlots {
public:
  /// \param Threads of the listener
  explicit CallSlots(unsigned Threads);

  /// \class Slot
  /// \brief One slot, held until destruction.
  class Slot {
  public:
    /// \throws Refusal QueueFull if no slot is free
    explicit Slot(CallSlots &Slots);
    ~Slot();
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

    /// Assigns the slot to the team of the call.
    /// \throws Refusal QueueFull if the team already holds too many
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
