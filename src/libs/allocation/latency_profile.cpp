#include "allocation/latency_profile.h"

#include <algorithm>

namespace coriandertray {

namespace {

// The durations at the quantiles that are assumed until enough requests are
// recorded, as multiples of the target latency.
constexpr std::array<double, latency_profile::Quantiles.size()>
    InitialTargetMultiples = {0.25, 0.45, 0.6, 0.8, 1.2};
// The durations are recomputed after this many recorded requests.
constexpr std::size_t RecordsPerRefresh = 8;
// Stragglers occur at healthy servers too, so the survival never reaches zero.
constexpr double MinSurvival = 0.015;

duration scaled(duration Value, double Factor) {
  return std::chrono::duration_cast<duration>(Value * Factor);
}

void refresh(latency_profile &Profile) {
  for (std::size_t Index = 0; Index < latency_profile::Quantiles.size();
       ++Index)
    Profile.Durations[Index] =
        Profile.Tracker.quantile(latency_profile::Quantiles[Index])
            .value_or(Profile.Durations[Index]);
  Profile.RecordedSinceRefresh = 0;
}

} // namespace

latency_profile makeLatencyProfile(duration Target) {
  latency_profile Profile;
  std::ranges::transform(
      InitialTargetMultiples, Profile.Durations.begin(),
      [Target](double Part) { return scaled(Target, Part); });
  return Profile;
}

void recordDuration(latency_profile &Profile, duration Elapsed,
                    time_point Now) {
  Profile.Tracker.record(Elapsed, Now);
  if (++Profile.RecordedSinceRefresh >= RecordsPerRefresh)
    refresh(Profile);
}

double survivalAt(const latency_profile &Profile, duration Age) {
  double BelowShare = 1;
  duration BelowTime{0};
  for (std::size_t Index = 0; Index < latency_profile::Quantiles.size();
       ++Index) {
    const double Share = 1 - latency_profile::Quantiles[Index];
    const duration Time = std::max(Profile.Durations[Index], BelowTime);
    if (Age < Time) {
      const double Part = toMilliseconds(Age - BelowTime) /
                          std::max(0.001, toMilliseconds(Time - BelowTime));
      return BelowShare + (Share - BelowShare) * std::clamp(Part, 0.0, 1.0);
    }
    BelowShare = Share;
    BelowTime = Time;
  }
  return MinSurvival;
}

duration medianDuration(const latency_profile &Profile) {
  return Profile.Durations.front();
}

duration durationQuantile(const latency_profile &Profile, double Quantile) {
  for (std::size_t Index = 0; Index < latency_profile::Quantiles.size();
       ++Index)
    if (latency_profile::Quantiles[Index] >= Quantile)
      return Profile.Durations[Index];
  return Profile.Durations.back();
}

} // namespace coriandertray
