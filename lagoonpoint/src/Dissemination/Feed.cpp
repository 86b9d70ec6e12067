#include "lagoonpoint/src/Dissemination/Feed.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

constexpr std::size_t MaxDeltaBytesPerUpdate = 256 << 10;
constexpr std::size_t MaxConfirmationsPerPull = 64;
/// Maximum number of unanswered pulls whose confirmations are remembered.
constexpr std::size_t MaxPendingPulls = 16;
/// Time for which the last reply of a peer is used.
constexpr Duration PeerStatusLifetime = Duration::seconds(2);

} // namespace

const char *toString(Readiness R) {
  switch (R) {
  case Readiness::NotReady:
    return "not_ready";
  case Readiness::ByProof:
    return "by_proof";
  case Readiness::ByZonePeers:
    return "by_zone_peers";
  case Readiness::ByDiskCache:
    break;
  }
  return "by_disk_cache";
}

Feed::Feed(FeedOptions Options, FeedStore &Store, Time Now)
    : Options_(std::move(Options)), Store_(Store), StartedAt_(Now),
      SourceChosenAt_(Now),
      NextPreferredProbe_(Now + Options_.PreferredProbeInterval_),
      History_(Options_.HistoryDeltas_, Options_.HistoryBytes_) {
  confirmSelf();
}

void Feed::setPeers(std::vector<FeedPeer> Peers, const VmId &Leader, Time Now) {
  Peers_ = std::move(Peers);
  Leader_ = Leader;
  AnsweringPeers_.clear();
  IsVoter_ = false;
  for (const FeedPeer &P : Peers_) {
    if (P.Vm_ == Options_.Self_)
      IsVoter_ = P.Voter_;
    else if (P.Answering_ && P.Zone_ == Options_.Zone_)
      AnsweringPeers_.push_back(P.Vm_);
  }
  Sources_ = feedSources(Peers_, Options_.Self_, Leader_);
  bool SourceListed =
      std::find(Sources_.begin(), Sources_.end(), Source_) != Sources_.end();
  if (SourceListed)
    return;
  follow(Sources_.empty() ? VmId() : Sources_.front(), Now);
}

void Feed::follow(const VmId &Vm, Time Now) {
  Source_ = Vm;
  SourceChosenAt_ = Now;
  SourceHeardAt_ = Now;
  NextPull_ = Now;
  PulledConfirmations_.clear();
  for (const auto &[Id, C] : Confirmed_)
    Unacknowledged_.insert(Id);
}

bool Feed::followNextSource(Time Now) {
  auto It = std::find(Sources_.begin(), Sources_.end(), Source_);
  if (Sources_.empty())
    return false;
  bool Last = It == Sources_.end() || It + 1 == Sources_.end();
  follow(Last ? Sources_.front() : *(It + 1), Now);
  return true;
}

void Feed::replaceStaleSource(Time Now) {
  Time Since = SourceChosenAt_;
  if (Proof_)
    Since = std::max(Since, Proof_->At_);
  // A source that brings no newer proof is replaced like one that doesn't
  // answer.
  if (Now - SourceHeardAt_ > Options_.SourceTimeout_ ||
      Now - Since > Options_.StaleProofTimeout_)
    followNextSource(Now);
}

void Feed::tick(Time Now) {
  if (IsLeader_)
    Proof_ = Proof{Now, Store_.revision()};
  else
    replaceStaleSource(Now);
  updateReadiness(Now);
  if (Now >= NextPull_ && !Source_.empty() && !IsLeader_) {
    NextPull_ = Now + Options_.PullInterval_;
    pull(Source_, !IsVoter_, Now);
  }
  queryZonePeers(Now);
  probePreferredSource(Now);
}

void Feed::queryZonePeers(Time Now) {
  bool ProofExpiring = !Proof_ || Now - Proof_->At_ > Options_.KeyLease_ / 2 ||
                       Readiness_ == Readiness::NotReady;
  if (!ProofExpiring || Now < NextPeerQuery_)
    return;
  NextPeerQuery_ = Now + Options_.PullInterval_;
  for (const VmId &Vm : AnsweringPeers_)
    if (Vm != Source_)
      pull(Vm, false, Now);
}

void Feed::probePreferredSource(Time Now) {
  if (Now < NextPreferredProbe_)
    return;
  NextPreferredProbe_ = Now + Options_.PreferredProbeInterval_;
  if (!Sources_.empty() && Sources_.front() != Source_)
    pull(Sources_.front(), false, Now);
}

void Feed::pull(const VmId &To, bool Subscribe, Time Now) {
  FeedPull Out;
  Out.Incarnation_ = Options_.Incarnation_;
  Out.SentAt_ = Now - Time();
  Out.Revision_ = Store_.revision();
  Out.Digest_ = shortDigest();
  Out.Subscribe_ = Subscribe;
  Out.WantSnapshot_ = Subscribe && WantSnapshot_;
  if (To == Source_) {
    for (const VmId &Vm : Unacknowledged_) {
      if (Out.Confirmations_.size() == MaxConfirmationsPerPull)
        break;
      Out.Confirmations_.push_back(Confirmed_.at(Vm));
    }
    PulledConfirmations_[Now] = Out.Confirmations_;
    if (PulledConfirmations_.size() > MaxPendingPulls)
      PulledConfirmations_.erase(PulledConfirmations_.begin());
  }
  enqueue(To, FeedMessageKind::Pull, Out);
}

void Feed::storeAdvanced(const Delta &Change, Time Now) {
  LAGOONPOINT_ASSERT(Change.To_ > Change.Base_, "feed.advance");
  LAGOONPOINT_ASSERT(Store_.revision() == Change.To_, "feed.advance");
  History_.add(Change);
  confirmSelf();
  adoptPendingProof();
  pushToFollowers(Now);
}

void Feed::storeReplaced(Time Now) {
  History_.clear();
  confirmSelf();
  adoptPendingProof();
  pushToFollowers(Now);
}

void Feed::pushToFollowers(Time Now) {
  std::erase_if(Followers_, [&](const auto &E) {
    return Now - E.second.LastPullAt_ > Options_.FollowerTimeout_;
  });
  for (auto &[Vm, F] : Followers_) {
    if (F.SentRevision_ >= Store_.revision())
      continue;
    FeedUpdate Out = makeUpdate(Now);
    addChanges(Out, F, F.SentRevision_, false, Now);
    enqueue(Vm, FeedMessageKind::Update, Out);
  }
}

void Feed::addChanges(FeedUpdate &Out, Follower &F, Revision From,
                      bool ForceSnapshot, Time Now) {
  if (!ForceSnapshot && History_.covers(From)) {
    Out.Deltas_ = History_.after(From, MaxDeltaBytesPerUpdate);
    F.SentRevision_ = Out.Deltas_.back().To_;
    return;
  }
  bool SentRecently = F.LastSnapshotAt_ &&
                      Now - *F.LastSnapshotAt_ < Options_.SnapshotInterval_;
  if (SentRecently)
    return;
  F.LastSnapshotAt_ = Now;
  Out.Snapshots_.push_back(Store_.snapshot());
  F.SentRevision_ = Store_.revision();
}

std::uint64_t Feed::shortDigest() const {
  return StableHash().add(Store_.digest()).value();
}

FeedUpdate Feed::makeUpdate(Time Now) const {
  FeedUpdate Out;
  Out.Revision_ = Store_.revision();
  Out.Digest_ = shortDigest();
  Out.Ready_ = Readiness_ != Readiness::NotReady;
  Out.HasProof_ = Proof_.has_value();
  if (Proof_) {
    Out.ProofAge_ = Now - Proof_->At_;
    Out.ProofRevision_ = Proof_->Revision_;
  }
  return Out;
}

std::vector<Envelope> Feed::takeOutbox() { return std::exchange(Outbox_, {}); }

bool Feed::proofIsValid(Time Now) const {
  return Proof_ && Now - Proof_->At_ < Options_.KeyLease_;
}

void Feed::updateReadiness(Time Now) {
  if (Readiness_ != Readiness::NotReady)
    return;
  if (Proof_ && Proof_->At_ >= StartedAt_) {
    Readiness_ = Readiness::ByProof;
    return;
  }
  if (Now - StartedAt_ < Options_.ProofTimeout_)
    return;
  bool AnyReady = false;
  if (!noPeerIsAhead(Now, AnyReady))
    return;
  if (AnyReady)
    Readiness_ = Readiness::ByZonePeers;
  else if (Options_.RestoredFromDisk_)
    Readiness_ = Readiness::ByDiskCache;
}

bool Feed::noPeerIsAhead(Time Now, bool &AnyReady) const {
  for (const VmId &Vm : AnsweringPeers_) {
    auto It = PeerStatuses_.find(Vm);
    if (It == PeerStatuses_.end() ||
        Now - It->second.RequestedAt_ > PeerStatusLifetime ||
        It->second.Revision_ > Store_.revision())
      return false;
    AnyReady |= It->second.Ready_;
  }
  return true;
}

std::string Feed::whyNotReady(Time Now) const {
  if (Readiness_ != Readiness::NotReady)
    return "";
  if (PendingProof_)
    return "at revision " + std::to_string(Store_.revision().value()) +
           ", waiting for revision " +
           std::to_string(PendingProof_->Revision_.value());
  if (Now - StartedAt_ < Options_.ProofTimeout_)
    return "waiting for a proof from the voters";
  return "no voter reached, and the VMs of the zone can't confirm this state";
}

KeyFreshness Feed::keyFreshness(Contact OwnContact, Time Now) const {
  KeyFreshness Out;
  if (Proof_)
    Out.ProvedAt_ = Proof_->At_;
  else if (Readiness_ != Readiness::NotReady)
    // A VM that is ready without a proof is treated as if its proof had expired
    // at the start.
    Out.ProvedAt_ = StartedAt_ - Options_.KeyLease_;
  Out.Lease_ = Options_.KeyLease_;
  Out.Contact_ = OwnContact;
  Out.ZoneExpired_ =
      std::all_of(AnsweringPeers_.begin(), AnsweringPeers_.end(),
                  [&](const VmId &Vm) { return peerProofExpired(Vm, Now); });
  return Out;
}

bool Feed::peerProofExpired(const VmId &Peer, Time Now) const {
  auto It = PeerStatuses_.find(Peer);
  if (It == PeerStatuses_.end() ||
      Now - It->second.RequestedAt_ > PeerStatusLifetime)
    return false;
  const std::optional<Time> &ProvedAt = It->second.ProvedAt_;
  return !ProvedAt || Now - *ProvedAt >= Options_.KeyLease_;
}

template <class Message>
void Feed::enqueue(const VmId &To, FeedMessageKind Kind, const Message &M) {
  std::string Body(1, static_cast<char>(Kind));
  Body += encode(M);
  Outbox_.push_back(
      {Options_.Self_, To, Channel::Dissemination, std::move(Body)});
}

} // namespace lagoonpoint
