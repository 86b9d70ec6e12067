#pragma once

#include "lagoonpoint/src/Membership/MembershipMessage.h"
#include "lagoonpoint/src/Membership/MembershipOptions.h"
#include "lagoonpoint/src/Membership/Topology.h"
#include "lagoonpoint/src/Membership/UpstreamTable.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// Whom this VM can talk to.
enum class Contact {
  Connected,  ///< its zone, or what there is of it, and other zones
  ZoneCutOff, ///< VMs of its zone, or it has none, and no other zone
  Alone,      ///< no VM of its zone answers though some are declared
};

/// \returns "connected", "zone_cut_off" or "alone".
const char *toString(Contact C);

/// A declared VM as this one sees it.
struct MemberView {
  VmId Vm_;
  ZoneId Zone_;
  VmState State_ = VmState::Dead;
  Incarnation Incarnation_; ///< 0: never heard of
  Revision Revision_;
};

/// An announcement that this VM took from an upstream of its zone.
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
/// \brief Who is alive, and which upstreams there are, at one VM.
///
/// Neighbours in the zone are pinged and suspected when they don't answer; a
/// suspect that is alive refutes with a higher version. News spread along the
/// neighbours at once, and digests on pings find what got lost. Two VMs of
/// each zone exchange reports with the other zones. Pure: no clock, thread or
/// socket; not thread-safe.
class Members {
public:
  Members(MembershipOptions Options, Time Now);

  /// Replaces the declared VMs.
  void setDeclared(VmZones Declared, Time Now);
  void setDraining(bool Draining);
  /// Sets the revision in force that this VM reports.
  void setRevision(Revision InForce);

  /// Sends what is due; to be called every 100 ms or more often.
  void tick(Time Now);
  /// \throws CodecError if the message is malformed; nothing has changed then
  void receive(const Envelope &Message, Time Now);
  /// Takes an announcement; the lease begins anew.
  void announce(const AnnouncedUpstream &Announced, Time Now);
  /// Takes the messages to send.
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
  /// \returns VMs of this zone that answered within the contact window.
  std::vector<VmId> answeringPeers(Time Now) const;
  /// \returns how often another process claimed this VM's id.
  std::uint64_t idConflicts() const { return IdConflicts_; }
  const MembershipOptions &options() const { return Options_; }

private:
  struct Probe {
    Time Since_;      ///< when it became a neighbour
    Time LastAnswer_; ///< when it last answered
    bool HasAnswered_ = false;
  };
  struct ZoneState {
    std::map<VmId, std::uint64_t> Counters_; ///< of reports, by their maker
    bool HasReport_ = false;
    Time LastReportAt_;
    /// Reports in a row that differed from ours, by who passed them on: a
    /// neighbour may lack the same records as this VM.
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
  /// \returns what is left of the lease of the version held.
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
  std::map<VmId, MemberRecord> Records_; ///< declared VMs heard of, and self
  std::map<VmId, Time> SuspectSince_;
  std::map<VmId, Time> DeclaredSince_;
  std::vector<VmId> Neighbours_;
  std::map<VmId, Probe> Probes_; ///< of the neighbours that are pinged
  /// Pings in a row whose digest differed from ours, by their sender.
  std::map<VmId, int> Mismatches_;
  std::map<ZoneId, ZoneState> Zones_; ///< other zones
  UpstreamTable Upstreams_;

  std::set<VmId> PendingMembers_;
  std::set<UpstreamKey> PendingChanges_;        ///< for all zones
  std::set<UpstreamKey> PendingRefreshes_;      ///< for this zone; can wait
  std::map<ZoneId, ZoneReport> PendingReports_; ///< can wait
  std::set<UpstreamKey> RefreshDue_; ///< announced here, nothing new but load
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
