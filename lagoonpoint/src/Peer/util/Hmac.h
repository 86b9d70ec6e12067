#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

constexpr std::size_t HmacBytes = 32;

/// \returns HMAC-SHA256 over the parts, each preceded by its length so that
/// no two lists of parts give the same input.
std::string hmac(std::string_view Key,
                 std::initializer_list<std::string_view> Parts);

/// Compares in a time that depends on the lengths only.
bool equalConstantTime(std::string_view A, std::string_view B);

/// \returns bytes of the operating system's random generator.
std::string randomBytes(std::size_t Count);

} // namespace lagoonpoint::internal
