#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/src/Node/Worker.h"

#include <functional>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class DepartureRecorder
/// \ingroup Gateway
/// \brief Records the departures that upstreams announce to a core VM in the
/// replicated log. Thread-safe.
///
/// One change is under way at a time. Departures that are requested meanwhile
/// go into the next one, so that a series of them costs few entries.
class DepartureRecorder {
public:
  /// Submits a change under a new id and waits for the verdict.
  /// \throws UnavailableError if there is none in time
  using Submit = std::function<ChangeReply(Change)>;

  /// \param OnRecorded called after departures were recorded, on any thread
  DepartureRecorder(const Clock &C, Submit S, std::function<void()> OnRecorded);

  void start() { Worker_.start(); }
  void stop() { Worker_.stop(); }

  /// Records a departure soon, unless it is known to be recorded. A request
  /// that fails is dropped, as the upstream repeats its announcement.
  void request(const UpstreamNotice &Notice);
  /// Takes note of a departure that this VM has read from the log.
  void add(const RecordedDeparture &D);
  bool isRecorded(const UpstreamNotice &Notice) const;

private:
  Change takeRequested();
  void submitRequested();

  const Clock &Clock_;
  const Submit Submit_;
  const std::function<void()> OnRecorded_;
  mutable std::mutex Lock_; ///< guards what follows
  DepartureRecords Recorded_;
  std::map<UpstreamId, UpstreamNotice> Requested_;
  Worker Worker_;
};

} // namespace lagoonpoint
