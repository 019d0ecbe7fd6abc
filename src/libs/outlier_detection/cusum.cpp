#include "outlier_detection/cusum.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coriandertray {

change_score addKinds(change_score Score, std::span<const outcome_kind> Kinds) {
  const double Sum =
      std::accumulate(Kinds.begin(), Kinds.end(), 0.0,
                      [](double Total, const outcome_kind &Kind) {
                        return Total + Kind.Count * std::log(Kind.SickShare /
                                                             Kind.HealthyShare);
                      });
  return {std::max(0.0, Score.Value + Sum)};
}

change_score addOutcomes(change_score Score,
                         const bad_share_hypotheses &Hypotheses,
                         std::uint32_t Good, std::uint32_t Bad) {
  const double BadStep = std::log(Hypotheses.Sick / Hypotheses.Healthy);
  const double GoodStep =
      std::log((1 - Hypotheses.Sick) / (1 - Hypotheses.Healthy));
  double Value = Score.Value;
  // A report holds counts, not an order; an even spread favours neither side.
  const double GoodBetween = static_cast<double>(Good) / (Bad + 1.0);
  Value = std::max(0.0, Value + GoodBetween * GoodStep);
  for (std::uint32_t Index = 0; Index < Bad; ++Index)
    Value = std::max(0.0, Value + BadStep + GoodBetween * GoodStep);
  return {Value};
}

} // namespace coriandertray
