#pragma once

#include "lagoonpoint/Core"

#include <optional>
#include <string>

namespace lagoonpoint {

/// \class OnceKey
/// \ingroup Once
/// \brief An idempotency key: "ZONE~EPOCH~ISSUED~" from a look-up, then what
/// the caller chose.
struct OnceKey {
  ZoneId Zone_;                   ///< home: only its VMs dispatch the request
  Epoch Epoch_;                   ///< of the home zone's view at issue
  std::int64_t IssuedMillis_ = 0; ///< Unix time of issue
  std::string Suffix_;            ///< the caller's part

  friend bool operator==(const OnceKey &, const OnceKey &) = default;
};

/// Longest key accepted, in bytes.
inline constexpr std::size_t MaxOnceKeyBytes = 200;

/// \returns the prefix callers begin their keys with.
/// \ingroup Once
std::string oncePrefix(const ZoneId &Zone, Epoch E, std::int64_t IssuedMillis);

/// \returns the parts of a key; nothing if it has no valid prefix, an empty
/// suffix or is too long.
/// \ingroup Once
std::optional<OnceKey> parseOnceKey(const std::string &Text);

} // namespace lagoonpoint
