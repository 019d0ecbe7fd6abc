#include "allocation/failure_estimate.h"

#include <algorithm>
#include <cmath>

namespace coriandertray {

namespace {

// A sick server is taken to lose this share of its requests.
constexpr double FailingServerLossRate = 0.75;
constexpr double MinLogOdds = -4.0;
constexpr double MaxLogOdds = 5.0;
// How fast old evidence loses its weight: gray failures last for seconds.
constexpr double DecaySeconds = 6.0;

} // namespace

double probabilityToLogOdds(double Probability) {
  return std::log(Probability / (1 - Probability));
}

double logOddsToProbability(double LogOdds) {
  return 1 / (1 + std::exp(-LogOdds));
}

double decayedLogOdds(const failure_estimate &Estimate, double PriorLogOdds,
                      time_point Now) {
  const double Age = std::max(0.0, toSeconds(Now - Estimate.UpdatedAt));
  const double Retained = std::exp(-Age / DecaySeconds);
  return PriorLogOdds + (Estimate.LogOdds - PriorLogOdds) * Retained;
}

void addEvidence(failure_estimate &Estimate, double Weight, double PriorLogOdds,
                 time_point Now) {
  const double Decayed = decayedLogOdds(Estimate, PriorLogOdds, Now);
  Estimate.LogOdds = std::clamp(Decayed + Weight, MinLogOdds, MaxLogOdds);
  Estimate.UpdatedAt = Now;
}

double noResponseWeight(double Survival) {
  return std::log(
      (FailingServerLossRate + (1 - FailingServerLossRate) * Survival) /
      Survival);
}

double successWeight(double Survival) {
  constexpr double OrdinarySurvival = 0.1;
  constexpr double SlowSurvival = 0.03;
  constexpr double SlowWeight = 0.8;
  constexpr double AboveOrdinaryWeight = -0.4;
  if (Survival < SlowSurvival)
    return SlowWeight;
  if (Survival < OrdinarySurvival)
    return AboveOrdinaryWeight;
  return std::log(1 - FailingServerLossRate);
}

} // namespace coriandertray
