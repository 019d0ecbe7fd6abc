#include "allocation/sickness.h"

#include <algorithm>
#include <cmath>

namespace coriandertray {

namespace {

// A sick server is taken to lose this share of its requests.
constexpr double SickLoss = 0.75;
constexpr double MostWell = -4.0;
constexpr double MostSick = 5.0;
// How fast old evidence loses its weight: gray failures last for seconds.
constexpr double FadeSeconds = 6.0;

} // namespace

double logOddsOf(double Probability) {
  return std::log(Probability / (1 - Probability));
}

double probabilityOf(double LogOdds) { return 1 / (1 + std::exp(-LogOdds)); }

double fadedLogOdds(const sickness &Belief, double UsualLogOdds,
                    time_point Now) {
  const double Age = std::max(0.0, toSeconds(Now - Belief.At));
  const double Kept = std::exp(-Age / FadeSeconds);
  return UsualLogOdds + (Belief.LogOdds - UsualLogOdds) * Kept;
}

void addEvidence(sickness &Belief, double Weight, double UsualLogOdds,
                 time_point Now) {
  const double Faded = fadedLogOdds(Belief, UsualLogOdds, Now);
  Belief.LogOdds = std::clamp(Faded + Weight, MostWell, MostSick);
  Belief.At = Now;
}

double silenceWeight(double Survival) {
  return std::log((SickLoss + (1 - SickLoss) * Survival) / Survival);
}

double successWeight(double Survival) {
  constexpr double OrdinarySurvival = 0.1;
  constexpr double SlowSurvival = 0.03;
  constexpr double SlowWeight = 0.8;
  constexpr double LateWeight = -0.4;
  if (Survival < SlowSurvival)
    return SlowWeight;
  if (Survival < OrdinarySurvival)
    return LateWeight;
  return std::log(1 - SickLoss);
}

} // namespace coriandertray
