/// \file
/// The response body of the fake backend server. It is a function of the
/// request, so that the load generator can check that each response is complete
/// and belongs to its request.
#pragma once

#include "utils/hash.h"

#include <string>
#include <string_view>

namespace coriandertray {

/// The header with the id of a logical request. All attempts, such as retries
/// and hedges, carry the same id.
inline constexpr std::string_view WorkIdHeader = "Work-Id";

/// The response header with the time that the fake backend server spent on the
/// request, in milliseconds.
inline constexpr std::string_view ServiceMsHeader = "Service-Ms";

/// \returns the complete response body for the logical request \p WorkId with
/// request target \p Target.
[[nodiscard]] inline std::string workResponseBody(std::string_view WorkId,
                                                  std::string_view Target) {
  constexpr std::size_t MinRepeats = 4;
  constexpr std::size_t RepeatSpread = 28;
  std::string Whole(WorkId);
  Whole += ' ';
  Whole += Target;
  const std::uint64_t Hash = stableHash(Whole);
  std::string Body = "work " + Whole + "\n";
  for (std::size_t Line = 0; Line < MinRepeats + Hash % RepeatSpread; ++Line)
    Body += toHex(stableHash(Whole, Line)) + "\n";
  return Body + "end\n";
}

} // namespace coriandertray
