#include "lagoonpoint/src/Dissemination/WithdrawnKeys.h"

#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

namespace {

/// Keys received in a message with more keys than this are not gossiped: they
/// come from a comparison of digests and spread through further comparisons.
constexpr std::size_t MaxGossipedKeys = 64;

std::uint64_t hashOf(const KeyId &Key) {
  return StableHash().add(Key.str()).value();
}

} // namespace

WithdrawnKeys::WithdrawnKeys(WithdrawalOptions Options)
    : Options_(std::move(Options)) {}

void WithdrawnKeys::setPeers(std::vector<VmId> Peers) {
  Peers_ = std::move(Peers);
  std::erase(Peers_, Options_.Self_);
}

void WithdrawnKeys::withdraw(const KeyId &Key) {
  if (add(Key)) {
    RoundsLeft_[Key] = Options_.Rounds_;
    NextRound_ = Time();
  }
}

void WithdrawnKeys::addFromLog(const std::set<KeyId> &Keys) {
  for (const KeyId &Key : Keys)
    add(Key);
}

bool WithdrawnKeys::add(const KeyId &Key) {
  std::size_t Before = Keys_.size();
  if (!Keys_.insert(Key).second)
    return false;
  std::uint64_t Hash = hashOf(Key);
  Digests_[Hash % BucketCount] += Hash;
  LAGOONPOINT_ASSERT(Keys_.size() == Before + 1, "withdrawal.add");
  return true;
}

void WithdrawnKeys::tick(Random &Rng, Time Now) {
  if (Peers_.empty())
    return;
  if (Now >= NextRound_ && !RoundsLeft_.empty()) {
    NextRound_ = Now + Options_.RoundInterval_;
    sendGossipRound(Rng);
  }
  if (Now >= NextCompare_) {
    NextCompare_ = Now + Options_.CompareInterval_;
    sendDigest(Rng);
  }
}

void WithdrawnKeys::sendGossipRound(Random &Rng) {
  Message Out;
  for (auto &[Key, Left] : RoundsLeft_) {
    Out.Keys_.push_back(Key);
    --Left;
  }
  std::erase_if(RoundsLeft_, [](const auto &E) { return E.second == 0; });
  std::vector<VmId> Chosen;
  std::sample(Peers_.begin(), Peers_.end(), std::back_inserter(Chosen),
              Options_.Fanout_, Rng);
  for (const VmId &Vm : Chosen)
    enqueue(Vm, Out);
}

void WithdrawnKeys::sendDigest(Random &Rng) {
  Message Out;
  Out.Digest_ = {totalDigest()};
  enqueue(Peers_[Rng() % Peers_.size()], Out);
}

std::uint64_t WithdrawnKeys::totalDigest() const {
  std::uint64_t Sum = 0;
  for (std::uint64_t Digest : Digests_)
    Sum += Digest;
  return Sum;
}

void WithdrawnKeys::receive(const Envelope &E) {
  auto In = decode<Message>(E.Body_, "withdrawal.receive", E.From_.str());
  bool Malformed = In.Digest_.size() > 1 ||
                   (!In.Buckets_.empty() && In.Buckets_.size() != BucketCount);
  if (Malformed)
    throw CodecError("withdrawal.receive", E.From_.str(), "malformed digest");
  if (In.Keys_.size() <= MaxGossipedKeys)
    for (const KeyId &Key : In.Keys_)
      withdraw(Key);
  else
    addFromLog({In.Keys_.begin(), In.Keys_.end()});
  if (!In.Digest_.empty())
    replyToDigest(E.From_, In);
  if (!In.Buckets_.empty())
    replyToBuckets(E.From_, In);
}

void WithdrawnKeys::replyToDigest(const VmId &To, const Message &In) {
  if (In.Digest_[0] == totalDigest())
    return;
  Message Out;
  Out.Buckets_.assign(Digests_.begin(), Digests_.end());
  enqueue(To, Out);
}

void WithdrawnKeys::replyToBuckets(const VmId &To, const Message &In) {
  Message Out;
  for (const KeyId &Key : Keys_) {
    std::size_t Bucket = hashOf(Key) % BucketCount;
    if (Digests_[Bucket] != In.Buckets_[Bucket])
      Out.Keys_.push_back(Key);
  }
  if (!In.IsReply_) {
    Out.Buckets_.assign(Digests_.begin(), Digests_.end());
    Out.IsReply_ = true;
  }
  enqueue(To, Out);
}

std::vector<Envelope> WithdrawnKeys::takeOutbox() {
  return std::exchange(Outbox_, {});
}

void WithdrawnKeys::enqueue(const VmId &To, const Message &Out) {
  Outbox_.push_back({Options_.Self_, To, Channel::Withdrawal, encode(Out)});
}

} // namespace lagoonpoint
