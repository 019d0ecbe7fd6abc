/// \file
/// How long requests of one route usually take, learned from recent ones.
#pragma once

#include "utils/clock.h"

#include <boost/histogram.hpp>

#include <optional>

namespace coriandertray {

/// A decaying histogram of durations. Not thread-safe.
class latency_tracker {
public:
  /// Every \p DecayInterval, what was recorded loses half of its weight.
  explicit latency_tracker(duration DecayInterval = seconds(5));

  /// Adds one finished request.
  void record(duration Elapsed, time_point Now);

  /// \returns the \p Quantile in (0, 1), or nothing before enough requests.
  [[nodiscard]] std::optional<duration> quantile(double Quantile) const;

  /// \returns from when on a request counts as late, or nothing yet.
  [[nodiscard]] std::optional<duration> lateThreshold() const;

  /// \returns from when on an answer counts as slow, or nothing yet.
  [[nodiscard]] std::optional<duration> slowThreshold() const;

  /// \returns from when on a request counts as hung: beyond the longest that
  /// usually happens, stragglers included; or nothing yet.
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
