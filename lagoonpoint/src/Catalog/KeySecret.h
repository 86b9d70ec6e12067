#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Catalog/Change.h"

#include <cstddef>
#include <string>

namespace lagoonpoint {

/// Length of a SHA-256 in hex.
inline constexpr std::size_t HashHexLength = 64;

/// \returns the SHA-256 of the bytes, in hex.
std::string sha256Hex(const std::string &Bytes);

/// \returns true if SHA-256 of salt and secret equals the hash, in a time that
/// depends on the lengths only.
bool secretMatches(const std::string &Salt, const std::string &HashHex,
                   const std::string &Secret);

/// \returns true if the strings are equal, in a time that depends on the
/// lengths only.
bool equalInConstantTime(const std::string &A, const std::string &B);

/// A key as a caller presents it: "ID.SECRET".
struct KeyCredential {
  KeyId Id_;
  std::string Secret_;
};

/// Splits a credential at its first dot; both parts are empty without one.
KeyCredential parseKeyCredential(const std::string &Credential);

/// A new key: what is replicated, and what the operator gives to the team.
struct NewKey {
  KeyGrant Grant_;
  std::string Credential_; ///< "ID.SECRET"; not stored
};

/// Generates a key with a secret from the operating system's random source.
NewKey generateKey(const KeyId &Id, const TeamId &Team);

} // namespace lagoonpoint
