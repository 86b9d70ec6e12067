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
/// \brief Sends and receives envelopes between VMs over HTTP/2.
///
/// A connection is dialed when there is a message to send, mutually
/// authenticated by the cluster secret, and kept open until it is idle for too
/// long. A failed connection is dialed again with exponential backoff. Each
/// send() delivers its message at most once; a message that cannot be
/// delivered is dropped and counted. All functions are thread-safe and none
/// waits for a peer. Two threads serve all peers: one does the I/O, the other
/// calls the handler.
class PeerTransport final : public Transport {
public:
  /// \param Handler called on one thread, for one message at a time; if it
  ///        throws, the exception is counted and the message is dropped
  /// \param TimeSource must outlive the transport
  /// \param OnError called for each error of a connection or of the event loop;
  ///        may be empty
  PeerTransport(PeerOptions Options, EnvelopeHandler Handler,
                const Clock &TimeSource, PeerErrorHandler OnError = {});
  ~PeerTransport() override;

  /// Starts to listen and to send messages. Must be called only once.
  /// \throws Error if listening fails
  void start();
  /// Closes all connections. The handler is not called after this returns.
  void stop();
  /// \returns the port that the transport listens on.
  unsigned short port() const;

  /// Replaces the set of peers that messages can be sent to.
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
