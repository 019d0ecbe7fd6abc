/// \file
/// Sequential detection of an increased rate of bad outcomes, by a CUSUM
/// (cumulative sum) of the log-likelihood ratio.
#pragma once

#include <compare>
#include <cstdint>
#include <span>

namespace coriandertray {

/// The rate of bad outcomes under the two hypotheses that the detector
/// compares.
struct failure_rate_hypotheses {
  /// The rate at a healthy backend server, in (0, 1).
  double Healthy = 0.01;
  /// The rate at an unhealthy backend server. \pre above Healthy, below 1.
  double Unhealthy = 0.1;
  auto operator<=>(const failure_rate_hypotheses &) const = default;
};

/// The CUSUM of one stream of outcomes. It stays near zero while the backend
/// server is healthy and grows while bad outcomes are more frequent than the
/// healthy rate explains.
struct cusum_score {
  double Value = 0;
  auto operator<=>(const cusum_score &) const = default;
};

/// One kind of outcome: its probability under either hypothesis, and how often
/// it was observed.
struct outcome_kind {
  /// Probabilities in (0, 1).
  double HealthyProbability = 0.5;
  double UnhealthyProbability = 0.5;
  std::uint32_t Count = 0;
  auto operator<=>(const outcome_kind &) const = default;
};

/// \returns \p Score updated with the outcomes counted in \p Kinds.
[[nodiscard]] cusum_score addOutcomeKinds(cusum_score Score,
                                          std::span<const outcome_kind> Kinds);

/// \returns \p Score updated with \p Good good and \p Bad bad outcomes, as if
/// the bad ones were spread evenly among the good ones.
[[nodiscard]] cusum_score addOutcomes(cusum_score Score,
                                      const failure_rate_hypotheses &Hypotheses,
                                      std::uint32_t Good, std::uint32_t Bad);

} // namespace coriandertray
