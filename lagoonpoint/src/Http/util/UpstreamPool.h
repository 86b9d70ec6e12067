#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/util/BufferedSocket.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonpoint::internal {

/// \class UpstreamPool
/// \ingroup Http
/// \brief Idle connections to upstreams, for reuse. Thread-safe.
///
/// Only a connection whose last exchange was complete may be put back. Any
/// other must be closed by its owner.
class UpstreamPool {
public:
  /// \param MaxIdle a connection that was idle for longer is not reused
  UpstreamPool(const Clock &C, Duration MaxIdle)
      : Clock_(C), MaxIdle_(MaxIdle) {}

  /// \returns an idle connection that is still open, or null if there is none.
  std::unique_ptr<BufferedSocket> take(const Address &To);
  /// \param KeepAlive how long the upstream keeps it open, if known
  void put(const Address &To, std::unique_ptr<BufferedSocket> Socket,
           std::optional<Duration> KeepAlive = {});

private:
  static constexpr std::size_t ShardCount = 16;

  struct IdleConnection {
    std::unique_ptr<BufferedSocket> Socket_;
    Time ExpiresAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<std::string, std::vector<IdleConnection>> IdleByAddress_;
    Time NextSweep_;
  };

  Shard &shardOf(const std::string &Name);
  void sweep(Shard &S, Time Now, std::vector<IdleConnection> &Expired);

  const Clock &Clock_;
  const Duration MaxIdle_;
  Shard Shards_[ShardCount];
};

/// Opens a connection.
/// \ingroup Http
/// \returns null if it was refused or not established in time
std::unique_ptr<BufferedSocket> connectTo(const Address &To,
                                          const Deadline &Limit, Watch Watched);

} // namespace lagoonpoint::internal
