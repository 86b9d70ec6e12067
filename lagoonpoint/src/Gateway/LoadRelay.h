#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/src/Node/Worker.h"

#include <functional>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class LoadRelay
/// \ingroup Gateway
/// \brief Passes the load notices of a region's entry VMs on to all of them.
/// Thread-safe. Notices that arrive within an interval go out together, so that
/// the number of messages doesn't grow with the number of upstreams.
class LoadRelay {
public:
  /// \param Forward sends to all entry VMs of the region
  explicit LoadRelay(std::function<void(const LoadNotices &)> Forward);

  void start() { Worker_.start(); }
  void stop() { Worker_.stop(); }
  void receive(const LoadNotices &M);

private:
  void forward();

  const std::function<void(const LoadNotices &)> Forward_;
  std::mutex Lock_; ///< guards what follows
  std::map<UpstreamId, LoadNotice> Pending_;
  Worker Worker_;
};

} // namespace lagoonpoint
