/// \file
/// Splits the target of an HTTP request into path and query.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace coriandertray {

struct parsed_target {
  std::string Path;
  std::map<std::string, std::string, std::less<>> Query;
  bool operator==(const parsed_target &) const = default;
};

/// Splits "/path?key=value&..." without percent-decoding. The first value of a
/// repeated key counts.
[[nodiscard]] parsed_target parseTarget(std::string_view Target);

/// \returns the integer at \p Key, or \p Default if there is none.
[[nodiscard]] long long queryNumber(const parsed_target &Target,
                                    std::string_view Key, long long Default);

/// \returns \p Text with all bytes percent-encoded that have a meaning in a
/// target or must not appear there.
[[nodiscard]] std::string percentEncode(std::string_view Text);

} // namespace coriandertray
