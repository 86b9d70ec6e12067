#pragma once

#include "lagoonpoint/Once"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class OnceHost
/// \ingroup Node
/// \brief This VM's table of once-requests, guarded by a lock, and the calls
/// that wait for its decisions. Thread-safe.
class OnceHost {
public:
  OnceHost(const Settings &S, Incarnation I, const Clock &C, Transport &T);

  /// Decides what to do with a call. Waits until \p Deadline for the zone's VMs
  /// to confirm the claim.
  /// \returns a decision with Run, Forward or Replay
  /// \throws Refusal if the call must not run
  OnceDecision begin(const std::string &Key, const std::string &Digest,
                     Time Deadline, bool Forwarded);

  void recordResponse(const std::string &Key, const OnceResponse &Response);
  void recordNotRun(const std::string &Key);
  void recordUnknown(const std::string &Key);

  /// \returns the prefix for new idempotency keys with this home zone, empty if
  /// none may be issued now.
  std::string prefix(const ZoneId &Zone);

  void setDeclarations(const ActiveDeclarations &F);
  void receive(const Envelope &Message);
  void tick();

private:
  OnceDecision await(std::unique_lock<std::mutex> &Guard, std::uint64_t Ticket,
                     Time Deadline);
  /// Stores the decisions of completed waits and returns the table's outgoing
  /// messages. The lock must be held.
  std::vector<Envelope> collectResults();
  void send(std::vector<Envelope> Messages);
  template <class Function> void runLocked(Function F);

  const Clock &Clock_;
  Transport &Transport_;
  std::mutex Lock_;
  std::condition_variable Completed_;
  std::map<std::uint64_t, OnceDecision> Results_;
  std::map<std::uint64_t, bool> Waiting_;
  OnceTable Table_;
};

/// Converts a view of the catalog to the form that the once-table uses.
OnceView onceViewOf(const ZoneView &View);
/// Converts a view of the once-table to the form that the catalog stores.
ZoneView zoneViewOf(const OnceView &View);

} // namespace lagoonpoint
