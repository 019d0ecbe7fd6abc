/// \file
/// How many first attempts and retries were made within a sliding window.
#pragma once

#include "utils/clock.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <vector>

namespace coriandertray {

/// The retries, hedges included, that are allowed within a window.
struct retry_limits {
  /// Retries per first attempt.
  double Ratio = 0.2;
  duration Window = seconds(10);
  /// Retries allowed in addition, whatever the number of first attempts.
  double Slack = 0;
  auto operator<=>(const retry_limits &) const = default;
};

/// \returns the limits for each of \p Parts allocators that share the slack of
/// \p Limits equally. \pre \p Parts is above zero.
[[nodiscard]] retry_limits divideRetryLimits(const retry_limits &Limits,
                                             std::size_t Parts);

/// The attempts of a part of a window. The numbers are fractions where the
/// attempts of a service are divided among its pools.
struct attempt_slice {
  time_point Start;
  double Requests = 0;
  double Retries = 0;
  auto operator<=>(const attempt_slice &) const = default;
};

/// The slices of a window, in the order of their starts, and their sums. Plain
/// state; not thread-safe.
struct retry_window {
  std::deque<attempt_slice> Slices;
  double Requests = 0;
  double Retries = 0;
};

/// Removes the slices that began more than \p Length before \p Now.
void dropExpired(retry_window &Window, duration Length, time_point Now);

/// Counts a first attempt in a window of \p Length.
void recordRequest(retry_window &Window, duration Length, time_point Now);

/// Counts a retry in a window of \p Length.
void recordRetry(retry_window &Window, duration Length, time_point Now);

/// \returns the attempts of \p Window divided by \p Parts, never empty: one
/// without attempts has a slice that says so. \pre \p Parts is above zero.
[[nodiscard]] std::vector<attempt_slice> divideAttempts(retry_window &Window,
                                                        std::size_t Parts,
                                                        duration Length,
                                                        time_point Now);

/// \returns a window of \p Slices, in any order.
[[nodiscard]] retry_window makeRetryWindow(std::vector<attempt_slice> Slices);

} // namespace coriandertray
