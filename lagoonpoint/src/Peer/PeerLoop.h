#pragma once

#include "lagoonpoint/src/Peer/Inbox.h"
#include "lagoonpoint/src/Peer/PeerConnection.h"
#include "lagoonpoint/src/Peer/PeerQueues.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace lagoonpoint::internal {

/// \class PeerLoop
/// \ingroup Peer
/// \brief Event loop, on one thread, that does the I/O of all connections.
class PeerLoop {
public:
  PeerLoop(const PeerOptions &Options, PeerQueues &Queues, Inbox &ReceiveQueue,
           SharedPeerCounters &Counters, const Clock &TimeSource,
           PeerErrorHandler OnError);
  ~PeerLoop() { stop(); }

  /// Starts to listen and starts the thread.
  /// \throws Error if listening fails
  void start();
  void stop();
  /// Wakes the thread so that it checks the queues without delay.
  void wake();
  unsigned short port() const { return Port_; }

private:
  /// State of the connection that this VM dials to one peer.
  struct OutboundConnection {
    Address Address_;
    std::unique_ptr<PeerConnection> Connection_;
    bool Connected_ = false;
    Time NextDialAt_;
    Duration Backoff_;
  };
  using ConnectionMap =
      std::map<Poco::Net::Socket, std::unique_ptr<PeerConnection>>;

  void run();
  void runOnce();
  void onEvent(const Poco::Net::Socket &Socket, int Mode);
  void accept();
  void drainWakeSocket();
  void serveOutbound(const VmId &Peer, int Mode);
  void serveInbound(const Poco::Net::Socket &Socket, int Mode);
  void deliver(PeerConnection &Connection);
  void onInboundAuthenticated(PeerConnection &Connection);
  void redialUnanswered(const VmId &Peer);

  void sendQueued(const VmId &Peer);
  void dial(const VmId &Peer, OutboundConnection &Out,
            const Address &PeerAddress);
  void submitQueued(const VmId &Peer, PeerConnection &Connection);
  void writeAndCount(PeerConnection &Connection);
  void readAndCount(PeerConnection &Connection);

  void runMaintenance();
  void checkOutbound(const VmId &Peer, OutboundConnection &Out);
  void checkInbound();
  void closeOldestUnauthenticated();
  void closeOlderConnections(const PeerConnection &Newest);
  void closeOutbound(const VmId &Peer, const Error *Reason);
  void closeInbound(const Poco::Net::Socket &Socket, const Error *Reason);
  void report(const Error &Reason, bool Authenticated);
  void updatePollMode(PeerConnection &Connection, bool Connected);

  const PeerOptions Options_;
  PeerQueues &Queues_;
  Inbox &Inbox_;
  SharedPeerCounters &Counters_;
  const Clock &Clock_;
  PeerErrorHandler OnError_;

  Poco::Net::ServerSocket Listener_;
  Poco::Net::DatagramSocket WakeSocket_;
  Poco::Net::PollSet PollSet_;
  std::map<VmId, OutboundConnection> Outbound_;
  std::map<Poco::Net::Socket, VmId> DialedPeers_;
  ConnectionMap Inbound_;
  bool ReadsPaused_ = false;
  Time NextMaintenance_;
  unsigned short Port_ = 0;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> WakePending_{false};
  std::thread Thread_;
};

} // namespace lagoonpoint::internal
