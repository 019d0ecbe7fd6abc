/// \file
/// Latency distribution of recent requests, and the thresholds derived from it
/// above which a request is slow, late or hung.
#pragma once

#include "utils/clock.h"

#include <boost/histogram.hpp>

#include <optional>

namespace coriandertray {

/// A decaying histogram of request durations. Not thread-safe.
class latency_tracker {
public:
  /// Every \p DecayInterval, the recorded requests lose half of their weight.
  explicit latency_tracker(duration DecayInterval = seconds(5));

  /// Adds a request that took \p Elapsed.
  void record(duration Elapsed, time_point Now);

  /// \returns the duration at \p Quantile in (0, 1), or nothing until enough
  /// requests are recorded.
  [[nodiscard]] std::optional<duration> quantile(double Quantile) const;

  /// \returns the duration from which a request counts as late, far slower than
  /// normal, or nothing until enough requests are recorded.
  [[nodiscard]] std::optional<duration> lateThreshold() const;

  /// \returns the duration from which a response counts as slow, slower than
  /// most, or nothing until enough requests are recorded.
  [[nodiscard]] std::optional<duration> slowThreshold() const;

  /// \returns the duration from which a request counts as hung, beyond the
  /// normal maximum including stragglers, or nothing until enough requests are
  /// recorded.
  [[nodiscard]] std::optional<duration> hungThreshold() const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<double>(), std::declval<axis>()));

  histogram Durations;
  double Count = 0;
  duration DecayInterval;
  time_point DecayedAt;
};

} // namespace coriandertray
