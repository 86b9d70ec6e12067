#pragma once

#include "lagoonpoint/Config"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

namespace internal {

/// An IPv6 number: its upper and lower 64 bits.
using Ip6 = std::array<std::uint64_t, 2>;

/// Number of a zone in BlockTable::Zones_.
using ZoneIndex = std::uint16_t;

/// Disjoint ranges of numbers that cover all of them. Each range begins at its
/// start and ends before the next one's.
template <class Ip> struct Segments {
  std::vector<Ip> Starts_;
  std::vector<ZoneIndex> Zones_;
};

} // namespace internal

/// \class BlockTable
/// \ingroup Steering
/// \brief Longest-prefix match of client addresses to zones.
///
/// Nested blocks are flattened into disjoint ranges when the table is built,
/// so that a look-up is one binary search, narrowed by the address's first 16
/// bits. A block takes at most 12 bytes.
struct BlockTable {
  std::vector<ZoneId> Zones_;
  internal::Segments<std::uint32_t> V4_;
  internal::Segments<internal::Ip6> V6_;
  std::vector<std::uint32_t> FirstOfPrefix_; ///< by an IPv4's first 16 bits
};

/// Builds a table.
/// \ingroup Steering
/// \param Blocks checked by parseDeclarations()
/// \throws Error if a block is malformed
BlockTable buildBlockTable(const std::vector<BlockDecl> &Blocks);

/// \returns the zone of the longest block that holds an address, or null. An
/// IPv4 number written as IPv6 (`::ffff:10.0.0.1`) counts as IPv4.
/// \ingroup Steering
const ZoneId *zoneOf(const BlockTable &Table, const std::string &Address);

/// \returns the bytes that a table occupies.
/// \ingroup Steering
std::size_t bytesOf(const BlockTable &Table);

} // namespace lagoonpoint
