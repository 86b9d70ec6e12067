#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// \class WithdrawalOptions
/// \ingroup Dissemination
/// \brief Identity of this VM, and the parameters of the gossip.
struct WithdrawalOptions {
  VmId Self_;
  unsigned Fanout_ = 3; ///< VMs that are sent a message in each round
  unsigned Rounds_ = 4; ///< in which a new withdrawal is sent
  Duration RoundInterval_ = Duration::millis(200);
  Duration CompareInterval_ = Duration::seconds(1); ///< of digests, with one VM
};

/// \class WithdrawnKeys
/// \ingroup Dissemination
/// \brief Permanently withdrawn keys that this VM knows of.
///
/// The set only grows, so it needs no quorum. A VM that learns of a withdrawal
/// applies it at once and gossips it to a few random VMs for a few rounds.
/// Once per second it compares digests with one VM, to detect lost messages.
/// Performs no I/O; not thread-safe.
class WithdrawnKeys {
public:
  explicit WithdrawnKeys(WithdrawalOptions Options);

  /// Replaces the live VMs that withdrawals are gossiped to.
  void setPeers(std::vector<VmId> Peers);
  /// Withdraws a key on this VM and gossips the withdrawal.
  void withdraw(const KeyId &Key);
  /// Adds the keys that are withdrawn in the replicated log. These spread only
  /// by comparison of digests.
  void addFromLog(const std::set<KeyId> &Keys);
  bool contains(const KeyId &Key) const { return Keys_.count(Key) > 0; }
  const std::set<KeyId> &keys() const { return Keys_; }

  void tick(Random &Rng, Time Now);
  /// \throws CodecError if the message is malformed; the state is unchanged
  void receive(const Envelope &Message);
  std::vector<Envelope> takeOutbox();

private:
  static constexpr std::size_t BucketCount = 32;
  using Digests = std::array<std::uint64_t, BucketCount>;

  /// Every message of this channel; unused lists are empty.
  struct Message {
    std::vector<KeyId> Keys_;
    std::vector<std::uint64_t> Digest_;  ///< of the whole set
    std::vector<std::uint64_t> Buckets_; ///< digests of its buckets
    bool IsReply_ = false; ///< to Buckets_; the receiver sends none back

    MSGPACK_DEFINE(Keys_, Digest_, Buckets_, IsReply_)
  };

  bool add(const KeyId &Key);
  std::uint64_t totalDigest() const;
  void sendGossipRound(Random &Rng);
  void sendDigest(Random &Rng);
  void replyToDigest(const VmId &To, const Message &In);
  void replyToBuckets(const VmId &To, const Message &In);
  void enqueue(const VmId &To, const Message &Out);

  WithdrawalOptions Options_;
  std::vector<VmId> Peers_;
  std::set<KeyId> Keys_;
  Digests Digests_{};
  std::map<KeyId, unsigned> RoundsLeft_;
  std::vector<Envelope> Outbox_;
  Time NextRound_;
  Time NextCompare_;
};

} // namespace lagoonpoint
