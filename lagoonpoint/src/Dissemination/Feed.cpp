#include "lagoonpoint/src/Dissemination/Feed.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

/// Bytes of deltas in one message.
constexpr std::size_t BeatBytes = 256 << 10;
/// Confirmations in one pull.
constexpr std::size_t PullConfirmations = 64;
/// Pulls whose answers are still awaited.
constexpr std::size_t AwaitedPulls = 16;
/// How long an answer of a peer counts.
constexpr Duration AnswerCounts = Duration::seconds(2);

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
    : Options_(std::move(Options)), Store_(Store), Started_(Now),
      SourceSince_(Now), NextPreferred_(Now + Options_.PreferredEvery_),
      History_(Options_.HistoryDeltas_, Options_.HistoryBytes_) {
  confirmSelf();
}

void Feed::setPeers(std::vector<FeedPeer> Peers, const VmId &Leader, Time Now) {
  Peers_ = std::move(Peers);
  Leader_ = Leader;
  Answering_.clear();
  Voter_ = false;
  for (const FeedPeer &P : Peers_) {
    if (P.Vm_ == Options_.Self_)
      Voter_ = P.Voter_;
    else if (P.Answering_ && P.Zone_ == Options_.Zone_)
      Answering_.push_back(P.Vm_);
  }
  Sources_ = feedSources(Peers_, Options_.Self_, Leader_);
  bool Offered =
      std::find(Sources_.begin(), Sources_.end(), Source_) != Sources_.end();
  if (Offered)
    return;
  follow(Sources_.empty() ? VmId() : Sources_.front(), Now);
}

void Feed::follow(const VmId &Vm, Time Now) {
  Source_ = Vm;
  SourceSince_ = Now;
  SourceHeard_ = Now;
  NextPull_ = Now;
  InPulls_.clear();
  for (const auto &[Id, C] : Confirmed_)
    Unacknowledged_.insert(Id);
}

bool Feed::nextSource(Time Now) {
  auto It = std::find(Sources_.begin(), Sources_.end(), Source_);
  if (Sources_.empty())
    return false;
  bool Last = It == Sources_.end() || It + 1 == Sources_.end();
  follow(Last ? Sources_.front() : *(It + 1), Now);
  return true;
}

void Feed::chooseSource(Time Now) {
  Time Since = SourceSince_;
  if (Proof_)
    Since = std::max(Since, Proof_->At_);
  // A source whose own proof grows old is as bad as one that is silent.
  if (Now - SourceHeard_ > Options_.SourceTimeout_ ||
      Now - Since > Options_.StaleTimeout_)
    nextSource(Now);
}

void Feed::tick(Time Now) {
  if (Leads_)
    Proof_ = Proof{Now, Store_.revision()};
  else
    chooseSource(Now);
  judgeReadiness(Now);
  if (Now >= NextPull_ && !Source_.empty() && !Leads_) {
    NextPull_ = Now + Options_.PullEvery_;
    pull(Source_, !Voter_, Now);
  }
  askPeers(Now);
  probePreferred(Now);
}

void Feed::askPeers(Time Now) {
  bool Lapsing = !Proof_ || Now - Proof_->At_ > Options_.KeyLease_ / 2 ||
                 Ready_ == Readiness::NotReady;
  if (!Lapsing || Now < NextAsk_)
    return;
  NextAsk_ = Now + Options_.PullEvery_;
  for (const VmId &Vm : Answering_)
    if (Vm != Source_)
      pull(Vm, false, Now);
}

void Feed::probePreferred(Time Now) {
  if (Now < NextPreferred_)
    return;
  NextPreferred_ = Now + Options_.PreferredEvery_;
  if (!Sources_.empty() && Sources_.front() != Source_)
    pull(Sources_.front(), false, Now);
}

void Feed::pull(const VmId &To, bool Follows, Time Now) {
  FeedPull Out;
  Out.Incarnation_ = Options_.Incarnation_;
  Out.SentAt_ = Now - Time();
  Out.Revision_ = Store_.revision();
  Out.Digest_ = shortDigest();
  Out.Follows_ = Follows;
  Out.WantSnapshot_ = Follows && WantSnapshot_;
  if (To == Source_) {
    for (const VmId &Vm : Unacknowledged_) {
      if (Out.Confirmed_.size() == PullConfirmations)
        break;
      Out.Confirmed_.push_back(Confirmed_.at(Vm));
    }
    InPulls_[Now] = Out.Confirmed_;
    if (InPulls_.size() > AwaitedPulls)
      InPulls_.erase(InPulls_.begin());
  }
  post(To, FeedKind::Pull, Out);
}

void Feed::advanced(const Delta &Change, Time Now) {
  LAGOONPOINT_ASSERT(Change.To_ > Change.Base_, "feed.advance");
  LAGOONPOINT_ASSERT(Store_.revision() == Change.To_, "feed.advance");
  History_.add(Change);
  confirmSelf();
  adoptPendingProof();
  pushToFollowers(Now);
}

void Feed::replaced(Time Now) {
  History_.clear();
  confirmSelf();
  adoptPendingProof();
  pushToFollowers(Now);
}

void Feed::pushToFollowers(Time Now) {
  std::erase_if(Followers_, [&](const auto &E) {
    return Now - E.second.PulledAt_ > Options_.ChildTimeout_;
  });
  for (auto &[Vm, F] : Followers_) {
    if (F.Sent_ >= Store_.revision())
      continue;
    FeedBeat Out = beat(Now);
    addNews(Out, F, F.Sent_, false, Now);
    post(Vm, FeedKind::Beat, Out);
  }
}

void Feed::addNews(FeedBeat &Out, Follower &F, Revision From, bool Whole,
                   Time Now) {
  if (!Whole && History_.covers(From)) {
    Out.Deltas_ = History_.after(From, BeatBytes);
    F.Sent_ = Out.Deltas_.back().To_;
    return;
  }
  bool Recent = F.SnapshotAt_ && Now - *F.SnapshotAt_ < Options_.SnapshotEvery_;
  if (Recent)
    return;
  F.SnapshotAt_ = Now;
  Out.Snapshots_.push_back(Store_.snapshot());
  F.Sent_ = Store_.revision();
}

std::uint64_t Feed::shortDigest() const {
  return StableHash().add(Store_.digest()).value();
}

FeedBeat Feed::beat(Time Now) const {
  FeedBeat Out;
  Out.Revision_ = Store_.revision();
  Out.Digest_ = shortDigest();
  Out.Ready_ = Ready_ != Readiness::NotReady;
  Out.Proved_ = Proof_.has_value();
  if (Proof_) {
    Out.ProofAge_ = Now - Proof_->At_;
    Out.ProofRevision_ = Proof_->Revision_;
  }
  return Out;
}

std::vector<Envelope> Feed::takeOutbox() { return std::exchange(Outbox_, {}); }

bool Feed::proofHolds(Time Now) const {
  return Proof_ && Now - Proof_->At_ < Options_.KeyLease_;
}

void Feed::judgeReadiness(Time Now) {
  if (Ready_ != Readiness::NotReady)
    return;
  if (Proof_ && Proof_->At_ >= Started_) {
    Ready_ = Readiness::ByProof;
    return;
  }
  if (Now - Started_ < Options_.ProofWait_)
    return;
  bool AnyReady = false;
  if (!peersHoldNoMore(Now, AnyReady))
    return;
  if (AnyReady)
    Ready_ = Readiness::ByZonePeers;
  else if (Options_.CachedOnDisk_)
    Ready_ = Readiness::ByDiskCache;
}

bool Feed::peersHoldNoMore(Time Now, bool &AnyReady) const {
  for (const VmId &Vm : Answering_) {
    auto It = Answers_.find(Vm);
    if (It == Answers_.end() || Now - It->second.AskedAt_ > AnswerCounts ||
        It->second.Revision_ > Store_.revision())
      return false;
    AnyReady |= It->second.Ready_;
  }
  return true;
}

std::string Feed::whyNotReady(Time Now) const {
  if (Ready_ != Readiness::NotReady)
    return "";
  if (Pending_)
    return "holds revision " + std::to_string(Store_.revision().value()) +
           ", needs " + std::to_string(Pending_->Revision_.value());
  if (Now - Started_ < Options_.ProofWait_)
    return "waits for the voters";
  return "reaches no voter and no ready VM of its zone that holds no more";
}

KeyCurrency Feed::currency(Contact Reach, Time Now) const {
  KeyCurrency Out;
  if (Proof_)
    Out.ProvedAt_ = Proof_->At_;
  else if (Ready_ != Readiness::NotReady)
    // Ready without a proof: what it goes on for counts from its start.
    Out.ProvedAt_ = Started_ - Options_.KeyLease_;
  Out.Lease_ = Options_.KeyLease_;
  Out.Contact_ = Reach;
  Out.ZoneLapsed_ =
      std::all_of(Answering_.begin(), Answering_.end(),
                  [&](const VmId &Vm) { return hasLapsed(Vm, Now); });
  return Out;
}

bool Feed::hasLapsed(const VmId &Peer, Time Now) const {
  auto It = Answers_.find(Peer);
  if (It == Answers_.end() || Now - It->second.AskedAt_ > AnswerCounts)
    return false;
  const std::optional<Time> &ProvedAt = It->second.ProvedAt_;
  return !ProvedAt || Now - *ProvedAt >= Options_.KeyLease_;
}

template <class Message>
void Feed::post(const VmId &To, FeedKind Kind, const Message &M) {
  std::string Body(1, static_cast<char>(Kind));
  Body += encode(M);
  Outbox_.push_back(
      {Options_.Self_, To, Channel::Dissemination, std::move(Body)});
}

} // namespace lagoonpoint
