#include "lagoonpoint/src/Disk/util/Record.h"

#include <xxhash.h>

#include <cstring>
#include <optional>

namespace lagoonpoint::internal {

namespace {

constexpr std::uint32_t Magic = 0x3152504c; // "LPR1"

struct RecordHeader {
  std::uint32_t Magic_ = Magic;
  std::uint32_t Length_ = 0;
  std::uint64_t Checksum_ = 0;
};

std::uint64_t checksumOf(std::string_view Payload, std::uint64_t Seed) {
  return XXH64(Payload.data(), Payload.size(), Seed ^ Payload.size());
}

std::optional<std::string_view>
recordAt(std::string_view Bytes, std::size_t Offset, std::uint64_t Seed) {
  RecordHeader Header;
  if (Bytes.size() - Offset < sizeof(Header))
    return std::nullopt;
  std::memcpy(&Header, Bytes.data() + Offset, sizeof(Header));
  std::size_t Available = Bytes.size() - Offset - sizeof(Header);
  if (Header.Magic_ != Magic || Header.Length_ > Available)
    return std::nullopt;
  auto Payload = Bytes.substr(Offset + sizeof(Header), Header.Length_);
  if (checksumOf(Payload, Seed) != Header.Checksum_)
    return std::nullopt;
  return Payload;
}

bool hasRecordAfter(std::string_view Bytes, std::size_t Offset,
                    std::uint64_t Seed) {
  char MagicBytes[sizeof(Magic)];
  std::memcpy(MagicBytes, &Magic, sizeof(Magic));
  std::string_view Needle(MagicBytes, sizeof(MagicBytes));
  for (std::size_t At = Bytes.find(Needle, Offset);
       At != std::string_view::npos; At = Bytes.find(Needle, At + 1))
    if (recordAt(Bytes, At, Seed))
      return true;
  return false;
}

} // namespace

std::string frameRecord(std::string_view Payload, std::uint64_t Seed) {
  RecordHeader Header;
  Header.Length_ = static_cast<std::uint32_t>(Payload.size());
  Header.Checksum_ = checksumOf(Payload, Seed);
  std::string Out(sizeof(Header), '\0');
  std::memcpy(Out.data(), &Header, sizeof(Header));
  return Out.append(Payload);
}

RecordScan scanRecords(std::string_view Bytes, std::uint64_t Seed) {
  RecordScan Scan;
  while (auto Payload = recordAt(Bytes, Scan.ValidLength_, Seed)) {
    Scan.Records_.push_back(*Payload);
    Scan.ValidLength_ += sizeof(RecordHeader) + Payload->size();
  }
  Scan.Complete_ = Scan.ValidLength_ == Bytes.size();
  if (!Scan.Complete_)
    Scan.ValidAfterDamage_ = hasRecordAfter(Bytes, Scan.ValidLength_ + 1, Seed);
  return Scan;
}

} // namespace lagoonpoint::internal
