#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonpoint::internal {

/// Prepends a header with length and checksum to a payload.
/// \param Seed seed of the checksum; each file has its own, so that a record
///        of another file is detected as damaged
std::string frameRecord(std::string_view Payload, std::uint64_t Seed);

/// The result of scanning a file of records.
struct RecordScan {
  std::vector<std::string_view> Records_;
  std::size_t ValidLength_ = 0;   ///< of the valid prefix, in bytes
  bool Complete_ = false;         ///< the valid prefix is the whole file
  bool ValidAfterDamage_ = false; ///< a valid record follows a damaged one
};

/// Reads the records up to the first damaged one, then searches the rest of
/// the file for a valid record.
RecordScan scanRecords(std::string_view Bytes, std::uint64_t Seed);

} // namespace lagoonpoint::internal
