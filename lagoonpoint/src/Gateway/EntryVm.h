#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"

#include <memory>

namespace lagoonpoint {

/// \class EntryVm
/// \ingroup Gateway
/// \brief A VM without a disk that takes callers' requests and passes them to
/// upstreams of all zones. Thread-safe.
class EntryVm {
public:
  /// \param S outlives this object
  /// \param D header fields of callers and upstreams
  EntryVm(const FleetSettings &S, Dialect D);
  ~EntryVm();

  /// \throws Error if an address can't be listened on
  void start();
  /// Tells everybody that this VM leaves, and answers what comes until callers
  /// have stopped using it.
  void drain();
  void stop();

  /// \returns whether new callers may be sent here.
  bool ready() const;
  MetricRegistry &metrics();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
