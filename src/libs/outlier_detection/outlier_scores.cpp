#include "outlier_detection/outlier_scores.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace coriandertray {

namespace {

constexpr double HealthyFailureRate = 0.005;
constexpr double UnhealthyFailureRate = 0.1;
constexpr double HealthyLateRate = 0.04;
constexpr double HealthySlowRate = 0.13;
// Of a sick server's answers that would not have been late.
constexpr double UnhealthyAddedLateRate = 0.3;
// Of a sick server's answers that would have taken the usual time.
constexpr double UnhealthyNormalRetention = 0.4;
// Siblings with more late answers than this are in trouble themselves: whoever
// looks worse must do so by as much more.
constexpr double MaxHealthySiblingLateRate = 0.06;
// Chance may give a healthy server so much more than its siblings.
constexpr double SiblingRateTolerance = 1.25;
// A share this large among the siblings means that the service, not one of its
// backend servers, is in trouble.
constexpr double ServiceWideRate = 0.25;
constexpr double MaxUnhealthyRate = 0.9;
// A quarter of healthy siblings is enough to judge failures by: no load makes
// an answer wrong. Slowness comes with load, and is judged by the middle.
constexpr std::size_t QuartileDivisor = 4;
constexpr std::size_t MedianDivisor = 2;

double slowRate(const decayed_counts &Counts) {
  const double Total = Counts.Succeeded + Counts.Late;
  return Total < 1 ? 0 : std::min(1.0, Counts.Slow / Total);
}

// \returns the value that one in \p Parts of the siblings stays below, zero
// without siblings. \p ValueOf gives nothing for siblings that don't count.
template <typename Value>
double siblingQuantile(const outlier_detection_state &State,
                       std::string_view Name, const Value &ValueOf,
                       std::size_t Divisor) {
  std::vector<double> Values;
  for (const auto &[Sibling, Backend] : State.Backends) {
    const std::optional<double> Found = ValueOf(Backend);
    if (Sibling != Name && Found)
      Values.push_back(*Found);
  }
  if (Values.empty())
    return 0;
  const auto Quantile =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / Divisor);
  std::ranges::nth_element(Values, Quantile);
  return *Quantile;
}

// \returns a share of the recent counts, for those that have any.
template <typename Rate> auto recentRate(const Rate &RateOf) {
  return [&RateOf](const backend_health &Backend) -> std::optional<double> {
    const decayed_counts &Recent = Backend.RecentCounts;
    if (Recent.Succeeded + Recent.Failed + Recent.Late < 1)
      return std::nullopt;
    return RateOf(Recent);
  };
}

// \returns one score, for those that are in service.
auto scoreInService(cusum_score backend_health::*Score) {
  return [Score](const backend_health &Backend) -> std::optional<double> {
    if (Backend.Status != backend_status::InService)
      return std::nullopt;
    return (Backend.*Score).Value;
  };
}

failure_rate_hypotheses failureHypotheses(double Healthy, double Unhealthy,
                                          double SiblingRate) {
  constexpr double UnhealthyOverSiblingFactor = 4;
  return {
      std::max(Healthy, SiblingRateTolerance * SiblingRate),
      std::min(MaxUnhealthyRate,
               std::max(Unhealthy, UnhealthyOverSiblingFactor * SiblingRate))};
}

// Slower than the siblings: more late and more slow answers than they have. A
// sick server turns a part of its other answers late, and most of its usual
// ones slow.
cusum_score addLatencyOutcomes(cusum_score Score, const outcome_counts &Counts,
                               double SiblingLateRate, double SiblingSlowRate) {
  constexpr double MinProbability = 0.05;
  const double Late =
      std::max(HealthyLateRate, SiblingRateTolerance * SiblingLateRate);
  const double Slow =
      std::max(HealthySlowRate, SiblingRateTolerance * SiblingSlowRate);
  const double Normal = std::max(MinProbability, 1 - Late - Slow);
  const double UnhealthyLate = Late + (1 - Late) * UnhealthyAddedLateRate;
  const double UnhealthyNormal = Normal * UnhealthyNormalRetention;
  const double UnhealthySlow =
      std::max(MinProbability, 1 - UnhealthyLate - UnhealthyNormal);
  const std::uint32_t NormalCount =
      Counts.Succeeded - std::min(Counts.Slow, Counts.Succeeded);
  const std::array<outcome_kind, 3> Kinds = {
      {{Normal, UnhealthyNormal, NormalCount},
       {Slow, UnhealthySlow, Counts.Slow},
       {Late, UnhealthyLate, Counts.Late}}};
  return addOutcomeKinds(Score, Kinds);
}

} // namespace

double failureRate(const decayed_counts &Counts) {
  const double Total = Counts.Succeeded + Counts.Failed;
  return Total < 1 ? 0 : Counts.Failed / Total;
}

double lateRate(const decayed_counts &Counts) {
  const double Total = Counts.Succeeded + Counts.Late;
  return Total < 1 ? 0 : std::min(1.0, Counts.Late / Total);
}

relative_scores relativeScores(const outlier_detection_state &State,
                               std::string_view Name) {
  const backend_health &Backend = State.Backends.find(Name)->second;
  const double SiblingFailureScore = siblingQuantile(
      State, Name, scoreInService(&backend_health::FailureScore),
      QuartileDivisor);
  const double SiblingLatencyScore = siblingQuantile(
      State, Name, scoreInService(&backend_health::LatencyScore),
      MedianDivisor);
  // Twice: what grows over all of them at once spreads as it grows.
  constexpr double SiblingWeight = 2;
  const double ExcessLateRate =
      siblingQuantile(State, Name, recentRate(lateRate), MedianDivisor) -
      MaxHealthySiblingLateRate;
  const double LatencyDiscount =
      1 + std::max(0.0, ExcessLateRate) / MaxHealthySiblingLateRate;
  return {Backend.FailureScore.Value - SiblingWeight * SiblingFailureScore,
          (Backend.LatencyScore.Value - SiblingWeight * SiblingLatencyScore) /
              LatencyDiscount};
}

void updateScores(outlier_detection_state &State, std::string_view Name,
                  const outcome_counts &Counts) {
  backend_health &Backend = State.Backends.find(Name)->second;
  const double SiblingFailureRate =
      siblingQuantile(State, Name, recentRate(failureRate), QuartileDivisor);
  const double SiblingLateRate =
      siblingQuantile(State, Name, recentRate(lateRate), MedianDivisor);
  if (SiblingFailureRate < ServiceWideRate)
    Backend.FailureScore =
        addOutcomes(Backend.FailureScore,
                    failureHypotheses(HealthyFailureRate, UnhealthyFailureRate,
                                      SiblingFailureRate),
                    Counts.Succeeded, Counts.Failed);
  // What was gathered while the whole service slowed down says nothing.
  Backend.LatencyScore =
      SiblingLateRate < ServiceWideRate
          ? addLatencyOutcomes(Backend.LatencyScore, Counts, SiblingLateRate,
                               siblingQuantile(State, Name,
                                               recentRate(slowRate),
                                               MedianDivisor))
          : cusum_score{};
}

} // namespace coriandertray
