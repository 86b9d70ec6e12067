#pragma once

#include "lagoonpoint/Core"

#include <optional>
#include <string>

namespace lagoonpoint {

/// \class OnceKey
/// \ingroup Once
/// \brief An idempotency key: the prefix "ZONE~EPOCH~ISSUED~" from a look-up,
/// followed by a suffix that the caller chooses.
struct OnceKey {
  ZoneId Zone_; ///< home zone: only its VMs dispatch the request
  Epoch Epoch_; ///< of the home zone's view at the time of issue
  std::int64_t IssuedMillis_ = 0; ///< Unix time of issue
  std::string Suffix_;            ///< chosen by the caller

  friend bool operator==(const OnceKey &, const OnceKey &) = default;
};

/// Maximum length of a key in bytes.
inline constexpr std::size_t MaxOnceKeyBytes = 200;

/// \returns the prefix that callers put before their suffix.
/// \ingroup Once
std::string oncePrefix(const ZoneId &Zone, Epoch E, std::int64_t IssuedMillis);

/// \returns the parsed key; nothing if the prefix is invalid, the suffix is
/// empty or the key is too long.
/// \ingroup Once
std::optional<OnceKey> parseOnceKey(const std::string &Text);

} // namespace lagoonpoint
