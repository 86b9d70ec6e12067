#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Config/Settings.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint::internal {

/// Parsers of one value each; the result is empty if the text is malformed.
/// @{

/// A whole number of milliseconds, in any unit: `200ms`, `5s`, `2m`, `1h`.
std::optional<Duration> parseDuration(const std::string &Text);
/// Requests per second: `20/s`, `600/m`.
std::optional<Rate> parseRate(const std::string &Text);
/// `300Mbit/s`, `4Gbit/s`, `64kbit/s`.
std::optional<Bandwidth> parseBandwidth(const std::string &Text);
/// Cents per gigabyte: `3c/GB`.
std::optional<Price> parsePrice(const std::string &Text);
/// A fraction: `10%` or `0.1`.
std::optional<double> parseShare(const std::string &Text);
/// A whole number without a sign.
std::optional<std::size_t> parseCount(const std::string &Text);
/// A size in bytes: `8192B`, `64KiB`, `16MiB`.
std::optional<std::size_t> parseBytes(const std::string &Text);
/// `true` or `false`.
std::optional<bool> parseBool(const std::string &Text);
/// `127.0.0.1:7001` or `[::1]:7001`.
std::optional<Address> parseSocketAddress(const std::string &Text);
/// Comma-separated words. An empty text gives an empty list; an empty word is
/// malformed.
std::optional<std::vector<std::string>> parseList(const std::string &Text);

/// @}

/// \returns whether a text is an id: 1 to 63 letters, digits, `-` or `_`.
bool isId(const std::string &Text);

/// \returns an address block in canonical form, such as `10.1.0.0/16` or
/// `2001:db8::/32`; empty if it is malformed or its host bits are not zero.
std::optional<std::string> normalizedCidr(const std::string &Text);

} // namespace lagoonpoint::internal
