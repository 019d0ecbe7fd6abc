#include "allocation/work_profile.h"

#include <algorithm>

namespace coriandertray {

namespace {

// The shape assumed while little is known, as parts of the target latency.
constexpr std::array<double, work_profile::Quantiles.size()> AssumedParts = {
    0.25, 0.45, 0.6, 0.8, 1.2};
constexpr std::size_t RefreshEvery = 8;
// Stragglers always leave a share, however long one waits.
constexpr double LeastSurvival = 0.015;

duration scaled(duration Value, double Factor) {
  return std::chrono::duration_cast<duration>(Value * Factor);
}

void refresh(work_profile &Profile) {
  for (std::size_t Index = 0; Index < work_profile::Quantiles.size(); ++Index)
    Profile.Durations[Index] =
        Profile.Tracker.quantile(work_profile::Quantiles[Index])
            .value_or(Profile.Durations[Index]);
  Profile.RecordedSinceRefresh = 0;
}

} // namespace

work_profile makeWorkProfile(duration Target) {
  work_profile Profile;
  std::ranges::transform(
      AssumedParts, Profile.Durations.begin(),
      [Target](double Part) { return scaled(Target, Part); });
  return Profile;
}

void noteWork(work_profile &Profile, duration Elapsed, time_point Now) {
  Profile.Tracker.record(Elapsed, Now);
  if (++Profile.RecordedSinceRefresh >= RefreshEvery)
    refresh(Profile);
}

double survivalAt(const work_profile &Profile, duration Age) {
  double BelowShare = 1;
  duration BelowTime{0};
  for (std::size_t Index = 0; Index < work_profile::Quantiles.size(); ++Index) {
    const double Share = 1 - work_profile::Quantiles[Index];
    const duration Time = std::max(Profile.Durations[Index], BelowTime);
    if (Age < Time) {
      const double Part = toMilliseconds(Age - BelowTime) /
                          std::max(0.001, toMilliseconds(Time - BelowTime));
      return BelowShare + (Share - BelowShare) * std::clamp(Part, 0.0, 1.0);
    }
    BelowShare = Share;
    BelowTime = Time;
  }
  return LeastSurvival;
}

duration medianWork(const work_profile &Profile) {
  return Profile.Durations.front();
}

duration workQuantile(const work_profile &Profile, double Quantile) {
  for (std::size_t Index = 0; Index < work_profile::Quantiles.size(); ++Index)
    if (work_profile::Quantiles[Index] >= Quantile)
      return Profile.Durations[Index];
  return Profile.Durations.back();
}

} // namespace coriandertray
