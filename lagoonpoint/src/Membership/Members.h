#pragma once

#include "lagoonpoint/src/Membership/MembershipMessage.h"
#include "lagoonpoint/src/Membership/MembershipOptions.h"
#include "lagoonpoint/src/Membership/Topology.h"
#include "lagoonpoint/src/Membership/UpstreamTable.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// Which other VMs this VM can reach.
enum class Contact {
  Connected,  ///< VMs of its own zone, if any are declared, and other zones
  ZoneCutOff, ///< VMs of its own zone, if any are declared, but no other zone
  Alone,      ///< other VMs of its zone are declared, but none answers
};

/// \returns "connected", "zone_cut_off" or "alone".
const char *toString(Contact C);

/// A declared VM and what this VM knows about it.
struct MemberView {
  VmId Vm_;
  ZoneId Zone_;
  VmState State_ = VmState::Dead;
  Incarnation Incarnation_; ///< 0 if no record of the VM was received
  Revision Revision_;
};

/// An announcement that this VM received from an upstream of its zone.
struct AnnouncedUpstream {
  UpstreamKey Key_;
  std::string Host_;
  unsigned short Port_ = 0;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  double Load_ = 0;
  bool LoadReported_ = false;
  bool Leaving_ = false;
};

/// \class Members
/// \ingroup Membership
/// \brief The membership protocol at one VM: which VMs are alive and which
/// upstreams are available.
///
/// A VM pings its neighbours in the zone and suspects those that don't answer.
/// A suspected VM that is alive refutes the suspicion with a higher version.
/// Changes are sent to the neighbours at once, renewed leases and loads in
/// batches. Digests in pings detect lost updates. Two VMs of each zone, the
/// bridges, exchange reports with the other zones. The class uses no clock,
/// thread or socket, and is not thread-safe.
class Members {
public:
  Members(MembershipOptions Options, Time Now);

  /// Replaces the declared VMs.
  void setDeclared(VmZones Declared, Time Now);
  void setDraining(bool Draining);
  /// Sets the revision in force that this VM reports.
  void setRevision(Revision InForce);

  /// Sends the messages that are due. Call it at least every 100 ms.
  void tick(Time Now);
  /// \throws CodecError if the message is malformed; the state is unchanged
  void receive(const Envelope &Message, Time Now);
  /// Handles an announcement and renews the lease of the upstream.
  void announce(const AnnouncedUpstream &Announced, Time Now);
  /// \returns the messages to send, and removes them from the outbox.
  std::vector<Envelope> takeOutbox();

  /// \returns the usable upstreams of a service, of all zones.
  std::vector<UpstreamRecord> upstreams(const ServiceId &Service,
                                        Time Now) const;
  /// \returns all usable upstreams.
  std::vector<UpstreamRecord> upstreams(Time Now) const;
  /// \returns all declared VMs, this one included.
  std::vector<MemberView> vms(Time Now) const;
  VmState stateOf(const VmId &Vm, Time Now) const;
  Contact contact(Time Now) const;
  /// \returns the pinged VMs of this zone that answered within the contact
  /// window.
  std::vector<VmId> answeringPeers(Time Now) const;
  /// \returns how often another process was found to use this VM's id.
  std::uint64_t idConflicts() const { return IdConflicts_; }
  const MembershipOptions &options() const { return Options_; }

private:
  struct Probe {
    /// When this VM began to ping it, or last learned that it is alive.
    Time Since_;
    Time LastAnswer_; ///< when the last answered ping was sent
    bool HasAnswered_ = false;
  };
  struct ZoneState {
    /// Last report counter of each issuer.
    std::map<VmId, std::uint64_t> Counters_;
    bool HasReport_ = false;
    Time LastReportAt_;
    /// Number of consecutive reports whose digest differed from the local one,
    /// by the VM that forwarded them. Counted separately because a neighbour
    /// may lack the same records as this VM.
    std::map<VmId, int> Mismatches_;
  };

  MemberRecord self() const;
  ZoneId zoneOf(const VmId &Vm) const;
  bool declared(const VmId &Vm) const { return Declared_.count(Vm) > 0; }
  std::vector<VmId> liveVmsOf(const ZoneId &Zone) const;
  std::vector<VmId> bridgesOf(const ZoneId &Zone) const;
  bool inRing(const VmId &Vm, Time Now) const;
  std::vector<VmId> ring(Time Now) const;
  std::uint64_t digestOfZone(const ZoneId &Zone, Time Now) const;
  VmState derivedState(const MemberRecord &Record, Time Now) const;

  void refreshNeighbours(Time Now);
  void pingNeighbours(Time Now);
  void pingAbsent(Time Now);
  void ping(const VmId &To, Time Now);
  void suspectUnresponsive(Time Now);
  void declareSuspectsDead(Time Now);
  void reportToZones(Time Now);
  std::size_t bridgeRank() const;
  std::vector<ZoneId> otherZones() const;
  VmId bridgeTarget(const ZoneId &Zone, std::size_t Rank, Time Now);
  void refreshUpstreams(Time Now);
  void flushUpdates(Time Now);
  void flushBatch(Time Now);
  void flushToZone(Time Now);
  void flushToOtherZones(Time Now);

  void mergeMember(const MemberRecord &In, Time Now);
  void refuteClaim(const MemberRecord &In);
  void setState(MemberRecord &Record, VmState State, Time Now);
  /// \returns the remaining lease of the local record of an upstream.
  Duration remainingLease(const UpstreamKey &Key, Time Now) const;
  /// \param FromZone whether a VM of this zone sent it
  void mergeUpstreamUpdate(UpstreamRecord In, bool FromZone, Time Now);
  void handleReport(const ZoneReport &Report, const VmId &Sender, Time Now);
  void handleAck(const MembershipMessage &In, Time Now);
  void compareDigest(const MembershipMessage &In, Time Now);
  MembershipMessage makeMessage(MessageKind Kind, Time Now) const;
  void addUpstreams(MembershipMessage &Out, const std::set<UpstreamKey> &Keys,
                    Time Now) const;
  void addZone(MembershipMessage &Out, const ZoneId &Zone, Time Now) const;
  void enqueue(const VmId &To, const MembershipMessage &Out);

  MembershipOptions Options_;
  VmZones Declared_;
  std::map<VmId, MemberRecord> Records_; ///< known declared VMs, and self
  std::map<VmId, Time> SuspectSince_;
  std::map<VmId, Time> DeclaredSince_;
  std::vector<VmId> Neighbours_;
  std::map<VmId, Probe> Probes_; ///< neighbours that are pinged
  /// Number of consecutive pings whose digest differed from the local one, by
  /// sender.
  std::map<VmId, int> Mismatches_;
  std::map<ZoneId, ZoneState> Zones_; ///< other zones
  UpstreamTable Upstreams_;

  std::set<VmId> PendingMembers_;
  std::set<UpstreamKey> PendingChanges_;        ///< sent at once, to all zones
  std::set<UpstreamKey> PendingRefreshes_;      ///< batched, to this zone
  std::map<ZoneId, ZoneReport> PendingReports_; ///< batched
  std::set<UpstreamKey> RefreshDue_; ///< announced here, attributes unchanged
  std::vector<Envelope> Outbox_;

  struct CachedDigest {
    std::uint64_t MemberChanges_ = 0;
    std::uint64_t UpstreamChanges_ = 0;
    Time At_;
    std::uint64_t Value_ = 0;
  };
  mutable std::map<ZoneId, CachedDigest> Digests_;

  Time Started_;
  Time NextPing_;
  Time NextReport_;
  Time NextRefresh_;
  Time NextBatch_;
  std::uint64_t BatchRound_ = 0;
  std::uint64_t ReportCounter_ = 0;
  std::uint64_t AbsentCursor_ = 0;
  std::uint64_t MemberChanges_ = 0;
  std::map<ZoneId, std::uint64_t> ZoneCursor_;
  std::uint64_t IdConflicts_ = 0;
};

} // namespace lagoonpoint
