/// \file
/// Hashes that are the same in all processes and program versions, unlike
/// std::hash.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace coriandertray {

/// \returns a 64-bit hash of \p Text and \p Seed that is the same in all
/// processes. All bits are well distributed. Not cryptographic.
[[nodiscard]] std::uint64_t stableHash(std::string_view Text,
                                       std::uint64_t Seed = 0);

/// \returns \p Value as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(std::uint64_t Value);

} // namespace coriandertray
