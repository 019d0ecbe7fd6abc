/// \file
/// How long the requests of one kind run at a healthy backend server.
#pragma once

#include "balancing/latency_tracker.h"
#include "utils/clock.h"

#include <array>
#include <cstddef>

namespace coriandertray {

/// Plain state; not thread-safe.
struct latency_profile {
  static constexpr std::array<double, 5> Quantiles = {0.5, 0.8, 0.9, 0.95,
                                                      0.98};
  latency_tracker Tracker;
  std::array<duration, Quantiles.size()> Durations{};
  std::size_t RecordedSinceRefresh = 0;
};

/// \returns a profile for requests with \p Target, before any is known.
[[nodiscard]] latency_profile makeLatencyProfile(duration Target);

/// Adds a request that succeeded after \p Elapsed.
void recordDuration(latency_profile &Profile, duration Elapsed, time_point Now);

/// \returns the share of requests in (0, 1] that run for longer than \p Age.
[[nodiscard]] double survivalAt(const latency_profile &Profile, duration Age);

/// \returns the median.
[[nodiscard]] duration medianDuration(const latency_profile &Profile);

/// \returns the time within which \p Quantile of the requests, in (0, 1), end.
[[nodiscard]] duration durationQuantile(const latency_profile &Profile,
                                        double Quantile);

} // namespace coriandertray
