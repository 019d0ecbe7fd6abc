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
// The share of otherwise timely responses that an unhealthy server makes late.
constexpr double UnhealthyAddedLateRate = 0.3;
// The share of otherwise normal responses that stay normal at an unhealthy
// server.
constexpr double UnhealthyNormalRetention = 0.4;
// Above this late rate the siblings are slow themselves, and a server must
// exceed them by proportionally more to count as an outlier.
constexpr double MaxHealthySiblingLateRate = 0.06;
// A healthy server may exceed the rate of its siblings by this factor by
// chance.
constexpr double SiblingRateTolerance = 1.25;
// If the siblings reach this rate, the fault lies with the service, not with
// one of its backend servers.
constexpr double ServiceWideRate = 0.25;
constexpr double MaxUnhealthyRate = 0.9;
// Failures are compared with the first quartile of the siblings: load causes no
// wrong responses, so a quarter of healthy siblings is a sufficient reference.
// Latency rises with load and is compared with the median.
constexpr std::size_t QuartileDivisor = 4;
constexpr std::size_t MedianDivisor = 2;

double slowRate(const decayed_counts &Counts) {
  const double Total = Counts.Succeeded + Counts.Late;
  return Total < 1 ? 0 : std::min(1.0, Counts.Slow / Total);
}

// \returns the 1 / \p Divisor quantile of a value over the siblings, or zero
// without siblings. \p ValueOf returns nothing for siblings that are to be left
// out.
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

// \returns a function that computes a rate of the recent counts, or nothing for
// a backend server without recent counts.
template <typename Rate> auto recentRate(const Rate &RateOf) {
  return [&RateOf](const backend_health &Backend) -> std::optional<double> {
    const decayed_counts &Recent = Backend.RecentCounts;
    if (Recent.Succeeded + Recent.Failed + Recent.Late < 1)
      return std::nullopt;
    return RateOf(Recent);
  };
}

// \returns a function that reads \p Score, or nothing for a backend server that
// is not in service.
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

// Updates a latency score. The healthy hypothesis is the late and slow rates of
// the siblings. Under the unhealthy one, a part of the other responses becomes
// late and most of the normal ones become slow.
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
  // While the scores of all backend servers grow together, their spread grows
  // too, so twice the score of the siblings is subtracted.
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
  // Outcomes from while the whole service is slow say nothing about one server.
  Backend.LatencyScore =
      SiblingLateRate < ServiceWideRate
          ? addLatencyOutcomes(Backend.LatencyScore, Counts, SiblingLateRate,
                               siblingQuantile(State, Name,
                                               recentRate(slowRate),
                                               MedianDivisor))
          : cusum_score{};
}

} // namespace coriandertray
