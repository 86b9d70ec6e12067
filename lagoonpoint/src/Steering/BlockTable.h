#pragma once

#include "lagoonpoint/Config"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonpoint {

namespace internal {

/// An IPv6 address as its upper and lower 64 bits.
using Ip6 = std::array<std::uint64_t, 2>;

/// Index into BlockTable::Zones_.
using ZoneIndex = std::uint16_t;

/// Disjoint address ranges that cover the whole address space. Each range ends
/// before the start of the next.
template <class Ip> struct Segments {
  std::vector<Ip> Starts_;
  std::vector<ZoneIndex> Zones_;
};

} // namespace internal

/// \class BlockTable
/// \ingroup Steering
/// \brief Longest-prefix match of client addresses to zones.
///
/// Nested blocks are flattened into disjoint ranges when the table is built. A
/// look-up is then a single binary search; for IPv4, an index of the first 16
/// bits narrows it. An IPv4 block takes at most 12 bytes.
struct BlockTable {
  std::vector<ZoneId> Zones_;
  internal::Segments<std::uint32_t> V4_;
  internal::Segments<internal::Ip6> V6_;
  std::vector<std::uint32_t> FirstOfPrefix_; ///< by IPv4 /16 prefix
};

/// Builds a table.
/// \ingroup Steering
/// \param Blocks as validated by parseDeclarations()
/// \throws Error if a block is malformed
BlockTable buildBlockTable(const std::vector<BlockDecl> &Blocks);

/// \returns the zone of the block with the longest prefix that contains an
/// address, or null if none does. An IPv4-mapped IPv6 address
/// (`::ffff:10.0.0.1`) is treated as IPv4.
/// \ingroup Steering
const ZoneId *zoneOf(const BlockTable &Table, const std::string &Address);

/// \returns the memory used by a table, in bytes.
/// \ingroup Steering
std::size_t bytesOf(const BlockTable &Table);

} // namespace lagoonpoint
