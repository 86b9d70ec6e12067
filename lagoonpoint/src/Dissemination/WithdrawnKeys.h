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
/// \brief Who this VM is, and how eagerly withdrawals spread.
struct WithdrawalOptions {
  VmId Self_;
  unsigned Fanout_ = 3; ///< VMs told in each round
  unsigned Rounds_ = 4; ///< for which a new withdrawal is passed on
  Duration RoundInterval_ = Duration::millis(200);
  Duration CompareInterval_ = Duration::seconds(1); ///< digests with one VM
};

/// \class WithdrawnKeys
/// \ingroup Dissemination
/// \brief Keys withdrawn for good, as far as this VM knows.
///
/// The set only grows, so it needs no quorum: a VM that learns of a withdrawal
/// applies it at once and passes it to a few VMs chosen at random for a few
/// rounds; digests compared with one VM a second find what got lost. Pure;
/// not thread-safe.
class WithdrawnKeys {
public:
  explicit WithdrawnKeys(WithdrawalOptions Options);

  /// Replaces the VMs that withdrawals are passed to; those alive.
  void setPeers(std::vector<VmId> Peers);
  /// Withdraws a key here, and then everywhere.
  void withdraw(const KeyId &Key);
  /// Adds what the replicated log says; passed on by comparison only.
  void addFromLog(const std::set<KeyId> &Keys);
  bool contains(const KeyId &Key) const { return Keys_.count(Key) > 0; }
  const std::set<KeyId> &keys() const { return Keys_; }

  void tick(Random &Dice, Time Now);
  /// \throws CodecError if the message is malformed; nothing has changed then
  void receive(const Envelope &Message);
  std::vector<Envelope> takeOutbox();

private:
  static constexpr std::size_t BucketCount = 32;
  using Digests = std::array<std::uint64_t, BucketCount>;

  /// Any message of this module; unused lists are empty.
  struct Message {
    std::vector<KeyId> Keys_;
    std::vector<std::uint64_t> Digest_;  ///< of the whole set
    std::vector<std::uint64_t> Buckets_; ///< digests of its parts
    bool IsReply_ = false; ///< the receiver need not compare in turn

    MSGPACK_DEFINE(Keys_, Digest_, Buckets_, IsReply_)
  };

  bool add(const KeyId &Key);
  std::uint64_t totalDigest() const;
  void sendGossipRound(Random &Dice);
  void sendDigest(Random &Dice);
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
