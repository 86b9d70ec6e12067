#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonpoint::internal {

/// Frames bytes with length and checksum.
/// \param Seed of the checksum: records of one file don't pass in another
std::string frameRecord(std::string_view Payload, std::uint64_t Seed);

/// What a file of records holds.
struct RecordScan {
  std::vector<std::string_view> Records_;
  std::size_t ValidLength_ = 0; ///< offset after the last record of the prefix
  bool Complete_ = false;       ///< the prefix is the whole file
  bool ValidAfterDamage_ = false; ///< a valid record follows a damaged one
};

/// Reads records up to the first damaged one and looks for more behind it.
RecordScan scanRecords(std::string_view Bytes, std::uint64_t Seed);

} // namespace lagoonpoint::internal
