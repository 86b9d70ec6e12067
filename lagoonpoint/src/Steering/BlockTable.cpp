#include "lagoonpoint/src/Steering/BlockTable.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace lagoonpoint {

namespace {

using namespace internal;

constexpr ZoneIndex NoZone = std::numeric_limits<ZoneIndex>::max();
constexpr unsigned PrefixBits = 16;
constexpr std::size_t Prefixes = std::size_t(1) << PrefixBits;
constexpr unsigned Ip4Bits = 32;
constexpr unsigned Ip6Bits = 128;
constexpr std::uint64_t MappedHigh = 0;
constexpr std::uint64_t MappedLow = 0xffff; ///< bits 32 to 63 of the low half

/// A block as its first and last address.
template <class Ip> struct Range {
  Ip First_;
  Ip Last_;
  ZoneIndex Zone_;
};

std::uint64_t bigEndian(const unsigned char *Bytes, int Count) {
  std::uint64_t Out = 0;
  for (int I = 0; I < Count; ++I)
    Out = Out << 8 | Bytes[I];
  return Out;
}

std::optional<std::uint32_t> readIp4(const std::string &Text) {
  unsigned char Bytes[4];
  if (inet_pton(AF_INET, Text.c_str(), Bytes) != 1)
    return {};
  return static_cast<std::uint32_t>(bigEndian(Bytes, 4));
}

std::optional<Ip6> readIp6(const std::string &Text) {
  unsigned char Bytes[16];
  if (inet_pton(AF_INET6, Text.c_str(), Bytes) != 1)
    return {};
  return Ip6{bigEndian(Bytes, 8), bigEndian(Bytes + 8, 8)};
}

/// \returns a mask whose lowest \p Ones bits are set.
std::uint64_t hostMask(unsigned Ones) {
  return Ones >= 64 ? ~std::uint64_t(0) : (std::uint64_t(1) << Ones) - 1;
}

Range<std::uint32_t> rangeOf(std::uint32_t First, unsigned Length,
                             ZoneIndex Zone) {
  auto Mask = static_cast<std::uint32_t>(hostMask(Ip4Bits - Length));
  return {First, First | Mask, Zone};
}

Range<Ip6> rangeOf(const Ip6 &First, unsigned Length, ZoneIndex Zone) {
  unsigned HostBits = Ip6Bits - Length;
  Ip6 Last = First;
  Last[1] |= hostMask(HostBits);
  Last[0] |= HostBits > 64 ? hostMask(HostBits - 64) : 0;
  return {First, Last, Zone};
}

/// Advances to the next address.
/// \returns false if the address wrapped around
bool increment(std::uint32_t &Ip) { return ++Ip != 0; }

bool increment(Ip6 &Ip) { return ++Ip[1] != 0 || ++Ip[0] != 0; }

template <class Ip>
void appendSegment(Segments<Ip> &Out, const Ip &Start, ZoneIndex Zone) {
  if (!Out.Starts_.empty() && Out.Starts_.back() == Start) {
    Out.Zones_.back() = Zone;
    return;
  }
  if (!Out.Zones_.empty() && Out.Zones_.back() == Zone)
    return;
  Out.Starts_.push_back(Start);
  Out.Zones_.push_back(Zone);
}

/// Ends the innermost open range and continues with the enclosing one.
template <class Ip>
void closeInnermost(std::vector<Range<Ip>> &Open, Segments<Ip> &Out) {
  Ip After = Open.back().Last_;
  Open.pop_back();
  if (increment(After))
    appendSegment(Out, After, Open.empty() ? NoZone : Open.back().Zone_);
}

template <class Ip> Segments<Ip> flatten(std::vector<Range<Ip>> Ranges) {
  std::sort(Ranges.begin(), Ranges.end(), [](const auto &A, const auto &B) {
    return A.First_ != B.First_ ? A.First_ < B.First_ : B.Last_ < A.Last_;
  });
  Segments<Ip> Out;
  appendSegment(Out, Ip{}, NoZone);
  std::vector<Range<Ip>> Open; // from the outermost to the innermost
  for (const Range<Ip> &R : Ranges) {
    while (!Open.empty() && Open.back().Last_ < R.First_)
      closeInnermost(Open, Out);
    appendSegment(Out, R.First_, R.Zone_);
    Open.push_back(R);
  }
  while (!Open.empty())
    closeInnermost(Open, Out);
  Out.Starts_.shrink_to_fit();
  Out.Zones_.shrink_to_fit();
  return Out;
}

/// \returns for each prefix the segment that contains its first address,
/// followed by the last segment.
std::vector<std::uint32_t>
indexPrefixes(const Segments<std::uint32_t> &Segments) {
  std::vector<std::uint32_t> Out(Prefixes + 1);
  std::uint32_t Segment = 0;
  for (std::size_t Prefix = 0; Prefix < Prefixes; ++Prefix) {
    auto First = static_cast<std::uint32_t>(Prefix << (Ip4Bits - PrefixBits));
    while (Segment + 1 < Segments.Starts_.size() &&
           Segments.Starts_[Segment + 1] <= First)
      ++Segment;
    Out[Prefix] = Segment;
  }
  Out[Prefixes] = static_cast<std::uint32_t>(Segments.Starts_.size()) - 1;
  return Out;
}

unsigned readLength(const BlockDecl &Block, std::size_t Slash, unsigned Bits) {
  unsigned Length = Bits + 1;
  const char *Last = Block.Cidr_.data() + Block.Cidr_.size();
  std::from_chars(Block.Cidr_.data() + Slash + 1, Last, Length);
  if (Length > Bits)
    throw Error("steering.blocks", "", "malformed block " + Block.Cidr_);
  return Length;
}

/// Collects the ranges of both address families.
struct Builder {
  BlockTable Table_;
  std::map<ZoneId, ZoneIndex> ZoneNumbers_;
  std::vector<Range<std::uint32_t>> V4_;
  std::vector<Range<Ip6>> V6_;
};

ZoneIndex numberOf(Builder &B, const ZoneId &Zone) {
  auto [Found, New] = B.ZoneNumbers_.emplace(
      Zone, static_cast<ZoneIndex>(B.Table_.Zones_.size()));
  if (New)
    B.Table_.Zones_.push_back(Zone);
  LAGOONPOINT_ASSERT(B.Table_.Zones_.size() < NoZone, "steering.blocks");
  return Found->second;
}

void addBlock(Builder &B, const BlockDecl &Block) {
  std::size_t Slash = std::min(Block.Cidr_.find('/'), Block.Cidr_.size() - 1);
  std::string Ip = Block.Cidr_.substr(0, Slash);
  ZoneIndex Zone = numberOf(B, Block.Zone_);
  if (auto First = readIp4(Ip))
    B.V4_.push_back(rangeOf(*First, readLength(Block, Slash, Ip4Bits), Zone));
  else if (auto First6 = readIp6(Ip))
    B.V6_.push_back(rangeOf(*First6, readLength(Block, Slash, Ip6Bits), Zone));
  else
    throw Error("steering.blocks", "", "malformed block " + Block.Cidr_);
}

template <class Iterator, class Ip>
std::size_t segmentOf(Iterator Begin, Iterator From, Iterator To,
                      const Ip &Address) {
  return static_cast<std::size_t>(std::upper_bound(From, To, Address) - Begin) -
         1;
}

ZoneIndex zoneOfIp4(const BlockTable &Table, std::uint32_t Address) {
  const std::vector<std::uint32_t> &Starts = Table.V4_.Starts_;
  std::size_t Prefix = Address >> (Ip4Bits - PrefixBits);
  auto From = Starts.begin() + Table.FirstOfPrefix_[Prefix];
  auto To = Starts.begin() + Table.FirstOfPrefix_[Prefix + 1] + 1;
  return Table.V4_.Zones_[segmentOf(Starts.begin(), From, To, Address)];
}

ZoneIndex zoneOfIp6(const BlockTable &Table, const Ip6 &Address) {
  const std::vector<Ip6> &Starts = Table.V6_.Starts_;
  return Table.V6_
      .Zones_[segmentOf(Starts.begin(), Starts.begin(), Starts.end(), Address)];
}

bool isMapped(const Ip6 &Address) {
  return Address[0] == MappedHigh && Address[1] >> Ip4Bits == MappedLow;
}

ZoneIndex zoneNumberOf(const BlockTable &Table, const std::string &Address) {
  if (auto V4 = readIp4(Address))
    return zoneOfIp4(Table, *V4);
  auto V6 = readIp6(Address);
  if (!V6)
    return NoZone;
  if (isMapped(*V6))
    return zoneOfIp4(Table, static_cast<std::uint32_t>((*V6)[1]));
  return zoneOfIp6(Table, *V6);
}

template <class T> std::size_t bytesOf(const std::vector<T> &Items) {
  return Items.capacity() * sizeof(T);
}

} // namespace

BlockTable buildBlockTable(const std::vector<BlockDecl> &Blocks) {
  Builder B;
  for (const BlockDecl &Block : Blocks)
    addBlock(B, Block);
  B.Table_.V4_ = flatten(std::move(B.V4_));
  B.Table_.V6_ = flatten(std::move(B.V6_));
  B.Table_.FirstOfPrefix_ = indexPrefixes(B.Table_.V4_);
  return std::move(B.Table_);
}

const ZoneId *zoneOf(const BlockTable &Table, const std::string &Address) {
  if (Table.FirstOfPrefix_.empty())
    return nullptr;
  ZoneIndex Zone = zoneNumberOf(Table, Address);
  return Zone == NoZone ? nullptr : &Table.Zones_[Zone];
}

std::size_t bytesOf(const BlockTable &Table) {
  std::size_t Out = sizeof(Table) + bytesOf(Table.FirstOfPrefix_);
  Out += bytesOf(Table.V4_.Starts_) + bytesOf(Table.V4_.Zones_);
  Out += bytesOf(Table.V6_.Starts_) + bytesOf(Table.V6_.Zones_);
  return Out + bytesOf(Table.Zones_);
}

} // namespace lagoonpoint
