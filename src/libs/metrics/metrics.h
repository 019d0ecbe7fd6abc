/// \file
/// Counters, gauges and histograms of one process, exported in the Prometheus
/// text format.
#pragma once

#include "utils/clock.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriandertray {

/// A histogram of durations with 256 logarithmic bins from 0.05 ms to 120 s.
/// Durations outside this range count in the first or last bin. Not
/// thread-safe.
class duration_histogram {
public:
  duration_histogram();
  void record(duration Value);
  /// \returns the upper end of the bin that holds the given \p Quantile in
  /// [0, 1], in milliseconds, or zero if nothing was recorded.
  [[nodiscard]] double quantileMs(double Quantile) const;
  [[nodiscard]] std::uint64_t count() const { return Count; }
  /// Appends the buckets, the sum in seconds and the count to \p Out in text
  /// format.
  void write(std::string_view Name, std::string_view Labels,
             std::string &Out) const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram_with(
      std::vector<std::uint64_t>(), std::declval<axis>()));

  histogram Bins;
  std::uint64_t Count = 0;
  double SumSeconds = 0;
};

/// The metrics of one process, by name and labels. Not thread-safe.
class metric_registry {
public:
  /// Adds \p Step to the counter \p Name with \p Labels, such as `service="a"`.
  void count(std::string_view Name, std::string_view Labels = {},
             std::uint64_t Step = 1);
  /// Sets the gauge \p Name to \p Value.
  void set(std::string_view Name, std::string_view Labels, double Value);
  /// Records \p Value in the histogram \p Name, which is exported in seconds.
  void observe(std::string_view Name, std::string_view Labels, duration Value);
  /// \returns the value of the counter, or zero if it does not exist.
  [[nodiscard]] std::uint64_t counter(std::string_view Name,
                                      std::string_view Labels = {}) const;
  /// \returns all metrics in text format.
  [[nodiscard]] std::string write() const;

private:
  using metric_key = std::pair<std::string, std::string>;

  std::map<metric_key, std::uint64_t> Counters;
  std::map<metric_key, double> Gauges;
  std::map<metric_key, duration_histogram> Histograms;
};

} // namespace coriandertray
