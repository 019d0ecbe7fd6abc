/// \file
/// The answer that a fake backend server gives to a piece of work, so that the
/// load generator can tell whether an answer is whole and its own.
#pragma once

#include "utils/hash.h"

#include <string>
#include <string_view>

namespace coriandertray {

/// Names one logical piece of work through all of its attempts.
inline constexpr std::string_view WorkIdHeader = "Work-Id";

/// How long the fake backend server ran the request, in milliseconds.
inline constexpr std::string_view ServiceMsHeader = "Service-Ms";

/// \returns the whole body of the answer to \p WorkId at \p Target.
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
