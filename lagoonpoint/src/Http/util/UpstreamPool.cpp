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

/// Ends before the upstream closes: a request that crosses the closing may be
/// lost.
Duration idleLimit(std::optional<Duration> KeptFor, Duration MaxIdle) {
  return KeptFor ? std::min(MaxIdle, *KeptFor * 3 / 5) : MaxIdle;
}

} // namespace

UpstreamPool::Shard &UpstreamPool::shardOf(const std::string &Name) {
  return Shards_[std::hash<std::string>()(Name) % ShardCount];
}

std::unique_ptr<Wire> UpstreamPool::take(const Address &To) {
  std::string Name = toString(To);
  Shard &S = shardOf(Name);
  Time Now = Clock_.now();
  for (;;) {
    Idle Taken;
    {
      std::lock_guard Lock(S.Lock_);
      auto It = S.Idle_.find(Name);
      if (It == S.Idle_.end() || It->second.empty())
        return nullptr;
      Taken = std::move(It->second.back());
      It->second.pop_back();
    }
    // An idle connection on which anything arrives is closed or out of step.
    bool Usable = Now < Taken.Until_ && !Taken.Wire_->readable();
    if (Usable)
      return std::move(Taken.Wire_);
  }
}

void UpstreamPool::give(const Address &To, std::unique_ptr<Wire> Connection,
                        std::optional<Duration> KeptFor) {
  std::string Name = toString(To);
  Shard &S = shardOf(Name);
  Time Now = Clock_.now();
  std::vector<Idle> Late;
  std::lock_guard Lock(S.Lock_);
  std::vector<Idle> &List = S.Idle_[Name];
  if (List.size() < MaxIdlePerUpstream)
    List.push_back({std::move(Connection), Now + idleLimit(KeptFor, MaxIdle_)});
  if (Now >= S.NextSweep_)
    sweep(S, Now, Late);
}

// The late connections are closed by the caller's destructor of \p Late.
void UpstreamPool::sweep(Shard &S, Time Now, std::vector<Idle> &Late) {
  S.NextSweep_ = Now + MaxIdle_;
  for (auto It = S.Idle_.begin(); It != S.Idle_.end();) {
    std::vector<Idle> &List = It->second;
    auto Kept =
        std::stable_partition(List.begin(), List.end(),
                              [&](const Idle &I) { return Now >= I.Until_; });
    std::move(List.begin(), Kept, std::back_inserter(Late));
    List.erase(List.begin(), Kept);
    It = List.empty() ? S.Idle_.erase(It) : std::next(It);
  }
}

std::unique_ptr<Wire> connectTo(const Address &To, const Until &Limit,
                                Watch Other) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Poco::Net::SocketAddress(To.Host_, To.Port_));
    auto Out = std::make_unique<Wire>(Socket);
    if (Out->waitConnected(Limit, Other) != WireEnd::Ready)
      return nullptr;
    Socket.setNoDelay(true);
    return Out;
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace lagoonpoint::internal
