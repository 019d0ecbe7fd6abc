/// \file
/// The distribution of request durations of one request class at healthy
/// backend servers.
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
  /// The durations at Quantiles, as of the last refresh.
  std::array<duration, Quantiles.size()> Durations{};
  std::size_t RecordedSinceRefresh = 0;
};

/// \returns an initial profile for requests with the target latency \p Target.
[[nodiscard]] latency_profile makeLatencyProfile(duration Target);

/// Records a request that succeeded after \p Elapsed.
void recordDuration(latency_profile &Profile, duration Elapsed, time_point Now);

/// \returns the share of requests, in (0, 1], that take longer than \p Age.
[[nodiscard]] double survivalAt(const latency_profile &Profile, duration Age);

/// \returns the median duration.
[[nodiscard]] duration medianDuration(const latency_profile &Profile);

/// \returns the duration within which \p Quantile of the requests, in (0, 1),
/// complete.
[[nodiscard]] duration durationQuantile(const latency_profile &Profile,
                                        double Quantile);

} // namespace coriandertray
