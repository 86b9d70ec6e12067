#pragma once

#include "lagoonpoint/src/Codec/Codec.h"

#include <variant>

namespace lagoonpoint {

/// Encodes a variant as one byte with the index of its alternative, followed
/// by the encoded alternative.
/// \ingroup Codec
template <class Variant> std::string encodeVariant(const Variant &M) {
  std::string Body = std::visit(
      [](const auto &Alternative) { return encode(Alternative); }, M);
  return static_cast<char>(M.index()) + Body;
}

namespace internal {

template <class Variant, std::size_t Index = 0>
Variant decodeAlternative(std::size_t Wanted, std::string_view Body,
                          const char *Step, const std::string &Peer) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    using Message = std::variant_alternative_t<Index, Variant>;
    if (Wanted == Index)
      return decode<Message>(Body, Step, Peer);
    return decodeAlternative<Variant, Index + 1>(Wanted, Body, Step, Peer);
  } else {
    throw CodecError(Step, Peer, "unknown message type");
  }
}

} // namespace internal

/// Decodes a variant written by encodeVariant().
/// \ingroup Codec
/// \throws CodecError if the input is empty, the index is unknown, or the
///         alternative cannot be decoded
template <class Variant>
Variant decodeVariant(std::string_view Bytes, const char *Step,
                      const std::string &Peer) {
  if (Bytes.empty())
    throw CodecError(Step, Peer, "empty message");
  auto Index = static_cast<unsigned char>(Bytes.front());
  return internal::decodeAlternative<Variant>(Index, Bytes.substr(1), Step,
                                              Peer);
}

} // namespace lagoonpoint
