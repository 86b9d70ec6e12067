#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/src/Node/Worker.h"

#include <functional>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// Most notices in one message. Further ones are dropped; other VMs find out by
/// their own calls.
inline constexpr std::size_t MaxLoadNotices = 64;

/// \class LoadRelay
/// \ingroup Gateway
/// \brief Passes the load notices of a region's entry VMs on to all of them.
/// Thread-safe. Notices that arrive within an interval go out together, so that
/// the number of messages doesn't grow with the number of upstreams.
class LoadRelay {
public:
  /// \param Forward sends to all entry VMs of the region
  LoadRelay(const Clock &C, std::function<void(const LoadNotices &)> Forward);

  void start();
  void stop();
  void receive(const LoadNotices &M);

private:
  struct Held {
    LoadNotice Notice_;
    Time ReceivedAt_;
  };
  void forward();

  const Clock &Clock_;
  const std::function<void(const LoadNotices &)> Forward_;
  std::mutex Lock_; ///< guards what follows
  std::map<UpstreamId, Held> Pending_;
  bool Started_ = false; ///< between start() and stop()
  Worker Worker_;        ///< runs from the first notice on
};

} // namespace lagoonpoint
