#include "balancing/latency_tracker.h"

#include <algorithm>

namespace coriandertray {

namespace {

constexpr unsigned BinCount = 96;
constexpr double MinLatencyMs = 0.05;
constexpr double MaxLatencyMs = 120'000;
constexpr double DecayFactor = 0.5;
constexpr double MinSampleCount = 10;
// The 80th percentile stays stable while up to a fifth of the responses are
// slow. With an exponential distribution, about one response in 250 takes
// longer than three and a half times the 80th percentile.
constexpr double BaselineQuantile = 0.8;
constexpr double LateFactor = 3.5;
constexpr double SlowFactor = 1.25;
constexpr duration LateMargin = milliseconds(3);
constexpr double TailQuantile = 0.995;
constexpr double TailFactor = 1.3;
// Below this number of requests the tail quantile is unknown.
constexpr double MinTailSampleCount = 100;

} // namespace

latency_tracker::latency_tracker(duration DecayInterval)
    : Durations(boost::histogram::make_histogram_with(
          std::vector<double>(), axis(BinCount, MinLatencyMs, MaxLatencyMs))),
      DecayInterval(DecayInterval) {}

void latency_tracker::record(duration Elapsed, time_point Now) {
  if (Now - DecayedAt > DecayInterval) {
    Durations *= DecayFactor;
    Count *= DecayFactor;
    DecayedAt = Now;
  }
  Durations(
      std::clamp(toMilliseconds(Elapsed), MinLatencyMs, MaxLatencyMs * 0.99));
  Count += 1;
}

std::optional<duration> latency_tracker::quantile(double Quantile) const {
  if (Count < MinSampleCount)
    return std::nullopt;
  double Below = 0;
  for (const auto &&Bin : boost::histogram::indexed(Durations)) {
    Below += *Bin;
    if (Below >= Quantile * Count)
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double, std::milli>(Bin.bin().upper()));
  }
  return std::nullopt;
}

std::optional<duration> latency_tracker::lateThreshold() const {
  const std::optional<duration> Baseline = quantile(BaselineQuantile);
  if (!Baseline)
    return std::nullopt;
  return std::chrono::duration_cast<duration>(*Baseline * LateFactor) +
         LateMargin;
}

std::optional<duration> latency_tracker::slowThreshold() const {
  const std::optional<duration> Baseline = quantile(BaselineQuantile);
  if (!Baseline)
    return std::nullopt;
  return std::chrono::duration_cast<duration>(*Baseline * SlowFactor);
}

std::optional<duration> latency_tracker::hungThreshold() const {
  const std::optional<duration> Late = lateThreshold();
  if (!Late || Count < MinTailSampleCount)
    return std::nullopt;
  const duration Tail = std::chrono::duration_cast<duration>(
      *quantile(TailQuantile) * TailFactor);
  return std::max<duration>(Tail, 2 * *Late);
}

} // namespace coriandertray
