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

/// Why a VM may serve what it holds.
enum class Readiness {
  NotReady,
  ByProof,     ///< the authority showed that nothing newer was in force
  ByZonePeers, ///< no voter reached; no peer in contact holds more
  ByDiskCache, ///< no voter and no ready peer reached; from this VM's disk
};

/// \returns "not_ready", "by_proof", "by_zone_peers" or "by_disk_cache".
const char *toString(Readiness R);

/// \class Feed
/// \ingroup Dissemination
/// \brief Moves a store forward by what a source holds, and feeds followers.
///
/// A VM pulls from one source and gets deltas pushed in between. Answers to
/// pulls carry the age of the leader's proof that nothing newer is in force,
/// counted from when the pull was sent, and pulls carry confirmations towards
/// the leader. Deltas only apply to the revision they are based on and the
/// store never goes back. Pure but for the store; not thread-safe.
class Feed {
public:
  /// \param Store must outlive the feed
  Feed(FeedOptions Options, FeedStore &Store, Time Now);

  /// Replaces what is known of the other VMs.
  /// \param Leader of the voters; empty if not known
  void setPeers(std::vector<FeedPeer> Peers, const VmId &Leader, Time Now);
  /// \param Leads whether this VM holds the leader lease now and its store has
  ///        all that is committed
  void setLeader(bool IsLeader) { IsLeader_ = IsLeader; }
  /// To be called on a voter after its replica moved the store.
  void storeAdvanced(const Delta &Change, Time Now);
  /// To be called on a voter after its replica replaced the store.
  void storeReplaced(Time Now);

  /// Sends what is due; to be called every 100 ms or more often.
  void tick(Time Now);
  /// \throws CodecError if the message is malformed; nothing has changed then
  void receive(const Envelope &Message, Time Now);
  std::vector<Envelope> takeOutbox();

  Readiness readiness() const { return Readiness_; }
  /// \returns what a VM that isn't ready waits for; empty if it is ready.
  std::string whyNotReady(Time Now) const;
  /// \returns how current this VM's keys are, for keyVerdict().
  KeyFreshness keyFreshness(Contact OwnContact, Time Now) const;
  /// \returns the revisions in force that VMs confirmed; all of them at the
  /// leader, this VM's followers elsewhere.
  const std::map<VmId, Confirmation> &confirmed() const { return Confirmed_; }
  /// \returns whom this VM follows; empty if there is nobody.
  const VmId &source() const { return Source_; }
  /// \returns how often a wrong state was found and replaced.
  std::uint64_t repairs() const { return Repairs_; }
  std::uint64_t snapshotsTaken() const { return SnapshotsTaken_; }
  /// \returns bodies that the store refused.
  std::uint64_t refusedBodies() const { return RefusedBodies_; }

private:
  struct Proof {
    Time At_; ///< the authority was current then, on this VM's clock
    Revision Revision_;
  };
  struct Follower {
    Time LastPullAt_;
    Revision SentRevision_; ///< what it holds once all messages have arrived
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
  bool IsVoter_ = false; ///< this VM
  bool IsLeader_ = false;

  VmId Source_;
  std::vector<VmId> Sources_; ///< best first
  Time SourceChosenAt_;
  Time SourceHeardAt_;
  Time NextPull_;
  Time NextPeerQuery_;
  Time NextPreferredProbe_;
  bool WantSnapshot_ = false;

  std::optional<Proof> Proof_;
  std::optional<Proof> PendingProof_; ///< of a revision not yet held
  std::map<VmId, PeerStatus> PeerStatuses_;
  Readiness Readiness_ = Readiness::NotReady;

  FeedHistory History_;
  std::map<VmId, Follower> Followers_;
  std::map<VmId, Confirmation> Confirmed_;
  std::set<VmId> Unacknowledged_; ///< confirmations the source may lack
  std::map<Time, std::vector<Confirmation>>
      PulledConfirmations_; ///< by sending time

  std::vector<Envelope> Outbox_;
  std::uint64_t Repairs_ = 0;
  std::uint64_t SnapshotsTaken_ = 0;
  std::uint64_t RefusedBodies_ = 0;
};

} // namespace lagoonpoint
