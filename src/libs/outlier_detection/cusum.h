/// \file
/// Sequential detection of a raised share of bad outcomes (CUSUM on the
/// log-likelihood ratio).
#pragma once

#include <compare>
#include <cstdint>
#include <span>

namespace coriandertray {

/// Two hypotheses on the share of bad outcomes.
struct failure_rate_hypotheses {
  /// The share when healthy, in (0, 1).
  double Healthy = 0.01;
  /// The share when sick. \pre above Healthy, below 1.
  double Unhealthy = 0.1;
  auto operator<=>(const failure_rate_hypotheses &) const = default;
};

/// The score of one stream of outcomes: near zero while healthy, growing while
/// bad outcomes are more frequent than the healthy share explains.
struct cusum_score {
  double Value = 0;
  auto operator<=>(const cusum_score &) const = default;
};

/// One kind of outcome: how often it happens under either hypothesis, and how
/// often it has happened.
struct outcome_kind {
  /// Shares in (0, 1).
  double HealthyProbability = 0.5;
  double UnhealthyProbability = 0.5;
  std::uint32_t Count = 0;
  auto operator<=>(const outcome_kind &) const = default;
};

/// \returns \p Score after the outcomes that \p Kinds count.
[[nodiscard]] cusum_score addOutcomeKinds(cusum_score Score,
                                          std::span<const outcome_kind> Kinds);

/// \returns \p Score after \p Good good and \p Bad bad outcomes, the bad ones
/// spread evenly among the good ones.
[[nodiscard]] cusum_score addOutcomes(cusum_score Score,
                                      const failure_rate_hypotheses &Hypotheses,
                                      std::uint32_t Good, std::uint32_t Bad);

} // namespace coriandertray
