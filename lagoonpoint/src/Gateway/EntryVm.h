#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"

#include <memory>

namespace lagoonpoint {

/// \class EntryVm
/// \ingroup Gateway
/// \brief A diskless VM that accepts callers' requests and forwards them to
/// upstreams of all zones. Thread-safe.
class EntryVm {
public:
  /// \param S outlives this object
  /// \param D header fields that callers and upstreams use
  EntryVm(const FleetSettings &S, Dialect D);
  ~EntryVm();

  /// \throws Error if listening on an address fails
  void start();
  /// Tells the core VMs that this VM is leaving, and keeps serving until
  /// callers have stopped using it. Called at most once, before stop().
  void drain();
  /// Waits for calls in flight, after a drain until the end of the StopPlan.
  void stop();

  /// \returns whether new callers may be directed to this VM.
  bool ready() const;
  MetricRegistry &metrics();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
