#pragma once

#include "lagoonpoint/Once"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class OnceHost
/// \ingroup Node
/// \brief This VM's table of once-requests under its lock, with the calls that
/// wait on it. Thread-safe.
class OnceHost {
public:
  OnceHost(const Settings &S, Incarnation I, const Clock &C, Transport &T);

  /// Decides on a call, waiting for the zone's claim until \p Deadline.
  /// \returns Run, Forward or Stored
  /// \throws Refusal otherwise
  OnceDecision begin(const std::string &Key, const std::string &Digest,
                     Time Deadline, bool Forwarded);

  void recordResponse(const std::string &Key, const OnceResponse &Response);
  void recordNotRun(const std::string &Key);
  void recordUnknown(const std::string &Key);

  /// \returns the prefix for new keys of callers of a zone; empty if none may
  /// be issued now.
  std::string prefix(const ZoneId &Zone);

  void setDeclarations(const ActiveDeclarations &F);
  void receive(const Envelope &Message);
  void tick();

private:
  OnceDecision await(std::unique_lock<std::mutex> &Guard, std::uint64_t Ticket,
                     Time Deadline);
  /// Collects ended waits and the outbox. The lock is held.
  std::vector<Envelope> collectResults();
  void send(std::vector<Envelope> Messages);
  template <class Step> void runLocked(Step S);

  const Clock &Clock_;
  Transport &Transport_;
  std::mutex Lock_;
  std::condition_variable Completed_;
  std::map<std::uint64_t, OnceDecision> Results_;
  std::map<std::uint64_t, bool> Waiting_;
  OnceTable Table_;
};

/// \returns a replicated view as the once-table takes it.
OnceView onceViewOf(const ZoneView &View);
/// \returns a view as it is replicated.
ZoneView zoneViewOf(const OnceView &View);

} // namespace lagoonpoint
