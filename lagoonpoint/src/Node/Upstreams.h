#pragma once

#include "lagoonpoint/Http"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace lagoonpoint {

/// \class Upstreams
/// \ingroup Node
/// \brief The upstreams that this VM knows, and its calls in flight to them.
/// Thread-safe.
class Upstreams {
public:
  explicit Upstreams(const Clock &C) : Clock_(C) {}

  /// Takes in an announcement; it lasts for the lease.
  void announce(const Announcement &A, Duration Lease);

  /// Reserves a slot at an upstream of the service that was not tried yet,
  /// waiting for one until \p Deadline.
  /// \throws Refusal with NoUpstream or DeadlinePassed
  CallTarget acquire(const ServiceId &Service,
                     const std::set<UpstreamId> &Tried, Time Deadline);
  void release(const UpstreamId &Id);

  std::vector<Announcement> list();

private:
  struct Row {
    Announcement Announced_;
    Time Until_;
    unsigned InFlight_ = 0;
  };

  Row *choose(const ServiceId &Service, const std::set<UpstreamId> &Tried,
              bool &AnyLeft);

  const Clock &Clock_;
  std::mutex Lock_;
  std::condition_variable Released_;
  std::map<UpstreamId, Row> Rows_;
};

} // namespace lagoonpoint
