#include "allocation/failure_estimate.h"

#include <algorithm>
#include <cmath>

namespace coriandertray {

namespace {

// The share of requests that a failing server is assumed to lose.
constexpr double FailingServerLossRate = 0.75;
// The bounds limit how much new evidence it takes to reverse an estimate. The
// lower one is for a server with up to BaseSlots slots and grows with them: the
// ordinary requests in flight at a busy server add up to some log odds each
// moment, which would outweigh a fixed bound.
constexpr double MinLogOdds = -4.0;
constexpr double BaseSlots = 3.0;
constexpr double MaxLogOdds = 5.0;
// Time constant of the decay of evidence, in seconds, because gray failures
// last for seconds.
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

void addEvidence(failure_estimate &Estimate, double Weight, std::uint32_t Slots,
                 double PriorLogOdds, time_point Now) {
  const double Decayed = decayedLogOdds(Estimate, PriorLogOdds, Now);
  const double Lowest = MinLogOdds * std::max(1.0, Slots / BaseSlots);
  Estimate.LogOdds = std::clamp(Decayed + Weight, Lowest, MaxLogOdds);
  Estimate.UpdatedAt = Now;
}

// The log-likelihood ratio of no response so far between a failing server and a
// healthy one.
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
