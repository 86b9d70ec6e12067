#pragma once

#include "lagoonpoint/src/Peer/PeerCounters.h"
#include "lagoonpoint/src/Peer/PeerOptions.h"

#include <map>
#include <memory>

namespace lagoonpoint {

namespace internal {
class SharedPeerCounters;
class Inbox;
class PeerLoop;
class PeerQueues;
} // namespace internal

/// \class PeerTransport
/// \ingroup Peer
/// \brief Carries envelopes between VMs as HTTP/2 streams.
///
/// Connections are dialed when there is something to send, authenticated both
/// ways by the cluster secret, kept open, and dialed anew with backoff when
/// they fail. A message is delivered at most once by one send(); one that
/// can't be delivered is dropped and counted. All functions are thread-safe;
/// none blocks on a peer. Two threads serve all peers: one moves bytes, one
/// calls the handler.
class PeerTransport final : public Transport {
public:
  /// \param Handler called on one thread, a message at a time; an exception
  ///        that it throws is counted and the message is dropped
  /// \param Now must outlive the transport
  /// \param OnError called for each failed connection or stream; may be empty
  PeerTransport(PeerOptions Options, EnvelopeHandler Handler,
                const Clock &TimeSource, PeerErrorHandler OnError = {});
  ~PeerTransport() override;

  /// Listens and begins to carry messages. To be called once.
  /// \throws Error if the address can't be listened on
  void start();
  /// Closes all connections; no handler runs after it returns.
  void stop();
  /// \returns the port listened on.
  unsigned short port() const;

  /// Replaces the peers that messages can be sent to.
  void setPeers(std::map<VmId, Address> Peers);
  void send(Envelope Message) override;

  PeerCounters counters() const;

private:
  PeerOptions Options_;
  const Clock &Clock_;
  std::unique_ptr<internal::SharedPeerCounters> Counters_;
  std::unique_ptr<internal::PeerQueues> Queues_;
  std::unique_ptr<internal::Inbox> Inbox_;
  std::unique_ptr<internal::PeerLoop> Loop_;
};

} // namespace lagoonpoint
