#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

constexpr std::size_t HmacBytes = 32;

/// \returns HMAC-SHA256 over the parts. Each part is preceded by its length, so
/// that different lists of parts never give the same input.
std::string hmac(std::string_view Key,
                 std::initializer_list<std::string_view> Parts);

/// Compares two strings in a time that depends only on their lengths.
bool equalConstantTime(std::string_view A, std::string_view B);

/// \returns bytes from the operating system's random generator.
std::string randomBytes(std::size_t Count);

} // namespace lagoonpoint::internal
