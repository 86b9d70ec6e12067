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
/// \brief The one thread that moves bytes of all connections.
class PeerLoop {
public:
  PeerLoop(const PeerOptions &Options, PeerQueues &Queues, Inbox &Received,
           CounterBoard &Counters, const Clock &Now, PeerErrorHandler OnError);
  ~PeerLoop() { stop(); }

  /// Listens and starts the thread.
  /// \throws Error if the address can't be listened on
  void start();
  void stop();
  /// Makes the thread look at the queues now.
  void wake();
  unsigned short port() const { return Port_; }

private:
  /// The connection this VM dials to one peer.
  struct Outbound {
    Address Address_;
    std::unique_ptr<PeerConnection> Link_;
    bool Connected_ = false;
    Time NextTry_;
    Duration Backoff_;
  };
  using Inbound = std::map<Poco::Net::Socket, std::unique_ptr<PeerConnection>>;

  void run();
  void turn();
  void onEvent(const Poco::Net::Socket &Socket, int Mode);
  void accept();
  void drainWaker();
  void serveOutbound(const VmId &Peer, int Mode);
  void serveInbound(const Poco::Net::Socket &Socket, int Mode);
  void deliver(PeerConnection &Link);
  void greet(PeerConnection &Link);

  void pump(const VmId &Peer);
  void dial(const VmId &Peer, Outbound &Out, const Address &At);
  void submitWaiting(const VmId &Peer, PeerConnection &Link);
  void countWrite(PeerConnection &Link);
  void countRead(PeerConnection &Link);

  void housekeep();
  void checkOutbound(const VmId &Peer, Outbound &Out);
  void checkInbound();
  void dropOldestStranger();
  void dropOlderLinks(const PeerConnection &Newest);
  void closeOutbound(const VmId &Peer, const Error *Why);
  void closeInbound(const Poco::Net::Socket &Socket, const Error *Why);
  void report(const Error &Why, bool Authenticated);
  void watch(PeerConnection &Link, bool Connected);

  const PeerOptions Options_;
  PeerQueues &Queues_;
  Inbox &Inbox_;
  CounterBoard &Counters_;
  const Clock &Clock_;
  PeerErrorHandler OnError_;

  Poco::Net::ServerSocket Listener_;
  Poco::Net::DatagramSocket Waker_;
  Poco::Net::PollSet Polled_;
  std::map<VmId, Outbound> Outbounds_;
  std::map<Poco::Net::Socket, VmId> Dialed_;
  Inbound Inbounds_;
  bool Paused_ = false;
  Time NextHousekeeping_;
  unsigned short Port_ = 0;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> WakePending_{false};
  std::thread Thread_;
};

} // namespace lagoonpoint::internal
