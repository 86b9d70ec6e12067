#include "lagoonpoint/src/Peer/PeerTransport.h"

#include "lagoonpoint/src/Peer/PeerLoop.h"

#include <utility>

namespace lagoonpoint {

PeerTransport::PeerTransport(PeerOptions Options, EnvelopeHandler Handler,
                             const Clock &TimeSource, PeerErrorHandler OnError)
    : Options_(std::move(Options)), Clock_(TimeSource),
      Counters_(std::make_unique<internal::SharedPeerCounters>()),
      Queues_(
          std::make_unique<internal::PeerQueues>(Options_.Limits_, *Counters_)),
      Inbox_(std::make_unique<internal::Inbox>(std::move(Handler),
                                               Options_.Limits_.InboxBytes_)),
      Loop_(std::make_unique<internal::PeerLoop>(Options_, *Queues_, *Inbox_,
                                                 *Counters_, TimeSource,
                                                 std::move(OnError))) {}

PeerTransport::~PeerTransport() { stop(); }

void PeerTransport::start() {
  Inbox_->start();
  Loop_->start();
}

void PeerTransport::stop() {
  Loop_->stop();
  Inbox_->stop();
}

unsigned short PeerTransport::port() const { return Loop_->port(); }

void PeerTransport::setPeers(std::map<VmId, Address> Peers) {
  Queues_->setPeers(std::move(Peers));
  Loop_->wake();
}

void PeerTransport::send(Envelope Message) {
  Message.From_ = Options_.Self_;
  Queues_->push(std::move(Message), Clock_.now());
  Loop_->wake();
}

PeerCounters PeerTransport::counters() const {
  PeerCounters Counters = Counters_->read();
  Counters.HandlerFailures_ = Inbox_->failures();
  return Counters;
}

} // namespace lagoonpoint
