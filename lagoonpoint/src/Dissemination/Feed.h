#pragma once

#include "lagoonpoint/src/Dissemination/FeedHistory.h"
#include "lagoonpoint/src/Dissemination/FeedMessage.h"
#include "lagoonpoint/src/Dissemination/FeedOptions.h"
#include "lagoonpoint/src/Dissemination/FeedStore.h"
#include "lagoonpoint/src/Dissemination/FeedTree.h"
#include "lagoonpoint/src/Dissemination/KeyFreshness.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Whether a VM may serve its state, and on what grounds.
enum class Readiness {
  NotReady,
  ByProof,     ///< the leader proved that nothing newer was in force
  ByZonePeers, ///< no voter reached; no peer in contact is ahead
  ByDiskCache, ///< no voter or ready peer reached; state from disk
};

/// \returns "not_ready", "by_proof", "by_zone_peers" or "by_disk_cache".
const char *toString(Readiness R);

/// \class Feed
/// \ingroup Dissemination
/// \brief Replicates a store from a source and passes changes on to followers.
///
/// A VM pulls from one source and gets deltas pushed between pulls. Answers to
/// pulls carry the age of the leader's proof that nothing newer is in force,
/// counted from when the pull was sent. Pulls carry confirmations towards the
/// leader. A delta applies only to the revision it is based on, and the store's
/// revision never decreases. Performs no I/O except through the store; not
/// thread-safe.
class Feed {
public:
  /// \param Store must outlive the feed
  Feed(FeedOptions Options, FeedStore &Store, Time Now);

  /// Replaces the list of VMs.
  /// \param Leader of the voters; empty if unknown
  void setPeers(std::vector<FeedPeer> Peers, const VmId &Leader, Time Now);
  /// \param IsLeader whether this VM holds the leader lease and its store has
  ///        all committed changes
  void setLeader(bool IsLeader) { IsLeader_ = IsLeader; }
  /// To be called on a voter after its replica applied a change to the store.
  void storeAdvanced(const Delta &Change, Time Now);
  /// To be called on a voter after its replica replaced the store.
  void storeReplaced(Time Now);

  /// Sends due messages; to be called at least every 100 ms.
  void tick(Time Now);
  /// \throws CodecError if the message is malformed; the state is unchanged
  void receive(const Envelope &Message, Time Now);
  std::vector<Envelope> takeOutbox();

  Readiness readiness() const { return Readiness_; }
  /// \returns why this VM is not ready; empty if it is ready.
  std::string whyNotReady(Time Now) const;
  /// \returns how current this VM's keys are; input of keyVerdict().
  KeyFreshness keyFreshness(Contact OwnContact, Time Now) const;
  /// \returns the last confirmation of each VM: of all VMs at the leader, of
  /// this VM and its followers elsewhere.
  const std::map<VmId, Confirmation> &confirmed() const { return Confirmed_; }
  /// \returns the VM that this VM follows; empty if there is none.
  const VmId &source() const { return Source_; }
  /// \returns how often a state with a wrong digest was replaced.
  std::uint64_t repairs() const { return Repairs_; }
  std::uint64_t snapshotsTaken() const { return SnapshotsTaken_; }
  /// \returns the number of deltas and snapshots that the store rejected.
  std::uint64_t refusedBodies() const { return RefusedBodies_; }

private:
  struct Proof {
    Time At_; ///< when nothing newer was in force, on this VM's clock
    Revision Revision_;
  };
  struct Follower {
    Time LastPullAt_;
    Revision SentRevision_; ///< its revision once it has received all messages
    std::optional<Time> LastSnapshotAt_;
  };
  struct PeerStatus {
    Time RequestedAt_;
    Revision Revision_;
    bool Ready_ = false;
    std::optional<Time> ProvedAt_; ///< its last proof, on this VM's clock
  };

  void replaceStaleSource(Time Now);
  void follow(const VmId &Vm, Time Now);
  bool followNextSource(Time Now);

  void pull(const VmId &To, bool Subscribe, Time Now);
  void queryZonePeers(Time Now);
  void probePreferredSource(Time Now);
  void pushToFollowers(Time Now);
  void addChanges(FeedUpdate &Out, Follower &F, Revision From,
                  bool ForceSnapshot, Time Now);
  std::uint64_t shortDigest() const;
  FeedUpdate makeUpdate(Time Now) const;

  void handlePull(const VmId &From, const FeedPull &In, Time Now);
  void handleUpdate(const VmId &From, const FeedUpdate &In, Time Now);
  void handleReply(const VmId &From, const FeedUpdate &In, Time Now);
  void acceptProof(const FeedUpdate &In, Time SentAt);
  void adoptPendingProof();
  void applyDelta(const Delta &Change);
  void applySnapshot(const FeedSnapshot &State);
  void checkDigest(const VmId &From, const FeedUpdate &In);

  void confirmSelf();
  void recordConfirmation(const Confirmation &In);
  void updateReadiness(Time Now);
  bool noPeerIsAhead(Time Now, bool &AnyReady) const;
  bool proofIsValid(Time Now) const;
  bool peerProofExpired(const VmId &Peer, Time Now) const;
  template <class Message>
  void enqueue(const VmId &To, FeedMessageKind Kind, const Message &M);

  FeedOptions Options_;
  FeedStore &Store_;
  Time StartedAt_;
  std::vector<FeedPeer> Peers_;
  std::vector<VmId> AnsweringPeers_; ///< peers of this zone in contact
  VmId Leader_;
  bool IsVoter_ = false; ///< whether this VM is a voter
  bool IsLeader_ = false;

  VmId Source_;
  std::vector<VmId> Sources_; ///< in order of preference
  Time SourceChosenAt_;
  Time SourceHeardAt_;
  Time NextPull_;
  Time NextPeerQuery_;
  Time NextPreferredProbe_;
  bool WantSnapshot_ = false;

  std::optional<Proof> Proof_;
  std::optional<Proof> PendingProof_; ///< of a revision not yet applied
  std::map<VmId, PeerStatus> PeerStatuses_;
  Readiness Readiness_ = Readiness::NotReady;

  FeedHistory History_;
  std::map<VmId, Follower> Followers_;
  std::map<VmId, Confirmation> Confirmed_;
  std::set<VmId>
      Unacknowledged_; ///< confirmations that the source may not have
  std::map<Time, std::vector<Confirmation>>
      PulledConfirmations_; ///< sent in unanswered pulls, by sending time

  std::vector<Envelope> Outbox_;
  std::uint64_t Repairs_ = 0;
  std::uint64_t SnapshotsTaken_ = 0;
  std::uint64_t RefusedBodies_ = 0;
};

} // namespace lagoonpoint
