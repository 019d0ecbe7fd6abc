#include "outlier_detection/cusum.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coriandertray {

cusum_score addOutcomeKinds(cusum_score Score,
                            std::span<const outcome_kind> Kinds) {
  const double LogLikelihoodRatio = std::accumulate(
      Kinds.begin(), Kinds.end(), 0.0,
      [](double Total, const outcome_kind &Kind) {
        return Total + Kind.Count * std::log(Kind.UnhealthyProbability /
                                             Kind.HealthyProbability);
      });
  return {std::max(0.0, Score.Value + LogLikelihoodRatio)};
}

cusum_score addOutcomes(cusum_score Score,
                        const failure_rate_hypotheses &Hypotheses,
                        std::uint32_t Good, std::uint32_t Bad) {
  const double BadStep = std::log(Hypotheses.Unhealthy / Hypotheses.Healthy);
  const double GoodStep =
      std::log((1 - Hypotheses.Unhealthy) / (1 - Hypotheses.Healthy));
  double Value = Score.Value;
  // A report holds counts without their order. An even spread favors neither
  // hypothesis.
  const double GoodBetween = static_cast<double>(Good) / (Bad + 1.0);
  Value = std::max(0.0, Value + GoodBetween * GoodStep);
  for (std::uint32_t Index = 0; Index < Bad; ++Index)
    Value = std::max(0.0, Value + BadStep + GoodBetween * GoodStep);
  return {Value};
}

} // namespace coriandertray
