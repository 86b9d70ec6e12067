#include "lagoonpoint/src/Http/util/UpstreamPool.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxIdlePerUpstream = 16;

/// Ends before the upstream closes the connection, as a request sent at that
/// moment may be lost.
Duration idleLimit(std::optional<Duration> KeepAlive, Duration MaxIdle) {
  return KeepAlive ? std::min(MaxIdle, *KeepAlive * 3 / 5) : MaxIdle;
}

} // namespace

UpstreamPool::Shard &UpstreamPool::shardOf(const std::string &Name) {
  return Shards_[std::hash<std::string>()(Name) % ShardCount];
}

std::unique_ptr<BufferedSocket> UpstreamPool::take(const Address &To) {
  std::string Name = toString(To);
  Shard &S = shardOf(Name);
  Time Now = Clock_.now();
  for (;;) {
    IdleConnection Taken;
    {
      std::lock_guard Lock(S.Lock_);
      auto It = S.IdleByAddress_.find(Name);
      if (It == S.IdleByAddress_.end() || It->second.empty())
        return nullptr;
      Taken = std::move(It->second.back());
      It->second.pop_back();
    }
    // An idle connection with input is closed or out of sync.
    bool Usable = Now < Taken.ExpiresAt_ && !Taken.Socket_->readable();
    if (Usable)
      return std::move(Taken.Socket_);
  }
}

void UpstreamPool::put(const Address &To,
                       std::unique_ptr<BufferedSocket> Socket,
                       std::optional<Duration> KeepAlive) {
  std::string Name = toString(To);
  Shard &S = shardOf(Name);
  Time Now = Clock_.now();
  std::vector<IdleConnection> Expired;
  std::lock_guard Lock(S.Lock_);
  std::vector<IdleConnection> &Connections = S.IdleByAddress_[Name];
  if (Connections.size() < MaxIdlePerUpstream)
    Connections.push_back(
        {std::move(Socket), Now + idleLimit(KeepAlive, MaxIdle_)});
  if (Now >= S.NextSweep_)
    sweep(S, Now, Expired);
}

// The caller closes the connections in \p Expired after it has released the
// lock.
void UpstreamPool::sweep(Shard &S, Time Now,
                         std::vector<IdleConnection> &Expired) {
  S.NextSweep_ = Now + MaxIdle_;
  for (auto It = S.IdleByAddress_.begin(); It != S.IdleByAddress_.end();) {
    std::vector<IdleConnection> &Connections = It->second;
    auto FirstValid = std::stable_partition(
        Connections.begin(), Connections.end(),
        [&](const IdleConnection &I) { return Now >= I.ExpiresAt_; });
    std::move(Connections.begin(), FirstValid, std::back_inserter(Expired));
    Connections.erase(Connections.begin(), FirstValid);
    It = Connections.empty() ? S.IdleByAddress_.erase(It) : std::next(It);
  }
}

std::unique_ptr<BufferedSocket>
connectTo(const Address &To, const Deadline &Limit, Watch Watched) {
  try {
    Poco::Net::SocketAddress Target(To.Host_, To.Port_);
    Poco::Net::StreamSocket Socket(Target.family());
    // Before the handshake: a window that has grown can't be taken back.
    Socket.setReceiveBufferSize(BufferedSocket::SystemBufferBytes);
    Socket.connectNB(Target);
    auto Out = std::make_unique<BufferedSocket>(Socket);
    if (Out->waitConnected(Limit, Watched) != IoStatus::Ready)
      return nullptr;
    Socket.setNoDelay(true);
    return Out;
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace lagoonpoint::internal
