/// \file
/// The rate of requests that a backend server accepts from all hosts together,
/// and the token bucket that keeps an allocator within it.
///
/// Only allocators know how many requests all hosts send, so they observe the
/// limits. See backend_report.h for how they learn them.
#pragma once

#include "utils/clock.h"
#include "utils/error.h"
#include "utils/json.h"

#include <compare>
#include <cstddef>
#include <cstdint>
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

/// The token bucket of one backend server. Plain state; not thread-safe.
struct rate_limiter {
  rate_limit Limit;
  time_point ReportedAt;
  /// The part of the limit that this allocator uses, in (0, 1].
  double Share = 1;
  /// Requests that may start, as of RefilledAt.
  double Tokens = 0;
  time_point RefilledAt;
  auto operator<=>(const rate_limiter &) const = default;
};

/// Which allocator of a pool this is. More than one may be active for a while,
/// because hosts differ in which other hosts they reach.
enum class allocator_role : std::uint8_t {
  Primary, ///< The first usable host ranked for the pool.
  StandIn, ///< Ranked, but a host ranked before it is usable as well.
  Local,   ///< Not ranked: allocates for its own requests only.
};

/// \returns the part of each limit, in (0, 1], that an allocator with the role
/// \p Role uses in a fleet of \p HostCount hosts.
[[nodiscard]] double rateLimitShare(allocator_role Role, std::size_t HostCount);

/// Replaces the limit of \p Limiter unless it was reported after \p ReportedAt.
/// A server that becomes limited starts with an empty bucket, because it has
/// already got requests that were not counted.
void applyReport(rate_limiter &Limiter, const rate_limit &Limit,
                 time_point ReportedAt, time_point Now);

/// Changes the part of the limit that this allocator uses. \pre \p Share is
/// in (0, 1].
void setShare(rate_limiter &Limiter, double Share, time_point Now);

/// \returns the requests per second that this allocator may send on average;
/// infinite without a limit.
[[nodiscard]] double sustainedRate(const rate_limiter &Limiter);

/// \returns how many requests may start at \p Now; infinite without a limit.
[[nodiscard]] double availableTokens(const rate_limiter &Limiter,
                                     time_point Now);

/// Counts a request that starts at \p Now.
void consumeToken(rate_limiter &Limiter, time_point Now);

/// Takes back a request that was counted but not sent.
void returnToken(rate_limiter &Limiter, time_point Now);

/// \returns the requests per second of \p Limit, or null if there is no limit.
[[nodiscard]] json::value toJson(const rate_limit &Limit);

} // namespace coriandertray
