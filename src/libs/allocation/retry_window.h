/// \file
/// The budget of repeats of one service over a sliding window.
#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace coriandertray {

/// How many repeats are allowed in a window.
struct retry_limits {
  double Ratio = 0.2;
  duration Window = seconds(10);
  double Slack = 0;
  auto operator<=>(const retry_limits &) const = default;
};

/// \returns the limits of one of \p Parts that spend the slack of \p Limits
/// together. \pre \p Parts is above zero.
[[nodiscard]] retry_limits divideRetryLimits(const retry_limits &Limits,
                                             std::size_t Parts);

/// Counts of first requests and repeats, in slices of the window. Plain state;
/// not thread-safe.
struct retry_window {
  struct slice {
    time_point Start;
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
    auto operator<=>(const slice &) const = default;
  };
  std::deque<slice> Slices;
};

/// Counts a first request.
void recordRequest(retry_window &Window, const retry_limits &Limits,
                   time_point Now);

/// Counts a repeat if the budget has room for it, of which the last
/// \p ReservedShare in [0, 1) is kept free. \returns whether it had.
[[nodiscard]] bool tryConsumeRetry(retry_window &Window,
                                   const retry_limits &Limits,
                                   double ReservedShare, time_point Now);

} // namespace coriandertray
