/// \file
/// The rate of requests that a backend server accepts from all hosts together.
#pragma once

#include "utils/error.h"
#include "utils/json.h"

#include <compare>
#include <optional>
#include <string_view>

namespace coriandertray {

/// The limit that a backend server named in its last response. Immutable value;
/// safe to share between threads.
struct rate_limit {
  /// Nothing if the server named no limit.
  std::optional<double> RequestsPerSecond;
  auto operator<=>(const rate_limit &) const = default;
};

/// Parses a decimal number of requests per second. Fails with ValueOutOfRange
/// if \p Text is not a finite number of at least zero.
[[nodiscard]] result<rate_limit> parseRateLimit(std::string_view Text);

/// \returns the requests per second of \p Limit, or null if there is no limit.
[[nodiscard]] json::value toJson(const rate_limit &Limit);

} // namespace coriandertray
