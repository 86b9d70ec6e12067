#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Config/Settings.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint::internal {

/// Readers of one value each; empty where the text is malformed.
/// @{

/// A whole span of milliseconds with its unit: `200ms`, `5s`, `2m`, `1h`.
std::optional<Duration> parseDuration(const std::string &Text);
/// Requests per second: `20/s`, `600/m`.
std::optional<Rate> parseRate(const std::string &Text);
/// `300Mbit/s`, `4Gbit/s`, `64kbit/s`.
std::optional<Bandwidth> parseBandwidth(const std::string &Text);
/// Cents per gigabyte: `3c/GB`.
std::optional<Price> parsePrice(const std::string &Text);
/// A part of one: `10%` or `0.1`.
std::optional<double> parseShare(const std::string &Text);
/// A whole number without sign.
std::optional<std::size_t> parseCount(const std::string &Text);
/// A size in bytes: `8192B`, `64KiB`, `16MiB`.
std::optional<std::size_t> parseBytes(const std::string &Text);
/// `true` or `false`.
std::optional<bool> parseBool(const std::string &Text);
/// `127.0.0.1:7001` or `[::1]:7001`.
std::optional<Address> parseSocketAddress(const std::string &Text);
/// Comma-separated words; empty text gives an empty list, an empty word none.
std::optional<std::vector<std::string>> parseList(const std::string &Text);

/// @}

/// \returns whether a text is an id: 1 to 63 letters, digits, `-` and `_`.
bool isId(const std::string &Text);

/// \returns the block in one form of writing, with its host bits checked to be
/// zero; empty where malformed: `10.1.0.0/16`, `2001:db8::/32`.
std::optional<std::string> normalizedCidr(const std::string &Text);

} // namespace lagoonpoint::internal
