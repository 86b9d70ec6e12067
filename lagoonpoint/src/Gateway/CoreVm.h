#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Config"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Metrics"

#include <functional>
#include <memory>

namespace lagoonpoint {

/// Result of an upstream's announcement.
enum class AnnounceResult {
  Accepted,
  Unconfirmed, ///< some entry VM may not know of it: retry at another VM
};

/// \class CoreVm
/// \ingroup Gateway
/// \brief A VM that replicates the configuration, accepts announcements of
/// upstreams and tells callers which entry VMs to use. Thread-safe.
class CoreVm {
public:
  /// Opens the data folder.
  /// \param S outlives this object
  /// \throws DiskError, CorruptError
  explicit CoreVm(const FleetSettings &S);
  ~CoreVm();

  /// \throws Error if listening on the peer address fails
  void start();
  void stop();

  /// Submits a change to the leader.
  /// \throws UnavailableError if its outcome is unknown after \p Wait
  ChangeReply submit(const Change &C, Duration Wait);
  /// Drains a zone or ends its drain, unless a later order of the same zone has
  /// been accepted since this one was received.
  /// \param SenderLeft whether the sender has given the order up
  /// \throws UnavailableError as submit()
  ChangeReply setDrain(const ZoneId &Zone, bool Drained, Duration Wait,
                       const std::function<bool()> &SenderLeft);
  /// Processes an upstream's announcement. If the upstream is leaving, waits
  /// until all entry VMs in contact have confirmed it or the confirmation times
  /// out.
  AnnounceResult announce(const UpstreamNotice &Notice);
  /// Marks an upstream as gone, with the same confirmation as announce().
  AnnounceResult deregister(const UpstreamId &Id);
  /// \returns addresses of entry VMs for callers of \p Host.
  std::vector<std::string> lookup(const std::string &Host,
                                  const RegionId &Region, const ZoneId &Zone);
  /// \returns the current items, as committed by a quorum.
  /// \throws UnavailableError if no leader answers in time or this replica lags
  ItemSet readItems(Duration Wait);
  /// \returns whether upstreams may announce a service: it is or was
  /// configured, or no service is configured yet. Upstreams of a removed
  /// service are not used, but their departures are acknowledged.
  bool acceptsService(const ServiceId &Service) const;
  MetricRegistry &metrics();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
