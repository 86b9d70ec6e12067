#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Config"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Metrics"

#include <memory>

namespace lagoonpoint {

/// What became of an announcement.
enum class AnnounceResult {
  Accepted,
  Unconfirmed, ///< entry VMs may not know of it: announce at another VM
};

/// \class CoreVm
/// \ingroup Gateway
/// \brief A VM that keeps the configuration, takes announcements of upstreams
/// and tells callers which entry VMs to use. Thread-safe.
class CoreVm {
public:
  /// Opens the data folder.
  /// \param S outlives this object
  /// \throws DiskError, CorruptError
  explicit CoreVm(const FleetSettings &S);
  ~CoreVm();

  /// \throws Error if the peers' address can't be listened on
  void start();
  void stop();

  /// Brings a change to the leader.
  /// \throws UnavailableError if its fate is not known after \p Wait
  ChangeReply submit(const Change &C, Duration Wait);
  /// Takes in what an upstream says. One that leaves is answered only once all
  /// entry VMs in contact have confirmed that they know.
  AnnounceResult announce(const UpstreamNotice &Notice);
  /// The same for one that says no more than that it leaves.
  AnnounceResult deregister(const UpstreamId &Id);
  /// \returns addresses of entry VMs for callers of \p Host.
  std::vector<std::string> lookup(const std::string &Host,
                                  const RegionId &Region, const ZoneId &Zone);
  /// \returns the items as of now, as agreed by a quorum.
  /// \throws UnavailableError if no leader answers in time
  ItemSet readItems(Duration Wait);
  /// \returns whether an item of a service's name is known, or none is at all.
  bool acceptsService(const ServiceId &Service) const;
  MetricRegistry &metrics();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
