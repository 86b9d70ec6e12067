#pragma once

#include "lagoonpoint/src/Codec/Codec.h"

#include <variant>

namespace lagoonpoint {

/// Encodes one alternative of a variant behind a byte that tells which.
/// \ingroup Codec
template <class Variant> std::string encodeVariant(const Variant &M) {
  std::string Body =
      std::visit([](const auto &Typed) { return encode(Typed); }, M);
  return static_cast<char>(M.index()) + Body;
}

namespace internal {

template <class Variant, std::size_t Kind = 0>
Variant decodeKind(std::size_t Wanted, std::string_view Body, const char *Step,
                   const std::string &Peer) {
  if constexpr (Kind < std::variant_size_v<Variant>) {
    using Message = std::variant_alternative_t<Kind, Variant>;
    if (Wanted == Kind)
      return decode<Message>(Body, Step, Peer);
    return decodeKind<Variant, Kind + 1>(Wanted, Body, Step, Peer);
  } else {
    throw CodecError(Step, Peer, "unknown kind of message");
  }
}

} // namespace internal

/// Decodes what encodeVariant() wrote.
/// \ingroup Codec
/// \throws CodecError if the bytes are no such message
template <class Variant>
Variant decodeVariant(std::string_view Bytes, const char *Step,
                      const std::string &Peer) {
  if (Bytes.empty())
    throw CodecError(Step, Peer, "empty message");
  auto Kind = static_cast<unsigned char>(Bytes.front());
  return internal::decodeKind<Variant>(Kind, Bytes.substr(1), Step, Peer);
}

} // namespace lagoonpoint
