/// \file
/// The retry budget of one allocator over a sliding window.
#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

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

/// Counts of first attempts and retries per slice of the window. Plain state;
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

/// Counts a first attempt.
void recordRequest(retry_window &Window, const retry_limits &Limits,
                   time_point Now);

/// Counts a retry if that leaves at least \p ReservedShare in [0, 1) of the
/// budget unused. \returns whether the retry is allowed.
[[nodiscard]] bool tryConsumeRetry(retry_window &Window,
                                   const retry_limits &Limits,
                                   double ReservedShare, time_point Now);

} // namespace coriandertray
